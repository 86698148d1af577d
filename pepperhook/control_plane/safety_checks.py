"""Checks that prevent a harmful version from taking effect, as logic without I/O.

The service checks a document against its parent and against the upstreams that members report.
Each balancer checks it against its own settings, latencies and capacity. An author may override a
check by its name, except the mandatory checks for what cannot work at all (an unknown service
class, a disabled extension).
"""

from collections.abc import Iterable, Iterator
from enum import StrEnum
from typing import Any

from msgspec import Struct, field

from pepperhook.control_plane.document import Document, Effect, ServiceClassOverride
from pepperhook.control_plane.merge_patch import differences

MAX_RELATIVE_CHANGE = 0.5  # largest change of a number in one version, relative to its value
CHANGE_LIMITED_KEYS = frozenset(
    (
        "time_limit_ms",
        "goal_ms",
        "earnings",
        "late_earnings",
        "key_ttl_ms",
        "quota_per_s",
        "share",
        "weight",
        "excess_earnings",
        "longest_advice_ms",
    )
)
MAX_DRAINED_SHARE = 0.5  # of the known upstreams that one document may drain


class Check(StrEnum):
    """The names of the checks, by which an author overrides them."""

    UNKNOWN_NAME = "unknown"
    LATENCY_OBJECTIVE = "goal"
    EXTENSION_OFF = "part"
    LARGE_CHANGE = "step"
    EFFECT = "effect"
    METHOD = "method"
    TIME_LIMIT = "limit"
    CAPACITY = "capacity"
    DRAINS_ALL = "drains all"
    DRAINS_MANY = "drains many"


MANDATORY_CHECKS = frozenset((Check.UNKNOWN_NAME, Check.LATENCY_OBJECTIVE, Check.EXTENSION_OFF))


class Violation(Struct):
    """One reason why a version is rejected."""

    check: Check
    key: str  # of the document
    reason: str = field(name="why")
    overridable: bool = field(default=True, name="forceable")

    def __post_init__(self) -> None:
        """Derive from the check whether an author may override it."""
        self.overridable = self.check not in MANDATORY_CHECKS


class ServiceClassState(Struct, frozen=True):
    """A service class in the settings that the balancer was started with. Times in milliseconds."""

    time_limit_ms: float
    latency_objective_ms: float
    effect: Effect


class BalancerView(Struct, kw_only=True, frozen=True):
    """What one balancer knows when it checks a document. Times in milliseconds."""

    service_classes: dict[str, ServiceClassState]  # by name
    tenants: frozenset[str]
    extensions: frozenset[str]  # enabled ones
    # Number of attempts that each upstream can have in flight, as computed by the policy, for the
    # upstreams that are ready in the endpoint list.
    upstream_capacity: dict[str, float]
    in_flight: float = 0.0  # mean number of attempts at all upstreams together
    usual_latency_ms: dict[str, float] = {}  # by service class, where measured


def violations_of_change(
    before: dict[str, Any],
    after: dict[str, Any],
    document: Document,
    known_upstreams: frozenset[str] = frozenset(),
) -> list[Violation]:
    """Return the violations that the service finds in a document.

    ``before`` is the parent's document, ``document`` is ``after`` parsed, ``known_upstreams`` are
    the names that members report.
    """
    violations: list[Violation] = []
    for key, old, new in differences(before, after):
        name = key.rpartition(".")[2]
        if name in CHANGE_LIMITED_KEYS:
            violations += _large_change_violations(key, old, new)
        if name == "effect" and old == Effect.UNSAFE:
            violations.append(Violation(Check.EFFECT, key, "an unsafe grade would be repeated"))
    violations += _known_drain_violations(document.drained_upstreams(), known_upstreams)
    return violations


def _large_change_violations(key: str, old: Any, new: Any) -> Iterator[Violation]:
    if not (isinstance(old, (int, float)) and isinstance(new, (int, float)) and old):
        return
    step = abs(new - old) / old
    if step > MAX_RELATIVE_CHANGE:
        reason = f"moves by {step:.0%} at once, {MAX_RELATIVE_CHANGE:.0%} at the most"
        yield Violation(Check.LARGE_CHANGE, key, reason)


def _known_drain_violations(drained: set[str], known: frozenset[str]) -> Iterator[Violation]:
    if not known:
        return
    drained_known = len(drained & known)
    if drained >= known:
        reason = f"drains every upstream that members know ({len(known)})"
        yield Violation(Check.DRAINS_ALL, "upstreams", reason)
    elif drained_known > MAX_DRAINED_SHARE * len(known):
        reason = f"drains {drained_known} of {len(known)} upstreams that members know"
        yield Violation(Check.DRAINS_MANY, "upstreams", reason)


