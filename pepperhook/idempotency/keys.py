"""Digests that identify a key within its scope, and the request that carried it.

The digests are stored in journals and determine the owner of a key, so their format is fixed.
They contain numbers of service classes and tenants: if the settings renumber these, the digest of a
key changes.
"""

from hashlib import blake2b

from pepperhook.server.field_value import FieldValue, encode_octets

DIGEST_BYTES = 16


def digest(*parts: bytes) -> bytes:
    """Hash parts, each preceded by its length, so that different splits give different digests.

    The hash is cryptographic. A faster one would suffice against accidental collisions, but a
    client that constructs a collision would receive another client's response.
    """
    state = blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        state.update(b"%d " % len(part))
        state.update(part)
    return state.digest()


def key_digest(service_class: int, tenant: int | None, key: FieldValue) -> bytes:
    """Return the digest of a key, its service class and its tenant.

    Service class and tenant are identified by their numbers in the settings.
    """
    tenant_number = b"" if tenant is None else b"%d" % tenant
    return digest(b"%d" % service_class, tenant_number, unquote(key))


def request_fingerprint(method: str, target: str, body: bytes) -> bytes:
    """Return the digest of a request's method, target and body."""
    return digest(method.encode(), encode_octets(target), body)


def unquote(key: FieldValue) -> bytes:
    """Return a key without the quotes of a structured field string.

    The IETF draft requires a structured field string, but most clients send the bare key. Both
    forms identify the same key.
    """
    octets = key.octets
    if len(octets) > 1 and octets[:1] == octets[-1:] == b'"' and b"\\" not in octets:
        return octets[1:-1]
    return octets
