"""The HTTP/1.1 of the stand-ins: small, fast, and strict about what a balancer may send.

It has its own parser, because two ends with the same parser would agree on its mistakes.
"""

import asyncio
import socket
from contextlib import suppress

HEAD_END = b"\r\n\r\n"
MAX_HEAD_BYTES = 256 * 1024
CONNECT_TIMEOUT_S = 5


class MalformedMessageError(ValueError):
    """Received data is not a valid HTTP message."""


class Head:
    """Start line and headers of one message."""

    __slots__ = ("start", "headers")

    def __init__(self, raw):
        first, _, rest = raw.partition(b"\r\n")
        self.start = first.split(b" ", 2)
        if len(self.start) < 2:
            raise MalformedMessageError(f"malformed start line: {first[:60]!r}")
        self.headers = {}
        for line in rest.split(b"\r\n"):
            name, colon, value = line.partition(b":")
            if not colon:
                raise MalformedMessageError(f"malformed header line: {line[:60]!r}")
            self.headers[name.lower()] = value.strip()

    def number(self, name, default=None):
        """Return a header's value as an integer; raise MalformedMessageError if it is none."""
        value = self.headers.get(name)
        if value is None:
            return default
        if not value.isdigit():
            raise MalformedMessageError(f"{name.decode()}: {value[:20]!r} is not a whole number")
        return int(value)


class MessageParser:
    """Splits a stream of bytes into messages."""

    __slots__ = ("buffer", "head", "body_length")

    def __init__(self):
        self.buffer, self.head, self.body_length = b"", None, 0

    def feed(self, data):
        """Add received data."""
        self.buffer += data

    def next(self):
        """Return (head, body) of the next message, or None if it is incomplete.

        Raise MalformedMessageError if the data is no valid message.
        """
        if self.head is None:
            end = self.buffer.find(HEAD_END)
            if end < 0:
                if len(self.buffer) > MAX_HEAD_BYTES:
                    raise MalformedMessageError(f"message head longer than {MAX_HEAD_BYTES} bytes")
                return None
            self.head, self.buffer = Head(self.buffer[:end]), self.buffer[end + 4 :]
            if b"chunked" in self.head.headers.get(b"transfer-encoding", b""):
                raise MalformedMessageError("chunked bodies are not supported")
            self.body_length = self.head.number(b"content-length", 0)
        if len(self.buffer) < self.body_length:
            return None
        message, self.head = (self.head, self.buffer[: self.body_length]), None
        self.buffer = self.buffer[self.body_length :]
        return message

    @property
    def has_partial_message(self):
        """Whether part of a message has been received."""
        return self.head is not None or bool(self.buffer)


def encode_request(method, path, headers, body=b""):
    """Return the bytes of a request."""
    lines = [b"%s %s HTTP/1.1\r\nHost: service.internal\r\n" % (method, path)]
    lines += [b"%s: %s\r\n" % pair for pair in headers]
    if body or method == b"POST":
        lines.append(b"Content-Length: %d\r\n" % len(body))
    return b"".join(lines) + b"\r\n" + body


def encode_response(status, body=b"", headers=b""):
    """Return the bytes of a response; ``headers`` are further header lines, each with its CRLF."""
    # Any reason phrase is valid.
    return b"HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s" % (
        status,
        b"OK" if status == 200 else b"Not",
        headers,
        len(body),
        body,
    )


