"""Keyed pseudonyms, which cannot be reversed without the key by trying likely names.

The same name has the same pseudonym under one key, so records of different files still match. A
pseudonym is a keyed BLAKE2b digest (RFC 7693, section 2.9) of 80 bits: among a million names, the
probability that any two share a pseudonym is 4 in 10^13.
"""

from base64 import b32encode
from enum import StrEnum
from hashlib import blake2b

from pepperhook.tracing.errors import KeyTooShortError

PSEUDONYM_BYTES = 10
MIN_KEY_BYTES = 16

_DERIVED_KEY_BYTES = 32


class NameKind(StrEnum):
    """The kind of a name; equal names of different kinds have different pseudonyms."""

    ID = "id"
    TENANT = "customer"


class Pseudonyms:
    """Computes pseudonyms under one key."""

    def __init__(self, key: bytes) -> None:
        """Derive the hash key from ``key``. Raises KeyTooShortError."""
        if len(key) < MIN_KEY_BYTES:
            raise KeyTooShortError(
                f"a key of at least {MIN_KEY_BYTES} bytes is wanted, not {len(key)}"
            )
        self._key = blake2b(key, digest_size=_DERIVED_KEY_BYTES).digest()

    def pseudonym(self, kind: NameKind, name: str) -> str:
        """Return the pseudonym of a name; an empty name stays empty."""
        if not name:
            return name
        digest = blake2b(
            name.encode(), key=self._key, digest_size=PSEUDONYM_BYTES, person=kind.encode()
        ).digest()
        return b32encode(digest).decode().rstrip("=").lower()
