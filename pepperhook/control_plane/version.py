"""Numbered versions of the configuration and their signatures."""

import hashlib
from typing import Any

import msgspec
from msgspec import Struct

from pepperhook.errors import PepperhookError
from pepperhook.key_ring import KeyRing


class ForgedVersionError(PepperhookError, ValueError):
    """No key of this installation signed the version as it is; the message says what is wrong."""


class Version(Struct, kw_only=True):
    """One numbered version, as it is stored and sent.

    ``hash`` covers every field above it; ``mac`` is the MAC of that hash by the key named ``key``.
    """

    number: int
    parent: int  # number of the version that it is based on; 0: none
    author: str
    reason: str
    made_ms: int  # Unix time
    # As builtins, so that keys that a later release adds are preserved.
    document: dict[str, Any]
    forced: list[str] = []  # names of the safety checks that its author overrode
    hash: str = ""
    key: str = ""
    mac: str = ""


def canonical_json(value: Any) -> bytes:
    """Encode a value in its one canonical form: sorted keys, no whitespace (after RFC 8785)."""
    return msgspec.json.encode(value, order="sorted")


def content_hash(version: Version) -> str:
    """Return the hash of all that a version's signature covers."""
    covered = [
        version.number,
        version.parent,
        version.author,
        version.reason,
        version.made_ms,
        version.document,
        version.forced,
    ]
    return hashlib.sha256(canonical_json(covered)).hexdigest()


def sign_version(version: Version, keys: KeyRing) -> Version:
    """Return the version with its hash and MAC."""
    version_hash = content_hash(version)
    return msgspec.structs.replace(
        version,
        hash=version_hash,
        key=keys.signing_key_id,
        mac=keys.mac(version_hash.encode()),
    )


def verify_version(version: Version, keys: KeyRing) -> Version:
    """Return the version if a key of the installation signed it. Raises ForgedVersionError."""
    name = f"version {version.number}"
    if content_hash(version) != version.hash:
        raise ForgedVersionError(f"{name}: its hash does not match its content")
    if version.key not in keys:
        raise ForgedVersionError(f"{name}: no key has the id {version.key!r}")
    if not keys.verify(version.key, version.hash.encode(), version.mac):
        raise ForgedVersionError(f"{name}: its MAC does not match")
    return version
