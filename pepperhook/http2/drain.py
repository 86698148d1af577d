"""The end of a client's connection after an error, without a loss of the requests accepted on it.

The client has been sent a GOAWAY with an error code, and may open no more streams. The requests on
the accepted streams are answered, and the connection is closed after the last response, or after a
time that suffices for all of them. Until then the client's frames are still handled: cancellations,
windows and the rest of request bodies matter. If they can't be parsed any more, or too many of them
make no progress, all further input is discarded at a low rate.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

DISCARD_INTERVAL_S = 0.05  # between reads of input that is discarded


class Drain:
    """Owns the timers of one connection that ends after an error."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, limit_s: float, on_timeout: Callable[[], None]
    ) -> None:
        """Call ``on_timeout`` after ``limit_s``, unless ``close`` is called before."""
        self.is_input_ended = False  # whether further input is discarded
        self._loop = loop
        self._timeout_timer = loop.call_later(limit_s, on_timeout)
        self._resume_timer: asyncio.TimerHandle | None = None

    def discard_input(self, transport: asyncio.Transport) -> None:
        """Pause reading for a while after input that was discarded.

        Reading goes on after that, as the end of the connection would not be noticed otherwise.
        """
        if self._resume_timer is None and not transport.is_closing():
            transport.pause_reading()
            self._resume_timer = self._loop.call_later(DISCARD_INTERVAL_S, self._resume, transport)

    def _resume(self, transport: asyncio.Transport) -> None:
        self._resume_timer = None
        if not transport.is_closing():
            transport.resume_reading()

    def close(self) -> None:
        """Cancel the timers."""
        self._timeout_timer.cancel()
        if self._resume_timer is not None:
            self._resume_timer.cancel()
