"""Selects the segments that may be deleted: those in which all records have expired.

Segments are deleted whole and never rewritten.
"""

from collections import deque
from collections.abc import Callable, Iterator


class SegmentRetention:
    """The closed segments, oldest first, and when they were closed."""

    def __init__(self, retention_ns: Callable[[], int]) -> None:
        """``retention_ns`` returns the longest time that a record is needed after its writing."""
        self.retention_ns = retention_ns
        self._closed: deque[tuple[int, int]] = deque()  # (segment number, closed at)

    def add(self, number: int, closed_ns: int) -> None:
        """Add a segment to which no more records are written."""
        self._closed.append((number, closed_ns))

    def take_expired(self, now_ns: int) -> Iterator[int]:
        """Remove and yield the numbers of the segments that may be deleted."""
        retention_ns = self.retention_ns()
        while self._closed and self._closed[0][1] + retention_ns < now_ns:
            number, _ = self._closed.popleft()
            yield number
