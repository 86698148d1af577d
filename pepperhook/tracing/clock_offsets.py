"""Estimates how far the clocks of balancers differ, from their traces alone, without I/O.

A call that a balancer (the callee) accepted was made after the attempt at the other balancer (the
caller) was sent, and answered before that attempt ended. By the caller's clock
``sent <= accepted - offset`` and ``answered - offset <= ended``, so each such pair bounds from both
sides how far the callee's clock is ahead:

    answered - ended <= offset <= accepted - sent

The bounds of many pairs are intersected (Marzullo's algorithm, as in NTP: RFC 5905, section
11.2.1); the estimate is the middle of the intersection, its error half the width. Offsets along a
path of balancers add up, and so do their errors, so each offset is computed along the path from the
reference that has the smallest error (Dijkstra's algorithm). Bounds that contradict each other mean
that a clock drifted or stepped.
"""

from collections.abc import Iterable, Mapping, Sequence
from heapq import heappop, heappush
from typing import NamedTuple, TypeAlias

from msgspec import Struct


class OffsetBounds(Struct):
    """Bounds of how far the callee's clock is ahead of the caller's, in nanoseconds."""

    low: int | None = None
    high: int | None = None
    pairs: int = 0  # attempts with their calls that the bounds are computed from

    def add_pair(self, sent: int, ended: int, accepted: int, answered: int) -> None:
        """Narrow the bounds by an attempt (caller's clock) and its call (callee's clock)."""
        low, high = answered - ended, accepted - sent
        self.low = low if self.low is None else max(self.low, low)
        self.high = high if self.high is None else min(self.high, high)
        self.pairs += 1


class Offset(Struct):
    """How far a balancer's clock is ahead of the reference, in nanoseconds."""

    name: str
    ahead: int = 0
    error: int | None = None  # largest error; None if no call connects it with the reference
    pairs: int = 0  # attempts with calls between this clock and the previous one on the path
    contradicts: bool = False  # whether any bounds on the path contradict each other


ClockPair: TypeAlias = tuple[str, str]  # names of the caller and of the callee


class _Edge(NamedTuple):
    """An edge to the clock ``name``, which is ``ahead`` ns ahead of the clock at the other end."""

    name: str
    ahead: int
    error: int
    pairs: int
    contradicts: bool


class _Path(NamedTuple):
    """A path from a reference to the clock ``name``; sorts by error, then by ``number``."""

    error: int
    number: int  # in the order of discovery
    name: str
    ahead: int  # of the reference, in nanoseconds
    pairs: int  # of the last edge
    contradicts: bool


def estimate_offsets(
    names: Sequence[str], bounds: Mapping[ClockPair, OffsetBounds]
) -> dict[str, Offset]:
    """Return how far each clock is ahead of the clock of the first balancer in ``names``.

    Balancers that no calls connect with the first one, directly or through others, are measured
    against the first balancer that they are connected with, and their error is None.
    """
    edges = _edges(names, bounds)
    offsets: dict[str, Offset] = {}
    for reference in names:
        if reference in offsets:
            continue
        for path in _shortest_paths(reference, edges, offsets):
            error = path.error if reference == names[0] else None
            offsets[path.name] = Offset(path.name, path.ahead, error, path.pairs, path.contradicts)
    return offsets


def _edges(
    names: Iterable[str], bounds: Mapping[ClockPair, OffsetBounds]
) -> dict[str, list[_Edge]]:
    edges: dict[str, list[_Edge]] = {name: [] for name in names}
    for (caller, callee), bound in bounds.items():
        if bound.low is None or bound.high is None or not {caller, callee} <= edges.keys():
            continue
        ahead = (bound.low + bound.high) // 2
        # Half the width, rounded up; contradicting bounds have a negative width.
        error = abs(bound.high - bound.low + 1) // 2
        contradicts = bound.low > bound.high
        edges[caller].append(_Edge(callee, ahead, error, bound.pairs, contradicts))
        edges[callee].append(_Edge(caller, -ahead, error, bound.pairs, contradicts))
    return edges


def _shortest_paths(
    reference: str, edges: Mapping[str, list[_Edge]], known: Mapping[str, Offset]
) -> Iterable[_Path]:
    """Yield the best path to each clock connected with ``reference``, by increasing error.

    The code that iterates must add each yielded clock to ``known`` before it takes the next path;
    clocks in ``known`` are skipped.
    """
    queue = [_Path(0, 0, reference, 0, 0, False)]
    count = 0
    while queue:
        path = heappop(queue)
        if path.name in known:
            continue
        yield path
        for edge in edges[path.name]:
            if edge.name not in known:
                count += 1
                heappush(
                    queue,
                    _Path(
                        path.error + edge.error,
                        count,
                        edge.name,
                        path.ahead + edge.ahead,
                        edge.pairs,
                        path.contradicts or edge.contradicts,
                    ),
                )
