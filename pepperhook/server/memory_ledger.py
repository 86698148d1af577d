"""Counts what clients' messages hold, against the memory limit of the process; no I/O but statm.

The sizes are bytes as they were received, times what one byte or field costs in memory. The costs
were measured on processes with hundreds of held connections (``docs/client-limits.md``).
"""

from __future__ import annotations

import mmap
import resource
from collections.abc import Hashable
from pathlib import Path
from typing import Protocol

BYTES_PER_MB = 1024 * 1024
BYTES_PER_KB = 1024
# Of an HTTP/1.1 connection with a small message: its transport and parser 6 KB; 8 KB for the task,
# request and buffers of a message.
CONNECTION_BYTES = 14 * 1024
STREAM_BYTES = 8 * 1024  # of a message on a multiplexed connection
FIELD_BYTES = 200  # of a header field, beside its text
MIN_FIELD_LENGTH = 4  # of a header line without a value
HEAD_COPIES = 2.5  # of the text of a head: raw and decoded
BODY_COPIES = 2  # of a body: as received, and as written to an upstream
RESERVED_FRACTION = 1 / 8  # of the limit: responses of upstreams, and unused parts of the heap
MIN_LEDGER_BYTES = 2 * BYTES_PER_MB  # even if the process itself exceeds the limit
SHED_TO_FRACTION = 0.9  # of the limit, so that not every read has to shed
HIGH_FRACTION = 0.8  # above it, and below LOW_FRACTION, a change is reported
LOW_FRACTION = 0.5
STATM = Path("/proc/self/statm")


class MessageHolder(Hashable, Protocol):
    """A connection or stream whose message is counted."""

    def shed(self) -> None:
        """Answer an unfinished message with 503, and free what was received of it."""


def message_bytes(head_bytes: int, fields: int, body_bytes: int) -> int:
    """Return what was received of a message takes in memory."""
    return fields * FIELD_BYTES + int(head_bytes * HEAD_COPIES) + body_bytes * BODY_COPIES


def resident_bytes() -> int:
    """Return the resident memory of this process; its peak, where the system reports no more."""
    try:
        return int(STATM.read_text(encoding="ascii").split()[1]) * mmap.PAGESIZE
    except (OSError, IndexError, ValueError):
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * BYTES_PER_KB


class MemoryLedger:
    """What each connection and stream holds, the sum, and who gives way when it is exceeded."""

    def __init__(self, limit_bytes: int | None) -> None:
        """``limit_bytes``: of the whole process; None for no limit."""
        self.process_limit = limit_bytes
        self.process_bytes = 0  # resident without messages, at most so far
        self.limit: float = float("inf")  # for all messages together
        self.held: dict[MessageHolder, int] = {}
        self.unfinished: dict[MessageHolder, None] = {}  # the longest unfinished first
        self.total = 0
        self.peak = 0
        self.is_high = False

    def measure_process(self, process_bytes: int) -> None:
        """Derive the limit from the resident memory of the process with its present messages.

        Memory that messages once held may still be resident, and can be used again.
        """
        self.process_bytes = max(self.process_bytes, process_bytes - self.peak)
        if self.process_limit is not None:
            usable = self.process_limit * (1 - RESERVED_FRACTION) - self.process_bytes
            self.limit = max(MIN_LEDGER_BYTES, usable)

    def hold(self, holder: MessageHolder, size: int, is_unfinished: bool) -> None:
        """Set what a connection or stream holds; ``is_unfinished``: it can be shed."""
        self.total += size - self.held.get(holder, 0)
        self.held[holder] = size
        self.peak = max(self.peak, self.total)
        if is_unfinished:
            self.unfinished.setdefault(holder)
        else:
            self.unfinished.pop(holder, None)

    def release(self, holder: MessageHolder) -> None:
        """Remove a connection or stream that was closed."""
        self.total -= self.held.pop(holder, 0)
        self.unfinished.pop(holder, None)

    @property
    def is_exceeded(self) -> bool:
        """Whether messages hold more than the limit."""
        return self.total > self.limit

    def largest_unfinished(self) -> list[MessageHolder]:
        """Return whom to shed, so that the rest is well under the limit: the largest first."""
        excess = self.total - self.limit * SHED_TO_FRACTION
        chosen: list[MessageHolder] = []
        for holder in sorted(self.unfinished, key=self.held.__getitem__, reverse=True):
            if excess <= 0:
                break
            chosen.append(holder)
            excess -= self.held[holder]
        return chosen

    def crosses_threshold(self) -> bool:
        """Return whether the use has become high, or is no longer, since the last call."""
        threshold = LOW_FRACTION if self.is_high else HIGH_FRACTION
        is_high = self.total > threshold * self.limit
        has_changed = is_high != self.is_high
        self.is_high = is_high
        return has_changed
