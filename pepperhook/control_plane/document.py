"""The schema of a configuration document: what a version may change on a running balancer.

A document is complete: an absent key has the value that the balancer was started with, so a
document is never applied on top of another one. The names of the keys are part of the users'
interface; attributes with another name are mapped to their key.
"""

from enum import StrEnum
from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, field

from pepperhook import tomlfile
from pepperhook.errors import PepperhookError
from pepperhook.operator_config.schema import Fraction, RateLimitTable

# 4.6e18 is about ``settings.MAX_NUMBER``, the range of the settings; 4.6e12 ms are 4.6e18 ns.
Milliseconds = Annotated[float, Meta(ge=0, le=4.6e12)]
PositiveMilliseconds = Annotated[float, Meta(ge=0.001, le=4.6e12)]
Weight = Annotated[float, Meta(ge=0, le=4.6e18)]
RatePerSecond = Annotated[float, Meta(ge=0, le=4.6e18)]
Name = Annotated[str, Meta(min_length=1, max_length=128)]

EMPTY_DOCUMENT: dict[str, Any] = {"version": 1}  # changes nothing


class InvalidDocumentError(PepperhookError, ValueError):
    """The document does not match its schema; the message names the key."""


class Effect(StrEnum):
    """Whether a request of a service class may run more than once."""

    SAFE = "idempotent"
    KEYED = "deduplicated"  # idempotent by its key, within the key's time to live
    UNSAFE = "at_most_once"


class ServiceClassOverride(Struct, forbid_unknown_fields=True, kw_only=True, omit_defaults=True):
    """Overrides for one service class; times in milliseconds."""

    time_limit_ms: PositiveMilliseconds | None = None
    latency_objective_ms: PositiveMilliseconds | None = field(default=None, name="goal_ms")
    priority_weight: Weight | None = field(default=None, name="earnings")
    late_priority_weight: Weight | None = field(default=None, name="late_earnings")
    effect: Effect | None = None
    key_ttl_ms: Milliseconds | None = None
    group: Literal["all", "zone", "cell"] | None = None


class TenantOverride(Struct, forbid_unknown_fields=True, kw_only=True, omit_defaults=True):
    """Overrides for one tenant."""

    share: Fraction | None = None
    quota_per_s: RatePerSecond | None = None


class UpstreamOverride(Struct, forbid_unknown_fields=True, kw_only=True, omit_defaults=True):
    """Overrides for one upstream, by its name in the endpoint list."""

    weight: Annotated[float, Meta(gt=0, le=4)] = 1.0  # multiplies its chance to be selected
    drain: bool = False  # treated as draining where the endpoint list has it as ready


class LimitOverrides(Struct, forbid_unknown_fields=True, kw_only=True, omit_defaults=True):
    """Overrides for limits of the whole balancer."""

    max_attempts: Annotated[int, Meta(ge=1, le=16)] | None = field(
        default=None, name="most_dispatches"
    )
    may_send_retry_after: bool | None = field(default=None, name="advice")
    max_retry_after_ms: Milliseconds | None = field(default=None, name="longest_advice_ms")
    # Factor on the priority weight of what exceeds a tenant's share.
    excess_priority_factor: Fraction | None = field(default=None, name="excess_earnings")


class ExtensionOverrides(Struct, forbid_unknown_fields=True, kw_only=True, omit_defaults=True):
    """Settings of enabled extensions; none is enabled or disabled while a balancer runs."""

    rate_limits: RateLimitTable | None = field(default=None, name="customers")


class Document(Struct, forbid_unknown_fields=True, kw_only=True, omit_defaults=True):
    """A complete configuration, as overrides of the settings a balancer was started with."""

    version: Literal[1]
    service_classes: dict[Name, ServiceClassOverride] = field(default_factory=dict, name="grades")
    tenants: dict[Name, TenantOverride] = field(default_factory=dict, name="customers")
    upstreams: dict[Name, UpstreamOverride] = field(default_factory=dict)
    limits: LimitOverrides = field(default_factory=LimitOverrides)
    extensions: ExtensionOverrides = field(default_factory=ExtensionOverrides, name="parts")

    def drained_upstreams(self) -> set[str]:
        """Return the names of upstreams that the document drains."""
        return {name for name, override in self.upstreams.items() if override.drain}


def parse_document(content: dict[str, Any]) -> Document:
    """Check a document against the schema. Raises InvalidDocumentError."""
    try:
        document: Document = tomlfile.convert(content, Document, "document")
    except tomlfile.TomlFileError as error:
        raise InvalidDocumentError(str(error)) from error
    return document
