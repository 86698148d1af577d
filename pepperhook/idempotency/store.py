"""The idempotency-key store of one balancer: decisions only, without I/O and without a clock.

The store treats requests and attempts as opaque handles. Times are whole nanoseconds.
"""

from collections.abc import Callable, Hashable, Sequence
from typing import Any

from msgspec import Struct

from pepperhook.domain import NEVER_EXECUTED
from pepperhook.idempotency.capacity import (
    ENTRY_BYTES,
    EntryTable,
    TenantPartition,
    partition_by_quota,
    resize_partitions,
)
from pepperhook.idempotency.entries import (
    Arrival,
    Decision,
    Departure,
    Entry,
    EntryState,
    Execution,
    KeyRules,
    Resolution,
    StoredResponse,
    Verdict,
)
from pepperhook.idempotency.recovered import RecoveredEntries, RecoveredEntry, TenantUsage
from pepperhook.idempotency.service_classes import ServiceClassPolicy
from pepperhook.idempotency.settings_in_force import SettingsInForce
from pepperhook.idempotency.waiters import WaiterRegistry

MIN_RETRY_AFTER_NS = 100 * 10**6  # also used if no ended entry is queued to expire


class StoreLimits(Struct, frozen=True):
    """Limits of a store."""

    max_entries: int
    max_bytes: int
    max_waiters_per_key: int
    max_body_bytes: int  # a larger response is not stored


