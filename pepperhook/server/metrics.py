"""Counters of events by name, logged on request and at exit."""

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pepperhook.server.structured_logging import Log


class Counters:
    """Counters that are created at their first count."""

    def __init__(self, log: "Log") -> None:
        """Start without counters."""
        self.log = log
        self.counts: Counter[str] = Counter()

    def add(self, name: str) -> None:
        """Count one event."""
        self.counts[name] += 1

    def __getitem__(self, name: str) -> int:
        """Return a count; 0 if nothing was counted."""
        return self.counts[name]

    def log_all(self) -> None:
        """Log all counts as one line, sorted by name."""
        fields = {"_".join(name.split()): count for name, count in sorted(self.counts.items())}
        self.log.info("counters", **fields)
