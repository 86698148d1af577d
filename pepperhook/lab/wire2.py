"""HTTP/2 as the stand-ins speak it: a pool with the calls of wire.Pool, and an upstream's end beside upstream.End."""

import asyncio
import socket

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings

from pepperhook.http2.connection import Http2Connection
from pepperhook.lab import wire

PREFACE = b"PRI * HTTP/2.0"
CONNECTIONS = 4  # of a pool: terminals keep few, and long
STREAMS = 200
Codes = h2.errors.ErrorCodes


class Link2(asyncio.Protocol):
    """A client's end of one connection with many streams."""

    def __init__(self, pool):
        self.pool, self.transport, self.streams, self.gone = pool, None, {}, False
        # Not the library's own: it takes a GOAWAY for the end of all streams, also of those that are still answered.
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

    def begin(self, exchange, method, path, headers, body):
        number = self.h2.get_next_available_stream_id()
        self.streams[number] = [exchange, None, {}, b""]
        exchange.link, exchange.stream = self, number
        self.h2.send_headers(
            number,
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
            self.h2.send_data(number, body, end_stream=True)
        self.flush()

    def data_received(self, data):
        try:
            events = self.h2.receive_data(data)
        except h2.exceptions.ProtocolError:
            return self.transport.abort()
        for event in events:
            self.take(event)
        self.flush()

    def take(self, event):
        kind, number = type(event), getattr(event, "stream_id", None)
        row = self.streams.get(number)
        if kind is h2.events.ResponseReceived:
            if row is None:
                return self.pool.unasked(self, b"x")
            row[2] = {name.encode(): value.encode() for name, value in event.headers}
            row[1] = int(row[2][b":status"])
        elif kind is h2.events.DataReceived:
            self.h2.acknowledge_received_data(event.flow_controlled_length, number)
            if row is not None:
                row[3] += event.data
        elif kind is h2.events.StreamEnded and row is not None:
            del self.streams[number]
            row[0].answered(row[1], row[3], row[2])
        elif kind is h2.events.StreamReset and row is not None:
            del self.streams[number]
            # Refused is as good as never read: the client may send it once more.
            row[0].lost(
                f"reset {event.error_code}", unread=event.error_code == Codes.REFUSED_STREAM
            )
        elif kind is h2.events.ConnectionTerminated:
            self.leave()
            for above in [n for n in self.streams if n > event.last_stream_id]:
                self.streams.pop(above)[0].lost("above a GOAWAY", unread=True)

    def leave(self):
        self.gone = True
        if self in self.pool.links:
            self.pool.links.remove(self)

    def connection_lost(self, problem):
        self.leave()
        streams, self.streams = self.streams, {}
        for row in streams.values():
            row[0].lost("the connection ended")


class Pool2(wire.Pool):
    """As wire.Pool, on few connections with many streams."""

    def __init__(self, where, on_unasked=None, on_after=None):
        super().__init__(where, on_unasked, on_after)
        self.links, self.turn = [], 0

    def ask(self, exchange, method, path, headers, body):
        exchange.link, exchange.fresh, exchange.data = None, False, (method, path, headers, body)
        self.send(exchange, exchange.data)

    def send(self, exchange, data):
        method, path, headers, body = data
        told = (
            method.decode(),
            path.decode(),
            [(n.decode().lower(), v.decode()) for n, v in headers],
            body,
        )
        if len(self.links) >= CONNECTIONS:
            self.turn += 1
            link = self.links[self.turn % len(self.links)]
            if len(link.streams) < STREAMS:
                return link.begin(exchange, *told)
        task = self.loop.create_task(self.connect(exchange, told))
        self.connecting.add(task)
        task.add_done_callback(self.connecting.discard)

    async def connect(self, exchange, told):
        link = await self.reach(exchange, Link2)
        if link is None:
            return
        self.links.append(link)  # type: ignore[attr-defined]
        if not exchange.over:
            exchange.written()
            link.begin(exchange, *told)

    def drop(self, exchange):
        link = exchange.link
        if link is not None and link.streams.pop(exchange.stream, None) is not None:
            try:
                link.h2.reset_stream(exchange.stream, Codes.CANCEL)
                link.flush()
            except h2.exceptions.ProtocolError:
                pass

    def unasked(self, link, data):
        if self.on_unasked is not None:
            self.on_unasked(None, data)


class End2(asyncio.Protocol):
    """The upstream's end of one HTTP/2 connection; each stream is an end of its own to the upstream."""

    def __init__(self, upstream, caller):
        self.upstream, self.caller, self.transport, self.streams, self.idle_at, self.open = (
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
        self.upstream.ends.add(self)
        self.idle_at = self.upstream.now()
        self.h2.local_settings = h2.settings.Settings(
            client=False, initial_values={h2.settings.SettingCodes.MAX_CONCURRENT_STREAMS: STREAMS}
        )
        self.h2.initiate_connection()
        self.flush()

    def flush(self):
        if not self.transport.is_closing():
            self.transport.write(self.h2.data_to_send())

    def data_received(self, data):
        try:
            events = self.h2.receive_data(data)
        except h2.exceptions.ProtocolError as problem:
            self.upstream.happened("bad message", text=f"no HTTP/2: {problem}")
            return self.transport.abort()
        for event in events:
            kind, number = type(event), getattr(event, "stream_id", None)
            if kind is h2.events.RequestReceived:
                if self.upstream.hits("reset_before", self.upstream.now()):
                    self.h2.reset_stream(number, Codes.REFUSED_STREAM)
                    continue
                self.streams[number] = StreamEnd(self, number, dict(event.headers))  # type: ignore[attr-defined]
                self.upstream.ends.add(self.streams[number])
            elif kind is h2.events.DataReceived:
                self.h2.acknowledge_received_data(event.flow_controlled_length, number)  # type: ignore[attr-defined]
            elif kind is h2.events.StreamEnded and number in self.streams:
                stream = self.streams[number]
                try:
                    self.upstream.take(stream, stream, b"")
                except (wire.Broken, ValueError) as problem:
                    self.upstream.happened("bad message", text=str(problem))
                    self.h2.reset_stream(number, Codes.PROTOCOL_ERROR)
            elif kind is h2.events.StreamReset and number in self.streams:
                self.streams[number].gone()
        self.flush()

    def abort(self):
        self.transport.abort()

    def connection_lost(self, problem):
        self.upstream.ends.discard(self)
        for stream in list(self.streams.values()):
            stream.gone()


class StreamEnd:
    """One stream, with what Upstream asks of an end, of a head and of a transport."""

    def __init__(self, end, number, headers):
        self.end, self.stream, self.caller, self.open, self.idle_at = (
            end,
            number,
            end.caller,
            None,
            0,
        )
        self.first_byte, self.transport = end.upstream.now(), self
        self.headers = {name.encode(): value.encode() for name, value in headers.items()}
        self.start = [self.headers[b":method"], self.headers[b":path"]]

    def number(self, name, default=None):
        value = self.headers.get(name)
        return default if value is None else int(value)

    def is_closing(self):
        return self.stream not in self.end.streams

    def write(self, data):
        """An answer in HTTP/1.1's bytes, as Upstream words them; what is none is sent as one that is not whole."""
        messages = wire.Messages()
        messages.feed(data)
        try:
            whole = messages.next()
        except wire.Broken:
            whole = None
        if whole is not None and (messages.buffer or b"content-length" not in whole[0].headers):
            whole = None  # spoilt on purpose; here its end would be told by the stream
        self.forget()
        try:
            if whole is None:
                self.end.h2.send_headers(
                    self.stream, [(":status", "200"), ("content-length", "99")]
                )
                self.end.h2.send_data(self.stream, b"half", end_stream=True)
            else:
                head, body = whole
                self.end.h2.send_headers(
                    self.stream,
                    [
                        (":status", head.start[1].decode()),
                        *((n.decode(), v.decode()) for n, v in head.headers.items()),
                    ],
                    end_stream=not body,
                )
                rest = body
                while rest:
                    room = min(16384, self.end.h2.local_flow_control_window(self.stream))
                    if room <= 0:
                        self.end.h2.reset_stream(self.stream, Codes.INTERNAL_ERROR)
                        break
                    self.end.h2.send_data(self.stream, rest[:room], end_stream=room >= len(rest))
                    rest = rest[room:]
        except h2.exceptions.ProtocolError:
            pass
        self.end.flush()

    def close(self):
        """The connection stays: others are on it."""

    def abort(self):
        if self.stream in self.end.streams:
            self.forget()
            try:
                self.end.h2.reset_stream(self.stream, Codes.INTERNAL_ERROR)
                self.end.flush()
            except h2.exceptions.ProtocolError:
                pass
            if self.open is not None:
                self.end.upstream.left(self.open)

    def forget(self):
        self.end.streams.pop(self.stream, None)
        self.end.upstream.ends.discard(self)
        self.end.idle_at = self.end.upstream.now()

    def gone(self):
        self.forget()
        if self.open is not None:
            self.end.upstream.left(self.open)
