"""Signed HTTP requests of one balancer to the control service."""

from contextlib import AbstractAsyncContextManager

import aiohttp

from pepperhook.control_plane.auth import sign_request
from pepperhook.key_ring import KeyRing
from pepperhook.scheduler import random_fraction

CONNECT_TIMEOUT_S = 3.0
SILENCE_TIMEOUT_S = 7.0  # after this time without data, a stream is dead
REQUEST_TIMEOUT_S = 5.0

ResponseContext = AbstractAsyncContextManager[aiohttp.ClientResponse]


class ServiceConnection:
    """The HTTP session with the service at one address."""

    def __init__(self, address: str, keys: KeyRing) -> None:
        """Open a session; needs a running event loop, and ``close`` must be called."""
        self._base_url = f"http://{address}"
        self._keys = keys
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=SILENCE_TIMEOUT_S
            )
        )

    def open_stream(self, path: str) -> ResponseContext:
        """Send a GET request for a stream; return a context manager for the endless response."""
        return self._session.get(
            self._base_url + path, headers=sign_request(self._keys, "GET", path)
        )

    def post(self, path: str, body: bytes) -> ResponseContext:
        """Send a POST request; return a context manager for the response."""
        return self._session.post(
            self._base_url + path,
            data=body,
            headers=sign_request(self._keys, "POST", path, body),
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
        )

    async def close(self) -> None:
        """Close the session."""
        await self._session.close()


class SeededJitter:
    """Pseudo-random numbers that differ between balancers and are reproducible by the seed."""

    def __init__(self, seed: int, name: str) -> None:
        """Begin the sequence of one balancer."""
        self._seed = seed
        self._name = name.encode()
        self._draws = 0

    def draw(self) -> float:
        """Return the next number from 0 up to 1."""
        self._draws += 1
        number: float = random_fraction(b"control %d %d %s" % (self._seed, self._draws, self._name))
        return number
