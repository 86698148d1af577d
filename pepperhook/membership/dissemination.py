"""Dissemination: pending updates are piggybacked on messages until all members likely have them."""

from dataclasses import dataclass, field
from math import ceil, log2

from pepperhook.membership.members import MemberTable
from pepperhook.membership.messages import MemberRecord
from pepperhook.membership.settings import ProtocolSettings
from pepperhook.membership.suspicion import SuspicionTimers

PIGGYBACK_BYTES = 900  # space for updates in each datagram
# Upper bounds of the MessagePack bytes of a record without its strings' characters, and of a
# string without its characters.
RECORD_OVERHEAD_BYTES = 28
STRING_OVERHEAD_BYTES = 2


@dataclass(slots=True)
class Piggyback:
    """Updates to send with one message, and one accuser for each suspect among them."""

    updates: list[MemberRecord] = field(default_factory=list)
    accusers: list[str] = field(default_factory=list)


class Dissemination:
    """The pending updates: members whose records are to be sent, with the transmissions so far."""

    def __init__(
        self, settings: ProtocolSettings, table: MemberTable, suspicions: SuspicionTimers
    ) -> None:
        """Take records from ``table``, and accusers from ``suspicions``."""
        self._settings = settings
        self._table = table
        self._suspicions = suspicions
        self.transmissions: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of pending updates."""
        return len(self.transmissions)

    def enqueue(self, name: str) -> None:
        """Begin to disseminate a member's record, or begin again."""
        self.transmissions[name] = 0

    def discard(self, name: str) -> None:
        """Stop disseminating a member's record."""
        self.transmissions.pop(name, None)

    def retransmit_limit(self) -> int:
        """Return how many times to send an update, so that all members are likely to receive it."""
        return ceil(self._settings.retransmit_multiplier * log2(self._table.cluster_size + 1))

    def piggyback(self, recipient: str) -> Piggyback:
        """Choose the updates for a message, those sent least often first, and count them."""
        piggyback = Piggyback()
        remaining_bytes = PIGGYBACK_BYTES
        limit = self.retransmit_limit()
        for name in self._in_send_order(recipient):
            record = self._table.record_of(name)
            accusers = self._suspicions.accusers_of(name)
            size = update_size(record, accusers)
            if size > remaining_bytes:
                break
            remaining_bytes -= size
            piggyback.updates.append(record)
            if accusers:
                # Accusers alternate, because each one that a receiver learns of is a confirmation.
                transmission = self.transmissions.get(name, 0)
                piggyback.accusers.append(accusers[transmission % len(accusers)])
            self._count_transmission(name, limit)
        return piggyback

    def _in_send_order(self, recipient: str) -> list[str]:
        """Return the names of pending updates: a suspected recipient, then the least often sent."""
        names = sorted(self.transmissions, key=self.transmissions.__getitem__)
        if recipient in self._suspicions:
            # Every message to a suspect informs it of its suspicion, so that it can refute it
            # (Lifeguard's buddy system).
            names = [recipient, *(name for name in names if name != recipient)]
        return names

    def _count_transmission(self, name: str, limit: int) -> None:
        """Count a transmission of an update, and discard the update at the limit."""
        count = self.transmissions.get(name, 0) + 1
        if count < limit:
            self.transmissions[name] = count
        else:
            self.discard(name)


def update_size(record: MemberRecord, accusers: list[str]) -> int:
    """Return an upper bound of the size of an update in a datagram, in bytes."""
    size = len(record.name) + len(record.address[0]) + RECORD_OVERHEAD_BYTES
    if accusers:
        size += len(accusers[0]) + STRING_OVERHEAD_BYTES
    return size
