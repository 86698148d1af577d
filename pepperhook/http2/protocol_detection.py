"""Detects the protocol of a client on the listener that HTTP/1.1 and HTTP/2 share.

An HTTP/2 client with prior knowledge starts with a fixed preface (RFC 9113, 3.4); anything else is
HTTP/1.1. A TLS listener would choose by ALPN and create a ServerConnection immediately.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, cast

from pepperhook.http2.managed_connection import ManagedConnection
from pepperhook.server.client_connection import MESSAGE_TIMEOUT_S

if TYPE_CHECKING:
    from pepperhook.server.client_connections import Connections

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"


class ProtocolDetector(ManagedConnection):
    """A connection of unknown protocol; replaced once its first bytes identify the protocol."""

    def __init__(
        self,
        connections: Connections,
        make_http1: Callable[[], Any],
        make_http2: Callable[[], Any],
    ) -> None:
        """``make_http1``, ``make_http2``: create the connection that replaces this one."""
        self.connections = connections
        self.make_http1 = make_http1
        self.make_http2 = make_http2
        self.buffer = b""
        self.expires_at = connections.loop.time() + MESSAGE_TIMEOUT_S

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.connections.connection_made(self, self.transport)

    def data_received(self, data: bytes) -> None:
        """Buffer data until it identifies the protocol, then switch to it."""
        if self.ending:
            return
        self.buffer += data
        is_http2 = self.buffer.startswith(PREFACE)
        if PREFACE.startswith(self.buffer) and not is_http2:
            return  # an incomplete preface
        self._switch_protocol(self.make_http2 if is_http2 else self.make_http1)

    def _switch_protocol(self, make_connection: Callable[[], Any]) -> None:
        transport = self.transport
        assert transport is not None  # no data is received before connection_made
        self.transport = None
        self.connections.connection_lost(self)
        connection = make_connection()
        connection.expires_at = self.expires_at
        transport.set_protocol(connection)
        connection.connection_made(transport)
        connection.data_received(self.buffer)

    def eof_received(self) -> bool:
        """Close the transport when the client closes its sending side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection."""
        if self.transport is not None:
            self.transport = None
            self.connections.connection_lost(self, exc)

    def retire(self) -> None:
        """Close the connection gracefully."""
        self.connections.retire(self)

    async def shutdown(self, _timeout: float | None = None) -> None:
        """Close the transport."""
        if self.transport is not None:
            self.transport.close()
