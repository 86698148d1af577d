"""The interface that client_connections.Connections requires of a connection."""

from __future__ import annotations

import asyncio

from pepperhook.server.bounded_reads import BoundedReads
from pepperhook.server.http1_client import has_unread_data
from pepperhook.server.memory_ledger import CONNECTION_BYTES


class ManagedConnection(BoundedReads):
    """The attributes that Connections and aiohttp read on every client connection."""

    # Private attributes of aiohttp's HTTP/1.1 connections.
    _task_handler = None
    _request_count = 0

    # The attributes of client_connections.Connection.
    answered = False  # whether a response was written
    is_message_begun = False  # whether a part of an HTTP/1.1 request was received; never set here
    requests_before = 0  # value of _request_count at the last response
    ending = False  # whether the connection is closing; received data is discarded
    received_bytes = 0  # HTTP/1.1 only: of an incomplete head
    expires_at = 0.0  # when it is closed if still idle, in the event loop's time
    transport: asyncio.Transport | None = None
    is_counted = True  # whether its message is in the ledger
    is_unfinished = False  # whether it can be shed; each HTTP/2 stream is shed on its own

    def has_unread_data(self) -> bool:
        """Whether the socket holds unread data or an unread end of file (FIN)."""
        return self.transport is not None and has_unread_data(self.transport)

    def held_bytes(self) -> int:
        """Return what the connection holds in memory, without its streams."""
        return CONNECTION_BYTES + self.unsent_bytes

    @property
    def unsent_bytes(self) -> int:
        """The bytes that the client has not read yet, as far as this process holds them."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def message_done(self) -> None:
        """Record that a response was written."""
        self.answered = True

    def drop_parser(self) -> None:
        """Do nothing: only HTTP/1.1 connections have a parser of the library."""
