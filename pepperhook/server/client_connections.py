"""Client connections: the listener, limits, timeouts, and closing idle ones to make room."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable
from contextlib import suppress
from errno import EMFILE
from functools import partial
from typing import TYPE_CHECKING, Any

from aiohttp import web
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.web_protocol import _ErrInfo

from pepperhook.server import http1_client
from pepperhook.server.bounded_reads import BoundedReads

if TYPE_CHECKING:
    from pepperhook.server.config import Address
    from pepperhook.server.metrics import Counters

MESSAGE_TIMEOUT_S = 2  # to receive a whole message; for the first one, from connecting
IDLE_TIMEOUT_S = 10  # after which an idle keep-alive connection is closed
SWEEP_INTERVAL_S = 0.2  # between checks for expired connections
MAX_HEAD_BYTES = 32 * 1024  # of an incomplete request head
MAX_REASON_LENGTH = 200  # characters of a parser's error that are kept
LINGER_S = 0.4  # to wait for the client's FIN after ours, before the connection is closed
MAX_DISCARDED_BYTES = 256 * 1024  # read and discarded in that time; the rest is left unread
MIN_IDLE_S = 0.1  # a connection created or used more recently is not closed to make room
BACKLOG = 1024  # connections that the kernel queues for this process
MAX_ACCEPTS = 16  # in one iteration of the event loop
ACCEPT_PAUSE_S = 0.02  # before accepting is tried again after a failure
STREAMS_FACTOR = 4  # concurrent multiplexed requests, as a multiple of the connection limit
MAX_BUSY_FRACTION = 0.9  # of the soft limit that may be busy; requests beyond it are refused


class Connection(BoundedReads, web.RequestHandler):  # type: ignore[misc]  # as asyncio.Protocol
    """One HTTP/1.1 connection; notifies ``Connections`` of data before the library handles it."""

    def __init__(self, connections: Connections, waited_s: float, **options: Any) -> None:
        """``waited_s``: how long it may have waited to be accepted; ``options``: aiohttp's."""
        super().__init__(connections, **options)
        self.connections = connections
        self.waited_s = waited_s
        self.is_message_begun = False  # a part of a message was received
        self.answered = False  # at least one response was written
        self.expires_at = self._loop.time() + MESSAGE_TIMEOUT_S  # in the loop's time
        self.received_bytes = 0  # of an incomplete head, or since the connection is closing
        self.is_pipelined = False  # a message arrived before the previous one was answered
        self.requests_before = 0  # value of _request_count at the last response
        self.ending = False  # our side is closed: received data is discarded

    def data_received(self, data: bytes) -> None:
        """Pass data to the library; refuse pipelining and heads that are too long."""
        if self.ending:
            self._discard(data)
            return
        # Only once a message: a client that sends byte by byte must not count as recently used.
        if not self.is_message_begun:
            self.is_message_begun = True
            self.connections.data_arrived(self)
        current = self._current_request
        is_early = data and current is not None and current.content.is_eof()
        super().data_received(data)
        self._shorten_parse_errors()
        messages = self._request_count - self.requests_before
        if messages > 1 or is_early:
            # A pipelining client could queue hundreds of messages here. Stop reading, but still
            # answer the request in flight.
            self.is_pipelined = self.is_pipelined or len(self._messages) == messages
            self.close()
        elif not messages:
            self.received_bytes += len(data)
            if self.received_bytes > MAX_HEAD_BYTES:
                self.connections.reject(self, "431 Request Header Fields Too Large")

    def _shorten_parse_errors(self) -> None:
        """Keep only the beginning of what the parser reports of unreadable bytes.

        Its message quotes all of them, four times as long. Its traceback refers to itself, by the
        frame that holds the bytes, so that only a rare full garbage collection would free them.
        """
        for number, (message, payload) in enumerate(self._messages):
            if isinstance(message, _ErrInfo):
                reason = message.message[:MAX_REASON_LENGTH]
                message.exc.__traceback__ = None
                short = _ErrInfo(message.status, BadHttpMessage(reason), reason)
                self._messages[number] = (short, payload)

    def _discard(self, data: bytes) -> None:
        self.received_bytes += len(data)
        if self.received_bytes > MAX_DISCARDED_BYTES and self.transport is not None:
            self.transport.pause_reading()  # discarding must not use up a core

    def _make_error_handler(self, err_info: Any) -> Any:
        # The library would log a traceback for each unreadable message, and not count it.
        return partial(self.connections.serve_unreadable, err_info.message)

    def has_unread_data(self) -> bool:
        """Whether the socket holds unread data or an unread end of file (FIN)."""
        return self.transport is not None and http1_client.has_unread_data(self.transport)

    def retire(self) -> None:
        """Close the connection gracefully."""
        self.connections.retire(self)

    def is_client_waiting(self) -> bool:
        """Whether the client has not closed its sending side; finds a close after unread data."""
        return self.transport is not None and not http1_client.is_closed_by_peer(self.transport)


