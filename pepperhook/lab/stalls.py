"""Bounds on arrival times that a stand-in recorded around a stall of its event loop.

During a stall a stand-in reads nothing, so it stamps what arrives then only afterwards.
"""

from collections.abc import Iterable

from pepperhook.lab import events

MILLISECOND = 10**6
# After a stall a stand-in works off its backlog for about this long, and stamps late until then.
BACKLOG_NS = 50 * MILLISECOND
# Period of the event loop lag check. A stall may begin up to this long before the check notices it.
CHECK_NS = 10 * MILLISECOND


def upstream_process_name(tier: int) -> str:
    """Return the name of the stand-in process that runs the upstreams of a tier."""
    return f"upstreams {tier}"


class Stalls:
    """The spans in which each stand-in's event loop was stalled."""

    def __init__(self, rows: Iterable[object]) -> None:
        """Collect the spans from the ``Stall`` rows of a run; other rows are ignored."""
        self.spans: dict[str, list[tuple[int, int]]] = {}
        for row in rows:
            if isinstance(row, events.Stall):
                begun = row.at - row.late_ns - CHECK_NS
                self.spans.setdefault(row.process, []).append((begun, row.at))

    def earliest_arrival(self, process: str, stamped_at: int) -> int:
        """Return the earliest possible arrival of what a process stamped at ``stamped_at``.

        That is the time stamp itself, unless it lies within a stall or the BACKLOG_NS after it.
        Then it is the begin of that stall.
        """
        begins = [
            begun
            for begun, ended in self.spans.get(process, ())
            if begun <= stamped_at <= ended + BACKLOG_NS
        ]
        return min(begins, default=stamped_at)
