"""The domain model of the policy: requests, attempts and upstreams, with their states."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from pepperhook.statistics import DecayingMoments
from pepperhook.units import SECOND


class UpstreamState(StrEnum):
    """State of an upstream in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(StrEnum):
    """How an attempt ended."""

    SERVED = "served"
    ERROR = "error"
    OVERLOADED = "overloaded"  # rejected by the upstream, certainly not executed
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"  # ended before its first byte was written
    MALFORMED_RESPONSE = "malformed response"  # executed, but the response cannot be used


NEVER_EXECUTED = frozenset((Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


class Effect(StrEnum):
    """Effect of executing a request twice."""

    SAFE = "safe"  # none: it may be executed any number of times
    KEYED = "keyed"  # none within the window and repeat group of its key: idempotent by key
    UNSAFE = "unsafe"  # harm


class RepeatGroup(StrEnum):
    """Upstreams that recognise the key of a keyed request: all, or one zone, or one cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True)
class ServiceClass:
    """Service class of requests, as declared in the settings; times in nanoseconds."""

    number: int
    time_limit_ns: int
    objective_ns: int  # latency objective: a later response is worth only late_priority_weight
    effect: Effect = Effect.UNSAFE
    repeat_group: RepeatGroup = RepeatGroup.ALL  # for KEYED: where a key is recognised
    key_window_ns: int = 0  # for KEYED: how long after the first attempt a key is recognised
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    streaming: bool = False


LoadReport = dict[str, float]
IN_FLIGHT = "in flight"  # figure of a load report: requests in flight at the upstream


class PollFailure(StrEnum):
    """How a poll of the endpoint list or a watch on it failed."""

    UNREACHABLE = "unreachable"  # no connection could be established
    INTERRUPTED = "interrupted"  # the connection was lost
    REFUSED = "refused"  # the response was not an endpoint list
    # As INTERRUPTED or REFUSED, but after longer than a poll is queued. So the service is running.
    HELD = "held"
    # As REFUSED, but by a service whose last answers were slow. So it is running, and has too many
    # polls.
    OVERLOADED = "overloaded"
    SILENT = "silent"  # no response within the timeout
    # The host reports no reason. Then the settings alone say for how long the list holds.
    UNSPECIFIED = "unspecified"


class Upstream:
    """An instance that requests can be sent to, with the state that this balancer keeps of it.

    The statistics are unset until the endpoint list names the upstream for the first time.
    """

    latency: DecayingMoments  # ln(response time / expected time)
    failures: DecayingMoments  # 0 or 1 for each attempt
    completed: DecayingMoments  # target durations of the attempts that it served, in nanoseconds
    abandoned: DecayingMoments  # attempts abandoned by this balancer that may still run there

    def __init__(
        self, address: bytes, zone: int = 0, cell: int = 0, units: float = 1.0, kind: int = 0
    ) -> None:
        """Create an upstream that no endpoint list has named yet."""
        self.address = address
        self.zone = zone
        self.cell = cell
        self.units = units  # from the endpoint list, as is kind; the policy uses neither
        self.kind = kind
        self.state = UpstreamState.GONE
        self.started_at = 0
        self.in_flight: dict[Attempt, bool] = {}  # attempts, oldest first
        self.is_known = False  # whether the statistics have been set
        self.is_outlier = False  # fails while its peers do not
        self.latency_score = 1.0  # relative response time, raised by failures; lower is better
        self.proximity = 1.0  # factor of its draw weight: by zone and operator's weight
        self.operator_weight = 1.0
        self.unreachable_since: int | None = None
        self.health_check_running = False
        self.health_check_began_at = 0
        # Start of the latest passed health check. A draining upstream may still pass some.
        self.shown_ready_at = 0
        self.health_check_due_at = 0
        self.slow_start_since: int | None = None
        # Attempts that may be sent during slow start: grows up to 1, and each attempt subtracts 1.
        # It begins at a random value from 0 to 1, or all balancers would send together.
        #
        # With an initial credit c, an accrual of a allows floor(c + a) attempts: a on average, with
        # an error below one. If the accruals of M balancers sum up to N, they send N attempts on
        # average, with a variance of at most min(M / 4, N): a standard deviation of at most 0.5,
        # 1.0, 1.7, 2.2 and 2.7 attempts for M of 1, 4, 12, 20 and 30. An excess of up to
        # 2 * sqrt(N) + 2 attempts is accepted as random variation. SlowStartFleet in
        # tests/policy/fleet.py simulates this.
        self.warm_up_credit = 0.0
        self.credit_updated_at = 0
        self.weight = 1.0  # by health: factor of its draw weight
        self.load_report: LoadReport | None = None
        self.load_report_at = 0

    def reset_statistics(
        self, now: int, latency_span: int, failure_span: int, completion_span: int
    ) -> None:
        """Discard all statistics, as a new instance has nothing in common with the last one.

        The spans are the time constants of the decay in nanoseconds.
        """
        self.latency = DecayingMoments(latency_span, now)
        self.failures = DecayingMoments(failure_span, now)
        self.completed = DecayingMoments(completion_span, now)
        self.abandoned = DecayingMoments(completion_span, now)
        self.is_known = True
        self.is_outlier = False
        self.latency_score = 1.0
        self.proximity = 1.0

    @property
    def is_ready(self) -> bool:
        """Whether it is ready according to the endpoint list."""
        return self.state is UpstreamState.READY

    def draw_weight(self) -> float:
        """Return its weight in the random draw of candidates."""
        return self.weight * self.proximity

    def record_start(self, started_at: int) -> bool:
        """Record a start time; return whether it is later than the last one.

        An upstream that has restarted is no longer unreachable.
        """
        if started_at <= self.started_at:
            return False
        self.started_at = started_at
        self.unreachable_since = None
        return True

    def begin_slow_start(self, now: int, since: int, credit: float) -> None:
        """Record that it has been cold since ``since``, and set its initial credit of attempts."""
        self.slow_start_since = since
        self.credit_updated_at = now
        self.warm_up_credit = credit

    def warm_fraction(self, now: int, initial_fraction: float, slow_start_ns: int) -> float:
        """Return the lower bound of its capacity, as a fraction of its full capacity.

        It grows linearly from ``initial_fraction`` to 1 over ``slow_start_ns`` from
        ``slow_start_since`` on; after that, slow start is ended.
        """
        if self.slow_start_since is None or now - self.slow_start_since >= slow_start_ns:
            self.slow_start_since = None
            return 1.0
        return (
            initial_fraction
            + (1 - initial_fraction) * max(0, now - self.slow_start_since) / slow_start_ns
        )

    def accrue_credit(self, now: int, attempts_per_s: float, fraction: float) -> float:
        """Return the credit, grown since the last call at ``fraction`` of the rate, at most 1."""
        accrued = (now - self.credit_updated_at) / SECOND * attempts_per_s * fraction
        self.warm_up_credit = min(1.0, self.warm_up_credit + accrued)
        self.credit_updated_at = now
        return self.warm_up_credit

    def record_load_report(self, now: int, report: Mapping[str, float] | None) -> None:
        """Store a copy of a load report.

        Later attempts are added to the copy; the original is part of the recorded call and must not
        change.
        """
        if report:
            self.load_report = dict(report)
            self.load_report_at = now

    def add_to_load_report(self) -> None:
        """Add an attempt that is sent after the last load report to its requests in flight."""
        if self.load_report:
            self.load_report[IN_FLIGHT] += 1

    def mark_unreachable(self, now: int, check_at: int) -> None:
        """Record that it cannot be reached; the next health check is due at ``check_at``."""
        self.unreachable_since = now
        self.health_check_due_at = check_at
        self.weight = 0.0

    def estimated_in_flight(self, now: int) -> float:
        """Return this balancer's attempts in flight, with abandoned ones that may still run."""
        return len(self.in_flight) + self.abandoned.decay(now).weight

    def served_concurrency(self, now: int) -> float:
        """Return the concurrency that it has served lately, by Little's law."""
        completed = self.completed.decay(now)
        return completed.total / completed.span_ns


class EndpointUpdate(NamedTuple):
    """One row of an endpoint list; ``started_at``: start of the instance in nanoseconds."""

    upstream: Upstream
    state: UpstreamState
    started_at: int


class Request:
    """A client's request, which ends with exactly one final response.

    ``is_retry``: marked as a retry by the client; ``cost_ns``: declared cost; ``value``: set by the
    priority stage; ``key``: not used by the policy; ``client_connection``: a number of the client's
    connection if it may carry several requests at once, else None. Times are in nanoseconds.
    """

    __slots__ = (
        "accepted_at",
        "attempts",
        "client_connection",
        "cost_ns",
        "deadline",
        "finished",
        "id",
        "is_retry",
        "key",
        "load_query_rounds",
        "objective_at",
        "open_attempts",
        "queued",
        "service_class",
        "streaming",
        "tenant",
        "value",
    )

    def __init__(
        self,
        id: object,
        service_class: ServiceClass,
        tenant: int | None,
        key: object,
        deadline: int,
        cost_ns: int | None = None,
        is_retry: bool = False,
        client_connection: int | None = None,
    ) -> None:
        """Create a request; ``deadline`` is the time by which its final response is due."""
        self.id = id
        self.service_class = service_class
        self.tenant = tenant
        self.key = key
        self.deadline = deadline
        self.cost_ns = cost_ns
        self.is_retry = is_retry
        self.client_connection = client_connection
        self.accepted_at = 0
        self.objective_at = 0
        self.value = 0.0
        self.attempts: list[Attempt] = []
        self.open_attempts = 0
        self.finished = False
        self.streaming = False
        self.queued = False
        self.load_query_rounds = 0

    def start_attempt(self, upstream: Upstream, now: int) -> Attempt:
        """Create an attempt, and register it with the request and the upstream."""
        attempt = Attempt(self, upstream, now)
        self.attempts.append(attempt)
        self.open_attempts += 1
        upstream.in_flight[attempt] = True
        return attempt

    def possibly_executed(self, excluding: Attempt | None = None) -> list[Attempt]:
        """Return the attempts that an upstream may have executed, oldest first."""
        return [a for a in self.attempts if a.may_have_executed and a is not excluding]


class Attempt:
    """One attempt to have a request served by an upstream."""

    __slots__ = ("duration_ns", "number", "outcome", "request", "sent_at", "upstream")

    def __init__(self, request: Request, upstream: Upstream, now: int) -> None:
        """Create the next attempt of ``request``, without registering it."""
        self.request = request
        self.upstream = upstream
        self.sent_at = now
        self.number = len(request.attempts)  # 0 for the first attempt
        self.outcome: Outcome | None = None
        self.duration_ns = 0

    def close(self) -> None:
        """Remove the attempt from the open attempts of its request and its upstream."""
        self.request.open_attempts -= 1
        self.upstream.in_flight.pop(self)

    @property
    def may_have_executed(self) -> bool:
        """Whether the upstream may have executed the request, also while there is no outcome."""
        return self.outcome not in NEVER_EXECUTED
