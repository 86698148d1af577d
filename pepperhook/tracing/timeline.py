"""Counts requests by time and outcome in a bounded number of bins, without I/O."""

from typing import NamedTuple

from pepperhook.tracing.records import RequestOutcome, RequestTrace

MAX_BINS = 240
INITIAL_WIDTH_NS = 10**9
NS_PER_S = 1e9


class TimelineBin(NamedTuple):
    """The requests accepted in one bin, by outcome."""

    begin_s: float  # relative to the first request that was added
    counts: dict[str, int]


class Timeline:
    """Counts requests in bins of equal width, and doubles the width beyond MAX_BINS bins."""

    def __init__(self, width_ns: int = INITIAL_WIDTH_NS) -> None:
        """Create a timeline whose bins are ``width_ns`` wide at first."""
        self.width_ns = width_ns
        self._begin_ns: int | None = None
        self._bins: dict[int, dict[str, int]] = {}

    def add(self, trace: RequestTrace) -> None:
        """Count a request."""
        if self._begin_ns is None:
            self._begin_ns = trace.taken
        number = (trace.taken - self._begin_ns) // self.width_ns
        self._bins.setdefault(number, _zero_counts())[trace.outcome] += 1
        while max(self._bins) - min(self._bins) >= MAX_BINS:
            self._join_bins()

    def bins(self) -> list[TimelineBin]:
        """Return all bins from the first to the last one with a request, also the empty ones."""
        if not self._bins:
            return []
        return [
            TimelineBin(number * self.width_ns / NS_PER_S, self._bins.get(number) or _zero_counts())
            for number in range(min(self._bins), max(self._bins) + 1)
        ]

    def _join_bins(self) -> None:
        joined: dict[int, dict[str, int]] = {}
        for number, counts in self._bins.items():
            sums = joined.setdefault(number // 2, _zero_counts())
            for outcome, count in counts.items():
                sums[outcome] += count
        self.width_ns *= 2
        self._bins = joined


def _zero_counts() -> dict[str, int]:
    return {outcome.value: 0 for outcome in RequestOutcome}
