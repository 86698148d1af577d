"""Shares the event loop between messages that take long to parse and all others.

A body in chunks of two bytes takes a hundred times the work of one in a single piece. The parser
stops after a few chunks, until they are read (``READ_BUFFER_BYTES``); a message whose reads bring
little has to wait for a turn before it is read on.
"""

from __future__ import annotations

from collections.abc import Hashable

from pepperhook.server.turns import Turns

SMALL_PART_BYTES = 1024  # a read that brings less is a small one
FREE_READS = 2  # small ones of a message, before it takes turns


class ParsingTurns(Turns):
    """The connections whose message waits to be read on, in the order in which they came."""

    async def wait(self, connection: Hashable, small_reads: int) -> None:
        """Wait for a turn; ``small_reads``: how many the connection's message has had so far."""
        if small_reads > FREE_READS:
            await self.wait_turn(connection)
