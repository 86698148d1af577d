"""Restores the store from a journal after a restart."""

from collections import Counter
from collections.abc import Callable, Sequence
from operator import attrgetter

from msgspec import Struct

from pepperhook.idempotency.capacity import ENTRY_BYTES
from pepperhook.idempotency.entries import KeyRules, StoredResponse
from pepperhook.idempotency.journal.record import Record, RecordKind
from pepperhook.idempotency.journal.recovery import Recovery
from pepperhook.idempotency.recovered import RecoveredEntry, TenantUsage
from pepperhook.idempotency.settings_in_force import SettingsInForce
from pepperhook.idempotency.store import IdempotencyStore

_KIND_OF = attrgetter("kind")
_SERVICE_CLASS_OF = attrgetter("service_class")
_TENANT_OF = attrgetter("tenant")
_WINDOW_OF = attrgetter("window_ns")


class Restored(Struct, frozen=True):
    """How many entries were restored."""

    entries: int
    interrupted: int  # requests that were running when the process ended


def restore(
    store: IdempotencyStore,
    recovery: Recovery,
    tenant_names: Sequence[str],
    now_ns: int,
    clock_offset_ns: int,
) -> Restored:
    """Fill an empty store. Tenants that the settings no longer list count as unknown.

    ``clock_offset_ns`` is added to times of the machine's monotonic clock to get times of the clock
    of ``now_ns``.
    """
    service_classes = {policy.name: number for number, policy in enumerate(store.service_classes)}
    tenants = {name: number for number, name in enumerate(tenant_names)}
    records = _filter_records(recovery.records, service_classes)
    _note_windows(store.settings, records, service_classes)
    decode = _make_decoder(service_classes, tenants, store.settings, now_ns, clock_offset_ns)
    store.restore(records, decode, _usage_by_tenant(records, tenants))
    kinds = Counter(map(_KIND_OF, records.values()))
    return Restored(entries=len(records), interrupted=kinds[RecordKind.STARTED])


def _filter_records(
    records: dict[bytes, Record], service_classes: dict[str, int]
) -> dict[bytes, Record]:
    """Omit requests that never ran, and service classes that the settings no longer list."""
    # Of a million records there is usually none to omit, which map() detects without a Python loop.
    kinds = set(map(_KIND_OF, records.values()))
    recorded_classes = set(map(_SERVICE_CLASS_OF, records.values()))
    if RecordKind.NEVER_RAN not in kinds and recorded_classes <= set(service_classes):
        return records
    return {
        key: record
        for key, record in records.items()
        if record.kind != RecordKind.NEVER_RAN and record.service_class in service_classes
    }


def _note_windows(
    settings: SettingsInForce, records: dict[bytes, Record], service_classes: dict[str, int]
) -> None:
    """Note the windows of records from a time with other settings."""
    windows_ns = set(map(_WINDOW_OF, records.values()))
    if windows_ns <= {0}:
        return
    for record in records.values():
        settings.note_window(service_classes[record.service_class], record.window_ns)


def _make_decoder(
    service_classes: dict[str, int],
    tenants: dict[str, int],
    settings: SettingsInForce,
    now_ns: int,
    clock_offset_ns: int,
) -> Callable[[Record], RecoveredEntry]:
    def decode(record: Record) -> RecoveredEntry:
        recorded = KeyRules(service_classes[record.service_class], record.window_ns, is_safe=False)
        rules = settings.strictest(recorded)
        # An interrupted request may have run until the process ended, at an unknown time.
        is_interrupted = record.kind == RecordKind.STARTED
        ended_ns = now_ns if is_interrupted else record.recorded_ns + clock_offset_ns
        response = None
        if record.body is not None:
            response = StoredResponse(record.body, record.response_type())
        return RecoveredEntry(
            fingerprint=record.fingerprint,
            rules=rules,
            tenant=None if record.tenant is None else tenants.get(record.tenant),
            response=response,
            is_completed=record.kind == RecordKind.COMPLETED,
            expires_ns=ended_ns + rules.window_ns,
        )

    return decode


def _usage_by_tenant(records: dict[bytes, Record], tenants: dict[str, int]) -> list[TenantUsage]:
    """Sum up the capacity that each tenant's records use."""
    counts = Counter(map(_TENANT_OF, records.values()))
    body_bytes = dict.fromkeys(counts, 0)
    for record in records.values():
        if record.body is not None:
            body_bytes[record.tenant] += len(record.body)
    return [
        TenantUsage(
            tenant=None if name is None else tenants.get(name),
            entries=count,
            bytes=count * ENTRY_BYTES + body_bytes[name],
        )
        for name, count in counts.items()
    ]
