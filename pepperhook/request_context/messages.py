"""The messages that a tier exchanges with the next one about a request, and their limits."""

from dataclasses import dataclass
from enum import StrEnum

MAX_ID_LENGTH = 64
MAX_PATH_LENGTH = 64
MAX_HOP_LENGTH = 32
MAX_HOPS = 16  # a context carries only the latest hops; the depth counts all
MAX_DEPTH = 64
MAX_RETRIES = 15
MAX_ATTEMPTS = 1000
MAX_MS = 3_600_000
MAX_PRIORITY_WEIGHT = 10**9


class TierOutcome(StrEnum):
    """How a request ended at a tier, as reported to the tier above; values as on the wire."""

    SERVED = "served"
    FAILED = "failed"
    REJECTED = "shed"  # for lack of capacity, and not executed anywhere
    EXPIRED = "late"  # rejected before execution, as too little time was left
    LOOP = "loop"  # the calls form a loop


@dataclass(slots=True)
class RequestContext:
    """Sent to the next tier with an attempt; a field is None if the sender gave no value."""

    request_id: str  # of the request at the entry, the first balancer
    path: str  # identifies one call within the request
    depth: int  # tiers above the receiver
    remaining_ms: int | None = None
    retries: int | None = None  # retries that the receiver and all tiers below it may make in total
    priority_weight: float | None = None
    hops: tuple[
        str, ...
    ] = ()  # names of the balancers that the request has passed, the entry first


@dataclass(slots=True)
class ContextResult:
    """Returned to the tier above with a response."""

    request_id: str
    path: str
    outcome: TierOutcome
    unused_retries: int  # of the retries that the context allowed
    spent_ms: int  # from the arrival to the response
    attempts: int  # attempts made by this tier itself
