"""Entries from before the last start, decoded only when needed.

Decoding a million journal records at startup took six seconds. A record is therefore decoded when
its key arrives again or its window may have ended.
"""

from collections.abc import Callable
from typing import Any

from msgspec import Struct

from pepperhook.idempotency.capacity import ENTRY_BYTES
from pepperhook.idempotency.entries import KeyRules, StoredResponse

EXPIRY_BATCH = 200  # records examined per call, which bounds the delay of a single request


class RecoveredEntry(Struct, frozen=True):
    """What a journal has on one key. ``tenant`` is None if the settings do not list it."""

    fingerprint: bytes
    rules: KeyRules
    tenant: int | None
    response: StoredResponse | None
    is_completed: bool  # served; otherwise it may have run
    expires_ns: int

    @property
    def size(self) -> int:
        """Bytes charged to the tenant's partition."""
        return ENTRY_BYTES + (0 if self.response is None else len(self.response.body))


class TenantUsage(Struct, frozen=True):
    """The capacity that the recovered entries of one tenant use."""

    tenant: int | None
    entries: int
    bytes: int


class RecoveredEntries:
    """Records that are not decoded yet, by key, in the order in which their requests ended."""

    def __init__(
        self,
        records: dict[bytes, Any] | None = None,
        decode: Callable[[Any], RecoveredEntry] | None = None,
    ) -> None:
        """Store the records; ``decode`` converts a record to an entry."""
        self.records: dict[bytes, Any] = records if records is not None else {}
        self._decode = decode
        self._expiry_order = list(self.records)
        self._examined_count = 0

    def __len__(self) -> int:
        """Return the number of records that are not decoded yet."""
        return len(self.records)

    def decode(self, record: Any) -> RecoveredEntry:
        """Decode one record."""
        assert self._decode is not None
        return self._decode(record)

    def take(self, key: bytes) -> RecoveredEntry | None:
        """Remove and decode the record of a key; return None if there is none."""
        record = self.records.pop(key, None)
        return None if record is None else self.decode(record)

    def take_expired(self, now_ns: int) -> list[RecoveredEntry]:
        """Remove and decode expired records, examining at most EXPIRY_BATCH records."""
        expired: list[RecoveredEntry] = []
        batch = self._expiry_order[self._examined_count : self._examined_count + EXPIRY_BATCH]
        for key in batch:
            record = self.records.get(key)
            if record is not None:
                entry = self.decode(record)
                if entry.expires_ns > now_ns:
                    break
                del self.records[key]
                expired.append(entry)
            self._examined_count += 1
        return expired
