"""The member table: what the local member knows of itself and of all others."""

from dataclasses import dataclass
from typing import Any

import msgspec

from pepperhook.membership.digest import Digest
from pepperhook.membership.messages import Address, MemberRecord, MemberState
from pepperhook.membership.probe_order import ProbeOrder
from pepperhook.membership.seeded_random import SeededRandom

MAX_MEMBERS = 5000


@dataclass(slots=True)
class Member:
    """Another member, as the local one knows it."""

    record: MemberRecord
    state_since_ns: int
    last_sync_ns: int = 0  # when the local member last sent it a SYNC because of its digest


class MemberTable:
    """Records of all known members, with the probe order and the digest derived from them.

    ``version`` increases with each change of the set of present members.
    """

    def __init__(self, local: MemberRecord, random: SeededRandom) -> None:
        """Create a table of the local member alone."""
        self.local = local
        self.others: dict[str, Member] = {}
        self.probe_order = ProbeOrder(random)
        self.digest = Digest()
        self.digest.toggle(local)
        self.version = 1
        self.max_members = MAX_MEMBERS

    @property
    def is_full(self) -> bool:
        """Whether the limit of members is reached, which bounds memory if records are forged."""
        return len(self.others) >= self.max_members

    @property
    def cluster_size(self) -> int:
        """Number of present members, the local one among them."""
        return len(self.probe_order) + 1

    def record_of(self, name: str) -> MemberRecord:
        """Return the record of a known member, which may be the local one."""
        return self.local if name == self.local.name else self.others[name].record

    def records(self) -> list[MemberRecord]:
        """Return all records, the local one first."""
        return [self.local, *(member.record for member in self.others.values())]

    def present_names(self, tier: int | None = None) -> list[str]:
        """Return the names of present members, of one tier where it is given, sorted."""
        return sorted(
            record.name
            for record in self.records()
            if record.is_present and tier in (None, record.tier)
        )

    def departed_names(self, tier: int | None = None) -> list[str]:
        """Return the names of members that announced their departure, sorted."""
        return sorted(
            name
            for name, member in self.others.items()
            if member.record.state == MemberState.LEFT and tier in (None, member.record.tier)
        )

    def present_addresses(self) -> set[Address]:
        """Return the addresses of other members that are present."""
        return {m.record.address for m in self.others.values() if m.record.is_present}

    def lost_addresses(self) -> list[Address]:
        """Return the addresses of lost members."""
        return [
            member.record.address
            for member in self.others.values()
            if member.record.state == MemberState.LOST
        ]

    def add(self, record: MemberRecord, now: int) -> None:
        """Add an unknown member as LOST.

        The caller then passes its record to ``replace``, which updates probe order and digest as
        for a member that returns.
        """
        absent = msgspec.structs.replace(record, state=MemberState.LOST)
        self.others[record.name] = Member(absent, now)

    def replace(self, record: MemberRecord, now: int) -> None:
        """Replace the record of a known member."""
        member = self.others[record.name]
        previous = member.record
        member.record = record
        if previous.is_present:
            self.digest.toggle(previous)
        if record.is_present:
            self.digest.toggle(record)
        if previous.is_present != record.is_present:
            self._update_presence(record)
        if previous.state != record.state:
            member.state_since_ns = now

    def _update_presence(self, record: MemberRecord) -> None:
        if record.is_present:
            self.probe_order.insert(record.name)
        else:
            self.probe_order.remove(record.name)
        self.version += 1

    def update_local(self, **changes: Any) -> None:
        """Change the local member's record and raise its incarnation."""
        self.digest.toggle(self.local)
        changes.setdefault("incarnation", self.local.incarnation + 1)
        self.local = msgspec.structs.replace(self.local, **changes)
        self.digest.toggle(self.local)

    def forget_absent(self, now: int, after_ns: int) -> list[str]:
        """Drop members that have been absent for over ``after_ns``; return their names."""
        names = [
            name
            for name, member in self.others.items()
            if not member.record.is_present and now - member.state_since_ns > after_ns
        ]
        for name in names:
            del self.others[name]
        return names
