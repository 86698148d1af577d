"""Piggybacked updates, and pages of the member table."""

import pytest

from pepperhook.membership.anti_entropy import MAX_PAGES
from pepperhook.membership.datagram import MAX_DATAGRAM_BYTES, encode
from pepperhook.membership.digest import BUCKETS
from pepperhook.membership.messages import Message, MessageType
from tests.membership.helpers import KEYS, make_protocol, record, suspect

MEMBERS = 300


@pytest.fixture
def member_of_large_cluster():
    """A member that has just received the records of 300 others with long names."""
    protocol = make_protocol()
    for number in range(MEMBERS):
        name = f"a-balancer-with-a-long-name-{number:04}"
        protocol.view.merge(0, record(name, address=("203.0.113.250", 17946)), "a")
    return protocol


def test_every_message_to_a_suspect_informs_it_of_its_suspicion():
    protocol = make_protocol("abcdefgh")
    updates = protocol.view.updates
    protocol.view.merge(0, suspect("a"), "b")
    for _ in range(60):
        updates.piggyback("c")
    assert len(updates) == 0

    piggyback = updates.piggyback("a")

    assert piggyback.updates[0] == suspect("a")
    assert piggyback.accusers == ["b"]


def test_each_update_is_sent_as_often_as_the_limit_in_datagrams_that_fit_a_packet(
    member_of_large_cluster,
):
    updates = member_of_large_cluster.view.updates
    digest = member_of_large_cluster.table.digest.as_list()
    sent = 0

    for _ in range(2000):
        piggyback = updates.piggyback("x")
        message = Message(
            MessageType.ACK,
            1,
            member_of_large_cluster.table.local,
            "x",
            digest,
            piggyback.updates,
            piggyback.accusers,
        )
        assert len(encode(message, KEYS)) <= MAX_DATAGRAM_BYTES
        sent += len(piggyback.updates)

    assert len(updates) == 0
    assert sent == (MEMBERS + 1) * updates.retransmit_limit()


def test_a_table_is_sent_in_a_bounded_number_of_pages_that_fit_a_datagram(member_of_large_cluster):
    sync = Message(MessageType.SYNC, 0, record("z"), "", [0] * BUCKETS)

    pages = member_of_large_cluster.receive(0, sync)

    assert 10 < len(pages) <= MAX_PAGES
    assert all(len(encode(page.message, KEYS)) <= MAX_DATAGRAM_BYTES for page in pages)
