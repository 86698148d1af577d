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
        "completion",
        "status",
        "headers",
        "body",
        "content_length",
        "is_written",
        "started_at",
        "has_ended",
        "read_timer",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without a stream; the connection that sends the request assigns one."""
        super().__init__(NO_STREAM)
        # Awaited for the result of the exchange.
        self.completion: asyncio.Future[None] = loop.create_future()
        self.status: int | None = None  # None until a final response begins
        self.headers: CIMultiDict[str] = CIMultiDict()
        self.body = bytearray()
        self.content_length: int | None = None  # of the response, if it has the header
        self.is_written = False  # whether the whole request was written, to its last byte
        self.started_at = 0.0  # when the headers were sent, in the event loop's time
        self.has_ended = False  # whether ``end`` was called
        # Ends the exchange if the response is not completed in time.
        self.read_timer: asyncio.TimerHandle | None = None

    def end(self, error: AttemptError | None = None) -> None:
        """End with ``error``, or without one; later calls have no effect."""
        if self.has_ended:
            return
        self.has_ended = True
        if self.read_timer is not None:
            self.read_timer.cancel()
        if self.window_opened is not None and not self.window_opened.done():
            self.window_opened.cancel()
        if self.completion.done():
            return  # cancelled together with the task that awaited it
        if error is None:
            self.completion.set_result(None)
        else:
            self.completion.set_exception(error)
            # Marked as retrieved: if nothing awaits it any more, asyncio would log it.
            self.completion.exception()
