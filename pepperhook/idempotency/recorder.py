"""Records the states of keyed requests, so that none runs twice because of a restart."""

from __future__ import annotations

import asyncio
from typing import Any

from msgspec import Struct

from pepperhook.idempotency.entries import Entry, EntryState, StoredResponse
from pepperhook.idempotency.host import Runtime
from pepperhook.idempotency.journal.record import Record, RecordKind
from pepperhook.idempotency.journal.writer import Journal


class KeyedRequest(Struct, frozen=True):
    """The identity of a running request's key in records, with names instead of numbers."""

    key: bytes
    fingerprint: bytes
    service_class: str
    tenant: str | None


class RequestRecorder:
    """Writes records of keyed requests that must not run twice to the journal."""

    def __init__(self, journal: Journal, runtime: Runtime) -> None:
        """``runtime`` has the clock that request times are measured by."""
        self.journal = journal
        self.runtime = runtime

    def record_started(self, keyed: KeyedRequest, window_ns: int) -> asyncio.Future[None]:
        """Record that a request is about to run; the future is done when the record is durable.

        ``window_ns``: as in ``Record``.
        """
        return self.journal.append_durably(self._record(RecordKind.STARTED, keyed, window_ns))

    def record_finished(
        self,
        keyed: KeyedRequest,
        entry: Entry,
        window_ns: int,
        is_handed_over: bool,
    ) -> None:
        """Record how the request of ``entry`` has ended.

        ``window_ns``: as in ``Record``. ``is_handed_over``: a waiter runs next and is recorded
        itself, so NEVER_RAN is not.
        """
        if entry.state is EntryState.COMPLETED:
            kind = RecordKind.COMPLETED
        elif entry.state is EntryState.INDETERMINATE:
            kind = RecordKind.INDETERMINATE
        elif is_handed_over:
            return
        else:
            kind = RecordKind.NEVER_RAN
        self.journal.append(self._record(kind, keyed, window_ns, entry.response))

    def _record(
        self,
        kind: RecordKind,
        keyed: KeyedRequest,
        window_ns: int,
        response: StoredResponse | None = None,
    ) -> Record:
        record = Record(
            kind=kind,
            key=keyed.key,
            fingerprint=keyed.fingerprint,
            service_class=keyed.service_class,
            tenant=keyed.tenant,
            recorded_ns=self.runtime.now() - self.runtime.offset,
            body=None if response is None else response.body,
            window_ns=window_ns,
        )
        record.set_response_type(None if response is None else response.content_type)
        return record

    def counters(self) -> dict[str, Any]:
        """Return counters for the operator."""
        statistics = self.journal.statistics
        return {
            "commits": statistics.groups,
            "records": statistics.records,
            "records_dropped": statistics.dropped,
            "commit_wait_ms": round(statistics.mean_wait_s * 1000, 2),
            "commit_wait_max_ms": round(statistics.max_wait_s * 1000, 1),
        }
