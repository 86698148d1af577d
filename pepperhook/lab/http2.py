"""The HTTP/2 of the stand-ins: a pool with the interface of http1.Pool, and the server side."""

import asyncio
import socket

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings

from pepperhook.http2.connection import Http2Connection
from pepperhook.lab import http1

PREFACE = b"PRI * HTTP/2.0"
MAX_CONNECTIONS = 4  # per pool, as clients keep few connections for a long time
MAX_STREAMS = 200  # per connection
Codes = h2.errors.ErrorCodes


class Http2PoolConnection(asyncio.Protocol):
    """The client side of one connection with many streams."""

    def __init__(self, pool):
        # streams: [exchange, status, headers, body] by stream id; is_retired: whether new streams
        # are not allowed any more.
        self.pool, self.transport, self.streams, self.is_retired = pool, None, {}, False
        # The connection class of h2 treats a GOAWAY as the end of every stream, even of those that
        # the peer still answers.
        self.h2 = Http2Connection(
            h2.config.H2Configuration(client_side=True, header_encoding="utf-8")
        )

    def connection_made(self, transport):
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.h2.initiate_connection()
        self.flush()

    def flush(self):
        if not self.transport.is_closing():
            self.transport.write(self.h2.data_to_send())

    def start_stream(self, exchange, method, path, headers, body):
        """Send a request on a new stream."""
        stream_id = self.h2.get_next_available_stream_id()
        self.streams[stream_id] = [exchange, None, {}, b""]
        exchange.connection, exchange.stream_id = self, stream_id
        self.h2.send_headers(
            stream_id,
            [
                (":method", method),
                (":scheme", "http"),
                (":authority", "service.internal"),
                (":path", path),
                *headers,
            ],
            end_stream=not body,
        )
        if body:
            self.h2.send_data(stream_id, body, end_stream=True)
        self.flush()

    def data_received(self, data):
        try:
            events = self.h2.receive_data(data)
        except h2.exceptions.ProtocolError:
            return self.transport.abort()
        for event in events:
            self.handle_event(event)
        self.flush()

    def handle_event(self, event):
        """Handle one event of the HTTP/2 connection."""
        kind, stream_id = type(event), getattr(event, "stream_id", None)
        stream = self.streams.get(stream_id)
        if kind is h2.events.ResponseReceived:
            if stream is None:
                # The raw response head is not available here, so one byte is reported in its place.
                return self.pool.report_unsolicited(self, b"x")
            stream[2] = {name.encode(): value.encode() for name, value in event.headers}
            stream[1] = int(stream[2][b":status"])
        elif kind is h2.events.DataReceived:
            self.h2.acknowledge_received_data(event.flow_controlled_length, stream_id)
            if stream is not None:
                stream[3] += event.data
        elif kind is h2.events.StreamEnded and stream is not None:
            del self.streams[stream_id]
            stream[0].on_response(stream[1], stream[3], stream[2])
        elif kind is h2.events.StreamReset and stream is not None:
            del self.streams[stream_id]
            # A refused stream was not processed, so the client may send its request again.
            stream[0].on_lost(
                f"reset {event.error_code}", unread=event.error_code == Codes.REFUSED_STREAM
            )
        elif kind is h2.events.ConnectionTerminated:
            self.retire()
            for unprocessed in [n for n in self.streams if n > event.last_stream_id]:
                self.streams.pop(unprocessed)[0].on_lost("above a GOAWAY", unread=True)

    def retire(self):
        """Stop opening streams on this connection."""
        self.is_retired = True
        if self in self.pool.connections:
            self.pool.connections.remove(self)

    def connection_lost(self, error):
        self.retire()
        streams, self.streams = self.streams, {}
        for stream in streams.values():
            stream[0].on_lost("the connection ended")


