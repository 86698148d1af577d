"""Idempotency keys at the balancer's hook points.

A repeat waits for its key's first request, or receives that one's result, before the decisions have
seen it. With a journal, a request that must not run twice is recorded before its first attempt, and
goes on only once the record is durable. With peers, a key has one owner among the edge balancers,
and a request that comes to another goes there whole.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from pepperhook.domain import Outcome
from pepperhook.idempotency import restoration, service_classes
from pepperhook.idempotency.entries import Arrival, Resolution, StoredResponse, Verdict
from pepperhook.idempotency.host import Host, Log
from pepperhook.idempotency.journal.errors import JournalUnusableError
from pepperhook.idempotency.journal.recovery import Recovery
from pepperhook.idempotency.journal.writer import Journal
from pepperhook.idempotency.keys import key_digest, request_fingerprint
from pepperhook.idempotency.recorder import KeyedRequest, RequestRecorder
from pepperhook.idempotency.replies import (
    BAD_REQUEST,
    KEY_HEADER,
    Reply,
    is_served,
    refused,
    rejected,
    reply_to,
)
from pepperhook.idempotency.service_classes import ServiceClassPolicy, is_safe, is_unsafe
from pepperhook.idempotency.store import IdempotencyStore, StoreLimits

if TYPE_CHECKING:
    from pepperhook.idempotency.peers import Peers
    from pepperhook.operator_config.schema import IdempotencyTable

MAX_KEY_LENGTH = 256  # characters
RETRY_AFTER_NS = 10**9  # advice while a record can't be written
BYTES_PER_MB = 2**20
BYTES_PER_KB = 1024

# A reply ends a request before it has run, None lets it run; a future gives one of these later.
Pending = asyncio.Future[Reply | None]


class Idempotency:
    """The extension. It owns the journal and the peers, from ``started`` to ``left``."""

    def __init__(
        self, table: IdempotencyTable, config: Any, log: Log, peers: Peers | None = None
    ) -> None:
        """``table``: the operator's settings of it. Raises ValueError with one line."""
        self.reads = (KEY_HEADER,) if peers is None else (KEY_HEADER, *peers.reads)
        self.peers = peers
        self.policies = service_classes.read_policies(table, config)
        limits = StoreLimits(
            max_entries=table.max_entries,
            max_bytes=int(table.max_mb * BYTES_PER_MB),
            max_waiters_per_key=table.max_waiters_per_key,
            max_body_bytes=table.max_body_kb * BYTES_PER_KB,
        )
        quotas = service_classes.tenant_quotas(config)
        self.store = IdempotencyStore(self.policies, quotas, limits)
        self.journal = self._make_journal(table, config, log)
        self.record_failures = 0
        self._cancel_abandoned_unsafe = table.cancels_unsafe
        self._tenant_names = service_classes.tenant_names(config)
        self._max_retry_after_ns = service_classes.max_retry_after_ns(config)
        self._log = log
        self._host: Host
        self._recovery: Recovery | None = None
        self._recorder: RequestRecorder | None = None
        self._pending: dict[Any, Pending] = {}  # by each request that waits
        self._keyed: dict[Any, KeyedRequest] = {}  # by each request that runs for its key

    def _make_journal(self, table: IdempotencyTable, config: Any, log: Log) -> Journal | None:
        if table.journal is None:
            return None
        longest_window_ns = max((policy.window_ns for policy in self.policies), default=0)
        retention_ns = longest_window_ns + service_classes.longest_request_ns(config)
        return Journal(table.journal, retention_ns, log.warning)

    # Start and shutdown.

    def hold(self) -> None:
        """Take the journal, which only one process may have. Raises ValueError with one line."""
        if self.journal is None or self._recovery is not None:
            return
        try:
            self._recovery = self.journal.open()
        except JournalUnusableError as error:
            raise JournalUnusableError(f"repeats.journal: {error}") from error

    def started(self, host: Host) -> None:
        """Begin: the balancer is up, and has not accepted a request yet."""
        self._host = host
        self.hold()
        if self.journal is not None:
            self.journal.start(host.runtime.loop)
            self._recorder = RequestRecorder(self.journal, host.runtime)
            self._restore()
        if self.peers is not None:
            directory = None if self.journal is None else self.journal.directory
            self.peers.start(host, self.policies, self._max_retry_after_ns, directory)

    def _restore(self) -> None:
        recovery, self._recovery = self._recovery, None
        assert recovery is not None
        core = self._host.runtime
        restored = restoration.restore(
            self.store, recovery, self._tenant_names, core.now(), core.offset
        )
        self._log.info(
            "idempotency_recovered",
            entries=restored.entries,
            interrupted=restored.interrupted,
            seconds=round(recovery.seconds, 3),
            truncated_bytes=recovery.truncated_bytes,
            windows_restarted=recovery.has_rebooted,
        )

    async def closing(self, accept_s: float, within_s: float) -> None:
        """Answer what other members still wait for."""
        if self.peers is not None:
            await self.peers.drain(accept_s, within_s)

    async def left(self) -> None:
        """Close what the extension owns."""
        if self.peers is not None:
            await self.peers.close()
        if self.journal is not None:
            await asyncio.get_running_loop().run_in_executor(None, self.journal.close)

    # A request's arrival.

    def arrived(self, now_ns: int, request: Any, message: Any) -> Reply | Pending | None:
        """Decide whether a request runs; see ``Pending``."""
        policy = self.policies[service_classes.class_number(request)]
        if not policy.window_ns:
            return None
        key = _key_of(message)
        refusal = _refusal(key, policy)
        if refusal is not None or not key:
            return refusal
        digest = key_digest(service_classes.class_number(request), request.tenant, key)
        if self.peers is not None:
            reply = self.peers.route(now_ns, digest, request, message)
            if reply is not None:
                return reply
        arrival = Arrival(
            request=request,
            key=digest,
            fingerprint=request_fingerprint(message.method, message.target, message.body),
            service_class=service_classes.class_number(request),
            tenant=request.tenant,
        )
        return self._accept(now_ns, arrival)

    def _accept(self, now_ns: int, arrival: Arrival) -> Reply | Pending | None:
        request: Any = arrival.request
        decision = self.store.arrive(now_ns, arrival)
        if decision.verdict is Verdict.WAIT:
            self._pending[request] = self._host.runtime.loop.create_future()
            return self._pending[request]
        if decision.verdict is not Verdict.NEW:
            return reply_to(decision, self._max_retry_after_ns)
        self._keyed[request] = self._identity(arrival)
        if not self._is_recorded(request):
            return None
        pending: Pending = self._host.runtime.loop.create_future()
        self._run_once_recorded(request, pending)
        return pending

    def _identity(self, arrival: Arrival) -> KeyedRequest:
        """Name a request's service class and tenant, whose numbers may change with the settings."""
        return KeyedRequest(
            key=arrival.key,
            fingerprint=arrival.fingerprint,
            service_class=self.policies[arrival.service_class].name,
            tenant=None if arrival.tenant is None else self._tenant_names[arrival.tenant],
        )

    def _is_recorded(self, request: Any) -> bool:
        return self._recorder is not None and not is_safe(request)

    def _run_once_recorded(self, request: Any, pending: Pending) -> None:
        """Let a request run once its record is durable."""

        def proceed(durable: asyncio.Future[None]) -> None:
            if pending.done():
                return  # whoever waited has gone
            if durable.exception() is None:
                pending.set_result(None)
                return
            # Without its record it could run a second time after a crash. No attempt was made yet.
            self.record_failures += 1
            pending.set_result(rejected(min(RETRY_AFTER_NS, self._max_retry_after_ns)))

        assert self._recorder is not None
        self._recorder.record_started(self._keyed[request]).add_done_callback(proceed)

    # A running request.

    def dispatching(self, _now_ns: int, attempt: Any, _headers: Any) -> bool:
        """Note an attempt that is about to be written; it never objects."""
        self.store.attempt_started(attempt.request, attempt)
        return False

    def ended(self, now_ns: int, attempt: Any, outcome: str, received: Any) -> None:
        """Note how an attempt has ended."""
        request = attempt.request
        self.store.attempt_ended(request, attempt, outcome)
        if outcome == Outcome.SERVED and request in self._keyed:
            # Also where no client is left to receive it: a repeat may still arrive.
            self._finish(now_ns, request, StoredResponse(received.body, received.content_type))

    def answered(self, now_ns: int, request: Any, answer: Any) -> None:
        """Note the final answer of a request."""
        if request in self._keyed:
            response = None
            if is_served(answer):
                response = StoredResponse(answer.body, answer.content_type)
            self._finish(now_ns, request, response)

    def leaving(self, _now_ns: int, request: Any) -> bool:
        """Note that a client has left; True where its request must go on all the same."""
        departure = self.store.client_left(request)
        self.leave(departure.abandoned)
        if departure.keep_running:
            return True
        # What may have run can't run again in its window: it goes on, for a repeat's sake.
        may_cancel = self._cancel_abandoned_unsafe or not is_unsafe(request)
        return not may_cancel and self.store.has_open_attempt(request)

    def over(self, now_ns: int, request: Any) -> None:
        """Note the end of a request, answered or left."""
        pending = self._pending.pop(request, None)
        if pending is not None:
            # It waited, and its time was up or its client left.
            self.leave(self.store.client_left(request).abandoned)
            pending.cancel()
        if request in self._keyed:
            self._finish(now_ns, request, None)

    def leave(self, abandoned: Any) -> None:
        """End a request that was kept going only for others, which have left now, too."""
        if abandoned is not None:
            self._host.requests.abandon(abandoned)

    def _finish(self, now_ns: int, request: Any, response: StoredResponse | None) -> None:
        entry = self.store.running[request]
        resolutions = self.store.finish(now_ns, request, response)
        keyed = self._keyed.pop(request)
        if self._recorder is not None and not is_safe(request):
            self._recorder.record_finished(keyed, entry.state, entry.response, bool(resolutions))
        for resolution in resolutions:
            self._resolve(keyed, resolution)

    def _resolve(self, keyed: KeyedRequest, resolution: Resolution) -> None:
        """Tell a request that has waited what becomes of it."""
        request, decision = resolution.request, resolution.decision
        pending = self._pending.pop(request)
        if decision.verdict is not Verdict.NEW:
            if not pending.done():
                pending.set_result(reply_to(decision, self._max_retry_after_ns))
            return
        self._keyed[request] = keyed
        if self._is_recorded(request):
            # The record of the one before may not be durable yet, and has another time.
            self._run_once_recorded(request, pending)
        elif not pending.done():
            pending.set_result(None)

    # Figures.

    def told(self) -> dict[str, Any]:
        """Return the counters for the operator."""
        store = self.store
        counters: dict[str, Any] = {
            "name": "repeats",
            "keys": len(store.table) + len(store.recovered),
            "mb": round(sum(part.bytes for part in store.partitions) / BYTES_PER_MB, 2),
            "running": len(store.running),
            "waiting": len(store.waiters),
            "evicted": store.table.evicted,
            "responses_not_stored": store.responses_not_stored,
        }
        counters.update((verdict.value, count) for verdict, count in store.counts.items())
        if self.peers is not None:
            counters.update(self.peers.counters_by_name())
        if self._recorder is not None:
            counters.update(self._recorder.counters())
            counters["record_failures"] = self.record_failures
        return counters


def _key_of(message: Any) -> str:
    """Return the key that came with a request; empty where there is none."""
    values: list[str] | None = (message.read_headers or {}).get(KEY_HEADER)
    return values[0] if values else ""


def _refusal(key: str, policy: ServiceClassPolicy) -> Reply | None:
    """Refuse a request without a required key, or with one that is too long."""
    if not key and policy.is_key_required:
        return refused(BAD_REQUEST, f"{KEY_HEADER} is wanted for this service grade")
    if len(key) > MAX_KEY_LENGTH:
        return refused(BAD_REQUEST, f"{KEY_HEADER}: at most {MAX_KEY_LENGTH} characters are wanted")
    return None
