"""Bounds on arrival times that a stand-in recorded around a stall of its event loop.

During a stall a stand-in reads nothing, so it stamps what arrives then only afterwards.
"""

from collections.abc import Iterable

from pepperhook.lab import events

MILLISECOND = 10**6
# A stand-in processes the backlog of a stall for about this long; until then its stamps are late.
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
                started_at = row.at - row.late_ns - CHECK_NS
                self.spans.setdefault(row.process, []).append((started_at, row.at))

    def earliest_arrival(self, process: str, stamped_at: int) -> int:
        """Return the earliest time at which what was stamped ``stamped_at`` may have arrived.

        That is the start of the stall if the time stamp lies within a stall of the process or the
        BACKLOG_NS after it, and otherwise the time stamp itself.
        """
        starts = [
            started_at
            for started_at, ended_at in self.spans.get(process, ())
            if started_at <= stamped_at <= ended_at + BACKLOG_NS
        ]
        return min(starts, default=stamped_at)
