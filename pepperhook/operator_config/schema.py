"""The schema of the operator's file: a record for each table, with every default.

A table that is absent leaves its extension off. The keys are part of the users' interface and do
not change; where a key is not the field's term, the attribute has that and names its key.

Only what runs with an operator's file imports this module: msgspec takes memory that a balancer
without extensions saves.
"""

import re
from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from pepperhook.errors import PepperhookError

# Bounds are what a key can mean: times fit into 64 bits of nanoseconds beside a date, as journals
# store them, and amounts into what a machine has. Infinity and NaN are outside of all.
Share = Annotated[float, Meta(ge=0, le=1)]
RatePerSecond = Annotated[float, Meta(ge=1e-9, le=1e9)]
Burst = Annotated[float, Meta(ge=1, le=1e9)]
Count = Annotated[int, Meta(ge=1, le=10**9)]
Seconds = Annotated[float, Meta(ge=0, le=1e9)]
SegmentSeconds = Annotated[float, Meta(ge=1, le=1e7)]
Minutes = Annotated[float, Meta(ge=1e-6, le=1e7)]
Megabytes = Annotated[float, Meta(ge=1e-6, le=1e9)]


class ParentPatternError(PepperhookError, ValueError):
    """The regular expression of ``trace.parent`` can't be used; the text names the key."""


def check_parent_pattern(pattern: str) -> None:
    """Check a regular expression that must have one group. Raises ParentPatternError."""
    try:
        groups = re.compile(pattern).groups
    except re.error as error:
        raise ParentPatternError(f"trace.parent: {error}") from error
    if groups != 1:
        raise ParentPatternError(
            "trace.parent: one group is wanted, the id that an id was made for"
        )


class TenantLimit(Struct, frozen=True, forbid_unknown_fields=True):
    """The rate limit of one tenant."""

    per_second: RatePerSecond
    # Requests at once; None: a second's worth, at least one.
    burst: Burst | None = None


