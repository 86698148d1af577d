"""Serves HTTP/2: many streams on a connection, one final response each.

Requests pass through the same ingress as those of HTTP/1.1.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING, Any, cast

import h2.config
import h2.events
import h2.exceptions
from h2.errors import ErrorCodes
from h2.settings import SettingCodes
from hyperframe.frame import GoAwayFrame

from pepperhook.http2.abuse_limits import AbuseBudget, FrameKind
from pepperhook.http2.managed_connection import ManagedConnection
from pepperhook.http2.protocol import Http2Protocol
from pepperhook.http2.server_stream import ServerStream
from pepperhook.server.client_connections import MAX_HEAD_BYTES, MESSAGE_S
from pepperhook.server.http1_client import MAX_BODY_BYTES, is_closed_by_peer

if TYPE_CHECKING:
    from pepperhook.server.client_connections import Connections
    from pepperhook.server.ingress import Ingress
    from pepperhook.server.metrics import Counters

SWEEP_INTERVAL_S = 0.2  # between looks for messages whose time is up
MAX_STREAM_ID = 2**31 - 1  # in a GOAWAY that leaves open which streams are accepted (RFC 9113, 6.8)
GOAWAY_NOTICE_S = 0.1  # between that GOAWAY and the final one: requests may be on their way


class ServerConnection(ManagedConnection, Http2Protocol):
    """One client's connection.

    Managed by Connections like any other: their number is limited, idle ones make room, and all are
    closed at shutdown.
    """

    def __init__(
        self,
        connections: Connections,
        ingress: Ingress,
        counters: Counters,
        max_streams: int,
        is_shutting_down: Callable[[], bool],
    ) -> None:
        """``max_streams``: how many a client may have open at once on this connection."""
        Http2Protocol.__init__(
            self,
            connections.loop,
            h2.config.H2Configuration(client_side=False, header_encoding="utf-8"),
            AbuseBudget(ingress.runtime.now()),
        )
        self.connections = connections
        self.ingress = ingress
        self.counters = counters
        self.max_streams = max_streams
        self.is_shutting_down = is_shutting_down
        self.client_address: str | None = None
        self.streams: dict[int, ServerStream] = {}
        self.last_stream_id = 0  # the highest one that was accepted
        self.is_going_away = False  # after a GOAWAY of either side: no new streams
        self.is_over = False  # the connection is closing or closed
        self.ends = self.loop.time() + MESSAGE_S
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._goaway_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Have the connection counted, and announce the settings of this side."""
        self.transport = cast(asyncio.Transport, transport)
        self.client_address = (transport.get_extra_info("peername") or (None,))[0]
        self.connections.connection_made(self, self.transport)
        self.begin(
            self.transport,
            {
                SettingCodes.MAX_CONCURRENT_STREAMS: self.max_streams,
                # So that one byte too many is seen.
                SettingCodes.INITIAL_WINDOW_SIZE: MAX_BODY_BYTES + 1,
                SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEAD_BYTES,
                SettingCodes.ENABLE_CONNECT_PROTOCOL: 0,
            },
        )
        if self.is_shutting_down():
            self._announce_shutdown()

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up all streams, and have the connection forgotten."""
        self.is_over = True
        self.transport = None
        if self._goaway_timer is not None:
            self._goaway_timer.cancel()
        self._cancel_streams()
        self.connections.connection_lost(self, exc)

    # Receiving.

    def data_received(self, data: bytes) -> None:
        """Handle what the client sends."""
        if self.is_over:
            return
        try:
            events = self.h2.receive_data(data)
        except (h2.exceptions.ProtocolError, UnicodeDecodeError) as error:
            self.counters.add("h2 protocol errors")
            self.flush()  # the library has written its GOAWAY with the right code already
            self._close_soon(str(error))
            return
        except Exception:
            # Against a defect of the library, or of ours, costing more than this one connection.
            self.ingress.log.exception("h2_fault", peer=self.client_address)
            self._end(ErrorCodes.INTERNAL_ERROR)
            return
        for event in events:
            handle = EVENT_HANDLERS.get(type(event))
            if handle is not None:
                handle(self, event)
                if self.is_over:
                    return
        self.flush()

    def _on_request(self, event: h2.events.RequestReceived) -> None:
        is_full = len(self.connections.streams) >= self.connections.most_streams
        if self.is_going_away or is_full:
            # Beyond what GOAWAY named, or beyond all room: provably never executed.
            self._charge(FrameKind.REFUSED_REQUEST)
            self.reset_stream(event.stream_id, ErrorCodes.REFUSED_STREAM)
            self.counters.add("h2 streams refused")
            return
        stream = ServerStream(self, event)
        self.last_stream_id = stream.stream_id
        self.streams[stream.stream_id] = stream
        self.connections.streams.add(stream)
        if len(self.streams) == 1:
            self.connections.begun(self)
        self._schedule_sweep()
        stream.begin(event)

    def _on_data(self, event: h2.events.DataReceived) -> None:
        if not event.data and event.stream_ended is None:
            self._charge(FrameKind.EMPTY_DATA)
        self.return_window(event.flow_controlled_length)
        stream = self.streams.get(event.stream_id)
        if stream is not None:
            stream.add_data(event)

    def _on_stream_ended(self, event: h2.events.StreamEnded) -> None:
        stream = self.streams.get(event.stream_id)
        if stream is not None:
            stream.complete()

    def _on_stream_reset(self, event: h2.events.StreamReset) -> None:
        """Cancel a request whose client wants no response any more: it has left."""
        stream = self.streams.get(event.stream_id)
        self._charge(FrameKind.RESET)
        if stream is not None:
            stream.is_reset = True
            stream.cancel()

    def _on_window_update(self, event: h2.events.WindowUpdated) -> None:
        self._charge(FrameKind.WINDOW_UPDATE)
        if not event.stream_id:
            self._notify_all_windows()
        elif event.stream_id in self.streams:
            self.streams[event.stream_id].notify_window_opened()

    def _on_settings(self, _event: h2.events.RemoteSettingsChanged) -> None:
        self._charge(FrameKind.SETTINGS)
        self._notify_all_windows()

    def _notify_all_windows(self) -> None:
        for stream in list(self.streams.values()):
            stream.notify_window_opened()

    def _on_ping(self, _event: h2.events.PingReceived) -> None:
        self._charge(FrameKind.PING)

    def _on_priority(self, _event: h2.events.PriorityUpdated) -> None:
        self._charge(FrameKind.PRIORITY)

    def _on_unknown_frame(self, _event: h2.events.UnknownFrameReceived) -> None:
        self._charge(FrameKind.UNKNOWN)

    def _on_goaway(self, _event: h2.events.ConnectionTerminated) -> None:
        # The client takes no new streams of ours, of which there are none; what it has asked for is
        # still answered.
        self._charge(FrameKind.GOAWAY)
        self.is_going_away = True
        self._check_idle()

    def _charge(self, kind: FrameKind) -> None:
        """Charge for a frame without progress, and end the connection over too many."""
        if not self.is_over and not self.abuse_budget.charge(self.ingress.runtime.now(), kind):
            self.counters.add("h2 floods")
            self._end(ErrorCodes.ENHANCE_YOUR_CALM)

    # Streams.

    def is_client_waiting(self) -> bool:
        """Whether the client has not ended its sending; an end may lie here unread."""
        return self.transport is not None and not is_closed_by_peer(self.transport)

    def log_fault(self, error: BaseException) -> None:
        """Log a defect that ended one request."""
        self.ingress.log.error("h2_fault", peer=self.client_address, error=repr(error))

    def remove_stream(self, stream: ServerStream) -> None:
        """Give a stream back; no other place does."""
        if self.streams.pop(stream.stream_id, None) is None:
            return
        self.connections.streams.discard(stream)
        self.flush()
        self._check_idle()

    def _cancel_streams(self) -> None:
        for stream in list(self.streams.values()):
            stream.cancel()

    def _check_idle(self) -> None:
        """Count a connection without streams as idle, or close it where no more may come."""
        if self.streams:
            return
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
            self._sweep_timer = None
        if self.transport is None or self.is_over:
            return
        is_last = self.is_going_away or self.is_shutting_down()
        if is_last or self.connections.is_full_of_active:
            self.retire()
        else:
            self.connections.done(self)

    def _schedule_sweep(self) -> None:
        if self._sweep_timer is None and self.streams:
            self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """Refuse messages that did not come whole in time."""
        self._sweep_timer = None
        now = self.loop.time()
        for stream in list(self.streams.values()):
            stream.refuse_if_late(now)
        self._schedule_sweep()

    # Closing.

    def _announce_shutdown(self) -> None:
        """Tell a client that comes while the server shuts down to begin nothing new here.

        What it sends before it reads that is accepted, for as long as it may be on its way.
        """
        self._write_goaway(MAX_STREAM_ID)
        self._goaway_timer = self.loop.call_later(GOAWAY_NOTICE_S, self.go_away)

    def go_away(self) -> None:
        """Begin to shut down: what was accepted is answered, later streams are refused."""
        if self.is_going_away or self.is_over or self.transport is None:
            return
        self.is_going_away = True
        self._write_goaway(self.last_stream_id)
        self._check_idle()

    def _write_goaway(self, last_stream_id: int) -> None:
        # Written beside the library's state, which would take it for the end of the connection.
        frame = GoAwayFrame(0, last_stream_id=last_stream_id, error_code=ErrorCodes.NO_ERROR)
        assert self.transport is not None  # callers have checked it
        self.transport.write(frame.serialize())

    def retire(self) -> None:
        """Close the connection gracefully."""
        if self.transport is None or self.is_over:
            return
        self._send_goaway(ErrorCodes.NO_ERROR)
        self.is_over = True
        self.connections.retire(self)

    async def shutdown(self, _timeout: float | None = None) -> None:
        """Close the connection at once, with what is still open on it."""
        self._cancel_streams()
        self.retire()
        if self.transport is not None:
            self.transport.abort()

    def _end(self, code: ErrorCodes) -> None:
        """End the connection over an error."""
        if not self.is_over:
            self._send_goaway(code)
            self._close_soon(code.name)

    def _send_goaway(self, code: ErrorCodes) -> None:
        with suppress(h2.exceptions.ProtocolError):
            self.h2.close_connection(code, last_stream_id=self.last_stream_id)
        self.flush()

    def _close_soon(self, reason: str) -> None:
        """Give up all streams, and close the connection once the client may have read its GOAWAY.

        Against one that does not read it keeping the connection.
        """
        if self.is_over:
            return
        self.is_over = True
        self.ingress.log.info("h2_ended", peer=self.client_address, why=reason)
        self._cancel_streams()
        self.connections.retire(self)


EVENT_HANDLERS: dict[type[h2.events.Event], Callable[[ServerConnection, Any], None]] = {
    h2.events.RequestReceived: ServerConnection._on_request,
    h2.events.DataReceived: ServerConnection._on_data,
    h2.events.StreamEnded: ServerConnection._on_stream_ended,
    h2.events.StreamReset: ServerConnection._on_stream_reset,
    h2.events.WindowUpdated: ServerConnection._on_window_update,
    h2.events.RemoteSettingsChanged: ServerConnection._on_settings,
    h2.events.PingReceived: ServerConnection._on_ping,
    h2.events.PriorityUpdated: ServerConnection._on_priority,
    h2.events.UnknownFrameReceived: ServerConnection._on_unknown_frame,
    h2.events.ConnectionTerminated: ServerConnection._on_goaway,
}
