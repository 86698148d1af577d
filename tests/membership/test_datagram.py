"""Wire format of datagrams, rejection of invalid ones, and the rate limit of each sender."""

import pytest

from pepperhook.key_ring import KeyRing
from pepperhook.membership.datagram import (
    DatagramTooLargeError,
    InvalidDatagramError,
    decode,
    encode,
)
from pepperhook.membership.messages import Message, MessageType
from pepperhook.membership.rate_limit import MAX_SENDERS, SenderRateLimiter
from pepperhook.membership.settings import NS_PER_MS, NS_PER_S
from tests.membership.helpers import KEYS, WRONG_KEYS, record, suspect

MESSAGE = Message(MessageType.PING, 7, record(), "b", [1] * 16, [suspect("c")], ["d"])
# MESSAGE as version 0.2 encoded it with KEYS.
MESSAGE_0_2 = bytes.fromhex(
    "504731026b311475f3780601ee62b9d1cec2456433f097000796a16192a93132372e302e302e31cd04490005"
    "0000a162dc0010010101010101010101010101010101019196a16392a93132372e302e302e31cd044b000501"
    "0091a164"
)


def test_a_message_is_the_same_after_encoding_and_decoding():
    assert decode(encode(MESSAGE, KEYS), KEYS) == MESSAGE


def test_the_encoding_is_that_of_version_0_2():
    assert encode(MESSAGE, KEYS) == MESSAGE_0_2
    assert decode(MESSAGE_0_2, KEYS) == MESSAGE


def test_the_target_of_a_ping_req_is_decoded_as_a_record():
    request = Message(MessageType.PING_REQ, 7, record(), "b", record("z"))

    decoded = decode(encode(request, KEYS), KEYS)

    assert decoded.payload == record("z")


def test_a_truncated_datagram_is_rejected():
    data = encode(MESSAGE, KEYS)

    for length in range(len(data)):
        with pytest.raises(InvalidDatagramError):
            decode(data[:length], KEYS)


def test_a_datagram_with_any_bit_flipped_is_rejected():
    data = encode(MESSAGE, KEYS)

    for index in range(len(data)):
        for bit in range(8):
            flipped = data[:index] + bytes([data[index] ^ 1 << bit]) + data[index + 1 :]
            with pytest.raises(InvalidDatagramError):
                decode(flipped, KEYS)


def test_a_datagram_signed_with_an_unknown_key_is_rejected():
    other_keys = KeyRing([("k2", "a long secret of another installation")])

    with pytest.raises(InvalidDatagramError, match="no key has the id 'k1'"):
        decode(encode(MESSAGE, KEYS), other_keys)


def test_a_datagram_signed_with_another_secret_is_rejected():
    with pytest.raises(InvalidDatagramError, match="the MAC does not match"):
        decode(encode(MESSAGE, WRONG_KEYS), KEYS)


@pytest.mark.parametrize(
    "message",
    [
        pytest.param(Message(9, 1, record()), id="unknown type"),
        pytest.param(Message(MessageType.PING, 1, record(state=7)), id="unknown state"),
        pytest.param(Message(MessageType.PING, 1, record(name="x" * 65)), id="long name"),
        pytest.param(
            Message(MessageType.PING_REQ, 1, record(), "b", "no record"),
            id="target is not a record",
        ),
        pytest.param(Message(MessageType.PING, 1, record(address=("h", 0))), id="port 0"),
    ],
)
def test_an_authentic_message_with_an_invalid_value_is_rejected(message):
    with pytest.raises(InvalidDatagramError):
        decode(encode(message, KEYS), KEYS)


INVALID_HOSTS = [
    "a\0b",
    "a" * 64 + ".b",
    "\ud7ff",
    "127.0.0.1\0",
    "peer.example",
    "",
    "1.2.3",
    "fe80::1%lo",
]
# Messages with a given record, by its role in the message.
MESSAGES_BY_ROLE = {
    "sender": lambda invalid: Message(MessageType.PING, 1, invalid),
    "update": lambda invalid: Message(MessageType.PING, 1, record(), updates=[invalid]),
    "target": lambda invalid: Message(MessageType.PING_REQ, 1, record(), "b", invalid),
}


@pytest.mark.parametrize("role", MESSAGES_BY_ROLE)
@pytest.mark.parametrize("host", INVALID_HOSTS, ids=ascii)
def test_a_record_whose_host_is_not_an_ip_literal_is_rejected(host, role):
    # Sending an answer to such a host would close the sender's socket or wait for a resolver.
    message = MESSAGES_BY_ROLE[role](record(address=(host, 7946)))

    with pytest.raises(InvalidDatagramError, match="invalid record"):
        decode(encode(message, KEYS), KEYS)


@pytest.mark.parametrize("host", ["10.1.2.3", "::1", "2001:db8::7"])
def test_a_record_whose_host_is_an_ip_literal_is_accepted(host):
    message = Message(MessageType.PING, 1, record(address=(host, 7946)))

    assert decode(encode(message, KEYS), KEYS) == message


def test_a_message_that_does_not_fit_in_a_packet_is_not_encoded():
    updates = [record(f"n{number}") for number in range(200)]
    message = Message(MessageType.PING, 1, record(), "b", None, updates)

    with pytest.raises(DatagramTooLargeError, match="bytes"):
        encode(message, KEYS)


FLOODING_SENDER = ("203.0.113.1", 1)
OTHER_SENDER = ("203.0.113.2", 1)


def test_a_sender_that_floods_is_limited_and_others_are_not():
    limiter = SenderRateLimiter()

    admitted = [limiter.admit(time_ms * NS_PER_MS, FLOODING_SENDER) for time_ms in range(1000)]

    # A full bucket of 100, and 100 more during the second.
    assert 190 < admitted.count(True) < 205
    assert limiter.admit(1000 * NS_PER_MS, OTHER_SENDER)


def test_a_sender_that_flooded_is_admitted_again_later():
    limiter = SenderRateLimiter()
    for time_ms in range(1000):
        limiter.admit(time_ms * NS_PER_MS, FLOODING_SENDER)

    assert limiter.admit(5 * NS_PER_S, FLOODING_SENDER)


def test_the_number_of_buckets_is_bounded():
    limiter = SenderRateLimiter()

    for number in range(MAX_SENDERS + 500):
        limiter.admit(6 * NS_PER_S, ("203.0.113.3", number))

    assert len(limiter.buckets) <= MAX_SENDERS + 1