class RateLimitTable(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The rate limits of tenants, in requests a second."""

    default: TenantLimit | None = None  # of each tenant that ``each`` does not name; None: no limit
    unknown: TenantLimit | None = None  # of all together that the settings do not know
    each: dict[str, TenantLimit] = {}
    of: Literal["fleet", "balancer"] = "fleet"  # "fleet": split evenly over the fleet's balancers
    spread: Share = 0.5  # of the advised delay, added at random against synchronised retries


class SigningKey(Struct, frozen=True, forbid_unknown_fields=True):
    """A key of the installation, for MACs."""

    id: Annotated[str, Meta(min_length=1, max_length=16, pattern="^[A-Za-z0-9_-]+$")]
    secret: Annotated[str, Meta(min_length=16)]


class RequestContextTable(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Deadlines, attempts and priority that are carried down the tiers."""

    service: Annotated[str, Meta(min_length=1, max_length=64)]  # the same at the tier's balancers
    entry: bool = False  # requests come in here from outside: nothing that they carry is believed
    trust: list[str] = []  # networks of callers and upstreams whose values need no MAC
    keys: list[SigningKey] = []  # the first signs, all are believed
    hop_secret: str | None = None  # hashes names in hops; the same in the whole installation
    worth: bool = True  # whether the carried priority decides what is rejected first


class Http2Table(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """HTTP/2 beside HTTP/1.1."""

    clients: bool = True  # accepted on the listener, told from HTTP/1.1 by the first bytes
    # Where the endpoint list names no protocol of an upstream.
    upstreams: Literal["http/1.1", "h2"] = "http/1.1"
    streams: Annotated[int, Meta(ge=1, le=1000)] = 100  # at once on a connection, either side


class IdempotencyTable(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Idempotency keys: a repeated request is answered from the result of the first."""

    max_entries: Count = field(default=100_000, name="entries")
    max_mb: Megabytes = field(default=64.0, name="mb")  # of entries with their stored responses
    max_waiters_per_key: Count = field(default=1000, name="waiters")
    # Of a response; a larger one is not stored.
    max_body_kb: Annotated[int, Meta(ge=0, le=64)] = field(default=64, name="body_kb")
    # For how long a key of an unsafe class counts; 0: keys are ignored.
    unsafe_window_s: Seconds = field(default=600.0, name="binding_s")
    # The same of safe classes; keyed ones have that of the settings.
    safe_window_s: Seconds = field(default=10.0, name="retriable_s")
    window_by_class_s: dict[str, Seconds] = field(default_factory=dict, name="window_s")
    classes_with_required_key: list[str] = field(default_factory=list, name="require")
    # Cancel an unsafe attempt that no client waits for; else it may still answer a repeat.
    cancels_unsafe: bool = field(default=False, name="call_off_binding")
    journal: str | None = None  # folder for what must survive a restart; one process each
    peers: str | None = None  # file with the edge balancers among which a key has one owner


class CaptureTable(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Captures of all calls of the policy and their results, for exact replay."""

    folder: str  # of the ring's segments, and of those that were kept
    minutes: Minutes = 10.0  # that the ring holds
    segment_s: SegmentSeconds = 60.0  # each begins with a state to replay from
    mb: Megabytes = 256.0  # that the ring takes on disk


class TraceTable(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Lifecycles of requests with the reasons of decisions.

    Of requests that were rejected, failed or late all are written, of the rest a sample.
    """

    folder: str  # of the ring's files, and of those that were kept
    sampled_fraction: Share = field(default=0.01, name="share")  # of requests served in time, by id
    minutes: Minutes = 60.0  # that the ring holds
    segment_s: SegmentSeconds = 300.0  # a file each
    mb: Megabytes = 256.0  # that the ring takes on disk
    # Regular expression; its group is the id of the request that a call was made for.
    parent_pattern: str | None = field(default=None, name="parent")

    def __post_init__(self) -> None:
        """Check what the types cannot say. Raises ParentPatternError."""
        if self.parent_pattern is not None:
            check_parent_pattern(self.parent_pattern)


class ControlPlaneTable(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Versions of the configuration, streamed from a control service."""

    address: Annotated[str, Meta(pattern="^[^:/ ]+:[0-9]+$")]  # HOST:PORT of the service
    keys: Annotated[list[SigningKey], Meta(min_length=1)]  # the first signs, all are believed
    # File for the last good version; without it a restart waits for the service.
    last_good_file: str | None = field(default=None, name="state")
    # Whether fleet size and index follow the balancers of the tier that hold leases.
    sets_fleet_position: bool = field(default=False, name="place")


class MembershipTable(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Membership by gossip among balancers over UDP."""

    listen: Annotated[str, Meta(pattern="^[^ ]+:[0-9]+$")]  # HOST:PORT, as the others reach it
    seeds: Annotated[list[str], Meta(min_length=1)]  # some members, through which it finds all
    keys: Annotated[list[SigningKey], Meta(min_length=1)]  # the first signs, all are believed
    # Whether fleet size and index follow the members that are seen.
    sets_fleet_position: bool = field(default=False, name="place")
    probe_period_ms: Annotated[float, Meta(ge=50, le=60_000)] = field(
        default=1000.0, name="period_ms"
    )
    # Times log10 of the number of members, in periods: the shortest time until one is dead.
    suspicion_multiplier: Annotated[float, Meta(ge=1, le=20)] = field(default=3.0, name="suspicion")


class ShadowTable(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Other settings by which a sample of calls is decided too, to count differences."""

    settings_file: str = field(name="settings")  # JSON: settings, or a configuration with them
    # Of the calls; each that is decided twice costs some milliseconds of core.
    sampled_fraction: Share = field(default=0.02, name="share")


class OperatorFile(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The whole file."""

    version: Literal[1]
    rate_limit: RateLimitTable | None = field(default=None, name="customers")
    request_context: RequestContextTable | None = field(default=None, name="chain")
    idempotency: IdempotencyTable | None = field(default=None, name="repeats")
    capture: CaptureTable | None = field(default=None, name="record")
    trace: TraceTable | None = None
    control_plane: ControlPlaneTable | None = field(default=None, name="control")
    membership: MembershipTable | None = field(default=None, name="gossip")
    http2: Http2Table | None = field(default=None, name="h2")
    shadow: ShadowTable | None = None