class Http2Pool(http1.Pool):
    """A http1.Pool for HTTP/2, with few connections of many streams."""

    def __init__(self, get_address, on_unsolicited=None, on_excess=None):
        super().__init__(get_address, on_unsolicited, on_excess)
        self.connections, self.selections = [], 0

    def send_request(self, exchange, method, path, headers, body):
        """Send a request."""
        exchange.connection, exchange.is_on_new_connection = None, False
        self.send(exchange, (method, path, headers, body))

    def send(self, exchange, data):
        """Send a request on the next connection in turn.

        Open a new one if fewer than MAX_CONNECTIONS are open or the chosen one is full.
        """
        method, path, headers, body = data
        request = (
            method.decode(),
            path.decode(),
            [(n.decode().lower(), v.decode()) for n, v in headers],
            body,
        )
        if len(self.connections) >= MAX_CONNECTIONS:
            self.selections += 1
            connection = self.connections[self.selections % len(self.connections)]
            if len(connection.streams) < MAX_STREAMS:
                return connection.start_stream(exchange, *request)
        task = self.loop.create_task(self.connect(exchange, request))
        self.connecting.add(task)
        task.add_done_callback(self.connecting.discard)

    async def connect(self, exchange, request):
        """Connect and send a request."""
        connection = await self.open_connection(exchange, Http2PoolConnection)
        if connection is None:
            return
        self.connections.append(connection)  # type: ignore[attr-defined]
        if not exchange.has_ended:
            exchange.on_connected()
            connection.start_stream(exchange, *request)

    def drop(self, exchange):
        """Cancel an exchange's stream, when its client has left or it has timed out."""
        connection = exchange.connection
        if connection is not None and connection.streams.pop(exchange.stream_id, None) is not None:
            try:
                connection.h2.reset_stream(exchange.stream_id, Codes.CANCEL)
                connection.flush()
            except h2.exceptions.ProtocolError:
                pass

    def report_unsolicited(self, connection, data):
        """Report data on a stream without an open exchange."""
        if self.on_unsolicited is not None:
            self.on_unsolicited(None, data)


class Http2ServerConnection(asyncio.Protocol):
    """The server side of one HTTP/2 connection.

    The upstream handles each of its streams like a ServerConnection.
    """

    def __init__(self, upstream, caller):
        (
            self.upstream,
            self.caller,
            self.transport,
            self.streams,
            self.idle_at,
            self.open_attempt,
        ) = (
            upstream,
            caller,
            None,
            {},
            0,
            None,
        )
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(
                client_side=False, header_encoding="utf-8", validate_outbound_headers=False
            )
        )

    def connection_made(self, transport):
        self.transport = transport
        self.upstream.connections.add(self)
        self.idle_at = self.upstream.now()
        self.h2.local_settings = h2.settings.Settings(
            client=False,
            initial_values={h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: MAX_STREAMS},
        )
        self.h2.initiate_connection()
        self.flush()

    def flush(self):
        if not self.transport.is_closing():
            self.transport.write(self.h2.data_to_send())

    def data_received(self, data):
        try:
            events = self.h2.receive_data(data)
        except h2.exceptions.ProtocolError as error:
            self.upstream.record_event("bad message", details=f"no HTTP/2: {error}")
            return self.transport.abort()
        for event in events:
            kind, stream_id = type(event), getattr(event, "stream_id", None)
            if kind is h2.events.RequestReceived:
                if self.upstream.fault_applies("reset_before", self.upstream.now()):
                    self.h2.reset_stream(stream_id, Codes.REFUSED_STREAM)
                    continue
                self.streams[stream_id] = ServerStream(self, stream_id, dict(event.headers))  # type: ignore[attr-defined]
                self.upstream.connections.add(self.streams[stream_id])
            elif kind is h2.events.DataReceived:
                self.h2.acknowledge_received_data(event.flow_controlled_length, stream_id)  # type: ignore[attr-defined]
            elif kind is h2.events.StreamEnded and stream_id in self.streams:
                stream = self.streams[stream_id]
                try:
                    self.upstream.handle_request(stream, stream, b"")
                except (http1.MalformedMessageError, ValueError) as error:
                    self.upstream.record_event("bad message", details=str(error))
                    self.h2.reset_stream(stream_id, Codes.PROTOCOL_ERROR)
            elif kind is h2.events.StreamReset and stream_id in self.streams:
                self.streams[stream_id].on_end()
        self.flush()

    def abort(self):
        """Abort the connection."""
        self.transport.abort()

    def connection_lost(self, error):
        self.upstream.connections.discard(self)
        for stream in list(self.streams.values()):
            stream.on_end()


