"""The state of a request at one balancer while it is in flight."""

from dataclasses import dataclass
from enum import StrEnum

from pepperhook.domain import ServiceClass
from pepperhook.request_context.messages import TierOutcome
from pepperhook.request_context.retry_allowance import RetryAllowance


class RetryStop(StrEnum):
    """Why this tier makes no further retry of a request; the enum values appear in the log."""

    LOOP = "loop"  # the calls form a loop
    EXPIRED = "late"  # the tier below had too little time left
    REJECTED = "shed"  # the tier below lacked capacity
    RETRIED_BELOW = "tried"  # the tier below has already retried


@dataclass(slots=True)
class Arrival:
    """A request as it arrives, before its context is applied."""

    request_id: str
    service_class: ServiceClass
    deadline: int
    retry_ratio: float  # retries per request that the retry budget currently grants


@dataclass(slots=True)
class RequestState:
    """One call in the tree of calls of a request, at this balancer; times in nanoseconds."""

    request_id: str
    path: str
    depth: int
    hops: tuple[str, ...]
    allowance: RetryAllowance
    is_reserved_here: bool  # the allowance was taken from this balancer's entry budget
    priority_weight: float | None
    arrived_at: int
    service_class: int
    has_context: bool
    remaining_ns: int | None = None  # at arrival, from the context
    lent_retries: int = 0  # sent along with the open attempt
    attempts: int = 0
    attempt_started_at: int = 0
    time_below_ns: int = 0  # the longest time that the tier below reported of an attempt
    refused_retries: int = 0
    retry_stop: RetryStop | None = None
    may_have_executed: bool = False
    outcome: TierOutcome = TierOutcome.FAILED
    is_in_flight: bool = False  # recorded by the loop detection


@dataclass(slots=True)
class Admission:
    """The decision on a request that arrived."""

    state: RequestState
    rejection: TierOutcome | None  # None: admitted; EXPIRED: rejected; LOOP: failed
    deadline: int
    priority_weight: float | None  # None: keep that of the service class
