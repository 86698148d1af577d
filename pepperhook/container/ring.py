"""A size- and age-limited ring of one balancer's segments: the interface for the event loop.

Nothing here may delay a request. Records are dropped and counted when the writer thread falls
behind, and lost and logged when a write fails.
"""

import asyncio
from collections.abc import Mapping

from pepperhook.container import FileMetadata
from pepperhook.container.index import IndexKey
from pepperhook.container.segment_directory import SegmentDirectory
from pepperhook.container.segment_writer import (
    FLUSH_INTERVAL_S,
    AppendRecord,
    Command,
    EventLog,
    OpenSegment,
    PreserveSegments,
    SegmentWriter,
)

_BYTES_PER_KILOBYTE = 1024
_NO_KEYS: Mapping[str, IndexKey] = {}


class SegmentRing:
    """Passes commands to a SegmentWriter, and counts those that its full queue rejected."""

    def __init__(
        self,
        directory: SegmentDirectory,
        log: EventLog,
        *,
        flush_interval_s: float = FLUSH_INTERVAL_S,
    ) -> None:
        """Configure the ring; no folder is created and no thread started yet."""
        self.directory = directory
        self.writer = SegmentWriter(
            directory, log, self._mark_gap, flush_interval_s=flush_interval_s
        )
        self.dropped = 0  # commands dropped because the queue was full
        self.segments = 0  # segments begun so far
        # Whether records were lost. The event loop and the writer thread set it; the owner clears
        # it when it begins a new segment after the gap.
        self.has_gap = False

    @property
    def error(self) -> str | None:
        """Why there is no open segment, or None."""
        return self.writer.error

    def create_folder(self, setting: str) -> None:
        """Create the folder. Raises SegmentFolderError, a ValueError that names ``setting``."""
        self.directory.create(setting)

    def start(self) -> None:
        """Start the writer thread."""
        self.writer.start()

    def open_segment(self, metadata: FileMetadata) -> None:
        """Begin the next segment, and close the current one."""
        self.segments += 1
        self._submit(OpenSegment(self.directory.new_segment_path(), metadata))

    def append(self, record: bytes, time_ns: int, keys: Mapping[str, IndexKey] = _NO_KEYS) -> None:
        """Append framed records to the open segment, indexed by ``keys``."""
        self._submit(AppendRecord(record, time_ns, keys))

    def preserve(self) -> None:
        """Move the closed segments to a separate folder, where none is deleted."""
        self._submit(PreserveSegments(self.directory.new_preservation_folder()))

    async def close(self) -> None:
        """Write all queued records, close the open segment and stop the thread."""
        await asyncio.to_thread(self.writer.stop)

    def log_fields(self) -> dict[str, int | str]:
        """Return the counters, keyed by their log keys."""
        return {
            "written_kb": self.writer.closed_bytes // _BYTES_PER_KILOBYTE,
            "segments": self.segments,
            "kept": self.writer.preservations,
            "dropped": self.dropped,
            "broken": self.error or "no",
        }

    def _submit(self, command: Command) -> None:
        if not self.writer.try_submit(command):
            self.dropped += 1
            self._mark_gap()

    def _mark_gap(self) -> None:
        self.has_gap = True
