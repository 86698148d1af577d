"""What one balancer knows of a request while it is in flight."""

from dataclasses import dataclass
from enum import StrEnum

from pepperhook.domain import ServiceClass
from pepperhook.request_context.messages import TierOutcome
from pepperhook.request_context.retry_allowance import RetryAllowance


class RetryStop(StrEnum):
    """Why a retry here would only repeat what the tier below did; the values are those logged."""

    LOOP = "loop"
    EXPIRED = "late"
    REJECTED = "shed"
    RETRIED_BELOW = "tried"


@dataclass(slots=True)
class Arrival:
    """A request as it arrives, before its context is looked at."""

    request_id: str
    service_class: ServiceClass
    deadline: int
    retry_ratio: float  # retries per request that the retry budget grants at the moment


@dataclass(slots=True)
class RequestState:
    """A request's part in its tree of calls, at this balancer; times in nanoseconds."""

    request_id: str
    path: str
    depth: int
    hops: tuple[str, ...]
    allowance: RetryAllowance
    is_reserved_here: bool  # the allowance is of this balancer's own entry budget
    priority_weight: float | None
    arrived_at: int
    service_class: int
    has_context: bool
    remaining_ns: int | None = None  # on arrival, by the context
    lent_retries: int = 0  # that went along with the open attempt
    attempts: int = 0
    attempt_started_at: int = 0
    time_below_ns: int = 0  # of the attempt that took the tiers below longest
    refused_retries: int = 0
    retry_stop: RetryStop | None = None
    may_have_executed: bool = False
    outcome: TierOutcome = TierOutcome.FAILED
    is_in_flight: bool = False  # noted by the loop detection


@dataclass(slots=True)
class Admission:
    """What becomes of a request that arrived."""

    state: RequestState
    rejection: TierOutcome | None  # None: it goes on; EXPIRED: rejected; LOOP: failed
    deadline: int
    priority_weight: float | None  # None: that of the service class
