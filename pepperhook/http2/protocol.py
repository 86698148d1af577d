"""Code shared by client and server connections: transport, protocol state, flow control."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import TYPE_CHECKING

import h2.exceptions
import h2.settings

from pepperhook.http2.abuse_limits import AbuseBudget
from pepperhook.http2.connection import Http2Connection
from pepperhook.server.bounded_reads import BoundedReads

if TYPE_CHECKING:
    from h2.errors import ErrorCodes
    from h2.settings import SettingCodes

CONNECTION_WINDOW = 1024 * 1024  # bytes of DATA that may be in transit on one connection
DEFAULT_WINDOW = 65535  # bytes (RFC 9113, 6.9.2)


class OutgoingStream:
    """A stream whose sender may have to wait for flow-control window from the peer."""

    __slots__ = ("stream_id", "window_opened")

    def __init__(self, stream_id: int) -> None:
        """Create a stream whose sender does not wait."""
        self.stream_id = stream_id
        self.window_opened: asyncio.Future[None] | None = None  # set while the sender waits

    def wake_sender(self) -> None:
        """Wake the sender if it waits for window."""
        if self.window_opened is not None and not self.window_opened.done():
            self.window_opened.set_result(None)


class Http2Protocol(BoundedReads):
    """Base of client and server connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connection: Http2Connection,
        abuse_budget: AbuseBudget,
    ) -> None:
        """Begin with the protocol state of a connection that is not open yet."""
        self.loop = loop
        self.transport: asyncio.Transport | None = None
        self.h2 = connection
        self.abuse_budget = abuse_budget

    def send_preface(self, transport: asyncio.Transport, settings: dict[SettingCodes, int]) -> None:
        """Send the connection preface with ``settings``, and enlarge the connection's window."""
        # Without TCP_NODELAY a message may wait 40 ms for a delayed acknowledgement. asyncio sets
        # it only on sockets whose protocol number is IPPROTO_TCP; accepted sockets and those of
        # Http2Client have 0.
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.h2.local_settings = h2.settings.Settings(
            client=bool(self.h2.config.client_side), initial_values=settings
        )
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(CONNECTION_WINDOW - DEFAULT_WINDOW)
        self.flush()

    def flush(self) -> None:
        """Write the data that the library has queued to the transport."""
        if self.transport is not None and not self.transport.is_closing():
            data = self.h2.data_to_send()
            if data:
                self.transport.write(data)

    def reset_stream(self, stream_id: int, code: ErrorCodes) -> None:
        """Queue RST_STREAM if the stream is still open; ``flush`` sends it."""
        with suppress(h2.exceptions.ProtocolError):
            self.h2.reset_stream(stream_id, code)

    def replenish_connection_window(self, size: int) -> None:
        """Replenish the connection's window, which all streams share, by ``size`` bytes.

        A stream's own window is large enough for a whole body and is never replenished.
        """
        if size:
            with suppress(h2.exceptions.ProtocolError):
                self.h2.increment_flow_control_window(size)

    def eof_received(self) -> bool:
        """Close the transport when the peer closes its sending side."""
        return False
