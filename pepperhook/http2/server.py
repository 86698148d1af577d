"""Serves clients over HTTP/2: many streams on a connection, one final response on each.

Requests pass through the same ingress as HTTP/1.1 requests.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import TYPE_CHECKING, Any, cast

import h2.config
import h2.events
import h2.exceptions
from h2.errors import ErrorCodes
from h2.settings import SettingCodes
from hyperframe.frame import GoAwayFrame

from pepperhook.http2.abuse_limits import AbuseBudget, FrameKind
from pepperhook.http2.connection import (
    Http2ServerConnection,
    InvalidFieldReceived,
    ReceivedEvents,
    library_headers,
)
from pepperhook.http2.drain import Drain
from pepperhook.http2.managed_connection import ManagedConnection
from pepperhook.http2.protocol import Http2Protocol
from pepperhook.http2.server_stream import WINDOW_TIMEOUT_S, ServerStream
from pepperhook.server.client_connection import MAX_HEAD_BYTES, MESSAGE_TIMEOUT_S
from pepperhook.server.http1_client import MAX_BODY_BYTES, is_closed_by_peer

if TYPE_CHECKING:
    from pepperhook.http2.request_turns import RequestTurns
    from pepperhook.server.client_connections import Connections
    from pepperhook.server.ingress import Ingress
    from pepperhook.server.metrics import Counters

SWEEP_INTERVAL_S = 0.2  # between checks for requests that were not received in time
# The last id in a GOAWAY that announces a shutdown but still accepts all streams (RFC 9113, 6.8).
MAX_STREAM_ID = 2**31 - 1
STATE_BYTES = 12 * 1024  # of an open connection without streams, beside one over HTTP/1.1
BUFFER_COPIES = 2  # of what is not parsed yet: as received, and in frames
CONNECTION_NUMBERS = itertools.count(1)
GOAWAY_NOTICE_S = 0.1  # between that GOAWAY and the final one, for requests in transit


class ServerConnection(ManagedConnection, Http2Protocol):
    """One client's connection.

    Managed by Connections like HTTP/1.1 connections: their number is limited, idle ones are closed
    to make room for new ones, and all are closed at shutdown. After an error of the client, or a
    flood, it accepts no new streams, and is closed when the accepted ones have been answered.
    """

    def __init__(
        self,
        connections: Connections,
        ingress: Ingress,
        counters: Counters,
        max_streams: int,
        request_turns: RequestTurns,
        waited_s: float,
        is_shutting_down: Callable[[], bool],
    ) -> None:
        """``max_streams``: how many streams the client may have open at once.

        ``request_turns``: shared by all connections; ``waited_s``: how long the connection, and
        the requests that come with its first bytes, waited to be accepted.
        """
        Http2Protocol.__init__(
            self,
            connections.loop,
            Http2ServerConnection(
                h2.config.H2Configuration(client_side=False, header_encoding=None)
            ),
            AbuseBudget(ingress.runtime.now()),
        )
        self.connections = connections
        self.ingress = ingress
        self.counters = counters
        self.max_streams = max_streams
        self.request_turns = request_turns
        self.waited_s = waited_s
        self.is_shutting_down = is_shutting_down
        self.number = next(CONNECTION_NUMBERS)
        self.client_address: str | None = None
        self.streams: dict[int, ServerStream] = {}  # by stream id
        self.last_stream_id = 0  # the highest id accepted
        self.is_going_away = False  # after a GOAWAY of either side: no new streams
        self.drain: Drain | None = None  # set after an error of the client, or a flood
        self.is_closed = False  # closing or closed
        self.expires_at = self.loop.time() + MESSAGE_TIMEOUT_S
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._goaway_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, and send the preface with this side's SETTINGS."""
        self.transport = cast(asyncio.Transport, transport)
        self.client_address = (transport.get_extra_info("peername") or (None,))[0]
        self.connections.connection_made(self, self.transport)
        self.send_preface(
            self.transport,
            {
                SettingCodes.MAX_CONCURRENT_STREAMS: self.max_streams,
                # One byte more than a body may have, so that an oversized body is detected.
                SettingCodes.INITIAL_WINDOW_SIZE: MAX_BODY_BYTES + 1,
                SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEAD_BYTES,
                SettingCodes.ENABLE_CONNECT_PROTOCOL: 0,
            },
        )
        if self.is_shutting_down():
            self._announce_shutdown()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel all streams and unregister the connection."""
        self.is_closed = True
        self.transport = None
        if self._goaway_timer is not None:
            self._goaway_timer.cancel()
        if self.drain is not None:
            self.drain.close()
        self._cancel_streams()
        self.h2.release()
        self.connections.connection_lost(self, exc)

    # Receiving.

    def data_received(self, data: bytes) -> None:
        """Process data from the client."""
        if self.is_closed:
            return
        if self._is_input_ended:
            self._discard_input()
            return
        try:
            self._handle(self.h2.receive(data))
        except Exception:
            # A defect in the library or in this code must affect only this connection.
            self.ingress.log.exception("h2_fault", peer=self.client_address)
            self._end_input(ErrorCodes.INTERNAL_ERROR, "defect")
        if self.is_closed:
            return
        self.waited_s = 0.0
        self.flush()
        self.connections.message_grew(self)

    def _handle(self, received: ReceivedEvents) -> None:
        for event in received.events:
            handle = EVENT_HANDLERS.get(type(event))
            if handle is not None:
                handle(self, event)
                if self.is_closed or self._is_input_ended:
                    return
        if received.error is not None:
            self._handle_protocol_error(received.error)

    def _handle_protocol_error(self, error: Exception) -> None:
        if self.drain is None:
            self.counters.add("h2 protocol errors")
        self._end_input(getattr(error, "error_code", ErrorCodes.PROTOCOL_ERROR), str(error))

    @property
    def is_unfinished(self) -> bool:  # type: ignore[override]
        """Whether it may be shed: a header block is incomplete, and no request is in flight."""
        return not self.is_closed and not self.streams and self.h2.header_block_bytes > 0

    def held_bytes(self) -> int:
        """Return what the connection holds in memory, without its streams."""
        return STATE_BYTES + super().held_bytes() + BUFFER_COPIES * self.h2.unparsed_bytes

    def shed(self) -> None:
        """Close a connection whose header block is incomplete."""
        self._begin_drain(ErrorCodes.ENHANCE_YOUR_CALM, ErrorCodes.ENHANCE_YOUR_CALM.name)

    def _on_request(self, event: h2.events.RequestReceived) -> None:
        stream = self._open_stream(event.stream_id, library_headers(event.headers))
        if stream is not None:
            stream.handle_headers(event)
            self.connections.message_grew(stream)

    def _on_invalid_field(self, event: InvalidFieldReceived) -> None:
        stream = self.streams.get(event.stream_id) or self._open_stream(event.stream_id, [])
        if stream is not None:
            stream.handle_invalid_field(event.reason)

    def _open_stream(
        self, stream_id: int, headers: Iterable[tuple[str, str]]
    ) -> ServerStream | None:
        """Add the stream of a new request; refuse it and return None if there may be no more."""
        if self.is_going_away or not self._has_free_stream():
            # Above the last id of a GOAWAY, or over the limit on streams of all connections
            # together. REFUSED_STREAM tells the client that the request was never executed.
            self._charge(FrameKind.REFUSED_REQUEST)
            self.reset_stream(stream_id, ErrorCodes.REFUSED_STREAM)
            self.counters.add("h2 streams refused")
            return None
        stream = ServerStream(self, stream_id, headers)
        self.last_stream_id = stream.stream_id
        self.streams[stream.stream_id] = stream
        self.connections.streams.add(stream)
        if len(self.streams) == 1:
            self.connections.request_begun(self)
        self._schedule_sweep()
        return stream

    def _has_free_stream(self) -> bool:
        """Return whether a stream is free, if need be that of the longest waiting response.

        Clients that open no window would otherwise hold all streams that the others need.
        """
        connections = self.connections
        if len(connections.streams) < connections.max_streams:
            return True
        return any(stream.give_up() for stream in list(connections.window_waiters))

    def _on_data(self, event: h2.events.DataReceived) -> None:
        if not event.data and event.stream_ended is None:
            self._charge(FrameKind.EMPTY_DATA)
        self.replenish_connection_window(event.flow_controlled_length)
        stream = self.streams.get(event.stream_id)
        if stream is not None:
            stream.add_data(event)

    def _on_stream_ended(self, event: h2.events.StreamEnded) -> None:
        stream = self.streams.get(event.stream_id)
        if stream is not None:
            stream.complete()

    def _on_stream_reset(self, event: h2.events.StreamReset) -> None:
        """Cancel a request whose stream was reset, by the client or for a stream error."""
        stream = self.streams.get(event.stream_id)
        if stream is None or self.drain is None:  # else their number is limited: no new streams
            self._charge(FrameKind.RESET)
        if stream is not None:
            stream.is_reset = True
            stream.cancel()

    def _on_window_update(self, event: h2.events.WindowUpdated) -> None:
        self._charge(FrameKind.WINDOW_UPDATE)
        if not event.stream_id:
            self._wake_all_senders()
        elif event.stream_id in self.streams:
            self.streams[event.stream_id].wake_sender()

    def _on_settings(self, _event: h2.events.RemoteSettingsChanged) -> None:
        self._charge(FrameKind.SETTINGS)
        self._wake_all_senders()

    def _wake_all_senders(self) -> None:
        for stream in list(self.streams.values()):
            stream.wake_sender()

    def _on_ping(self, _event: h2.events.PingReceived) -> None:
        self._charge(FrameKind.PING)

    def _on_priority(self, _event: h2.events.PriorityUpdated) -> None:
        self._charge(FrameKind.PRIORITY)

    def _on_unknown_frame(self, _event: h2.events.UnknownFrameReceived) -> None:
        self._charge(FrameKind.UNKNOWN)

    def _on_goaway(self, _event: h2.events.ConnectionTerminated) -> None:
        # A client's GOAWAY refuses streams that the server opens, and this server opens none. It
        # also announces that the client is about to leave, so the connection is closed when
        # the open requests are answered.
        self._charge(FrameKind.GOAWAY)
        self.is_going_away = True
        self._close_or_mark_idle()

    def _charge(self, kind: FrameKind) -> None:
        """Charge for a frame without progress; end the connection if the credit is spent.

        If it is spent twice, the client does not respect the GOAWAY, and its input ends as well.
        """
        now_ns = self.ingress.runtime.now()
        if self.is_closed or self._is_input_ended or self.abuse_budget.charge(now_ns, kind):
            return
        code = ErrorCodes.ENHANCE_YOUR_CALM
        if self.drain is not None:
            self._end_input(code, code.name)
            return
        self.counters.add("h2 floods")
        self.abuse_budget = AbuseBudget(now_ns)
        self._begin_drain(code, code.name)

    # Streams.

    def is_client_waiting(self) -> bool:
        """Whether the client has not closed its sending side; finds a close after unread data."""
        return self.transport is not None and not is_closed_by_peer(self.transport)

    def log_fault(self, error: BaseException) -> None:
        """Log an unexpected exception that ended one request."""
        self.ingress.log.error("h2_fault", peer=self.client_address, error=repr(error))

    def remove_stream(self, stream: ServerStream) -> None:
        """Remove a stream that has ended; every accepted stream is removed here."""
        if self.streams.pop(stream.stream_id, None) is None:
            return
        self.connections.streams.discard(stream)
        self.connections.ledger.release(stream)
        self.flush()
        self._close_or_mark_idle()

    def _cancel_streams(self) -> None:
        for stream in list(self.streams.values()):
            stream.cancel()

    def _close_or_mark_idle(self) -> None:
        """If no stream is open, close the connection or mark it as idle.

        It is closed after a GOAWAY, during shutdown, and when active connections are at the limit.
        """
        if self.streams:
            return
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
            self._sweep_timer = None
        if self.transport is None or self.is_closed:
            return
        must_close = self.is_going_away or self.is_shutting_down()
        if must_close or self.connections.is_full_without_unused:
            self.retire()
        else:
            self.connections.request_done(self)

    def _schedule_sweep(self) -> None:
        if self._sweep_timer is None and self.streams:
            self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        """Refuse requests that were not completely received in time."""
        self._sweep_timer = None
        now = self.loop.time()
        for stream in list(self.streams.values()):
            stream.refuse_if_late(now)
        self._schedule_sweep()

    # Closing.

    def _announce_shutdown(self) -> None:
        """Ask a client that connects during a shutdown to open no new streams.

        Streams that it opened before it received the GOAWAY are accepted for GOAWAY_NOTICE_S.
        """
        self._write_goaway(MAX_STREAM_ID)
        self._goaway_timer = self.loop.call_later(GOAWAY_NOTICE_S, self.go_away)

    def go_away(self) -> None:
        """Start the shutdown: answer the accepted streams and refuse later ones."""
        if self.is_going_away or self.is_closed or self.transport is None:
            return
        self.is_going_away = True
        self._write_goaway(self.last_stream_id)
        self._close_or_mark_idle()

    def _write_goaway(self, last_stream_id: int, code: ErrorCodes = ErrorCodes.NO_ERROR) -> None:
        # Written directly to the transport: the library would treat the connection as closed after
        # its own GOAWAY.
        frame = GoAwayFrame(0, last_stream_id=last_stream_id, error_code=code)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(self.h2.data_to_send() + frame.serialize())

    def retire(self) -> None:
        """Close the connection gracefully."""
        if self.transport is None or self.is_closed:
            return
        if self.drain is None:
            self._send_goaway()
        else:
            self.drain.close()
            self.flush()
        self.is_closed = True
        self.connections.retire(self)

    async def shutdown(self, _timeout: float | None = None) -> None:
        """Close the connection immediately and cancel all open streams."""
        self._cancel_streams()
        self.retire()
        if self.transport is not None:
            self.transport.abort()

    def _send_goaway(self) -> None:
        with suppress(h2.exceptions.ProtocolError):
            self.h2.close_connection(ErrorCodes.NO_ERROR, last_stream_id=self.last_stream_id)
        self.flush()

    # Ending after an error.

    def _begin_drain(self, code: ErrorCodes, reason: str) -> None:
        """Send a GOAWAY with an error code, and close when the accepted streams have ended."""
        if self.drain is not None or self.is_closed:
            return
        self.ingress.log.info(
            "h2_ended", peer=self.client_address, why=reason, open_streams=len(self.streams)
        )
        limit_s = MESSAGE_TIMEOUT_S + self.ingress.max_time_limit_s + WINDOW_TIMEOUT_S
        self.drain = Drain(self.loop, limit_s, self._end_drain)
        self.is_going_away = True
        self._write_goaway(self.last_stream_id, code)
        self._close_or_mark_idle()

    def _end_drain(self) -> None:
        """Close the connection although streams are open: their time is over."""
        self._cancel_streams()
        self.retire()

    @property
    def _is_input_ended(self) -> bool:
        return self.drain is not None and self.drain.is_input_ended

    def _end_input(self, code: ErrorCodes, reason: str) -> None:
        """Discard all further input, refuse the incomplete requests, and answer the others."""
        incomplete = [stream for stream in self.streams.values() if not stream.is_complete]
        for stream in incomplete:
            # Tells the client that the request was never executed; sent before the GOAWAY.
            self.reset_stream(stream.stream_id, ErrorCodes.REFUSED_STREAM)
        self._begin_drain(code, reason)
        if self.drain is not None:
            self.drain.is_input_ended = True
        self.h2.discard_input()
        for stream in incomplete:
            stream.cancel()
        self._discard_input()

    def _discard_input(self) -> None:
        if self.drain is not None and self.transport is not None and not self.is_closed:
            self.drain.discard_input(self.transport)


EVENT_HANDLERS: dict[type[h2.events.Event], Callable[[ServerConnection, Any], None]] = {
    h2.events.RequestReceived: ServerConnection._on_request,
    InvalidFieldReceived: ServerConnection._on_invalid_field,
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
