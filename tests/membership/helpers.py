"""Helpers of the membership tests."""

from collections.abc import Iterable
from typing import Any

from pepperhook.key_ring import KeyRing
from pepperhook.membership.digest import Digest
from pepperhook.membership.local_health import MAX_SCORE
from pepperhook.membership.messages import (
    MemberRecord,
    MemberState,
    Message,
    MessageType,
    Outgoing,
)
from pepperhook.membership.probe_relay import MAX_RELAYED_PROBES
from pepperhook.membership.protocol import SwimProtocol

SECRET = "a long secret of the installation"
KEYS = KeyRing([("k1", SECRET)])
WRONG_KEYS = KeyRing([("k1", "not the secret of the installation")])
LOCAL = "me"


def record(name: str = "a", **changes: Any) -> MemberRecord:
    """Return a member's record."""
    # The default port depends on the first letter of the name.
    fields = {
        "name": name,
        "address": ("127.0.0.1", 1000 + ord(name[0])),
        "tier": 0,
        "incarnation": 5,
        **changes,
    }
    return MemberRecord(**fields)


def suspect(name: str, **changes: Any) -> MemberRecord:
    """Return the record of a suspected member."""
    return record(name, state=MemberState.SUSPECT, **changes)


def lost(name: str, **changes: Any) -> MemberRecord:
    """Return the record of a lost member."""
    return record(name, state=MemberState.LOST, **changes)


def make_protocol(known: Iterable[str] = ()) -> SwimProtocol:
    """Return the protocol of the member ``LOCAL``; ``known`` are names of members in its table."""
    protocol = SwimProtocol(record(LOCAL), [("127.0.0.1", 1)], 3, 0)
    for name in known:
        protocol.view.merge(0, record(name), name)
    return protocol


def state_of(protocol: SwimProtocol, name: str) -> MemberState:
    """Return the state of a member in another member's table."""
    return protocol.table.record_of(name).state


def of_type(outgoing: Iterable[Outgoing], message_type: MessageType) -> list[Message]:
    """Return the messages of one type."""
    return [item.message for item in outgoing if item.message.type == message_type]


def assert_consistent(protocol: SwimProtocol) -> None:
    """Check that a member's table and all that is derived from it agree, as they always must."""
    table = protocol.table
    states = {name: member.record.state for name, member in table.others.items()}
    present = {name for name in states if table.record_of(name).is_present}
    suspected = {name for name, state in states.items() if state == MemberState.SUSPECT}
    digest = Digest()
    for name in [table.local.name, *present]:
        digest.toggle(table.record_of(name))

    assert table.local.name not in table.others
    assert sorted(table.probe_order.names) == sorted(present)
    assert 0 <= table.probe_order.position <= len(present)
    assert set(protocol.view.suspicions.suspicions) == suspected
    assert table.digest.as_list() == digest.as_list()
    assert set(protocol.view.dissemination.transmissions) <= {table.local.name, *states}
    assert 0 <= protocol.local_health.score <= MAX_SCORE
    assert len(protocol.relay.probes) <= MAX_RELAYED_PROBES
