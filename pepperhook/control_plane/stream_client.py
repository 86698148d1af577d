"""Reads the service's stream, and reconnects with exponential, jittered backoff."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import aiohttp
import msgspec

from pepperhook.control_plane.frames import (
    FindVersion,
    FrameReader,
    MissingBaseError,
    StreamError,
    StreamMessage,
)
from pepperhook.control_plane.service_connection import SeededJitter, ServiceConnection
from pepperhook.control_plane.stream_request import StreamRequest
from pepperhook.server.structured_logging import Log

FIRST_RECONNECT_S = 0.25  # doubled with each failure
MAX_RECONNECT_S = 20.0
STABLE_STREAM_S = 5.0  # after which the next reconnect begins with the first wait again
MAX_ERROR_CHARACTERS = 200  # of an error response, in the log

HandleMessage = Callable[[StreamMessage], Awaitable[None]]


class StreamClient:
    """Reads the stream and passes its messages to one handler, one after the other."""

    def __init__(
        self,
        *,
        log: Log,
        jitter: SeededJitter,
        make_request: Callable[[], StreamRequest],
        known_version: FindVersion,
    ) -> None:
        """Read the streams that ``make_request`` returns the requests for.

        ``known_version`` returns a version by its number, for patches to be applied to.
        """
        self.connected = False
        self.broken_streams = 0
        self._needs_complete_version = False  # after a patch without its base
        self._log = log
        self._jitter = jitter
        self._make_request = make_request
        self._known_version = known_version

    async def run(self, connection: ServiceConnection, handle: HandleMessage) -> None:
        """Read one stream after another until cancelled.

        Waits are jittered so that a thousand balancers that lost the service do not reconnect at
        the same moment.
        """
        wait_s = FIRST_RECONNECT_S
        while True:
            opened_at = time.monotonic()
            try:
                await self._read_stream(connection, handle)
            except (aiohttp.ClientError, OSError, StreamError) as error:
                self.broken_streams += 1
                self._needs_complete_version = isinstance(error, MissingBaseError)
                # Only the end of an established stream is logged, not each failed connect.
                if self.connected:
                    if time.monotonic() - opened_at >= STABLE_STREAM_S:
                        wait_s = FIRST_RECONNECT_S
                    self._log.warning(
                        "control_stream_lost", error=f"{type(error).__name__}: {error}"
                    )
            self.connected = False
            await asyncio.sleep(wait_s * (0.5 + self._jitter.draw()))
            wait_s = min(MAX_RECONNECT_S, wait_s * 2)

    async def _read_stream(self, connection: ServiceConnection, handle: HandleMessage) -> None:
        """Read one stream. Raises ClientError, OSError or StreamError when it ends."""
        reader = FrameReader(self._known_version)
        async with connection.open_stream(self._request().path()) as response:
            if response.status != HTTPStatus.OK:
                text = (await response.text())[:MAX_ERROR_CHARACTERS]
                raise StreamError(f"status {response.status}: {text}")
            self.connected = True
            async for data in response.content.iter_any():
                for message in reader.feed(data):
                    await handle(message)
        raise StreamError("the stream ended")

    def _request(self) -> StreamRequest:
        request = self._make_request()
        if not self._needs_complete_version:
            return request
        # Without the number of a processed version, a service of any release sends the version that
        # this member is to run, and sends it whole.
        return msgspec.structs.replace(request, processed_number=0, base_number=0, base_hash="")
