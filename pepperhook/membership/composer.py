"""Composes the messages of the local member, each with piggybacked updates."""

from typing import Any

from pepperhook.membership.dissemination import Dissemination
from pepperhook.membership.members import MemberTable
from pepperhook.membership.messages import Address, MemberRecord, Message, MessageType, Outgoing


class MessageComposer:
    """Composes messages with the local member as their sender."""

    def __init__(self, table: MemberTable, dissemination: Dissemination) -> None:
        """Take the sender's record and digest from ``table``, updates from ``dissemination``."""
        self._table = table
        self._dissemination = dissemination

    def ping(self, target: MemberRecord, sequence: int) -> Outgoing:
        """Return a probe of a member, with the digest of the local table."""
        return self.to_member(MessageType.PING, sequence, target, self._table.digest.as_list())

    def sync(self, address: Address, name: str = "") -> Outgoing:
        """Return a request to compare tables; without a name, for any member at the address."""
        return self._compose(address, name, MessageType.SYNC, 0, self._table.digest.as_list())

    def to_member(
        self, message_type: MessageType, sequence: int, target: MemberRecord, payload: Any = None
    ) -> Outgoing:
        """Return a message to a member."""
        return self._compose(target.address, target.name, message_type, sequence, payload)

    def _compose(
        self, address: Address, name: str, message_type: MessageType, sequence: int, payload: Any
    ) -> Outgoing:
        piggyback = self._dissemination.piggyback(name)
        message = Message(
            message_type,
            sequence,
            self._table.local,
            name,
            payload,
            piggyback.updates,
            piggyback.accusers,
        )
        return Outgoing(address, message)
