"""The journal's interface for the event loop: appends records and reports when they are durable.

One thread owns the files. It writes all queued records as one block with one sync (group commit).
"""

import asyncio
import contextlib
import fcntl
import os
import threading
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import BinaryIO, Protocol

from msgspec import Struct

from pepperhook.idempotency.journal.compaction import SegmentRetention
from pepperhook.idempotency.journal.errors import (
    JournalUnusableError,
    JournalWriteError,
    RecordEncodingError,
)
from pepperhook.idempotency.journal.record import Record, encoding_error
from pepperhook.idempotency.journal.recovery import Recovery, recover
from pepperhook.idempotency.journal.segments import SEGMENT_BYTES, SegmentWriter

GROUP_DELAY_S = 0.002  # for which a small group waits for more records before it is written
SMALL_GROUP = 8  # records; a larger group is written at once
MAX_QUEUED_RECORDS = 100_000
RETRY_DELAY_S = 0.05  # after a failed write, so that a full disk is not retried in a tight loop


class EventLog(Protocol):
    """Logs events for the operator; called in the writer's thread."""

    def __call__(self, event: str, **fields: object) -> None:
        """Log one event."""


class PendingRecord(Struct):
    """A record that waits to be written."""

    record: Record
    durable: asyncio.Future[None] | None  # None if nothing waits for it
    queued_s: float  # by time.monotonic()


class CommitStatistics(Struct):
    """Statistics of the writer for the operator."""

    groups: int = 0
    records: int = 0
    total_wait_s: float = 0.0
    max_wait_s: float = 0.0
    dropped: int = 0  # records that nothing waits for, discarded at a full queue

    def add_group(self, waits_s: Sequence[float]) -> None:
        """Add a group of records, given how long each has waited."""
        self.groups += 1
        self.records += len(waits_s)
        self.total_wait_s += sum(waits_s)
        self.max_wait_s = max(self.max_wait_s, *waits_s)

    @property
    def mean_wait_s(self) -> float:
        """The mean time that a record waited."""
        return self.total_wait_s / max(1, self.records)


