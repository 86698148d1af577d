"""One request to an upstream and its response, on one HTTP/2 stream."""

from __future__ import annotations

import asyncio

from multidict import CIMultiDict

from pepperhook.http2.protocol import OutgoingStream
from pepperhook.server.attempt_errors import AttemptError

NO_STREAM = 0  # the id of the connection itself, never of a request


class Exchange(OutgoingStream):
    """The state of one request and its response; ends exactly once."""

    __slots__ = (
        "ended",
        "status",
        "headers",
        "body",
        "content_length",
        "is_written",
        "started_at",
        "is_over",
        "read_timer",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without a stream; the connection that sends the request assigns one."""
        super().__init__(NO_STREAM)
        self.ended: asyncio.Future[None] = loop.create_future()
        self.status: int | None = None  # None until a final response begins
        self.headers: CIMultiDict[str] = CIMultiDict()
        self.body = bytearray()
        self.content_length: int | None = None  # of the response, if it has the header
        self.is_written = False  # whether the whole request was written, to its last byte
        self.started_at = 0.0  # when the headers were sent, in the event loop's time
        self.is_over = False
        self.read_timer: asyncio.TimerHandle | None = None

    def end(self, error: AttemptError | None = None) -> None:
        """End with the received response, or with ``error``; later calls have no effect."""
        if self.is_over:
            return
        self.is_over = True
        if self.read_timer is not None:
            self.read_timer.cancel()
        if self.window_opened is not None and not self.window_opened.done():
            self.window_opened.cancel()
        if self.ended.done():
            return
        if error is None:
            self.ended.set_result(None)
        else:
            self.ended.set_exception(error)
            # Marked as retrieved: if nothing awaits it any more, asyncio would log it.
            self.ended.exception()
