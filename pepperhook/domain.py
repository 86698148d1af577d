"""What the decisions are about: requests, attempts and upstreams, with their states."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from pepperhook.statistics import DecayingMoments
from pepperhook.units import SECOND


class UpstreamState(StrEnum):
    """What the endpoint list says of an upstream."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Outcome(StrEnum):
    """How an attempt ended."""

    SERVED = "served"
    ERROR = "error"
    OVERLOADED = "overloaded"  # rejected by the upstream, provably not executed
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"  # ended before its first byte was written
    MALFORMED_RESPONSE = "malformed response"  # executed, but the response cannot be used


NEVER_EXECUTED = frozenset((Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


class Effect(StrEnum):
    """What executing a request twice would do."""

    SAFE = "safe"  # nothing: it may be repeated at will
    KEYED = "keyed"  # nothing within its key's window and group: idempotent by key
    UNSAFE = "unsafe"  # harm


class RepeatGroup(StrEnum):
    """Which upstreams recognise the key of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True)
class ServiceClass:
    """One class of requests, as the settings declare it; times in nanoseconds."""

    number: int
    time_limit_ns: int
    objective_ns: int  # latency objective: a later response earns only late_priority_weight
    effect: Effect = Effect.UNSAFE
    repeat_group: RepeatGroup = RepeatGroup.ALL
    key_window_ns: int = 0
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    streaming: bool = False


LoadReport = dict[str, float]
IN_FLIGHT = "in flight"  # figure of a load report: requests that the upstream holds


class PollFailure(StrEnum):
    """How a poll of the endpoint list, or a watch on it, ended without an answer."""

    UNREACHABLE = "unreachable"  # no connection, or one that broke
    REFUSED = "refused"  # an answer that is no list
    SILENT = "silent"  # no answer in its time


class Upstream:
    """One instance that requests can be sent to, as this balancer knows it.

    The statistics are unset until the endpoint list names the upstream for the first time.
    """

    latency: DecayingMoments  # ln(response time / expected time)
    failures: DecayingMoments  # 0 or 1 for each attempt
    completed: DecayingMoments  # target response times of what it served, in nanoseconds
    abandoned: DecayingMoments  # attempts given up here that may still run there

    def __init__(
        self, address: bytes, zone: int = 0, cell: int = 0, units: float = 1.0, kind: int = 0
    ) -> None:
        """Describe an upstream that no list has named yet."""
        self.address = address
        self.zone = zone
        self.cell = cell
        self.units = units
        self.kind = kind
        self.state = UpstreamState.GONE
        self.started_at = 0
        self.in_flight: dict[Attempt, bool] = {}  # attempts, oldest first
        self.is_known = False  # whether the statistics are set
        self.is_outlier = False  # failing while its peers do not
        self.latency_score = 1.0
        self.proximity = 1.0  # factor of its chance to be drawn: near zones and operators' weight
        self.operator_weight = 1.0
        self.unreachable_since: int | None = None
        self.health_check_running = False
        self.health_check_began_at = 0
        self.shown_ready_at = (
            0  # when the latest health check began that it passed: none is while it drains
        )
        self.health_check_due_at = 0
        self.slow_start_since: int | None = None
        # Attempts that it may be sent during slow start. The credit grows by a, what this balancer
        # may send in a time, from a random start in 0 to 1, so floor(start + a) are sent: a on the
        # mean, off by less than one. Of M balancers with N in all that is N on the mean, with a
        # variance of at most M / 4 and at most N: a deviation of 0.5, 1.0, 1.7, 2.2, 2.7 attempts
        # at the most for M of 1, 4, 12, 20, 30, where 2 * sqrt(N) + 2 are put down to chance.
        # tests/policy/fleet.py plays it (SlowStartFleet).
        self.warm_up_credit = 0.0
        self.credit_updated_at = 0
        self.weight = 1.0  # chance to be considered when drawn
        self.load_report: LoadReport | None = None
        self.load_report_at = 0

    def reset_statistics(
        self, now: int, latency_span: int, failure_span: int, completion_span: int
    ) -> None:
        """Forget all that was measured: a new instance has nothing in common with the last one."""
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
        """Whether the endpoint list has it as ready."""
        return self.state is UpstreamState.READY

    def draw_weight(self) -> float:
        """Return the weight with which it is drawn."""
        return self.weight * self.proximity

    def has_restarted(self, started_at: int) -> bool:
        """Take note of when it started; return whether that is later than was known."""
        if started_at <= self.started_at:
            return False
        self.started_at = started_at
        self.unreachable_since = None
        return True

    def begin_slow_start(self, now: int, since: int, credit: float) -> None:
        """Note that it is cold as of ``since``, with a first credit of attempts."""
        self.slow_start_since = since
        self.credit_updated_at = now
        self.warm_up_credit = credit

    def warm_fraction(self, now: int, start: float, span_ns: int) -> float:
        """Return the share of its capacity that it surely has: from ``start`` evenly to 1."""
        if self.slow_start_since is None or now - self.slow_start_since >= span_ns:
            self.slow_start_since = None
            return 1.0
        return start + (1 - start) * max(0, now - self.slow_start_since) / span_ns

    def accrue_credit(self, now: int, attempts_per_s: float, fraction: float) -> float:
        """Return the credit, grown by a fraction of a rate since it was last asked for."""
        earned = (now - self.credit_updated_at) / SECOND * attempts_per_s * fraction
        self.warm_up_credit = min(1.0, self.warm_up_credit + earned)
        self.credit_updated_at = now
        return self.warm_up_credit

    def record_load_report(self, now: int, report: Mapping[str, float] | None) -> None:
        """Keep a copy of a report: later attempts are counted into it, unseen by captures."""
        if report:
            self.load_report = dict(report)
            self.load_report_at = now

    def count_into_load_report(self) -> None:
        """Count an attempt that is sent after the last report into it."""
        if self.load_report:
            self.load_report[IN_FLIGHT] += 1

    def mark_unreachable(self, now: int, check_at: int) -> None:
        """Note that it could not be reached; it is to be checked at ``check_at``."""
        self.unreachable_since = now
        self.health_check_due_at = check_at
        self.weight = 0.0

    def estimated_in_flight(self, now: int) -> float:
        """Return this balancer's attempts there, with abandoned ones that may still run."""
        return len(self.in_flight) + self.abandoned.decay(now).weight

    def completion_rate(self, now: int) -> float:
        """Return the concurrency that it is seen to serve (Little's law)."""
        completed = self.completed.decay(now)
        return completed.total / completed.span_ns


class EndpointUpdate(NamedTuple):
    """One row of an endpoint list; ``started_at``: when that instance began, in nanoseconds."""

    upstream: Upstream
    state: UpstreamState
    started_at: int


class Request:
    """What a client asked for; it ends with exactly one final response."""

    __slots__ = (
        "accepted_at",
        "attempts",
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
    ) -> None:
        """Describe a request; ``deadline`` is the instant by which its final response is due."""
        self.id = id
        self.service_class = service_class
        self.tenant = tenant
        self.key = key
        self.deadline = deadline
        self.cost_ns = cost_ns
        self.is_retry = is_retry
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
        """Enter a new attempt in the books of the request and of the upstream."""
        attempt = Attempt(self, upstream, now)
        self.attempts.append(attempt)
        self.open_attempts += 1
        upstream.in_flight[attempt] = True
        return attempt

    def possibly_executed(self, excluding: Attempt | None = None) -> list[Attempt]:
        """Return the attempts that an upstream may have executed, oldest first."""
        return [a for a in self.attempts if a.may_have_executed and a is not excluding]


class Attempt:
    """One sending of a request to an upstream."""

    __slots__ = ("duration_ns", "number", "outcome", "request", "sent_at", "upstream")

    def __init__(self, request: Request, upstream: Upstream, now: int) -> None:
        """Describe the next attempt of ``request``."""
        self.request = request
        self.upstream = upstream
        self.sent_at = now
        self.number = len(request.attempts)
        self.outcome: Outcome | None = None
        self.duration_ns = 0

    def close(self) -> None:
        """Take the attempt off the books of its request and of its upstream."""
        self.request.open_attempts -= 1
        self.upstream.in_flight.pop(self)

    @property
    def may_have_executed(self) -> bool:
        """Whether the upstream may have executed the request: also while the outcome is open."""
        return self.outcome not in NEVER_EXECUTED
