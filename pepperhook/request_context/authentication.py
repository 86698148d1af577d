"""The MAC of a header value, and hashed balancer names that hide the real ones from outsiders.

The MAC is the last member of the value and covers all bytes before it. A value that a proxy
serializes again therefore fails the check, and so does any other spelling of the same members.
"""

import hmac
from base64 import b64encode
from collections import UserString
from hashlib import sha256

from pepperhook.key_ring import KeyRing
from pepperhook.request_context.errors import InvalidContextError, RejectionReason

MAC_PREFIX = ", mac=:"
MAC_BYTES = 16  # SHA-256 truncated to half its length, as RFC 2104 permits
HOP_HASH_DIGITS = 8  # hexadecimal digits of each of the two hashes in a hop's name


def append_mac(text: str, keys: KeyRing) -> str:
    """Return the value with its MAC, made with the signing key, appended."""
    return text + _mac_member(_mac(text, keys, keys.signing_key_id))


def verify_mac(text: str, key_id: object, mac: object, keys: KeyRing) -> None:
    """Check that the value ends with a valid MAC made with a known key.

    ``key_id`` and ``mac`` are the parsed members of the value, whose types are not yet checked.
    Raises InvalidContextError.
    """
    signed_length = text.rfind(MAC_PREFIX)
    # Only a string can name a key; an inner list is unhashable, and its lookup would raise.
    is_key_known = isinstance(key_id, (str, UserString)) and str(key_id) in keys
    if signed_length < 0 or not isinstance(mac, bytes) or not is_key_known:
        raise InvalidContextError(RejectionReason.UNTRUSTED)
    # The MAC must be last, as it does not cover any bytes after it.
    is_last = text[signed_length:] == _mac_member(mac)
    expected = _mac(text[:signed_length], keys, str(key_id))
    if not is_last or not hmac.compare_digest(mac, expected):
        raise InvalidContextError(RejectionReason.FORGED)


def _mac_member(mac: bytes) -> str:
    return f"{MAC_PREFIX}{b64encode(mac).decode()}:"


def _mac(text: str, keys: KeyRing, key_id: str) -> bytes:
    return bytes.fromhex(keys.mac(text.encode("ascii"), key_id))[:MAC_BYTES]


def hop_name(secret: bytes, service: str, instance: str) -> str:
    """Return the name of a balancer in the header: a hash of its service and one of the instance.

    The hashes are keyed, so that only holders of the installation's secret can recognize the names.
    """
    parts = (service, f"{service} {instance}")
    return ".".join(_keyed_hash(secret, part) for part in parts)


def service_of(hop: str) -> str:
    """Return the part of a hop's name that all instances of a service share."""
    return hop.partition(".")[0]


def _keyed_hash(secret: bytes, text: str) -> str:
    return hmac.new(secret, text.encode(), sha256).hexdigest()[:HOP_HASH_DIGITS]
