"""Shares the event loop between messages that take long to parse and all others.

A body in chunks of two bytes takes a hundred times the work of one in a single piece. The parser
stops after a few chunks, until they are read (``READ_BUFFER_BYTES``); a message whose reads bring
little has to wait for a turn before it is read on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Hashable

SMALL_PART_BYTES = 1024  # a read that brings less is a small one
FREE_READS = 2  # small ones of a message, before it takes turns
TURNS_PER_ITERATION = 2  # of the event loop, which serves all other connections in between


class ParsingTurns:
    """The connections whose message waits to be read on, in the order in which they came."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without waiting connections."""
        self.loop = loop
        self.waiting: dict[Hashable, asyncio.Future[None]] = {}
        self.is_scheduled = False

    async def wait(self, connection: Hashable, small_reads: int) -> None:
        """Wait for a turn; ``small_reads``: how many the connection's message has had so far."""
        if small_reads <= FREE_READS:
            return
        self.waiting[connection] = turn = self.loop.create_future()
        self._schedule()
        try:
            await turn
        finally:
            self.waiting.pop(connection, None)

    def end_wait(self, connection: Hashable) -> None:
        """Let a connection whose message is shed go on at once."""
        turn = self.waiting.pop(connection, None)
        if turn is not None and not turn.done():
            turn.set_result(None)

    def _schedule(self) -> None:
        if self.waiting and not self.is_scheduled:
            self.is_scheduled = True
            self.loop.call_soon(self._grant)

    def _grant(self) -> None:
        self.is_scheduled = False
        for _ in range(min(TURNS_PER_ITERATION, len(self.waiting))):
            self.end_wait(next(iter(self.waiting)))
        self._schedule()
