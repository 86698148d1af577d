"""Finds the most frequent names in bounded memory, without I/O.

Uses the Space-Saving algorithm (Metwally, Agrawal, El Abbadi 2005): a count is never too low, and
there is a known bound on how much too high it is.
"""

from heapq import heapify, heappop, heappush

from msgspec import Struct

_MAX_HEAP_ENTRIES_PER_NAME = 4  # beyond this average, the heap is rebuilt


class HeavyHitter(Struct):
    """One of the most frequent names, with its counts."""

    name: str
    count: int
    marked: int  # occurrences passed to ``add`` as marked since the name was last inserted
    overcount: int  # upper bound of the error: ``count`` may be too high by this much


class SpaceSaving:
    """Counts names, and keeps the most frequent ones."""

    def __init__(self, capacity: int) -> None:
        """Keep at most ``capacity`` names."""
        self._capacity = capacity
        self._hitters: dict[str, HeavyHitter] = {}
        # Counts at the time of the push: an entry may be outdated, or of a name that was removed.
        self._heap: list[tuple[int, str]] = []

    def add(self, name: str, is_marked: bool) -> None:
        """Count an occurrence of a name; marked occurrences are also counted on their own."""
        hitter = self._hitters.get(name)
        if hitter is not None:
            hitter.count += 1
            hitter.marked += is_marked
            return
        # A new name takes over the count of the name that it replaces, because it may have occurred
        # that often while it was not kept.
        overcount = 0 if len(self._hitters) < self._capacity else self._remove_rarest()
        self._hitters[name] = HeavyHitter(name, overcount + 1, int(is_marked), overcount)
        heappush(self._heap, (overcount + 1, name))
        if len(self._heap) > _MAX_HEAP_ENTRIES_PER_NAME * self._capacity:
            self._heap = [(hitter.count, hitter.name) for hitter in self._hitters.values()]
            heapify(self._heap)

    def most_frequent(self, limit: int) -> list[HeavyHitter]:
        """Return the names with the highest counts."""
        hitters = sorted(self._hitters.values(), key=lambda hitter: (-hitter.count, hitter.name))
        return hitters[:limit]

    def _remove_rarest(self) -> int:
        """Remove the name with the lowest count, and return that count."""
        while True:
            count, name = heappop(self._heap)
            hitter = self._hitters.get(name)
            if hitter is None:
                continue
            if hitter.count == count:
                del self._hitters[name]
                return count
            heappush(self._heap, (hitter.count, name))