class ServerStream:
    """One stream of an HTTP/2 connection.

    It has the parts of ServerConnection, http1.Head and a transport that Upstream uses.
    """

    def __init__(self, connection, stream_id, headers):
        self.connection, self.stream_id, self.caller, self.open_attempt, self.idle_at = (
            connection,
            stream_id,
            connection.caller,
            None,
            0,
        )
        self.first_byte_at, self.transport = connection.upstream.now(), self
        self.headers = {name.encode(): value.encode() for name, value in headers.items()}
        self.start = [self.headers[b":method"], self.headers[b":path"]]

    def number(self, name, default=None):
        """Return a header's value as an integer."""
        value = self.headers.get(name)
        return default if value is None else int(value)

    def is_closing(self):
        """Whether the stream has ended."""
        return self.stream_id not in self.connection.streams

    def write(self, data):
        """Send a response that Upstream has encoded as HTTP/1.1.

        A malformed one is sent as a response whose body is shorter than its content length.
        """
        messages = http1.MessageParser()
        messages.feed(data)
        try:
            response = messages.next()
        except http1.MalformedMessageError:
            response = None
        if response is not None and (
            messages.buffer or b"content-length" not in response[0].headers
        ):
            # HTTP/2 has its own framing, so this response would arrive without its fault.
            response = None
        self.remove()
        try:
            if response is None:
                self.connection.h2.send_headers(
                    self.stream_id, [(":status", "200"), ("content-length", "99")]
                )
                self.connection.h2.send_data(self.stream_id, b"half", end_stream=True)
            else:
                head, body = response
                self.connection.h2.send_headers(
                    self.stream_id,
                    [
                        (":status", head.start[1].decode()),
                        *((n.decode(), v.decode()) for n, v in head.headers.items()),
                    ],
                    end_stream=not body,
                )
                remaining = body
                while remaining:
                    window = min(
                        16384, self.connection.h2.local_flow_control_window(self.stream_id)
                    )
                    if window <= 0:
                        self.connection.h2.reset_stream(self.stream_id, Codes.INTERNAL_ERROR)
                        break
                    self.connection.h2.send_data(
                        self.stream_id, remaining[:window], end_stream=window >= len(remaining)
                    )
                    remaining = remaining[window:]
        except h2.exceptions.ProtocolError:
            pass
        self.connection.flush()

    def close(self):
        """Do nothing: the connection may have other streams."""

    def abort(self):
        """Reset the stream."""
        if self.stream_id in self.connection.streams:
            self.remove()
            try:
                self.connection.h2.reset_stream(self.stream_id, Codes.INTERNAL_ERROR)
                self.connection.flush()
            except h2.exceptions.ProtocolError:
                pass
            if self.open_attempt is not None:
                self.connection.upstream.on_disconnect(self.open_attempt)

    def remove(self):
        """Remove the stream from its connection and its upstream."""
        self.connection.streams.pop(self.stream_id, None)
        self.connection.upstream.connections.discard(self)
        self.connection.idle_at = self.connection.upstream.now()

    def on_end(self):
        """Handle the end of the stream by the client or of its connection."""
        self.remove()
        if self.open_attempt is not None:
            self.connection.upstream.on_disconnect(self.open_attempt)