class Journal:
    """A journal. It has exclusive use of its directory from ``open`` to ``close``."""

    def __init__(
        self,
        directory: str | Path,
        retention_ns: Callable[[], int],
        log_event: EventLog,
        segment_bytes: int = SEGMENT_BYTES,
        sync: Callable[[int], None] = os.fdatasync,
    ) -> None:
        """Set the directory and its limits; nothing is opened yet.

        ``retention_ns``: as in ``SegmentRetention``; called in the writer's thread.
        """
        self.directory = Path(directory)
        self.segments = SegmentWriter(
            self.directory, SegmentRetention(retention_ns), segment_bytes, sync
        )
        self.statistics = CommitStatistics()
        self._log_event = log_event
        self._lock_file: BinaryIO | None = None
        self._thread: threading.Thread | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._queue: list[PendingRecord] = []
        self._queue_changed = threading.Condition()
        self._is_closing = False
        self._write_error: str | None = None  # of the last group; None after a successful write

    def open(self) -> Recovery:
        """Lock the directory and read its records. Raises JournalUnusableError."""
        try:
            self._lock()
            recovery = recover(self.directory, time.monotonic_ns())
            self.segments.open()
        except OSError as error:
            self._unlock()
            reason = error.strerror or error
            raise JournalUnusableError(f"{self.directory}: {reason}") from error
        except JournalUnusableError:
            self._unlock()
            raise
        return recovery

    def _lock(self) -> None:
        self.directory.mkdir(parents=True, exist_ok=True)
        self._lock_file = (self.directory / "lock").open("ab")
        try:
            fcntl.flock(self._lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise JournalUnusableError(f"{self.directory}: another process has it open") from error

    def _unlock(self) -> None:
        if self._lock_file is not None:
            self._lock_file.close()

    def start(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start the writer's thread; futures are resolved on ``loop``."""
        self._loop = loop
        self._thread = threading.Thread(target=self._run, name="journal", daemon=True)
        self._thread.start()

    # On the event loop.

    def append(self, record: Record) -> None:
        """Queue a record that nothing waits for; at a full queue it is dropped and counted."""
        with self._queue_changed:
            if len(self._queue) < MAX_QUEUED_RECORDS:
                self._enqueue(record, None)
            else:
                self.statistics.dropped += 1

    def append_durably(self, record: Record) -> asyncio.Future[None]:
        """Queue a record; the future is done when it is durable, or has a JournalWriteError."""
        assert self._loop is not None
        durable: asyncio.Future[None] = self._loop.create_future()
        with self._queue_changed:
            if self._write_error is not None:
                _fail(durable, self._write_error)
            elif len(self._queue) >= MAX_QUEUED_RECORDS:
                _fail(durable, "the queue of records is full")
            else:
                self._enqueue(record, durable)
        return durable

    def _enqueue(self, record: Record, durable: asyncio.Future[None] | None) -> None:
        self._queue.append(PendingRecord(record, durable, time.monotonic()))
        self._queue_changed.notify()

    def close(self) -> None:
        """Write the queued records and unlock the directory. Blocks until that is done."""
        with self._queue_changed:
            self._is_closing = True
            self._queue_changed.notify()
        if self._thread is not None:
            self._thread.join()
        self.segments.close()
        self._unlock()

    # In the writer's thread.

    def _run(self) -> None:
        while group := self._next_group():
            self.write_group(group)

    def _next_group(self) -> list[PendingRecord]:
        """Wait for records, and take all queued ones; return an empty list at the close."""
        with self._queue_changed:
            while not self._queue and not self._is_closing:
                self._queue_changed.wait()
            waits_for_more = 0 < len(self._queue) < SMALL_GROUP and not self._is_closing
        if waits_for_more:
            # Avoids one sync per record when records arrive one by one.
            time.sleep(GROUP_DELAY_S)
        with self._queue_changed:
            group, self._queue = self._queue, []
        return group

    def write_group(self, group: list[PendingRecord]) -> None:
        """Write a group of records, and complete the futures of those that have one.

        A record that cannot be encoded fails alone.
        """
        try:
            error = self._try_write([pending.record for pending in group])
        except RecordEncodingError:
            encodable = self._fail_unencodable(group)
            if encodable:
                self.write_group(encodable)
            return
        self._complete(group, error)

    def _fail_unencodable(self, group: list[PendingRecord]) -> list[PendingRecord]:
        """Fail the records of a group that cannot be encoded; return the others."""
        encodable = []
        for pending in group:
            error = encoding_error(pending.record)
            if error is None:
                encodable.append(pending)
            else:
                self._log_event("journal_record_refused", directory=self.directory, error=error)
                self._complete([pending], f"{self.directory}: {error}")
        return encodable

    def _complete(self, group: list[PendingRecord], error: str | None) -> None:
        """Complete the futures of a group; ``error``: why it was not written, or None."""
        now_s = time.monotonic()
        self.statistics.add_group([now_s - pending.queued_s for pending in group])
        futures = [pending.durable for pending in group if pending.durable is not None]
        if not futures:
            return
        assert self._loop is not None
        # RuntimeError: the loop is closed, and nothing waits any more.
        with contextlib.suppress(RuntimeError):
            self._loop.call_soon_threadsafe(_resolve, futures, error)

    def _try_write(self, records: list[Record]) -> str | None:
        """Write records; return the error text, or None on success. Raises RecordEncodingError."""
        try:
            self.persist(records)
        except RecordEncodingError:
            raise
        except Exception as error:  # else the thread would end, and its futures would never be done
            reason = getattr(error, "strerror", None) or f"{type(error).__name__}: {error}"
            if self._write_error is None:
                self._log_event("journal_write_failed", directory=self.directory, error=reason)
            self._write_error = f"{self.directory}: {reason}"
            self.segments.discard_failed_write()
            time.sleep(RETRY_DELAY_S)
            return self._write_error
        if self._write_error is not None:
            self._log_event("journal_write_restored", directory=self.directory)
        self._write_error = None
        return None

    def persist(self, records: list[Record]) -> None:
        """Make records durable. Raises OSError or RecordEncodingError."""
        self.segments.append(records)


def _resolve(futures: list[asyncio.Future[None]], error: str | None) -> None:
    for future in futures:
        if future.done():
            continue  # it was cancelled meanwhile
        if error is None:
            future.set_result(None)
        else:
            _fail(future, error)


def _fail(future: asyncio.Future[None], error: str) -> None:
    future.set_exception(JournalWriteError(error))
    future.exception()  # marks it as retrieved; else the loop logs it if it is never awaited