class IdempotencyStore:
    """All keys of one balancer."""

    def __init__(self, settings: SettingsInForce, limits: StoreLimits) -> None:
        """Create an empty store."""
        self.settings = settings
        self.limits = limits
        self.partitions = partition_by_quota(
            settings.current.quotas, limits.max_entries, limits.max_bytes
        )
        self.table = EntryTable()
        self.waiters = WaiterRegistry(limits.max_waiters_per_key)
        self.running: dict[Hashable, Entry] = {}  # by the request that runs for the entry
        self.recovered = RecoveredEntries()
        self.counts = dict.fromkeys(Verdict, 0)
        self.responses_not_stored = 0

    @property
    def service_classes(self) -> Sequence[ServiceClassPolicy]:
        """The policies in force, by service class number."""
        return self.settings.current.policies

    def settings_changed(self) -> None:
        """Split the capacity by the quotas in force."""
        resize_partitions(
            self.partitions,
            self.settings.current.quotas,
            self.limits.max_entries,
            self.limits.max_bytes,
        )

    # Arrival.

    def arrive(self, now_ns: int, arrival: Arrival) -> Decision:
        """Decide on a request that has just arrived."""
        self.remove_expired(now_ns, self.partition_of(arrival.tenant))
        entry = self._find(now_ns, arrival.key)
        decision = self._decide_repeat(entry, arrival) if entry else self._start(now_ns, arrival)
        self.counts[decision.verdict] += 1
        return decision

    def has_entry(self, now_ns: int, key: bytes) -> bool:
        """Return whether a key's first request runs, or has ended and its window is not over."""
        return self._find(now_ns, key) is not None

    def _find(self, now_ns: int, key: bytes) -> Entry | None:
        """Return the entry of a key, or None if there is none or its window is over."""
        entry = self.table.get(key) or self._restore_entry(key)
        # ``remove_expired`` can miss an expired entry: one that was just restored from the journal,
        # or one that is queued behind an entry with a later expiry.
        if entry is None or not entry.is_expired(now_ns, self.settings.extension_ns(entry.rules)):
            return entry
        self.table.remove(entry)
        return None

    def _decide_repeat(self, entry: Entry, arrival: Arrival) -> Decision:
        if entry.fingerprint != arrival.fingerprint:
            return Decision(Verdict.FINGERPRINT_MISMATCH)
        if entry.state is EntryState.INDETERMINATE:
            return Decision(Verdict.INDETERMINATE)
        if entry.state is EntryState.COMPLETED:
            if entry.response is None:
                return Decision(Verdict.RESPONSE_NOT_STORED)
            return Decision(Verdict.REPLAY, entry.response)
        if not self.waiters.add(entry, arrival.request):
            return Decision(Verdict.REJECTED, retry_after_ns=MIN_RETRY_AFTER_NS)
        entry.rules = entry.rules.strictest(arrival.rules)  # it may run for the key itself
        return Decision(Verdict.WAIT)

    def _start(self, now_ns: int, arrival: Arrival) -> Decision:
        partition = self.partition_of(arrival.tenant)
        if not self.make_room(now_ns, partition, ENTRY_BYTES):
            wait_ns = partition.next_expiry_ns(self.settings, default_ns=now_ns) - now_ns
            return Decision(Verdict.REJECTED, retry_after_ns=max(MIN_RETRY_AFTER_NS, wait_ns))
        entry = Entry(
            key=arrival.key,
            partition=partition,
            rules=arrival.rules,
            fingerprint=arrival.fingerprint,
            size=ENTRY_BYTES,
            execution=Execution(arrival.request),
        )
        self.table.add(entry)
        self.running[arrival.request] = entry
        return Decision(Verdict.NEW)

    # Capacity.

    def partition_of(self, tenant: int | None) -> TenantPartition:
        """Return a tenant's partition; tenants that the settings do not list share the last one."""
        return self.partitions[-1 if tenant is None else tenant]

    def make_room(
        self, now_ns: int, partition: TenantPartition, size: int, new_entries: int = 1
    ) -> bool:
        """Free capacity for ``size`` bytes and ``new_entries`` entries; return whether they fit.

        Expired entries are removed first, then ended entries of safe service classes, oldest first.
        Entries are never evicted while their request runs, or if it must not run again.
        """
        if partition.fits(size, new_entries):
            return True
        self.remove_expired(now_ns, partition)
        self.table.evict(partition, size, new_entries, self._is_safe)
        return partition.fits(size, new_entries)

    def remove_expired(self, now_ns: int, partition: TenantPartition) -> None:
        """Remove the expired entries of a partition, and a batch of expired recovered ones."""
        for recovered in self.recovered.take_expired(now_ns):
            self.partition_of(recovered.tenant).release(recovered.size)
        self.table.remove_expired(now_ns, partition, self.settings)

    def _is_safe(self, rules: KeyRules) -> bool:
        """Return whether a key was only used, and is still, in a safe service class."""
        return self.settings.strictest(rules).is_safe

    # Running requests.

    def attempt_started(self, request: Hashable, attempt: Hashable) -> None:
        """Note that an attempt is about to be sent; a repeated call has no effect."""
        entry = self.running.get(request)
        if entry is not None:
            entry.running.open_attempts.add(attempt)

    def attempt_ended(self, request: Hashable, attempt: Hashable, outcome: str) -> None:
        """Note how an attempt has ended."""
        entry = self.running.get(request)
        if entry is None or attempt not in entry.running.open_attempts:
            return
        entry.running.open_attempts.discard(attempt)
        if outcome not in NEVER_EXECUTED:
            entry.running.has_run = True

    def has_open_attempt(self, request: Hashable) -> bool:
        """Return whether a request has an open attempt."""
        entry = self.running.get(request)
        return entry is not None and bool(entry.running.open_attempts)

    def finish(
        self, now_ns: int, request: Hashable, response: StoredResponse | None
    ) -> list[Resolution]:
        """End the request that runs for a key; ``response`` is None unless it was served.

        Returns the decisions on the requests that waited for it.
        """
        entry = self.running.pop(request, None)
        if entry is None:
            return []
        if response is not None:
            return self._complete(now_ns, entry, response)
        if entry.running.may_have_run and not self._is_safe(entry.rules):
            resolutions = self._resolve_waiters(entry, Decision(Verdict.INDETERMINATE))
            self._end(now_ns, entry, EntryState.INDETERMINATE)
            return resolutions
        return self.hand_over(entry)

    def _complete(self, now_ns: int, entry: Entry, response: StoredResponse) -> list[Resolution]:
        is_stored = self._store_response(now_ns, entry, response)
        # Requests that wait now receive the response even if it is not stored.
        resolutions = self._resolve_waiters(entry, Decision(Verdict.REPLAY, response))
        if not is_stored and self._is_safe(entry.rules):
            # Without the entry, a later repeat runs the request again, which is safe, instead of
            # failing because there is no stored response.
            entry.end(EntryState.COMPLETED, now_ns)
            self.table.remove(entry)
        else:
            self._end(now_ns, entry, EntryState.COMPLETED)
        return resolutions

    def _store_response(self, now_ns: int, entry: Entry, response: StoredResponse) -> bool:
        """Store a response if it fits; return whether it was stored."""
        size = len(response.body)
        if size > self.limits.max_body_bytes or not self.make_room(
            now_ns, entry.partition, size, new_entries=0
        ):
            self.responses_not_stored += 1
            return False
        entry.response = response
        entry.size += size
        entry.partition.charge(size, entries=0)
        return True

    def _end(self, now_ns: int, entry: Entry, state: EntryState) -> None:
        entry.rules = self.settings.strictest(entry.rules)
        entry.end(state, now_ns + entry.rules.window_ns)
        entry.partition.schedule_expiry(entry)

    def _resolve_waiters(self, entry: Entry, decision: Decision) -> list[Resolution]:
        requests = self.waiters.remove_all(entry)
        self.counts[decision.verdict] += len(requests)
        return [Resolution(request, decision) for request in requests]

    def hand_over(self, entry: Entry) -> list[Resolution]:
        """Let the first waiter, if any, run for an entry; the others wait for its result.

        Called if the entry's request never ran or is safe to run again. Without a waiter, the
        entry is removed.
        """
        successor = self.waiters.remove_first(entry)
        if successor is None:
            self.table.remove(entry)
            return []
        entry.hand_over(successor)
        self.running[successor] = entry
        self.counts[Verdict.NEW] += 1
        return [Resolution(successor, Decision(Verdict.NEW))]

    def client_left(self, request: Hashable) -> Departure:
        """Note that a request's client has left, or that its time limit has expired."""
        entry = self.waiters.remove(request)
        if entry is not None:
            execution = entry.running
            is_last = execution.is_abandoned and not execution.waiters
            return Departure(keep_running=False, abandoned=execution.request if is_last else None)
        entry = self.running.get(request)
        if entry is None:
            return Departure(keep_running=False)
        entry.running.is_abandoned = True
        return Departure(keep_running=bool(entry.running.waiters))

    # Restarts.

    def restore(
        self,
        records: dict[bytes, Any],
        decode: Callable[[Any], RecoveredEntry],
        usage: Sequence[TenantUsage],
    ) -> None:
        """Restore the records of a journal, by key, roughly in the order in which requests ended.

        Afterwards the store may exceed limits that were lowered, because an entry of a request that
        may have run must not be dropped.
        """
        self.recovered = RecoveredEntries(records, decode)
        for tenant_usage in usage:
            self.partition_of(tenant_usage.tenant).charge(tenant_usage.bytes, tenant_usage.entries)

    def _restore_entry(self, key: bytes) -> Entry | None:
        recovered = self.recovered.take(key)
        if recovered is None:
            return None
        entry = Entry(
            key=key,
            partition=self.partition_of(recovered.tenant),
            rules=recovered.rules,
            fingerprint=recovered.fingerprint,
            size=recovered.size,
            response=recovered.response,
        )
        state = EntryState.COMPLETED if recovered.is_completed else EntryState.INDETERMINATE
        entry.end(state, recovered.expires_ns)
        self.table.add_recovered(entry)
        return entry
