"""Arranges the records of a request and its descendants as a tree, without I/O."""

from collections import defaultdict
from collections.abc import Sequence
from typing import NamedTuple

from pepperhook.container import FileMetadata
from pepperhook.tracing.records import RequestTrace, SourcedTrace


class TreeRow(NamedTuple):
    """A record with its depth in the tree; roots have depth 0."""

    depth: int
    metadata: FileMetadata
    trace: RequestTrace


class TimeSpan(NamedTuple):
    """The time from the first acceptance to the last end, in nanoseconds; never empty."""

    begin_ns: int
    end_ns: int

    @property
    def length_ns(self) -> int:
        """The duration of the span."""
        return self.end_ns - self.begin_ns

    def fraction(self, time_ns: int) -> float:
        """Return a time as a fraction of the span."""
        return (time_ns - self.begin_ns) / self.length_ns


def build_tree(rows: Sequence[SourcedTrace]) -> list[TreeRow]:
    """Return each record followed by its descendants; siblings are sorted by acceptance."""
    ids = {row.trace.id for row in rows}
    children: defaultdict[str, list[SourcedTrace]] = defaultdict(list)
    roots: list[SourcedTrace] = []
    for row in sorted(rows, key=lambda row: row.trace.taken):
        siblings = children[row.trace.parent] if row.trace.parent in ids else roots
        siblings.append(row)
    ordered: list[TreeRow] = []
    listed: set[int] = set()
    stack = [TreeRow(0, *row) for row in reversed(roots)]
    while stack:
        tree_row = stack.pop()
        # Records with the same id have the same children, which are listed only once.
        if id(tree_row.trace) in listed:
            continue
        listed.add(id(tree_row.trace))
        ordered.append(tree_row)
        child_rows = children.get(tree_row.trace.id, [])
        stack += [TreeRow(tree_row.depth + 1, *row) for row in reversed(child_rows)]
    return ordered


def span_of(rows: Sequence[TreeRow]) -> TimeSpan:
    """Return the time span of one or more records."""
    begin = min(row.trace.taken for row in rows)
    end = max(row.trace.end_ns for row in rows)
    return TimeSpan(begin, max(end, begin + 1))
