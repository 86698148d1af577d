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


def test_a_message_to_a_suspect_carries_its_suspicion_even_if_no_update_is_pending():
    protocol = make_protocol("abcdefgh")
    dissemination = protocol.view.dissemination
    protocol.view.merge(0, suspect("a"), "b")
    # Until no update is pending any more.
    for _ in range(60):
        dissemination.piggyback("c")
    assert len(dissemination) == 0

    piggyback = dissemination.piggyback("a")

    assert piggyback.updates[0] == suspect("a")
    assert piggyback.accusers == ["b"]


def test_each_update_is_sent_retransmit_limit_times_in_datagrams_of_bounded_size(
    member_of_large_cluster,
):
    dissemination = member_of_large_cluster.view.dissemination
    digest = member_of_large_cluster.table.digest.as_list()
    sent = 0

    for _ in range(2000):
        piggyback = dissemination.piggyback("x")
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

    assert len(dissemination) == 0
    assert sent == (MEMBERS + 1) * dissemination.retransmit_limit()


def test_a_table_is_sent_in_a_bounded_number_of_pages_that_fit_a_datagram(member_of_large_cluster):
    sync = Message(MessageType.SYNC, 0, record("z"), "", [0] * BUCKETS)

    pages = member_of_large_cluster.receive(0, sync)

    # All 301 records would fill 26 pages.
    assert 10 < len(pages) <= MAX_PAGES
    assert all(len(encode(page.message, KEYS)) <= MAX_DATAGRAM_BYTES for page in pages)
