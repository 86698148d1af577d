"""The shared secrets of an installation, by which its processes authenticate what they send."""

import hashlib
import hmac
from collections.abc import Iterable


class KeyRing:
    """Holds HMAC-SHA256 keys by their ids: the first one signs, every one verifies.

    All keys are accepted so that a key can be replaced without a moment at which two processes
    have no key in common.
    """

    def __init__(self, keys: Iterable[tuple[str, str]]) -> None:
        """Take pairs of key id and secret; an empty ring verifies nothing and cannot sign."""
        self.secrets: dict[str, bytes] = {key_id: secret.encode() for key_id, secret in keys}
        self.signing_key_id: str = next(iter(self.secrets), "")

    def __contains__(self, key_id: object) -> bool:
        """Tell whether the ring has a key of that id."""
        return key_id in self.secrets

    def mac(self, data: bytes, key_id: str | None = None) -> str:
        """Return the hexadecimal MAC of ``data``, by the signing key unless another is named."""
        secret = self.secrets[key_id or self.signing_key_id]
        return hmac.new(secret, data, hashlib.sha256).hexdigest()

    def verify(self, key_id: str, data: bytes, mac: str) -> bool:
        """Tell whether ``mac`` is the one that the named key gives ``data``, in constant time."""
        if key_id not in self.secrets:
            return False
        # As bytes: of texts, those beyond ASCII raise TypeError.
        return hmac.compare_digest(
            self.mac(data, key_id).encode(), mac.encode(errors="surrogatepass")
        )