def fill_backlog(address):
    """Make new connections to a free address time out, by a listener with a full backlog.

    Return the sockets to close when this is to end.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(0)
    sockets = [listener]
    for _ in range(3):
        filler = socket.socket()
        filler.setblocking(False)
        with suppress(BlockingIOError):
            filler.connect(address)
        sockets.append(filler)
    return sockets


class PoolConnection(asyncio.Protocol):
    """The client side of one connection, with at most one open exchange."""

    def __init__(self, pool):
        self.pool, self.transport, self.exchange, self.messages = pool, None, None, MessageParser()

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.messages.feed(data)
        try:
            message = self.messages.next()
        except MalformedMessageError as error:
            return self.fail(f"no answer: {error}")
        if self.exchange is None:
            # Data without a request, or after the response, is reported to the pool's owner.
            self.pool.report_unsolicited(self, data)
            return self.transport.abort()
        if message is None:
            return None
        head, body = message
        exchange, self.exchange = self.exchange, None
        should_close = head.headers.get(b"connection", b"").lower() == b"close"
        excess = self.messages.buffer
        exchange.on_response(int(head.start[1]), body, head.headers)
        if excess:
            self.pool.report_excess(exchange, excess)
            self.transport.abort()
        elif should_close or self.pool.closed:
            self.transport.close()
        else:
            self.last_exchange = exchange
            self.pool.idle.append(self)

    last_exchange = None  # the last exchange that ended on this connection

    def fail(self, why):
        """Abort the connection and end its exchange as lost."""
        exchange, self.exchange = self.exchange, None
        self.transport.abort()
        if exchange is not None:
            exchange.on_lost(why)

    def eof_received(self):
        return False

    def connection_lost(self, error):
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        self.pool.connections.discard(self)
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.on_lost(
                "ended" if error is None else type(error).__name__,
                unread=not self.messages.has_partial_message,
            )


class Pool:
    """Keep-alive connections; ``get_address()`` returns the address of each new one.

    An exchange is one request with its response. Each send ends with one call of the exchange's
    ``on_response(status, body, headers)``, ``on_lost(why, unread)`` or ``on_connect_failed(why)``,
    unless the exchange is dropped or has ended before. ``unread`` means that no part of a response
    was received, or that the peer did not process the request. ``on_connected()`` is called when a
    new connection is open, and ``has_ended`` is true when the exchange has ended. The pool sets
    ``connection`` and ``is_on_new_connection`` (whether it was opened for this exchange).
    """

    def __init__(self, get_address, on_unsolicited=None, on_excess=None):
        self.get_address, self.idle, self.connections, self.closed = get_address, [], set(), False
        self.on_unsolicited, self.on_excess, self.loop = (
            on_unsolicited,
            on_excess,
            asyncio.get_running_loop(),
        )
        self.connecting = set()

    def send_request(self, exchange, method, path, headers, body):
        """Send a request."""
        self.send(exchange, encode_request(method, path, headers, body))

    def send(self, exchange, data):
        """Send an encoded request on an idle connection, or else on a new one."""
        while self.idle:
            connection = self.idle.pop()
            if not connection.transport.is_closing():
                connection.exchange, exchange.connection, exchange.is_on_new_connection = (
                    exchange,
                    connection,
                    False,
                )
                connection.transport.write(data)
                return
        exchange.connection, exchange.is_on_new_connection = None, True
        task = self.loop.create_task(self.connect(exchange, data))
        self.connecting.add(task)
        task.add_done_callback(self.connecting.discard)

    async def open_connection(self, exchange, connection_class):
        """Return a new connection, or None if connecting fails.

        A failure is reported to ``exchange.on_connect_failed``, unless the exchange has ended.
        """
        try:
            address = self.get_address()
            if address is None:
                raise OSError("no address to connect to")
            _, connection = await asyncio.wait_for(
                self.loop.create_connection(lambda: connection_class(self), *address),
                CONNECT_TIMEOUT_S,
            )
            connection.address = address
            return connection
        except (OSError, TimeoutError) as error:
            if not exchange.has_ended:
                exchange.on_connect_failed(type(error).__name__)
            return None

    async def connect(self, exchange, data):
        """Connect and send an encoded request."""
        connection = await self.open_connection(exchange, PoolConnection)
        if connection is None:
            return
        self.connections.add(connection)
        if exchange.has_ended:
            # The exchange ended meanwhile; keep the connection for the next one.
            self.idle.append(connection)
            return
        sock = connection.transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.exchange, exchange.connection = exchange, connection
        exchange.on_connected()
        connection.transport.write(data)

    def drop(self, exchange):
        """Abort an exchange's connection, when its client has left or it has timed out."""
        connection = exchange.connection
        if connection is not None and connection.exchange is exchange:
            connection.exchange = None
            connection.transport.abort()

    def report_unsolicited(self, connection, data):
        """Report data that came without an open exchange."""
        if self.on_unsolicited is not None:
            self.on_unsolicited(connection.last_exchange, data)

    def report_excess(self, exchange, data):
        """Report data that came after the response of an exchange."""
        if self.on_excess is not None:
            self.on_excess(exchange, data)

    async def close(self):
        """Cancel connection attempts and abort all connections."""
        self.closed = True
        for task in list(self.connecting):
            task.cancel()
        await asyncio.gather(*self.connecting, return_exceptions=True)
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()
