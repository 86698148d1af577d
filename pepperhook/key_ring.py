"""The shared secrets with which the processes of an installation authenticate their messages."""

import hashlib
import hmac
from collections.abc import Iterable


class KeyRing:
    """Stores HMAC-SHA256 keys by id: the first one signs, any of them verifies.

    To replace a key, add the new one to all processes, then move it to the front, then remove the
    old one: at each step, any two processes can verify each other's messages.
    """

    def __init__(self, keys: Iterable[tuple[str, str]]) -> None:
        """Store pairs of key id and secret; an empty ring verifies nothing and cannot sign."""
        self.secrets: dict[str, bytes] = {key_id: secret.encode() for key_id, secret in keys}
        self.signing_key_id: str = next(iter(self.secrets), "")

    def __contains__(self, key_id: object) -> bool:
        """Return whether the ring has a key with this id."""
        return key_id in self.secrets

    def mac(self, data: bytes, key_id: str | None = None) -> str:
        """Return the hexadecimal MAC of ``data`` by key ``key_id``, or else by the signing key.

        Raises KeyError for an unknown key id.
        """
        secret = self.secrets[key_id or self.signing_key_id]
        return hmac.new(secret, data, hashlib.sha256).hexdigest()

    def verify(self, key_id: str, data: bytes, mac: str) -> bool:
        """Return whether ``mac`` is the MAC of ``data`` by key ``key_id``, which may be unknown.

        The comparison takes constant time.
        """
        if key_id not in self.secrets:
            return False
        # Compared as bytes: compare_digest raises TypeError for strings with non-ASCII characters.
        return hmac.compare_digest(
            self.mac(data, key_id).encode(), mac.encode(errors="surrogatepass")
        )
