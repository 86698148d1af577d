"""When a byte can have come to a stand-in that stood still."""

from collections.abc import Iterable

from pepperhook.lab import events

MILLISECOND = 10**6
# After a stall a stand-in works off what came meanwhile; until then it stamps it late.
BACKLOG_NS = 50 * MILLISECOND
CHECK_NS = 10 * MILLISECOND  # between two looks at the clock: a stall may begin so much earlier


def upstreams(tier: int) -> str:
    """Return the name of the process that has the upstreams of a tier."""
    return f"upstreams {tier}"


class Stalls:
    """The times at which each stand-in's event loop stood still."""

    def __init__(self, rows: Iterable[object]) -> None:
        """Take the rows of a run; those that are no stalls are passed over."""
        self.spans: dict[str, list[tuple[int, int]]] = {}
        for row in rows:
            if isinstance(row, events.Stall):
                begun = row.at - row.late - CHECK_NS
                self.spans.setdefault(row.process, []).append((begun, row.at))

    def earliest(self, process: str, stamped_at: int) -> int:
        """Return the earliest time at which what a process stamped then can have come."""
        begins = [
            begun
            for begun, ended in self.spans.get(process, ())
            if begun <= stamped_at <= ended + BACKLOG_NS
        ]
        return min(begins, default=stamped_at)
