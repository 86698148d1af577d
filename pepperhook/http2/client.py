"""Sends requests to one upstream over HTTP/2, as many streams on a few connections.

Each request gets one response or one typed error. Nothing here sends a request again. A request
that was not completely sent, or that a GOAWAY excludes, ends with StaleConnectionError, and only
the caller may send it on another connection. A refused stream ends with OverloadedError.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import h2.exceptions

from pepperhook.http2.client_connection import ClientConnection, Head
from pepperhook.http2.exchange import Exchange
from pepperhook.server.attempt_errors import (
    AttemptError,
    AttemptTimeoutError,
    ConnectFailedError,
    ConnectionLostError,
    ConnectTimeoutError,
    NoFreeStreamError,
    NoStreamsPermittedError,
    SendForbiddenError,
    SocketLimitError,
    StaleConnectionError,
)
from pepperhook.server.field_value import encode_octets

if TYPE_CHECKING:
    from pepperhook.server.messages import Header
    from pepperhook.server.metrics import Counters
    from pepperhook.server.structured_logging import Log

MAX_CONNECTIONS = 4
# Another connection is opened when this share of a connection's streams is in use.
NEARLY_FULL_FRACTION = 0.8
# Connecting and the upstream's first SETTINGS may take this multiple of the connect timeout.
SETUP_TIMEOUT_FACTOR = 4

# Makes a socket for an entry as returned by getaddrinfo. Raises SocketLimitError.
SocketFactory = Callable[[tuple[Any, ...]], socket.socket]


class Http2Client:
    """The connections to one upstream; has the same interface as http1_client.Http1Client."""

    def __init__(
        self,
        address: str,
        *,
        connect_timeout_s: float,
        idle_timeout_s: float,
        read_timeout_s: float,
        max_streams: int,
        make_socket: SocketFactory,
        log: Log,
        counters: Counters,
    ) -> None:
        """Start without connections to ``address``.

        ``idle_timeout_s``: how long a connection may be idle; ``read_timeout_s``: the maximum time
        from the headers of a response to its end; ``max_streams``: the maximum for one connection.
        """
        self.address = address
        self.connect_timeout_s = connect_timeout_s
        self.idle_timeout_s = idle_timeout_s
        self.read_timeout_s = read_timeout_s
        self.max_streams = max_streams
        self.make_socket = make_socket
        self.log = log
        self.counters = counters
        self.loop = asyncio.get_running_loop()
        self.connections: list[ClientConnection] = []
        self.connecting: asyncio.Task[None] | None = None
        # Requests that wait for a free stream, in order of arrival.
        self.waiters: list[asyncio.Future[None]] = []

    async def request(
        self,
        method: str,
        target: str,
        headers: list[Header],
        body: bytes,
        timeout_s: float,
        may_write: Callable[[], bool] | None = None,
    ) -> tuple[int, Any, bytes]:
        """Send one request; return status, headers and body of the response. Raises AttemptError.

        ``may_write`` is called just before the first byte is written; if it returns False, the
        request ends with SendForbiddenError.
        """
        exchange = Exchange(self.loop)
        deadline = self.loop.time() + timeout_s
        try:
            async with asyncio.timeout_at(deadline):
                connection = await self.acquire_connection(
                    min(deadline, self.loop.time() + self.connect_timeout_s)
                )
                if may_write is not None and not may_write():
                    raise SendForbiddenError
                head = self._request_head(method, target, headers, body)
                await _run_exchange(connection, exchange, head, body)
        except AttemptError:
            raise
        except TimeoutError as error:
            if not exchange.stream_id:
                raise ConnectTimeoutError(f"no stream of {self.address} in time") from error
            raise AttemptTimeoutError(str(error)) from error
        except h2.exceptions.ProtocolError as error:
            if exchange.is_written:
                raise ConnectionLostError(str(error)) from error
            raise StaleConnectionError(str(error)) from error
        except OSError as error:
            raise ConnectionLostError(str(error)) from error
        assert exchange.status is not None  # a response without a status ends with an error
        return exchange.status, exchange.headers, bytes(exchange.body)

    def _request_head(self, method: str, target: str, headers: list[Header], body: bytes) -> Head:
        head: Head = [
            (":method", method),
            (":scheme", "http"),
            (":authority", self.address),
            (":path", encode_octets(target)),
            *((name.lower(), value.octets) for name, value in headers),
        ]
        if body:
            head.append(("content-length", str(len(body))))
        return head

    # Connections.

    async def acquire_connection(self, connect_deadline: float) -> ClientConnection:
        """Return the connection with the most free streams; wait if no stream is free.

        Also opens another connection if the one returned is nearly full. ``connect_deadline``, in
        the event loop's time, limits the wait for a connection or a stream. Raises
        ConnectFailedError, SocketLimitError or NoFreeStreamError.
        """
        while True:
            self._close_idle_connections()
            best = max(self.connections, key=_available_streams, default=None)
            if best is not None and best.available_streams > 0:
                is_nearly_full = (
                    len(best.exchanges) >= NEARLY_FULL_FRACTION * best.stream_limit.allowed
                )
                if is_nearly_full and len(self.connections) < MAX_CONNECTIONS:
                    self._start_connecting()
                return best
            if self._permits_no_streams():
                raise NoStreamsPermittedError(f"{self.address} permits no streams")
            if len(self.connections) < MAX_CONNECTIONS:
                await self._wait_for_connect(connect_deadline)
            else:
                await self._wait_for_stream(connect_deadline)

    def _permits_no_streams(self) -> bool:
        """Whether the upstream's SETTINGS permit no stream on any connection, for now."""
        return bool(self.connections) and all(
            connection.stream_limit.max_streams == 0 for connection in self.connections
        )

    async def _wait_for_connect(self, deadline: float) -> None:
        """Open a connection or join the attempt in progress; its failure fails all who wait."""
        connecting = self._start_connecting()
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.shield(connecting)
        except TimeoutError:
            raise ConnectTimeoutError(f"timed out connecting to {self.address}") from None
        except SocketLimitError:
            raise
        except OSError as error:
            raise ConnectFailedError(str(error)) from error

    async def _wait_for_stream(self, deadline: float) -> None:
        waiter: asyncio.Future[None] = self.loop.create_future()
        self.waiters.append(waiter)
        try:
            async with asyncio.timeout_at(deadline):
                await waiter
        except TimeoutError:
            raise NoFreeStreamError(f"no stream of {self.address} was free in time") from None
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)

    def _start_connecting(self) -> asyncio.Task[None]:
        """Start opening a connection unless one is being opened already; return that task."""
        if self.connecting is None:
            self.connecting = self.loop.create_task(self._open_connection())
            self.connecting.add_done_callback(self._on_connect_done)
        return self.connecting

    def _on_connect_done(self, task: asyncio.Task[None]) -> None:
        self.connecting = None
        if not task.cancelled():
            # Each request that awaits the task gets its exception. Without any, asyncio would log
            # it as never retrieved.
            task.exception()

    async def _open_connection(self) -> None:
        host, _, port = self.address.rpartition(":")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        connection: ClientConnection | None = None
        sock = self.make_socket((family, socket.SOCK_STREAM, 0, "", None))
        try:
            sock.setblocking(False)
            async with asyncio.timeout(SETUP_TIMEOUT_FACTOR * self.connect_timeout_s):
                await self.loop.sock_connect(sock, (host.strip("[]"), int(port)))
                _, connection = await self.loop.create_connection(
                    lambda: ClientConnection(self), sock=sock
                )
                # Send no request before the upstream's SETTINGS: until they arrive it is unknown
                # whether it speaks HTTP/2 and how many streams it permits.
                await connection.ready
        except BaseException:
            if connection is not None and connection.transport is not None:
                connection.transport.abort()
            sock.close()
            raise
        self.connections.append(connection)
        self.wake_waiters()

    def wake_waiters(self) -> None:
        """Wake as many waiting requests as there are free streams."""
        available = sum(max(0, connection.available_streams) for connection in self.connections)
        while available > 0 and self.waiters:
            waiter = self.waiters.pop(0)
            if not waiter.done():
                waiter.set_result(None)
                available -= 1

    def connection_closed(self, connection: ClientConnection) -> None:
        """Remove a connection, and wake all waiters: they may have to open a new one."""
        if connection in self.connections:
            self.connections.remove(connection)
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)
        self.waiters.clear()

    def _close_idle_connections(self) -> None:
        """Close connections past the idle timeout, before the upstream closes them."""
        oldest_idle_since = self.loop.time() - self.idle_timeout_s
        for connection in list(self.connections):
            if not connection.exchanges and connection.idle_since < oldest_idle_since:
                connection.close()

    async def close(self) -> None:
        """Close all connections; exchanges still open end with an error."""
        if self.connecting is not None:
            self.connecting.cancel()
            await asyncio.gather(self.connecting, return_exceptions=True)
        for connection in list(self.connections):
            if connection.exchanges:
                connection.abort(
                    ConnectionLostError("the connections to this upstream were closed")
                )
            else:
                connection.close()
        await asyncio.sleep(0)  # lets the event loop call connection_lost


def _available_streams(connection: ClientConnection) -> int:
    return connection.available_streams


async def _run_exchange(
    connection: ClientConnection, exchange: Exchange, head: Head, body: bytes
) -> None:
    """Send the request and wait for the exchange to end. Raises AttemptError, ProtocolError."""
    try:
        connection.send_head(exchange, head, bool(body))
        if body:
            await _send_body(connection, exchange, body)
        await exchange.completion
    finally:
        if not exchange.has_ended:
            connection.cancel(exchange)


async def _send_body(connection: ClientConnection, exchange: Exchange, body: bytes) -> None:
    try:
        await connection.send_body(exchange, body)
    except asyncio.CancelledError:
        # When a stream ends while its body waits for flow-control window, the wait is cancelled and
        # the exchange reports the result. Otherwise this request itself was cancelled.
        task = asyncio.current_task()
        if not exchange.has_ended or (task is not None and task.cancelling()):
            raise
