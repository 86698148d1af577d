"""Wire format of gossip messages: authenticated datagrams, without I/O.

    datagram = "PG1" key_length:u8 key_id mac:16 payload

The payload is a MessagePack array. The MAC is the HMAC-SHA256 (RFC 2104) of the payload with a key
of the installation, truncated to 16 bytes.

Replayed datagrams do no harm, so there is no replay detection: updates are ordered by incarnation,
which only the member itself raises; an answer counts only for the probe with its sequence number;
and answers go to the address in the sender's record, not to the source address of the datagram, so
a replayer cannot choose who is flooded with answers, and can repeat only what the installation (the
balancers with the same keys) once sent.
"""

import hashlib
import hmac

import msgspec

from pepperhook.errors import PepperhookError
from pepperhook.key_ring import KeyRing
from pepperhook.membership.addresses import is_valid_address
from pepperhook.membership.messages import MemberRecord, Message, MessageType

MAGIC = b"PG1"
KEY_LENGTH_BYTES = 1
MAC_BYTES = 16
HEADER_BYTES = len(MAGIC) + KEY_LENGTH_BYTES
MAX_DATAGRAM_BYTES = 1400  # fits in one packet on any Ethernet
MAX_NAME_LENGTH = 64
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Message)


class DatagramError(PepperhookError, ValueError):
    """A message that cannot be sent, or a datagram that cannot be received."""


class InvalidDatagramError(DatagramError):
    """A received datagram that is not valid, with the reason as its text."""


class DatagramTooLargeError(DatagramError):
    """A message that does not fit in one packet."""


def encode(message: Message, keys: KeyRing) -> bytes:
    """Return the datagram of a message, signed with the first key.

    Raises DatagramTooLargeError.
    """
    payload = ENCODER.encode(message)
    key_id = keys.signing_key_id.encode()
    mac = payload_mac(keys, keys.signing_key_id, payload)
    data = MAGIC + bytes([len(key_id)]) + key_id + mac + payload
    if len(data) > MAX_DATAGRAM_BYTES:
        raise DatagramTooLargeError(
            f"a datagram of {len(data)} bytes exceeds the limit of {MAX_DATAGRAM_BYTES}"
        )
    return data


def decode(data: bytes, keys: KeyRing) -> Message:
    """Return the message of a datagram, whose MAC is verified before the payload is decoded.

    Raises InvalidDatagramError.
    """
    message = _decode_payload(_verified_payload(data, keys))
    records = [message.sender, *message.updates]
    if isinstance(message.payload, MemberRecord):
        records.append(message.payload)
    if not all(map(_is_valid, records)):
        raise InvalidDatagramError("an invalid record of a member: its name or its address")
    return message


def payload_mac(keys: KeyRing, key_id: str, payload: bytes) -> bytes:
    """Return the truncated MAC of a payload with the given key."""
    return hmac.new(keys.secrets[key_id], payload, hashlib.sha256).digest()[:MAC_BYTES]


def _verified_payload(data: bytes, keys: KeyRing) -> bytes:
    is_well_formed = (
        data.startswith(MAGIC) and HEADER_BYTES + MAC_BYTES <= len(data) <= MAX_DATAGRAM_BYTES
    )
    if not is_well_formed:
        raise InvalidDatagramError("not a gossip datagram")
    key_end = HEADER_BYTES + data[len(MAGIC)]
    mac_end = key_end + MAC_BYTES
    key_id = data[HEADER_BYTES:key_end].decode(errors="replace")
    if key_id not in keys:
        raise InvalidDatagramError(f"no key has the id {key_id!r:.40}")
    payload = data[mac_end:]
    if not hmac.compare_digest(payload_mac(keys, key_id, payload), data[key_end:mac_end]):
        raise InvalidDatagramError("the MAC does not match")
    return payload


def _decode_payload(payload: bytes) -> Message:
    try:
        message = DECODER.decode(payload)
        if message.type == MessageType.PING_REQ:
            message.payload = msgspec.convert(message.payload, MemberRecord)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise InvalidDatagramError(
            f"the payload cannot be decoded (another version?): {error}"
        ) from error
    return message


def _is_valid(record: MemberRecord) -> bool:
    # sendto resolves a host that is no IP literal, which blocks, and raises for some hosts an error
    # at which asyncio closes the socket.
    return 0 < len(record.name) <= MAX_NAME_LENGTH and is_valid_address(record.address)
