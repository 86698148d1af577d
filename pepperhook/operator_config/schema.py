"""The schema of the operator's file: a struct for each table, with every default.

An extension is off if its table is absent. The keys are part of the user interface and do not
change; where an attribute has a clearer name, ``field(name=...)`` sets its key.

Import this module only where an operator's file is in use: a balancer without extensions then does
not load msgspec, which takes memory.
"""

import re
from typing import Annotated, Literal

from msgspec import Meta, Struct, field

from pepperhook.errors import PepperhookError

# The bounds keep values usable: a time added to the current date fits into 64 bits of nanoseconds,
# as journals store it, and counts and sizes stay within what one machine can store. All exclude
# infinity and NaN.
Fraction = Annotated[float, Meta(ge=0, le=1)]
RatePerSecond = Annotated[float, Meta(ge=1e-9, le=1e9)]
Burst = Annotated[float, Meta(ge=1, le=1e9)]
Count = Annotated[int, Meta(ge=1, le=10**9)]
Seconds = Annotated[float, Meta(ge=0, le=1e9)]
SegmentSeconds = Annotated[float, Meta(ge=1, le=1e7)]
Minutes = Annotated[float, Meta(ge=1e-6, le=1e7)]
Megabytes = Annotated[float, Meta(ge=1e-6, le=1e9)]


class ParentPatternError(PepperhookError, ValueError):
    """The regular expression of ``trace.parent`` can't be used; the message names the key."""


def check_parent_pattern(pattern: str) -> None:
    """Check that a regular expression is valid and has one group. Raises ParentPatternError."""
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
    # Requests admitted at once; None: as many as in one second, but at least one.
    burst: Burst | None = None


