"""Shares the event loop between the requests of one connection and those of all others.

A client may send as many requests at once as a connection has streams. Begun together, they would
hold up the event loop, and the responses to all other clients.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sized
from contextlib import suppress
from typing import TYPE_CHECKING

from pepperhook.server.turns import Turns

if TYPE_CHECKING:
    from pepperhook.http2.server import ServerConnection

FREE_STREAMS = 4  # open on a connection at once, before its requests take turns


class RequestTurns(Turns):
    """The connections whose requests wait to begin."""

    async def wait(self, connection: ServerConnection, streams: Sized, deadline_s: float) -> None:
        """Wait for a turn, until ``deadline_s`` in the event loop's time at the longest."""
        if len(streams) <= FREE_STREAMS:
            return
        with suppress(TimeoutError):
            async with asyncio.timeout_at(deadline_s):
                await self.wait_turn(connection)
