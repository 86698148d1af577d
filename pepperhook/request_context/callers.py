"""Statistics of which callers send contexts, to report callers that drop them."""

from pepperhook.statistics import DecayingMoments
from pepperhook.units import SECOND

DECAY_NS = 10 * SECOND  # time constant of the decay
MIN_WEIGHT = 8.0  # decayed number of calls that a reliable fraction needs
MIN_FRACTION = 0.5  # a caller with a context in fewer of its calls is reported
MAX_CALLERS = 256


class CallerStatistics:
    """The fraction of each caller's calls that came with a context."""

    def __init__(self) -> None:
        """Start without callers."""
        # By caller; an observation is 1 for a call with a context, and 0 for one without.
        self._fractions: dict[str, DecayingMoments] = {}

    def add_call(self, now: int, caller: str, has_context: bool) -> float | None:
        """Count a call; return the fraction of the caller's calls with a context if it is too low.

        Returns None if it is not below ``MIN_FRACTION``, or if there are too few recent calls.
        """
        moments = self._fractions.get(caller)
        if moments is None:
            moments = self._add(now, caller)
        moments.add(now, has_context)
        fraction = moments.mean(now)
        return fraction if moments.weight >= MIN_WEIGHT and fraction < MIN_FRACTION else None

    def _add(self, now: int, caller: str) -> DecayingMoments:
        if len(self._fractions) >= MAX_CALLERS:
            self._fractions.pop(next(iter(self._fractions)))
        moments = self._fractions[caller] = DecayingMoments(DECAY_NS, now)
        return moments
