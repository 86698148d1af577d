"""Capacity of the store by tenant, and the order in which entries expire and are evicted.

Each tenant has a fixed part of the capacity, in proportion to its quota, so that entries of one
tenant never evict those of another.
"""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from pepperhook.idempotency.entries import Entry, KeyRules
from pepperhook.idempotency.settings_in_force import SettingsInForce

# Bytes charged for an entry in addition to its response body. The amount is fixed so that a limit
# always means the same number of entries. In tracemalloc, a running entry takes 561 bytes and an
# ended one 285.
ENTRY_BYTES = 700


@dataclass(slots=True, eq=False)
class TenantPartition:
    """One tenant's part of the capacity, and what is used of it."""

    max_entries: int
    max_bytes: int
    entries: int = 0
    bytes: int = 0
    # Ended entries by their rules, earliest expiry first. All entries with the same rules have the
    # same window, so they expire in the order in which they ended.
    expiring: dict[KeyRules, deque[Entry]] = field(default_factory=dict)

    def fits(self, size: int, new_entries: int = 1) -> bool:
        """Return whether ``size`` more bytes and ``new_entries`` entries fit within the limits."""
        has_entries = self.entries + new_entries <= self.max_entries
        return has_entries and self.bytes + size <= self.max_bytes

    def charge(self, size: int, entries: int = 1) -> None:
        """Add entries and bytes to the usage."""
        self.entries += entries
        self.bytes += size

    def release(self, size: int) -> None:
        """Subtract one entry of ``size`` bytes from the usage."""
        self.entries -= 1
        self.bytes -= size

    def schedule_expiry(self, entry: Entry) -> None:
        """Append an entry that has just ended to the expiry queue of its rules."""
        self.expiring.setdefault(entry.rules, deque()).append(entry)

    def schedule_recovered_expiry(self, entry: Entry) -> None:
        """Add an entry from before the last start to the expiry queue of its rules.

        Normally it ended before all queued entries and goes to the front. If the resulting order
        is not exact, the entry is only removed somewhat later than its window ends.
        """
        queue = self.expiring.setdefault(entry.rules, deque())
        if queue and entry.expires_ns <= queue[0].expires_ns:
            queue.appendleft(entry)
        else:
            queue.append(entry)

    def next_expiry_ns(self, settings: SettingsInForce, default_ns: int) -> int:
        """Return when the next ended entry expires, or ``default_ns`` if there is none."""
        return min(
            (
                queue[0].expires_ns + settings.extension_ns(rules)
                for rules, queue in self.expiring.items()
                if queue
            ),
            default=default_ns,
        )


def partition_by_quota(
    quotas: Sequence[float], max_entries: int, max_bytes: int
) -> list[TenantPartition]:
    """Split the capacity in proportion to the quotas; each partition fits at least one entry."""
    partitions = [TenantPartition(max_entries=0, max_bytes=0) for _ in quotas]
    resize_partitions(partitions, quotas, max_entries, max_bytes)
    return partitions


def resize_partitions(
    partitions: Sequence[TenantPartition],
    quotas: Sequence[float],
    max_entries: int,
    max_bytes: int,
) -> None:
    """Split the capacity anew; what exceeds a lowered limit stays until it expires."""
    total = sum(quotas)
    for partition, quota in zip(partitions, quotas, strict=True):
        partition.max_entries = max(1, int(max_entries * quota / total))
        partition.max_bytes = max(ENTRY_BYTES, int(max_bytes * quota / total))


class EntryTable:
    """All entries by key, charged to the partitions of their tenants."""

    def __init__(self) -> None:
        """Create an empty table."""
        self.entries: dict[bytes, Entry] = {}
        self.evicted = 0

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self.entries)

    def get(self, key: bytes) -> Entry | None:
        """Return the entry of a key, or None."""
        return self.entries.get(key)

    def add(self, entry: Entry) -> None:
        """Add a new entry and charge it to its partition."""
        self.entries[entry.key] = entry
        entry.partition.charge(entry.size)

    def add_recovered(self, entry: Entry) -> None:
        """Add a recovered entry, which was charged to its partition when the store was restored."""
        self.entries[entry.key] = entry
        entry.partition.schedule_recovered_expiry(entry)

    def remove(self, entry: Entry) -> None:
        """Remove an entry, unless a newer one has replaced it under the same key."""
        if self.entries.get(entry.key) is entry:
            del self.entries[entry.key]
            entry.partition.release(entry.size)

    def remove_expired(
        self, now_ns: int, partition: TenantPartition, settings: SettingsInForce
    ) -> None:
        """Remove the entries of a partition whose windows have ended."""
        for rules, queue in list(partition.expiring.items()):
            extension_ns = settings.extension_ns(rules)
            while queue and queue[0].is_expired(now_ns, extension_ns):
                self.remove(queue.popleft())
            if not queue:
                del partition.expiring[rules]

    def evict(
        self,
        partition: TenantPartition,
        size: int,
        new_entries: int,
        is_evictable: Callable[[KeyRules], bool],
    ) -> None:
        """Remove ended entries with evictable rules, oldest first, until the new ones fit."""
        for rules, queue in partition.expiring.items():
            if not is_evictable(rules):
                continue
            while queue and not partition.fits(size, new_entries):
                self.evicted += 1
                self.remove(queue.popleft())
