"""Segment files: their paths, and writing them."""

import contextlib
import os
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import BinaryIO

from pepperhook.idempotency.journal.boot import boot_id
from pepperhook.idempotency.journal.compaction import SegmentRetention
from pepperhook.idempotency.journal.record import (
    Record,
    SegmentHeader,
    encode_header,
    encode_prefix,
    encode_records,
)

SEGMENT_BYTES = 16 * 1024 * 1024  # a segment that reaches this size is closed


def segment_path(directory: Path, number: int) -> Path:
    """Return the path of a segment."""
    return directory / f"{number}.log"


def segment_numbers(directory: Path) -> list[int]:
    """Return the numbers of the existing segments, oldest first."""
    return sorted(int(path.stem) for path in directory.glob("*.log") if path.stem.isdecimal())


class SegmentWriter:
    """Appends to the last segment, and starts the next one when it is full.

    Methods block, and raise OSError; ``append`` also raises RecordEncodingError.
    """

    def __init__(
        self,
        directory: Path,
        retention: SegmentRetention,
        segment_bytes: int = SEGMENT_BYTES,
        sync: Callable[[int], None] = os.fdatasync,
    ) -> None:
        """``sync`` makes a file durable, given its descriptor."""
        self.directory = directory
        self.retention = retention
        self.segment_bytes = segment_bytes
        self.sync = sync
        self.number = 0
        self.durable_bytes = 0  # of the current segment; bytes after these are cut off
        self._file: BinaryIO | None = None

    def open(self) -> None:
        """Start a new segment after the existing ones."""
        existing = segment_numbers(self.directory)
        self.number = existing[-1] + 1 if existing else 1
        # The time of their last record is not known here, so their retention starts now.
        now_ns = time.monotonic_ns()
        for number in existing:
            self.retention.add(number, now_ns)
        self._start_segment()

    def append(self, records: Sequence[Record]) -> None:
        """Make a group of records durable as one block."""
        file = self._file or self._reopen()
        data = encode_records(records)
        file.write(data)
        file.flush()
        self.sync(file.fileno())
        self.durable_bytes += len(data)
        if self.durable_bytes >= self.segment_bytes:
            self._rotate()

    def discard_failed_write(self) -> None:
        """Close the file after a failed write, of which an unknown part is on the disk."""
        file, self._file = self._file, None
        if file is not None:
            # Data that is still buffered is discarded, so an error does not matter.
            with contextlib.suppress(OSError):
                file.close()

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()

    def _start_segment(self) -> BinaryIO:
        self.durable_bytes = 0
        self._file = file = segment_path(self.directory, self.number).open("wb")
        header = SegmentHeader(boot_id(), time.monotonic_ns(), time.time_ns())
        data = encode_prefix() + encode_header(header)
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
        self._sync_directory()
        self.durable_bytes = len(data)
        return file

    def _sync_directory(self) -> None:
        """Make a new segment's directory entry durable."""
        descriptor = os.open(self.directory, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _reopen(self) -> BinaryIO:
        """Open the segment, cut to its durable size, for appending."""
        if not self.durable_bytes:
            return self._start_segment()
        self._file = file = segment_path(self.directory, self.number).open("r+b")
        file.truncate(self.durable_bytes)
        file.seek(self.durable_bytes)
        return file

    def _rotate(self) -> None:
        """Close the segment, start the next one, and delete expired segments."""
        now_ns = time.monotonic_ns()
        if self._file is not None:
            self._file.close()
        self._file = None
        self.retention.add(self.number, now_ns)
        self.number += 1
        self.durable_bytes = 0
        self._start_segment()
        for number in self.retention.take_expired(now_ns):
            segment_path(self.directory, number).unlink(missing_ok=True)