class Connections(web.Server):
    """All client connections, within limits.

    Above ``soft_limit`` the longest idle connections are closed and every response closes its
    connection; at ``hard_limit`` new connections wait to be accepted. Descriptors therefore never
    run out, which would stop all accepting for a second at a time.

    To retire a connection is to close it gracefully; until it is closed, it is in ``ending``.
    """

    def __init__(
        self,
        handler: Any,
        serve_unreadable: Any,
        counters: Counters,
        soft_limit: int,
        hard_limit: int,
        request_factory: Any,
        **options: Any,
    ) -> None:
        """``options``: those that aiohttp takes for each connection."""
        super().__init__(handler, request_factory=request_factory, handler_cancellation=True)
        self.loop = asyncio.get_running_loop()
        self.options = options
        self.counters = counters
        self.serve_unreadable = serve_unreadable
        self.soft_limit = soft_limit
        self.hard_limit = hard_limit
        self.idle: dict[Any, float] = {}  # with the time when it became idle; longest idle first
        self.busy: set[Any] = set()  # with a request in flight
        self.arriving: set[asyncio.Task[Any]] = set()  # create the transport of a connection
        self.ending: dict[Any, float] = {}  # closing, with the deadline; oldest first
        # If HTTP/2 is enabled: takes the factory of HTTP/1.1 connections and returns a connection
        # that detects the protocol.
        self.detect_protocol: Callable[[Callable[[], Any]], Any] | None = None
        self.streams: set[Any] = set()  # requests on multiplexed connections
        self.max_streams = STREAMS_FACTOR * soft_limit
        # Those of them whose response waits for the client's window, the longest waiting first.
        self.window_waiters: dict[Any, None] = {}
        self.listener: socket.socket | None = None
        self._resume_timer: asyncio.TimerHandle | None = None
        self._full_since: float | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    # Accepting.

    def listen(self, address: Address) -> Address:
        """Start to accept; return the bound address, with the actual port if that was 0."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.listener = socket.create_server(address, family=family, backlog=BACKLOG)
        self.listener.setblocking(False)
        self.loop.add_reader(self.listener, self._accept)
        self._sweep()
        host, port = self.listener.getsockname()[:2]
        return host, port

    def _accept(self) -> bool:
        """Accept up to MAX_ACCEPTS connections; return whether the backlog is empty."""
        assert self.listener is not None
        now = self.loop.time()
        for _ in range(MAX_ACCEPTS):
            try:
                if not self._make_room():
                    raise OSError(EMFILE, "the limit on client connections is reached")
                accepted, _address = self.listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                self._full_since = None
                return True
            except OSError:
                # No descriptor or no room is left: retrying in each iteration of the event loop
                # would waste the core.
                self._pause_accepting(self.listener, now)
                return False
            self._connect(accepted, 0 if self._full_since is None else now - self._full_since)
        return False

    def _pause_accepting(self, listener: socket.socket, now: float) -> None:
        if self._full_since is None:
            self._full_since = now
        self.loop.remove_reader(listener)
        self._resume_timer = self.loop.call_later(ACCEPT_PAUSE_S, self._resume_accepting, listener)

    def _resume_accepting(self, listener: socket.socket) -> None:
        self._resume_timer = None
        self.loop.add_reader(listener, self._accept)

    def _connect(self, accepted: socket.socket, waited_s: float) -> None:
        accepted.setblocking(False)
        # Else Nagle's algorithm could delay a last write until the close.
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connect: Any = partial(Connection, self, waited_s, loop=self.loop, **self.options)
        if self.detect_protocol is not None:
            connect = partial(self.detect_protocol, connect)
        task = self.loop.create_task(self.loop.connect_accepted_socket(connect, accepted))
        self.arriving.add(task)
        task.add_done_callback(self.arriving.discard)

    def stop(self, at_once: bool = False) -> bool:
        """Stop accepting when the backlog is empty, or ``at_once``; return whether it has stopped.

        Closing the listener resets the connections in the backlog, and their messages are lost.
        """
        if self.listener is None:
            return True
        if not at_once and (self._resume_timer is not None or not self._accept()):
            return False
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        self.loop.remove_reader(self.listener)
        self.listener.close()
        self.listener = None
        return True

    # Closing.

    def _sweep(self) -> None:
        """Close expired connections.

        Clients that send nothing, or never complete a message, must not hold descriptors and
        memory that other clients need.
        """
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.loop.time()
        for handler in [handler for handler in self.idle if handler.expires_at < now]:
            if handler.is_message_begun:
                self.reject(handler, "408 Request Timeout")
            elif self.close_idle(handler):
                self.counters.add("connections idle too long")
        for handler in [handler for handler, deadline in self.ending.items() if deadline < now]:
            self.abort(handler)

    def reject(self, handler: Any, status: str) -> None:
        """Answer an incomplete message with ``status`` and close its connection."""
        self.counters.add("not taken")
        if handler.transport is not None:
            handler.transport.write(
                f"HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode()
            )
        self.retire(handler)

    def retire(self, handler: Any) -> None:
        """Close a connection gracefully. All connections that this side closes end here.

        Close the sending side, discard what is still received, and close the socket once the client
        has closed its side, or after LINGER_S. Closing the socket at once would answer data that
        arrives in that moment with a reset, and the client could lose a response just written.
        """
        self.idle.pop(handler, None)
        self.busy.discard(handler)
        if handler.transport is None or handler in self.ending:
            return
        handler.ending = True
        handler.received_bytes = 0
        unsent = handler.transport.get_write_buffer_size()
        self.ending[handler] = self.loop.time() + (MESSAGE_TIMEOUT_S if unsent else LINGER_S)
        with suppress(OSError, RuntimeError):
            handler.transport.resume_reading()
            handler.transport.write_eof()

    async def retire_and_wait(self, handler: Any) -> None:
        """Retire a connection after its last response; return when it is closed.

        The library closes the connection at once when its handler returns.
        """
        self.retire(handler)
        while handler in self.ending:
            await asyncio.sleep(SWEEP_INTERVAL_S)  # cancelled when the connection is lost

    def abort(self, handler: Any) -> None:
        """Close a retired connection immediately."""
        if self.ending.pop(handler, None) is not None and handler.transport is not None:
            handler.transport.abort()

    def go_away(self) -> None:
        """Announce on multiplexed connections that no new request is accepted there."""
        for handler in list(self.connections):
            if hasattr(handler, "go_away"):
                handler.go_away()

    async def shutdown(self, timeout: float | None = None) -> None:
        """Close all connections."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        await super().shutdown(timeout)

    # Making room.

    def _make_room(self) -> bool:
        """Make room for one more connection if needed; return whether there is room.

        Idle connections that never had a response are closed first.
        """
        if self._is_full:
            unused = [handler for handler in self.idle if not handler.answered]
            if not self.close_idle_connections(1, unused):
                self.close_idle_connections(1)
        while self.count >= self.hard_limit and self.ending:
            self.abort(next(iter(self.ending)))
        return self.count < self.hard_limit

    def close_idle_connections(
        self, limit: int | None = None, candidates: Iterable[Any] | None = None
    ) -> bool:
        """Retire at most ``limit`` idle connections, longest idle first; return whether any was."""
        before = len(self.idle)
        for handler in list(self.idle) if candidates is None else candidates:
            # A client that connected or was answered just now may be sending its next message.
            if limit == 0 or self.loop.time() - self.idle[handler] <= MIN_IDLE_S:
                break
            # close_idle skips connections with unread data, whose requests are still to be served.
            if self.close_idle(handler, limit is not None) and limit is not None:
                limit -= 1
        return len(self.idle) < before

    def close_idle(self, handler: Any, even_if_begun: bool = True) -> bool:
        """Retire an idle connection unless it has unread data; return whether it was retired.

        ``even_if_begun``: retire it also after a part of a message was received, which is answered
        with status 503.
        """
        if handler.has_unread_data() or (handler.is_message_begun and not even_if_begun):
            return False
        if handler.is_message_begun:
            self.reject(handler, "503 Service Unavailable")
        else:
            handler.retire()
        return True

    # Events of connections.

    def connection_made(self, handler: Any, transport: asyncio.Transport) -> None:
        """Count a new connection as idle."""
        super().connection_made(handler, transport)
        self.idle[handler] = self.loop.time()

    def connection_lost(self, handler: Any, exc: BaseException | None = None) -> None:
        """Remove a connection."""
        self.idle.pop(handler, None)
        self.busy.discard(handler)
        self.ending.pop(handler, None)
        super().connection_lost(handler, exc)

    def data_arrived(self, handler: Any) -> None:
        """Record that a message begins on an idle connection, as the most recently used one."""
        if handler in self.idle:
            del self.idle[handler]
            now = self.loop.time()
            self.idle[handler] = now
            if handler.answered:
                handler.expires_at = now + MESSAGE_TIMEOUT_S

    def request_begun(self, handler: Any) -> None:
        """Record that a request has begun: the connection is busy."""
        self.idle.pop(handler, None)
        self.busy.add(handler)

    def request_done(self, handler: Any) -> None:
        """Record that the response was written: the connection is idle."""
        if handler not in self.busy:
            return  # lost or retired in the meantime
        self.busy.discard(handler)
        now = self.loop.time()
        self.idle[handler] = now
        handler.is_message_begun = False
        handler.answered = True
        handler.received_bytes = 0
        handler.expires_at = now + IDLE_TIMEOUT_S
        handler.requests_before = handler._request_count  # the library has no public counter

    @property
    def count(self) -> int:
        """The number of connections that hold a descriptor."""
        return len(self.idle) + len(self.busy) + len(self.arriving) + len(self.ending)

    @property
    def _is_full(self) -> bool:
        return self.count - len(self.ending) >= self.soft_limit

    @property
    def is_full_without_unused(self) -> bool:
        """Whether the soft limit is reached, and every idle connection has had a response."""
        return self._is_full and all(handler.answered for handler in self.idle)

    @property
    def has_too_many_busy(self) -> bool:
        """Whether so many connections are busy that new requests must be refused."""
        return len(self.busy) > MAX_BUSY_FRACTION * self.soft_limit
