"""One connection to an upstream: its streams, and the result of each.

Which requests may have been executed (RFC 9113, 5.1.2, 6.8, 8.7):

    not completely written when its stream or connection ended     no; StaleConnectionError
    RST_STREAM with REFUSED_STREAM                                 no; OverloadedError
    stream id above the last id of a GOAWAY                        no; StaleConnectionError
    anything else, once the last byte is written                   may have been executed
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING, Any, cast

import h2.config
import h2.events
import h2.exceptions
from h2.errors import ErrorCodes
from h2.settings import SettingCodes
from multidict import CIMultiDict

from pepperhook.http2.abuse_limits import AbuseBudget, FrameKind, StreamLimit
from pepperhook.http2.connection import Http2Connection, library_headers
from pepperhook.http2.protocol import Http2Protocol
from pepperhook.server.attempt_errors import (
    AttemptError,
    ConnectionLostError,
    MalformedResponseError,
    OverloadedError,
    StaleConnectionError,
)
from pepperhook.server.http1_client import MAX_BODY_BYTES

if TYPE_CHECKING:
    from pepperhook.http2.client import Http2Client
    from pepperhook.http2.exchange import Exchange

# The header list of a request; values that are text are ASCII.
Head = list[tuple[str, str | bytes]]

NS_PER_S = 1e9
PING_AFTER_SILENCE_S = 1.0  # with streams open and nothing received
PING_TIMEOUT_S = 1.0
# Errors that the upstream reports by a reset or a response. They are kept even for a request that
# was not completely written, as the upstream may react before it has the whole request.
UPSTREAM_ERRORS = (OverloadedError, MalformedResponseError)
PING_DATA = b"pepprhok"  # any 8 bytes (RFC 9113, 6.7)
MAX_HEADER_BYTES = 32 * 1024
SETTINGS = {
    SettingCodes.ENABLE_PUSH: 0,
    SettingCodes.MAX_HEADER_LIST_SIZE: MAX_HEADER_BYTES,
    SettingCodes.INITIAL_WINDOW_SIZE: MAX_BODY_BYTES + 1,  # so that an oversized body is detected
}


class ClientConnection(Http2Protocol):
    """One connection and its open exchanges; notifies its owner of free streams and of its end."""

    def __init__(self, owner: Http2Client) -> None:
        """Create the protocol of a connection that ``owner`` is about to open."""
        loop = owner.loop
        config = h2.config.H2Configuration(client_side=True, header_encoding=None)
        connection = Http2Connection(config)
        super().__init__(loop, connection, AbuseBudget(int(loop.time() * NS_PER_S)))
        self.owner = owner
        self.exchanges: dict[int, Exchange] = {}  # by stream id
        self.stream_limit = StreamLimit(owner.max_streams)
        self.is_going_away = False  # after a GOAWAY: no new streams
        self.is_closed = False
        # Done once the upstream's SETTINGS arrive (RFC 9113, 3.4), which proves that it speaks
        # HTTP/2.
        self.ready: asyncio.Future[None] = loop.create_future()
        self.last_received_at = loop.time()
        self.idle_since = loop.time()
        self.ping_sent_at: float | None = None  # set until anything is received
        self._liveness_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the connection preface with this side's SETTINGS."""
        self.transport = cast(asyncio.Transport, transport)
        self.send_preface(self.transport, SETTINGS)

    def connection_lost(self, exc: Exception | None) -> None:
        """End all open exchanges with an error."""
        if self._liveness_timer is not None:
            self._liveness_timer.cancel()
            self._liveness_timer = None
        self.abort(ConnectionLostError(f"connection lost: {exc or 'closed by the upstream'}"))
        self.h2.release()

    @property
    def available_streams(self) -> int:
        """The number of streams that may be opened now."""
        if self.is_going_away or self.is_closed:
            return 0
        return self.stream_limit.allowed - len(self.exchanges)

    # Sending.

    def send_head(self, exchange: Exchange, headers: Head, has_body: bool) -> None:
        """Open a stream for ``exchange`` by sending the request's headers."""
        exchange.stream_id = self.h2.get_next_available_stream_id()
        exchange.started_at = self.loop.time()
        if not self.exchanges and self.ping_sent_at is None:
            # An idle connection receives nothing, so silence is measured from this request on.
            self.last_received_at = exchange.started_at
        self.exchanges[exchange.stream_id] = exchange
        self._schedule_liveness_check()
        self.h2.send_headers(exchange.stream_id, headers, end_stream=not has_body)
        exchange.is_written = not has_body
        self.flush()

    async def send_body(self, exchange: Exchange, body: bytes) -> None:
        """Send the request's body as the upstream's flow-control windows permit."""
        remaining = memoryview(body)
        while remaining and not exchange.has_ended:
            sent = self.h2.send_body_part(exchange.stream_id, remaining)
            if sent:
                remaining = remaining[sent:]
                exchange.is_written = not remaining
                self.flush()
            else:
                exchange.window_opened = self.loop.create_future()
                self.flush()
                await exchange.window_opened

    def cancel(self, exchange: Exchange) -> None:
        """Reset the exchange's stream; other streams are not affected."""
        if exchange.stream_id not in self.exchanges:
            return
        self.reset_stream(exchange.stream_id, ErrorCodes.CANCEL)
        if self.last_received_at <= exchange.started_at and self.ping_sent_at is None:
            # Nothing has arrived since this request was sent. Without a PING here, a dead
            # connection would never be detected if each attempt times out before the liveness check
            # finds it.
            self._send_ping()
        self.flush()
        self.finish(exchange, None)

    # Receiving.

    def data_received(self, data: bytes) -> None:
        """Process data from the upstream."""
        if self.is_closed:
            return
        self.last_received_at = self.loop.time()
        self.ping_sent_at = None
        try:
            received = self.h2.receive(data)
        except Exception as error:
            # A defect in the library must affect only this connection.
            self.owner.log.exception("h2_fault", upstream=self.owner.address)
            self.abort(MalformedResponseError(f"invalid HTTP/2: {error}"))
            return
        for event in received.events:
            handle = EVENT_HANDLERS.get(type(event))
            if handle is not None:
                handle(self, event)
                if self.is_closed:
                    return
        self.flush()
        if received.error is not None:
            self.abort(MalformedResponseError(f"invalid HTTP/2: {received.error}"))

    def _on_response(self, event: h2.events.ResponseReceived) -> None:
        exchange = self.exchanges.get(event.stream_id)
        if exchange is None:
            return
        headers: CIMultiDict[str] = CIMultiDict()
        for name, value in library_headers(event.headers):
            if name == ":status":
                exchange.status = _parse_status(value)
            elif not name.startswith(":"):
                headers.add(name, value)
        exchange.headers = headers
        if exchange.status is None:
            self._reject_response(exchange, "response without a valid status")
            return
        length = headers.get("Content-Length")
        if length is not None and length.isascii() and length.isdecimal():
            exchange.content_length = int(length)
            if exchange.content_length > MAX_BODY_BYTES:
                self._reject_response(exchange, f"response body over {MAX_BODY_BYTES} bytes")
                return
        # Without this, an incomplete response would block its attempt until the attempt times out.
        exchange.read_timer = self.loop.call_later(
            self.owner.read_timeout_s,
            self._reject_response,
            exchange,
            "response not completed within the read timeout",
        )

    def _on_informational_response(self, event: h2.events.InformationalResponseReceived) -> None:
        if event.stream_id in self.exchanges:
            self._charge(FrameKind.INFORMATIONAL_RESPONSE)  # ignored otherwise

    def _on_data(self, event: h2.events.DataReceived) -> None:
        self.replenish_connection_window(event.flow_controlled_length)
        if not event.data and event.stream_ended is None:
            self._charge(FrameKind.EMPTY_DATA)
        exchange = self.exchanges.get(event.stream_id)
        if exchange is None or self.is_closed:
            return
        exchange.body += event.data
        if len(exchange.body) > MAX_BODY_BYTES:
            self._reject_response(exchange, f"response body over {MAX_BODY_BYTES} bytes")

    def _on_stream_ended(self, event: h2.events.StreamEnded) -> None:
        exchange = self.exchanges.get(event.stream_id)
        if exchange is None:
            return
        length, received = exchange.content_length, len(exchange.body)
        if exchange.status is None:
            self._reject_response(exchange, "stream ended without a response")
            return
        if length is not None and length != received:
            self._reject_response(
                exchange, f"received {received} bytes, content-length is {length}"
            )
            return
        if not exchange.is_written:
            # The upstream responded before it had the whole request, so do not send the rest.
            self.reset_stream(exchange.stream_id, ErrorCodes.NO_ERROR)
        self.stream_limit.request_answered()
        self.abuse_budget.request_answered()
        self.finish(exchange, None)

    def _on_stream_reset(self, event: h2.events.StreamReset) -> None:
        exchange = self.exchanges.get(event.stream_id)
        if exchange is None:
            self._charge(FrameKind.RESET)  # the stream was already closed
            return
        error: AttemptError
        if not event.remote_reset:
            # The library reset the stream over an error of the upstream: malformed headers or
            # trailers, a frame after the end of the response, or an overflow of the window.
            error = MalformedResponseError(f"stream reset by this side: {event.error_code}")
        elif event.error_code == ErrorCodes.REFUSED_STREAM:
            error = OverloadedError("stream refused by the upstream")
        else:
            error = ConnectionLostError(f"stream reset by the upstream: {event.error_code}")
        self.finish(exchange, error)

    def _on_goaway(self, event: h2.events.ConnectionTerminated) -> None:
        self.is_going_away = True
        assert event.last_stream_id is not None  # every GOAWAY frame carries one
        self.end_streams_above(event.last_stream_id)
        self._close_if_idle()

    def end_streams_above(self, last_stream_id: int) -> None:
        """End the streams that a GOAWAY declares as never executed; lower ones continue."""
        for stream_id, exchange in list(self.exchanges.items()):
            if stream_id > last_stream_id:
                self.finish(
                    exchange, StaleConnectionError("stream id above the last id of a GOAWAY")
                )

    def _on_settings(self, _event: h2.events.RemoteSettingsChanged) -> None:
        self._charge(FrameKind.SETTINGS)
        if not self.ready.done():
            self.ready.set_result(None)
        peer_limit = self.h2.remote_settings.max_concurrent_streams
        self.stream_limit.set_max_streams(min(self.owner.max_streams, peer_limit))
        self._wake_all_senders()
        self.owner.wake_waiters()

    def _on_window_update(self, event: h2.events.WindowUpdated) -> None:
        self._charge(FrameKind.WINDOW_UPDATE)
        if not event.stream_id:
            self._wake_all_senders()
        elif event.stream_id in self.exchanges:
            self.exchanges[event.stream_id].wake_sender()

    def _wake_all_senders(self) -> None:
        for exchange in list(self.exchanges.values()):
            exchange.wake_sender()

    def _on_ping(self, _event: h2.events.PingReceived) -> None:
        self._charge(FrameKind.PING)

    def _on_unknown_frame(self, _event: h2.events.UnknownFrameReceived) -> None:
        self._charge(FrameKind.UNKNOWN)

    def _charge(self, kind: FrameKind) -> None:
        """Charge for a frame without progress; abort the connection if the credit is spent."""
        if self.abuse_budget.charge(int(self.loop.time() * NS_PER_S), kind):
            return
        # Counts connections closed because the upstream sent too many frames without progress.
        self.owner.counters.add("h2 floods of upstreams")
        with suppress(h2.exceptions.ProtocolError):
            self.h2.close_connection(ErrorCodes.ENHANCE_YOUR_CALM)
        self.flush()
        self.abort(ConnectionLostError("too many frames without progress"))

    # Ending.

    def _reject_response(self, exchange: Exchange, reason: str) -> None:
        """Reset the stream of an unusable response, and end its exchange with an error."""
        if exchange.stream_id in self.exchanges:
            self.reset_stream(exchange.stream_id, ErrorCodes.CANCEL)
            self.flush()
            self.finish(exchange, MalformedResponseError(reason))

    def finish(self, exchange: Exchange, error: AttemptError | None) -> None:
        """End an exchange and free its stream; every exchange that got a stream ends here.

        ``error`` is None for a complete response and for a cancelled exchange.
        """
        if self.exchanges.pop(exchange.stream_id, None) is None:
            return
        if error is not None and not exchange.is_written and not isinstance(error, UPSTREAM_ERRORS):
            # Not completely sent, so never executed: safe to send on another connection.
            error = StaleConnectionError(str(error))
        exchange.end(error)
        self.idle_since = self.loop.time()
        self.owner.wake_waiters()
        if self.is_going_away:
            self._close_if_idle()

    def abort(self, error: AttemptError) -> None:
        """Close the connection immediately, and end each exchange on it with ``error``."""
        if self.is_closed:
            return
        self.is_closed = True
        if not self.ready.done():
            self.ready.set_exception(ConnectionError(str(error)))
            # Marked as retrieved: without a waiter, asyncio would log it.
            self.ready.exception()
        self.owner.connection_closed(self)
        for exchange in list(self.exchanges.values()):
            self.finish(exchange, error)
        if self.transport is not None:
            self.transport.abort()

    def _close_if_idle(self) -> None:
        if not self.exchanges:
            self.close()

    def close(self) -> None:
        """Close the connection gracefully with a GOAWAY; no exchange may be open."""
        if self.is_closed:
            return
        self.is_closed = True
        self.owner.connection_closed(self)
        with suppress(h2.exceptions.ProtocolError):
            self.h2.close_connection()
        self.flush()
        if self.transport is not None:
            self.transport.close()

    # Liveness, checked only while exchanges are open.

    def _schedule_liveness_check(self) -> None:
        if self._liveness_timer is None:
            self._liveness_timer = self.loop.call_later(
                PING_AFTER_SILENCE_S / 2, self._check_liveness
            )

    def _check_liveness(self) -> None:
        self._liveness_timer = None
        if self.is_closed or (not self.exchanges and self.ping_sent_at is None):
            return
        now = self.loop.time()
        if self.ping_sent_at is None:
            if now - self.last_received_at >= PING_AFTER_SILENCE_S:
                self._send_ping()
                self.flush()
        elif now - self.ping_sent_at >= PING_TIMEOUT_S:
            # Counts connections that did not respond to a PING.
            self.owner.counters.add("h2 connections dead")
            self.abort(ConnectionLostError("no response to a PING"))
            return
        self._schedule_liveness_check()

    def _send_ping(self) -> None:
        with suppress(h2.exceptions.ProtocolError):
            self.h2.ping(PING_DATA)
            self.ping_sent_at = self.loop.time()
        self._schedule_liveness_check()


def _parse_status(value: str) -> int | None:
    """Return a three-digit status code (RFC 9110, 15), or None if the value is not one."""
    return int(value) if re.fullmatch("[0-9]{3}", value) else None


EVENT_HANDLERS: dict[type[h2.events.Event], Callable[[ClientConnection, Any], None]] = {
    h2.events.ResponseReceived: ClientConnection._on_response,
    h2.events.InformationalResponseReceived: ClientConnection._on_informational_response,
    h2.events.DataReceived: ClientConnection._on_data,
    h2.events.StreamEnded: ClientConnection._on_stream_ended,
    h2.events.StreamReset: ClientConnection._on_stream_reset,
    h2.events.ConnectionTerminated: ClientConnection._on_goaway,
    h2.events.RemoteSettingsChanged: ClientConnection._on_settings,
    h2.events.WindowUpdated: ClientConnection._on_window_update,
    h2.events.PingReceived: ClientConnection._on_ping,
    h2.events.UnknownFrameReceived: ClientConnection._on_unknown_frame,
}