class RateLimitTable(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The rate limits of tenants, in requests per second."""

    default: TenantLimit | None = None  # for each tenant not in ``each``; None: no limit
    unknown: TenantLimit | None = None  # shared by tenants not in the settings
    each: dict[str, TenantLimit] = {}  # by tenant name
    # "fleet": the limits are for all balancers together, and each enforces an equal part of them.
    # "balancer": each balancer enforces the full limits.
    of: Literal["fleet", "balancer"] = "fleet"
    # Maximum random addition to Retry-After, as a fraction of it, against synchronised retries.
    spread: Fraction = 0.5


class SigningKey(Struct, frozen=True, forbid_unknown_fields=True):
    """A secret key that the installation's processes share, for MACs."""

    id: Annotated[str, Meta(min_length=1, max_length=16, pattern="^[A-Za-z0-9_-]+$")]
    secret: Annotated[str, Meta(min_length=16)]


class RequestContextTable(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Request contexts: deadline, attempts and priority, propagated from tier to tier."""

    service: Annotated[str, Meta(min_length=1, max_length=64)]  # same for all balancers of a tier
    entry: bool = False  # whether requests come from outside, so that their contexts are ignored
    trust: list[str] = []  # networks of callers and upstreams whose contexts need no MAC
    keys: list[SigningKey] = []  # the first signs, any of them verifies
    # For hashing the names of services and balancers in contexts; same in the whole installation.
    hop_secret: str | None = None
    worth: bool = True  # whether the propagated priority decides which requests are rejected first


class Http2Table(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """HTTP/2 in addition to HTTP/1.1."""

    clients: bool = True  # whether to accept it from clients, detected by its preface
    # Protocol for upstreams for which the endpoint list names none.
    upstreams: Literal["http/1.1", "h2"] = "http/1.1"
    # Maximum number of concurrent streams on a connection from a client or to an upstream.
    streams: Annotated[int, Meta(ge=1, le=1000)] = 100


class IdempotencyTable(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Idempotency keys: a repeated request gets the response to the first one."""

    max_entries: Count = field(default=100_000, name="entries")
    max_mb: Megabytes = field(default=64.0, name="mb")  # memory of the entries and stored responses
    # Repeated requests that wait for the response to the first one with their key.
    max_waiters_per_key: Count = field(default=1000, name="waiters")
    # A response with a larger body is not stored.
    max_body_kb: Annotated[int, Meta(ge=0, le=64)] = field(default=64, name="body_kb")
    # How long a key of an unsafe service class is remembered; 0: keys are ignored.
    unsafe_window_s: Seconds = field(default=600.0, name="binding_s")
    # The same for safe service classes; keyed ones use the window in the settings.
    safe_window_s: Seconds = field(default=10.0, name="retriable_s")
    # Overrides these windows for service classes by name.
    window_by_class_s: dict[str, Seconds] = field(default_factory=dict, name="window_s")
    # Names of the service classes whose requests must have a key.
    classes_with_required_key: list[str] = field(default_factory=list, name="require")
    # Whether to cancel an unsafe attempt that no client waits for; if not, its response may still
    # answer a repeated request.
    cancels_unsafe: bool = field(default=False, name="call_off_binding")
    # Folder for state that must survive a restart; each process needs its own.
    journal: str | None = None
    # File that lists the edge balancers, among which each key has one owner that handles it.
    peers: str | None = None


class CaptureTable(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Captures of all calls to the policy and their results, for exact replay.

    They are written to a ring of segments on disk, of which the oldest are deleted.
    """

    folder: str  # for the ring's segments and for preserved segments
    minutes: Minutes = 10.0  # time span of the ring
    segment_s: SegmentSeconds = 60.0  # length of a segment; each begins with a state to replay from
    mb: Megabytes = 256.0  # maximum size of the ring on disk


class TraceTable(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Traces of request lifecycles, with the reasons for decisions.

    All rejected, failed or late requests are written, and a sample of the others, to a ring of
    files on disk, of which the oldest are deleted.
    """

    folder: str  # for the ring's files and for preserved files
    # Fraction of the requests served in time that is written, selected by id.
    sampled_fraction: Fraction = field(default=0.01, name="share")
    minutes: Minutes = 60.0  # time span of the ring
    segment_s: SegmentSeconds = 300.0  # time span of one file
    mb: Megabytes = 256.0  # maximum size of the ring on disk
    # Regular expression for request ids, whose group captures the id of the parent request.
    parent_pattern: str | None = field(default=None, name="parent")

    def __post_init__(self) -> None:
        """Check the constraints that types cannot express. Raises ParentPatternError."""
        if self.parent_pattern is not None:
            check_parent_pattern(self.parent_pattern)


class ControlPlaneTable(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Control plane: configuration versions, streamed from a control service."""

    address: Annotated[str, Meta(pattern="^[^:/ ]+:[0-9]+$")]  # HOST:PORT of the control service
    keys: Annotated[list[SigningKey], Meta(min_length=1)]  # the first signs, any of them verifies
    # File for the last version known to be good; if not set, a restarted balancer waits for the
    # control service.
    last_good_file: str | None = field(default=None, name="state")
    # Whether fleet size and index are derived from the tier's balancers with a valid lease.
    sets_fleet_position: bool = field(default=False, name="place")


class MembershipTable(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Membership by gossip among balancers over UDP."""

    listen: Annotated[str, Meta(pattern="^[^ ]+:[0-9]+$")]  # HOST:PORT, reachable by the others
    seeds: Annotated[list[str], Meta(min_length=1)]  # HOST:PORT of some members to join through
    keys: Annotated[list[SigningKey], Meta(min_length=1)]  # the first signs, any of them verifies
    # Whether fleet size and index are derived from the known members.
    sets_fleet_position: bool = field(default=False, name="place")
    probe_period_ms: Annotated[float, Meta(ge=50, le=60_000)] = field(
        default=1000.0, name="period_ms"
    )
    # Minimum suspicion timeout: this times max(1, log10(number of members)) probe periods.
    suspicion_multiplier: Annotated[float, Meta(ge=1, le=20)] = field(default=3.0, name="suspicion")


class ShadowTable(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Candidate settings, with which a sample of the policy's calls is repeated and compared."""

    settings_file: str = field(name="settings")  # JSON, settings alone or a configuration
    # Fraction of the calls that is repeated; each costs some milliseconds of CPU time.
    sampled_fraction: Fraction = field(default=0.02, name="share")


class OperatorFile(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The whole operator's file; each table turns on its extension."""

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
