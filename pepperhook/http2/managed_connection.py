"""The interface that client_connections.Connections requires of a connection."""

from __future__ import annotations

import asyncio

from pepperhook.server.http1_client import has_unread_data


class ManagedConnection(asyncio.Protocol):
    """The attributes that Connections and aiohttp read on every client connection."""

    # Private attributes of aiohttp's HTTP/1.1 connections.
    _task_handler = None
    _request_count = 0

    # The same meaning as in client_connections.Connection.
    answered = False
    touched = False
    before = 0
    ending = False
    received_bytes = 0
    ends = 0.0  # when it is closed if still idle, in the event loop's time
    transport: asyncio.Transport | None = None

    def unread(self) -> bool:
        """Whether the socket holds unread data or an unread end of the peer's data."""
        return self.transport is not None and has_unread_data(self.transport)
