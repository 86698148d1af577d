"""Writes segments in a thread, so that compression and a slow disk do not delay the event loop."""

import queue
import threading
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Protocol, TypeAlias

from msgspec import Struct

from pepperhook.container import ContainerWriter, FileMetadata
from pepperhook.container.index import IndexKey
from pepperhook.container.segment_directory import SegmentDirectory

QUEUE_CAPACITY = 256  # commands
# A record waits at most this long for its block to fill. Once written, it survives kill -9.
FLUSH_INTERVAL_S = 2.0


class EventLog(Protocol):
    """The part of the balancer's log that this package uses."""

    def info(self, event: str, **fields: object) -> None:
        """Log an event."""

    def warning(self, event: str, **fields: object) -> None:
        """Log an event that needs an operator's attention."""


class OpenSegment(Struct, frozen=True):
    """Close the open segment, delete the expired ones and begin a new one."""

    path: Path
    metadata: FileMetadata


class AppendRecord(Struct, frozen=True):
    """Append framed records to the open segment."""

    record: bytes
    time_ns: int
    keys: Mapping[str, IndexKey]


class FlushPending(Struct, frozen=True):
    """Write the pending records as a block, although it is not full."""


class PreserveSegments(Struct, frozen=True):
    """Move all closed segments to ``folder``."""

    folder: Path


class StopWriter(Struct, frozen=True):
    """Close the open segment and stop the thread."""


Command: TypeAlias = OpenSegment | AppendRecord | FlushPending | PreserveSegments | StopWriter


class SegmentWriter:
    """Owns the writer thread, its queue of commands and the open segment.

    The public methods are for the event loop. Only the thread writes the public attributes; any
    thread may read them. When a write fails, records are lost until the next OpenSegment; the
    first of several failures in a row is logged.
    """

    def __init__(
        self,
        directory: SegmentDirectory,
        log: EventLog,
        on_failure: Callable[[], None],
        *,
        flush_interval_s: float = FLUSH_INTERVAL_S,
    ) -> None:
        """Configure the writer; the thread calls ``on_failure`` after each failed command."""
        self.queue: queue.Queue[Command] = queue.Queue(QUEUE_CAPACITY)
        self.closed_bytes = 0  # total size of the closed segments
        self.preservations = 0  # PreserveSegments commands carried out
        self.error: str | None = None  # reason of the last failure; None once a segment is open
        self._directory = directory
        self._log = log
        self._on_failure = on_failure
        self._flush_interval_s = flush_interval_s
        self._thread: threading.Thread | None = None
        self._segment: ContainerWriter | None = None
        # Monotonic time of the first pending record, or None if no record is pending.
        self._pending_since_s: float | None = None

    def start(self) -> None:
        """Start the thread, which also executes the commands queued before."""
        # A daemon thread, so that a hanging disk does not keep the process from exiting.
        self._thread = threading.Thread(target=self._run, name=self._directory.suffix, daemon=True)
        self._thread.start()

    def try_submit(self, command: Command) -> bool:
        """Queue a command without waiting; return False if the queue is full."""
        try:
            self.queue.put_nowait(command)
        except queue.Full:
            return False
        return True

    def stop(self) -> None:
        """Wait until all queued commands are executed and the thread has ended."""
        self.queue.put(StopWriter())
        if self._thread is not None:
            self._thread.join()

    def _run(self) -> None:
        command: Command | None = None
        while not isinstance(command, StopWriter):
            command = self._next_command()
            try:
                self._execute(command)
            except Exception as error:  # a dead thread would lose all later records
                self._record_failure(error)

    def _next_command(self) -> Command:
        """Return the next command, or FlushPending when pending records are due to be written."""
        try:
            return self.queue.get(timeout=self._seconds_until_flush())
        except queue.Empty:
            return FlushPending()

    def _seconds_until_flush(self) -> float | None:
        if self._pending_since_s is None:
            return None
        return max(0.0, self._pending_since_s + self._flush_interval_s - time.monotonic())

    def _execute(self, command: Command) -> None:
        match command:
            case OpenSegment():
                self._open_segment(command)
            case AppendRecord():
                self._append(command)
                self._flush_if_due()
            case FlushPending():
                self._flush()
            case PreserveSegments():
                # _next_command returns FlushPending only if the queue is empty.
                self._flush_if_due()
                self._preserve(command.folder)
            case StopWriter():
                self._close_segment()

    def _open_segment(self, command: OpenSegment) -> None:
        self._close_segment()
        self._directory.delete_expired()
        self._segment = ContainerWriter(command.path, command.metadata)
        self.error = None

    def _close_segment(self) -> None:
        segment = self._segment
        if segment is None:
            return
        segment.close()
        self.closed_bytes += segment.size
        self._segment = None
        self._pending_since_s = None

    def _append(self, command: AppendRecord) -> None:
        if self._segment is None:
            return
        self._segment.append(command.record, command.time_ns, command.keys)
        if not self._segment.has_pending_records:
            self._pending_since_s = None
        elif self._pending_since_s is None:
            self._pending_since_s = time.monotonic()

    def _flush_if_due(self) -> None:
        if self._seconds_until_flush() == 0.0:
            self._flush()

    def _flush(self) -> None:
        if self._segment is not None:
            self._segment.flush()
        self._pending_since_s = None

    def _preserve(self, folder: Path) -> None:
        open_path = self._segment.path if self._segment is not None else None
        self._directory.preserve(folder, open_path)
        self.preservations += 1
        self._log.info("record_kept", folder=folder)

    def _record_failure(self, error: Exception) -> None:
        reason = getattr(error, "strerror", None) or f"{type(error).__name__}: {error}"
        if self.error is None:
            self._log.warning("record_broken", folder=self._directory.folder, error=reason)
        self.error = reason
        self._segment = None
        self._pending_since_s = None
        self._on_failure()
