"""The retries that all tiers may make in total for a request, and the budget they come from."""

from dataclasses import dataclass

from pepperhook.statistics import DecayingMoments
from pepperhook.units import SECOND

MAX_RESERVED = 2  # retries that one request may reserve
MIN_CAPACITY = 10.0  # retries
CAPACITY_S = 3.0  # seconds after which arriving requests have filled an empty bucket
RATE_DECAY_NS = 5 * SECOND  # time constant of the decay of the arrival rate


@dataclass(slots=True)
class RetryAllowance:
    """Retries that may still be made; shared by all requests with the same context."""

    retries: int


class EntryBudget:
    """A token bucket for the retries of all requests that arrive here from outside.

    Each request adds the retry ratio of the retry budget, a fraction of a token, and reserves whole
    tokens, each of which allows one retry; the unused ones are returned. So all tiers together make
    at most the retry ratio times the arrived requests as retries, plus the initial tokens.
    """

    def __init__(self) -> None:
        """Start with a full bucket."""
        self.tokens = MIN_CAPACITY
        # The moments have no observations yet, so the start time of their decay does not matter.
        self._arrivals = DecayingMoments(RATE_DECAY_NS, 0)

    def reserve(self, now: int, retry_ratio: float) -> int:
        """Count a request, and return how many retries are reserved for it.

        ``retry_ratio``: retries per request that the retry budget currently grants.
        """
        self._arrivals.add(now)
        capacity = max(MIN_CAPACITY, CAPACITY_S * retry_ratio * self._arrivals.rate(now))
        self.tokens = min(capacity, self.tokens + retry_ratio)
        # At most one while the bucket is low, so that many hanging requests do not take all.
        max_retries = MAX_RESERVED if self.tokens > capacity / 2 else 1
        retries = min(max_retries, int(self.tokens))
        self.tokens -= retries
        return retries

    def return_unused(self, retries: int) -> None:
        """Return the retries that a request reserved and did not use."""
        self.tokens += retries
