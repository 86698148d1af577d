"""Types of the wire protocol. Structs are encoded as arrays, so their field order is the format."""

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

from msgspec import Struct

Address = tuple[str, int]


class MemberState(IntEnum):
    """State of a member. At the same incarnation the larger value overrides the smaller.

    A member is present while ALIVE or SUSPECT, and absent when LOST or LEFT. LEFT is the state of a
    departed member, one that announced its departure itself.
    """

    ALIVE = 0
    SUSPECT = 1
    # Declared failed: "confirmed" in the SWIM paper, "dead" in other implementations.
    LOST = 2
    LEFT = 3

    @property
    def label(self) -> str:
        """The name of the state in output and log lines."""
        return self.name.lower()


class MessageType(IntEnum):
    """Kind of a message."""

    PING = 0
    ACK = 1
    NACK = 2  # the target did not answer the sender's probe on the receiver's behalf (Lifeguard)
    PING_REQ = 3  # probe a member on the sender's behalf
    SYNC = 4  # compare tables
    RECORDS = 5  # a page of a table
    QUERY = 6  # an operator's tool requests a page of the table


class MemberRecord(Struct, array_like=True, frozen=True):
    """What is known of a member; in a message it is an update."""

    name: str
    address: Address
    tier: int
    incarnation: int  # version of the record, raised only by the member itself
    state: MemberState = MemberState.ALIVE
    config_version: int = 0  # the configuration version that the member runs

    @property
    def is_present(self) -> bool:
        """Whether the member counts as present; a suspect does until its suspicion times out."""
        return self.state <= MemberState.SUSPECT

    def overrides(self, known: "MemberRecord") -> bool:
        """Return whether this update replaces what is known (section 4.2 of the SWIM paper).

        A lost or departed member returns only with a higher incarnation, which only the member
        itself raises. An update with a lower incarnation is outdated.
        """
        if self.incarnation != known.incarnation:
            return self.incarnation > known.incarnation
        return self.state > known.state


class Message(Struct, array_like=True):
    """One datagram.

    ``payload`` depends on the type: the digest of the sender's table (PING, ACK, SYNC, and RECORDS
    that request the receiver's records), the name of the member whose answer is relayed (ACK), the
    member to probe (PING_REQ), the number of the requested page (QUERY), or the page number and the
    count of all records (RECORDS that answer a QUERY). It is annotated ``Any``, as msgspec has no
    union of a list and a struct that is encoded as an array.
    """

    type: MessageType
    sequence: int  # of the probe or query that the message belongs to
    sender: MemberRecord
    target: str = ""  # only a member of this name answers; any member if empty
    payload: Any = None
    updates: list[MemberRecord] = []
    accusers: list[str] = []  # one for each suspect of ``updates``, in their order

    @property
    def digest(self) -> list[int] | None:
        """The payload if it is a list: a digest, or the page and count of an answer to a QUERY."""
        return self.payload if isinstance(self.payload, list) else None


@dataclass(slots=True, frozen=True)
class Outgoing:
    """A message, and the address to send it to."""

    address: Address
    message: Message
