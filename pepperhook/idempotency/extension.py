"""The extension for idempotency keys, called at the balancer's hook points.

A repeat waits for its key's first request, or receives that request's result, and does not reach
the policy. With a journal, a request that must not run twice is recorded before its first attempt,
and continues only after the record is durable. With peers, each key has one owner among the edge
balancers, and the others forward requests with the key to it.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from pepperhook.domain import Effect, Outcome
from pepperhook.idempotency import restoration, service_classes
from pepperhook.idempotency.entries import Arrival, KeyRules, Resolution, StoredResponse, Verdict
from pepperhook.idempotency.host import Host, Log
from pepperhook.idempotency.journal.errors import JournalUnusableError
from pepperhook.idempotency.journal.recovery import Recovery
from pepperhook.idempotency.journal.writer import Journal
from pepperhook.idempotency.key_header import NO_KEY, check_key, read_key
from pepperhook.idempotency.keys import key_digest, request_fingerprint
from pepperhook.idempotency.peer_protocol import decode_rules
from pepperhook.idempotency.recorder import KeyedRequest, RequestRecorder
from pepperhook.idempotency.replies import (
    KEY_HEADER,
    Reply,
    is_served,
    rejected,
    reply_to,
)
from pepperhook.idempotency.service_classes import (
    KeySettings,
    is_safe,
    is_unsafe,
)
from pepperhook.idempotency.settings_in_force import SettingsInForce
from pepperhook.idempotency.store import IdempotencyStore, StoreLimits

if TYPE_CHECKING:
    from pepperhook.idempotency.peers import Peers
    from pepperhook.operator_config.schema import IdempotencyTable
    from pepperhook.settings import Settings

RETRY_AFTER_NS = 10**9  # Retry-After while records cannot be written
BYTES_PER_MB = 2**20
BYTES_PER_KB = 1024

# A future decision on a request: a reply ends it without running it, None lets it run.
PendingDecision = asyncio.Future[Reply | None]


class Idempotency:
    """The extension. It owns the journal and the peers from ``started`` to ``left``."""

    def __init__(
        self, table: IdempotencyTable, config: Any, log: Log, peers: Peers | None = None
    ) -> None:
        """Read the operator's ``table``. Raises ValueError with a one-line message."""
        self.reads = (KEY_HEADER,) if peers is None else (KEY_HEADER, *peers.reads)
        self.peers = peers
        self._table = table
        self._names = config.names
        self.settings = SettingsInForce(self._read_settings(config.settings))
        limits = StoreLimits(
            max_entries=table.max_entries,
            max_bytes=int(table.max_mb * BYTES_PER_MB),
            max_waiters_per_key=table.max_waiters_per_key,
            max_body_bytes=table.max_body_kb * BYTES_PER_KB,
        )
        self.store = IdempotencyStore(self.settings, limits)
        self.journal = None
        if table.journal is not None:
            self.journal = Journal(table.journal, self.settings.longest_entry_ns, log.warning)
        self.record_failures = 0
        self._cancel_abandoned_unsafe = table.cancels_unsafe
        self._tenant_names = service_classes.tenant_names(config.names)
        self._log = log
        self._host: Host
        self._recovery: Recovery | None = None
        self._recorder: RequestRecorder | None = None
        self._pending: dict[Any, PendingDecision] = {}  # by waiting request
        self._keyed: dict[Any, KeyedRequest] = {}  # by the request that runs for the key

    def _read_settings(self, settings: Settings) -> KeySettings:
        return service_classes.read_key_settings(self._table, settings, self._names)

    # Settings.

    def check_settings(self, settings: Settings) -> None:
        """Check settings that are about to be put into force. Raises ValueError."""
        self._read_settings(settings)

    def reconfigured(self, settings: Settings) -> None:
        """Put changed settings into force."""
        self.settings.replace(self._read_settings(settings))
        self.store.settings_changed()

    # Start and shutdown.

    def hold(self) -> None:
        """Open the journal, which only one process may use at a time.

        Raises JournalUnusableError, a ValueError, with a one-line message.
        """
        if self.journal is None or self._recovery is not None:
            return
        try:
            self._recovery = self.journal.open()
        except JournalUnusableError as error:
            raise JournalUnusableError(f"repeats.journal: {error}") from error

    def started(self, host: Host) -> None:
        """Start the journal and the peers; the balancer has not accepted a request yet."""
        self._host = host
        self.hold()
        if self.journal is not None:
            self.journal.start(host.runtime.loop)
            self._recorder = RequestRecorder(self.journal, host.runtime)
            self._restore()
        if self.peers is not None:
            directory = None if self.journal is None else self.journal.directory
            self.peers.start(
                host,
                self.settings,
                directory,
                has_entries=len(self.store.recovered) > 0,
            )

    async def ready(self) -> None:
        """Ask the other members for their lists before a request is accepted."""
        if self.peers is not None:
            await self.peers.lists.ask_members()

    def _restore(self) -> None:
        recovery, self._recovery = self._recovery, None
        assert recovery is not None
        runtime = self._host.runtime
        restored = restoration.restore(
            self.store, recovery, self._tenant_names, runtime.now(), runtime.offset
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
        """Stop the peers' listener, and complete the requests that other members forwarded.

        It accepts requests for ``accept_s`` more, and completes them within ``within_s`` after.
        """
        if self.peers is not None:
            await self.peers.drain(accept_s, within_s)

    async def left(self) -> None:
        """Close the peers and the journal."""
        if self.peers is not None:
            await self.peers.close()
        if self.journal is not None:
            await asyncio.get_running_loop().run_in_executor(None, self.journal.close)

    # A request's arrival.

    def arrived(self, now_ns: int, request: Any, message: Any) -> Reply | PendingDecision | None:
        """Decide on a request that has arrived: None lets it run, a reply ends it.

        A ``PendingDecision`` gives the decision later.
        """
        number = service_classes.class_number(request)
        rules = self._apply_sender_rules(request, message)
        if not self.settings.may_have_keys(number):
            return None
        policy = self.settings.policy(number)
        key = read_key(message)
        refusal = check_key(key, policy)
        if refusal is not None or key == NO_KEY:
            return refusal
        digest = key_digest(number, request.tenant, key)
        if self.peers is not None:
            reply = self.peers.route(now_ns, digest, request, message)
            if reply is not None:
                return reply
        if not rules.window_ns and not self.store.has_entry(now_ns, digest):
            return None  # keys are ignored, but for those of a time with other settings
        arrival = Arrival(
            request=request,
            key=digest,
            fingerprint=request_fingerprint(message.method, message.target, message.body),
            rules=rules,
            tenant=request.tenant,
        )
        return self._decide(now_ns, arrival)

    def _apply_sender_rules(self, request: Any, message: Any) -> KeyRules:
        """Return the rules for a request's key: those in force here, or stricter ones.

        A member with another version of the configuration may have forwarded it. The request then
        gets that member's effect, if it is the stricter one.
        """
        number = service_classes.class_number(request)
        rules = self.settings.rules(number)
        sender = decode_rules(message.read_headers or {})
        if sender is None:
            return rules
        service_class = request.service_class
        effect = service_classes.stricter_effect(service_class.effect, sender.effect)
        if effect is not service_class.effect:
            request.service_class = replace(service_class, effect=effect)
        self.settings.note_window(number, sender.window_ns)
        return rules.strictest(KeyRules(number, sender.window_ns, effect is Effect.SAFE))

    def _decide(self, now_ns: int, arrival: Arrival) -> Reply | PendingDecision | None:
        request: Any = arrival.request
        decision = self.store.arrive(now_ns, arrival)
        if decision.verdict is Verdict.WAIT:
            self._pending[request] = self._host.runtime.loop.create_future()
            return self._pending[request]
        if decision.verdict is not Verdict.NEW:
            return reply_to(decision, self.settings.current.max_retry_after_ns)
        self._keyed[request] = self._identity(arrival)
        if not self._must_record(request):
            return None
        pending: PendingDecision = self._host.runtime.loop.create_future()
        self._run_when_recorded(request, pending)
        return pending

    def _identity(self, arrival: Arrival) -> KeyedRequest:
        """Return a key's identity, with the names of service class and tenant.

        Records have the names because the numbers may change with the settings.
        """
        return KeyedRequest(
            key=arrival.key,
            fingerprint=arrival.fingerprint,
            service_class=self.settings.policy(arrival.rules.service_class).name,
            tenant=None if arrival.tenant is None else self._tenant_names[arrival.tenant],
        )

    def _must_record(self, request: Any) -> bool:
        return self._recorder is not None and not is_safe(request)

    def _run_when_recorded(self, request: Any, pending: PendingDecision) -> None:
        """Let a request run as soon as its record is durable.

        Reject it if the record can't be written.
        """

        def proceed(durable: asyncio.Future[None]) -> None:
            if pending.done():
                return  # the request has ended meanwhile
            if durable.exception() is None:
                pending.set_result(None)
                return
            # Without the record it could run a second time after a crash. Rejecting is correct
            # because no attempt was made yet.
            self.record_failures += 1
            retry_after_ns = min(RETRY_AFTER_NS, self.settings.current.max_retry_after_ns)
            pending.set_result(rejected(retry_after_ns))

        assert self._recorder is not None
        durable = self._recorder.record_started(self._keyed[request], self._window_ns(request))
        durable.add_done_callback(proceed)

    def _window_ns(self, request: Any) -> int:
        """Return the window to record of a running request's key."""
        return self.settings.recorded_window_ns(self.store.running[request].rules)

    # A running request.

    def dispatching(self, _now_ns: int, attempt: Any, _headers: Any) -> bool:
        """Note an attempt that is about to be sent; return False, as it never forbids sending."""
        self.store.attempt_started(attempt.request, attempt)
        return False

    def ended(self, now_ns: int, attempt: Any, outcome: str, received: Any) -> None:
        """Note how an attempt has ended."""
        request = attempt.request
        self.store.attempt_ended(request, attempt, outcome)
        if outcome == Outcome.SERVED and request in self._keyed:
            # Finish it even if the client has left, because a repeat may still arrive.
            self._finish(now_ns, request, StoredResponse(received.body, received.content_type))

    def answered(self, now_ns: int, request: Any, answer: Any) -> None:
        """Note the final response to a request."""
        if request in self._keyed:
            response = None
            if is_served(answer):
                response = StoredResponse(answer.body, answer.content_type)
            self._finish(now_ns, request, response)

    def leaving(self, _now_ns: int, request: Any) -> bool:
        """Note that a client has left; return whether its request must continue."""
        departure = self.store.client_left(request)
        self.leave(departure.abandoned)
        if departure.keep_running:
            return True
        # An unsafe request with an open attempt can't run again in its window. Unless the operator
        # allows cancelling it, it continues, so that a repeat can receive its result.
        may_cancel = self._cancel_abandoned_unsafe or not is_unsafe(request)
        return not may_cancel and self.store.has_open_attempt(request)

    def over(self, now_ns: int, request: Any) -> None:
        """Note the end of a request: it has its final response, or its client has left."""
        pending = self._pending.pop(request, None)
        if pending is not None:
            # It was waiting when its time limit expired or its client left.
            self.leave(self.store.client_left(request).abandoned)
            pending.cancel()
        if request in self._keyed:
            self._finish(now_ns, request, None)

    def leave(self, abandoned: Any) -> None:
        """End a running request that was continued only for waiters, if all of them have left."""
        if abandoned is not None:
            self._host.requests.abandon(abandoned)

    def _finish(self, now_ns: int, request: Any, response: StoredResponse | None) -> None:
        entry = self.store.running[request]
        resolutions = self.store.finish(now_ns, request, response)
        keyed = self._keyed.pop(request)
        if self._recorder is not None and not is_safe(request):
            window_ns = self.settings.recorded_window_ns(entry.rules)
            self._recorder.record_finished(keyed, entry, window_ns, bool(resolutions))
        for resolution in resolutions:
            self._resolve(keyed, resolution)

    def _resolve(self, keyed: KeyedRequest, resolution: Resolution) -> None:
        """Apply the decision on a request that has waited."""
        request, decision = resolution.request, resolution.decision
        pending = self._pending.pop(request)
        if decision.verdict is not Verdict.NEW:
            if not pending.done():
                pending.set_result(reply_to(decision, self.settings.current.max_retry_after_ns))
            return
        self._keyed[request] = keyed
        if self._must_record(request):
            # It needs a record of its own: the record of the request that had the key before may
            # not be durable yet, and has an earlier time.
            self._run_when_recorded(request, pending)
        elif not pending.done():
            pending.set_result(None)

    # Counters.

    def told(self) -> dict[str, Any]:
        """Return the counters for the operator."""
        store = self.store
        counters: dict[str, Any] = {
            "name": "repeats",
            "keys": len(store.table) + len(store.recovered),
            "mb": round(sum(partition.bytes for partition in store.partitions) / BYTES_PER_MB, 2),
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
