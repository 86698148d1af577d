"""Signs and authenticates requests to the control service.

A request carries an HMAC-SHA256 (RFC 2104) over its method, path, time, nonce and body. A request
that is older than a minute, or whose nonce was used before, is denied, so that a recorded request
cannot be replayed.
"""

import secrets
import time
from collections.abc import Callable, Mapping

from pepperhook.errors import PepperhookError
from pepperhook.key_ring import KeyRing

MAX_CLOCK_SKEW_S = 60.0  # between a request's timestamp and the service's clock
MAX_REMEMBERED_NONCES = 200_000
NONCE_BYTES = 12

KEY_HEADER = "Pepperhook-Key"
TIME_HEADER = "Pepperhook-At"
NONCE_HEADER = "Pepperhook-Nonce"
MAC_HEADER = "Pepperhook-Mac"


class RequestDeniedError(PepperhookError, ValueError):
    """The request is not authentic, is not fresh, or exceeds its sender's limits."""


def signed_bytes(method: str, path: str, sent_at: str, nonce: str, body: bytes) -> bytes:
    """Return the bytes that the MAC of a request covers."""
    return b"\n".join((method.encode(), path.encode(), sent_at.encode(), nonce.encode(), body))


def sign_request(
    keys: KeyRing,
    method: str,
    path: str,
    body: bytes = b"",
    clock: Callable[[], float] = time.time,
) -> dict[str, str]:
    """Return the headers that authenticate a request."""
    sent_at = f"{clock():.3f}"
    nonce = secrets.token_hex(NONCE_BYTES)
    return {
        KEY_HEADER: keys.signing_key_id,
        TIME_HEADER: sent_at,
        NONCE_HEADER: nonce,
        MAC_HEADER: keys.mac(signed_bytes(method, path, sent_at, nonce, body)),
    }


class RequestAuthenticator:
    """Accepts each authentic request once."""

    def __init__(self, keys: KeyRing, clock: Callable[[], float] = time.time) -> None:
        """Accept requests signed by any of ``keys``; ``clock`` gives Unix seconds."""
        self._keys = keys
        self._clock = clock
        self._used_nonces: dict[str, float] = {}  # Unix time of use by nonce, oldest first

    def authenticate(self, method: str, path: str, headers: Mapping[str, str], body: bytes) -> None:
        """Raise RequestDeniedError unless the request is authentic, fresh and not a replay."""
        key_id = headers.get(KEY_HEADER, "")
        sent_at = headers.get(TIME_HEADER, "")
        nonce = headers.get(NONCE_HEADER, "")
        if key_id not in self._keys:
            raise RequestDeniedError(f"no key has the id {key_id!r:.40}")
        data = signed_bytes(method, path, sent_at, nonce, body)
        if not self._keys.verify(key_id, data, headers.get(MAC_HEADER, "")):
            raise RequestDeniedError("the MAC does not fit")
        now = self._clock()
        self._check_time(sent_at, now)
        self._use_nonce(nonce, now)

    @staticmethod
    def _check_time(sent_at: str, now: float) -> None:
        try:
            skew = now - float(sent_at)
        except ValueError as error:
            raise RequestDeniedError(f"{TIME_HEADER}: not a time") from error
        # Not written as ``>``: every comparison with NaN is false, and NaN must be denied.
        if not abs(skew) <= MAX_CLOCK_SKEW_S:
            raise RequestDeniedError(f"clocks differ by {skew:.0f} s, or the request is a replay")

    def _use_nonce(self, nonce: str, now: float) -> None:
        if nonce in self._used_nonces:
            raise RequestDeniedError("the nonce was used before")
        self._drop_old_nonces(now)
        if len(self._used_nonces) >= MAX_REMEMBERED_NONCES:
            raise RequestDeniedError("too many requests at once")
        self._used_nonces[nonce] = now

    def _drop_old_nonces(self, now: float) -> None:
        """Drop nonces whose reuse the time check denies; copies the dict, so it does so rarely."""
        if not self._used_nonces:
            return
        oldest = next(iter(self._used_nonces.values()))
        full = len(self._used_nonces) >= MAX_REMEMBERED_NONCES
        if full or oldest < now - 4 * MAX_CLOCK_SKEW_S:
            keep_since = now - 2 * MAX_CLOCK_SKEW_S
            self._used_nonces = {
                nonce: used_at
                for nonce, used_at in self._used_nonces.items()
                if used_at > keep_since
            }