def violations_on_balancer(document: Document, view: BalancerView) -> list[Violation]:
    """Return the violations that one balancer finds in a document."""
    return [
        *_service_class_violations(document, view),
        *_tenant_violations(document, view),
        *_extension_violations(document, view),
        *_capacity_violations(document.drained_upstreams(), view),
    ]


def _service_class_violations(document: Document, view: BalancerView) -> Iterator[Violation]:
    for name, override in document.service_classes.items():
        key = f"grades.{name}"
        current = view.service_classes.get(name)
        if current is None:
            known = ", ".join(sorted(view.service_classes))
            reason = f"the settings have no such grade; they have {known}"
            yield Violation(Check.UNKNOWN_NAME, key, reason)
            continue
        yield from _latency_violations(key, override, current, view.usual_latency_ms.get(name))
        yield from _effect_violations(key, override, current)


def _latency_violations(
    key: str,
    override: ServiceClassOverride,
    current: ServiceClassState,
    usual_latency_ms: float | None,
) -> Iterator[Violation]:
    time_limit = override.time_limit_ms
    objective = override.latency_objective_ms
    effective_limit = current.time_limit_ms if time_limit is None else time_limit
    effective_objective = current.latency_objective_ms if objective is None else objective
    if effective_objective > effective_limit:
        reason = f"{effective_objective:g} ms lies beyond the time limit of {effective_limit:g} ms"
        yield Violation(Check.LATENCY_OBJECTIVE, f"{key}.goal_ms", reason)
    if time_limit is not None and usual_latency_ms is not None and time_limit < usual_latency_ms:
        reason = f"answers take {usual_latency_ms:.0f} ms here"
        yield Violation(Check.TIME_LIMIT, f"{key}.time_limit_ms", reason)


def _effect_violations(
    key: str, override: ServiceClassOverride, current: ServiceClassState
) -> Iterator[Violation]:
    if override.effect is None or override.effect == current.effect:
        return
    if current.effect == Effect.UNSAFE:
        yield Violation(Check.EFFECT, f"{key}.effect", "an unsafe grade would be repeated")
    elif Effect.SAFE in (override.effect, current.effect):
        # Safe requests are sent by GET, all others by POST.
        reason = "clients would have to send it by another method"
        yield Violation(Check.METHOD, f"{key}.effect", reason)


def _tenant_violations(document: Document, view: BalancerView) -> Iterator[Violation]:
    for name in document.tenants:
        if name not in view.tenants:
            reason = "the settings have no such customer"
            yield Violation(Check.UNKNOWN_NAME, f"customers.{name}", reason)


def _extension_violations(document: Document, view: BalancerView) -> Iterator[Violation]:
    if document.extensions.rate_limits is not None and "customers" not in view.extensions:
        reason = "that part is not on here, and none is turned on while a balancer runs"
        yield Violation(Check.EXTENSION_OFF, "parts.customers", reason)


def _capacity_violations(drained: set[str], view: BalancerView) -> Iterator[Violation]:
    """Compare the capacity that draining leaves with the mean number of attempts in flight."""
    remaining = {
        name: capacity for name, capacity in view.upstream_capacity.items() if name not in drained
    }
    if len(remaining) == len(view.upstream_capacity):
        return
    if not remaining:
        reason = f"drains all {len(view.upstream_capacity)} upstreams that are ready here"
        yield Violation(Check.DRAINS_ALL, "upstreams", reason)
        return
    capacity = sum(remaining.values())
    if capacity < view.in_flight:
        reason = (
            f"the {len(remaining)} left have room for {capacity:.1f} dispatches, "
            f"{view.in_flight:.1f} are out"
        )
        yield Violation(Check.CAPACITY, "upstreams", reason)


def not_overridden(violations: Iterable[Violation], overridden: Iterable[str]) -> list[Violation]:
    """Return the violations except those of checks that the author overrode by name."""
    names = set(overridden)
    return [
        violation
        for violation in violations
        if not (violation.overridable and violation.check in names)
    ]


def describe_violations(violations: Iterable[Violation]) -> str:
    """Return the violations in one line, each with the name of its check."""
    return "; ".join(
        f"{violation.key}: {violation.reason} ({violation.check})" for violation in violations
    )
