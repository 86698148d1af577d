"""Clients' connections: the listener, their limits, and which are closed to make room."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable
from contextlib import suppress
from errno import EMFILE
from functools import partial
from typing import TYPE_CHECKING, Any

from aiohttp import web

from pepperhook.server import http1_client

if TYPE_CHECKING:
    from pepperhook.server.config import Address
    from pepperhook.server.metrics import Counters

MESSAGE_TIMEOUT_S = 2  # in which a message must have come whole, and the first one since connecting
IDLE_TIMEOUT_S = 10  # a kept connection may stand idle this long
SWEEP_INTERVAL_S = 0.2  # between looks for those whose time is up
MAX_HEAD_BYTES = 32 * 1024  # that may come before there is a message
LINGER_S = 0.4  # from the end of our sending to the close, in which the client may end its own
MAX_DISCARDED_BYTES = 256 * 1024  # that are read and dropped in that time; more lie unread
MIN_IDLE_S = 0.1  # a connection just made or used is not closed to make room
BACKLOG = 1024  # connections that the machine holds for this process
MAX_ACCEPTS = 16  # that are accepted in one turn of the event loop
ACCEPT_PAUSE_S = 0.02  # between looks for room for new connections
STREAMS_FACTOR = 4  # requests at once on multiplexed connections, times the limit on connections
CROWDED_FRACTION = 0.9  # of the limit that may be at work; what is beyond gets its answer at once


class Connection(web.RequestHandler):
    """One HTTP/1.1 connection; reports at once that data came, which is handled a turn later."""

    def __init__(self, connections: Connections, waited_s: float, **options: Any) -> None:
        """``waited_s``: how long it may have waited to be accepted; ``options``: the library's."""
        super().__init__(connections, **options)
        self.connections = connections
        self.waited_s = waited_s
        self.is_message_begun = False  # a message has begun to come
        self.answered = False  # at least one response was written
        self.expires_at = self._loop.time() + MESSAGE_TIMEOUT_S  # when its time is up
        self.received_bytes = 0  # of an incomplete head, or since our sending has ended
        self.is_pipelined = False  # a message came before the one before was answered
        self.requests_before = 0  # messages that came up to the last response
        self.ending = False  # our sending has ended: what comes now belongs to no request

    def data_received(self, data: bytes) -> None:
        """Hand on what belongs to one message at a time."""
        if self.ending:
            self._discard(data)
            return
        # Once for each message, or one that comes byte by byte would never be closed to make room.
        if not self.is_message_begun:
            self.is_message_begun = True
            self.connections.data_arrived(self)
        current = self._current_request
        is_early = data and current is not None and current.content.is_eof()
        super().data_received(data)
        messages = self._request_count - self.requests_before
        if messages > 1 or is_early:
            # Against hundreds of messages lying here for one connection, where clients send one at
            # a time. Nothing more is read; what is in flight already keeps its response.
            self.is_pipelined = self.is_pipelined or len(self._messages) == messages
            self.close()
        elif not messages:
            self.received_bytes += len(data)
            if self.received_bytes > MAX_HEAD_BYTES:
                self.connections.reject(self, "431 Request Header Fields Too Large")

    def _discard(self, data: bytes) -> None:
        self.received_bytes += len(data)
        if self.received_bytes > MAX_DISCARDED_BYTES and self.transport is not None:
            self.transport.pause_reading()  # against a core spent on what is thrown away

    def _make_error_handler(self, err_info: Any) -> Any:
        # The library would log a traceback for each message that can't be read, and not count it.
        return partial(self.connections.serve_unreadable, err_info.message)

    def has_unread_data(self) -> bool:
        """Whether something has come that was not read yet."""
        return self.transport is not None and http1_client.has_unread_data(self.transport)

    def retire(self) -> None:
        """Close the connection gracefully."""
        self.connections.retire(self)

    def is_client_waiting(self) -> bool:
        """Whether the client has not ended its sending; an end may lie here unread."""
        return self.transport is not None and not http1_client.is_closed_by_peer(self.transport)


class Connections(web.Server):
    """Clients' connections, bounded.

    Over ``soft_limit`` those that stand idle longest make room and every response closes its
    connection; at ``hard_limit`` new ones wait. So descriptors never run out, which would stop all
    accepting for a second at a time.
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
        """``options``: the library's, for each connection."""
        super().__init__(handler, request_factory=request_factory, handler_cancellation=True)
        self.loop = asyncio.get_running_loop()
        self.options = options
        self.counters = counters
        self.serve_unreadable = serve_unreadable
        self.soft_limit = soft_limit
        self.hard_limit = hard_limit
        self.idle: dict[Any, float] = {}  # since when, the longest idle first
        self.busy: set[Any] = set()  # with a request in flight
        self.arriving: set[asyncio.Task[Any]] = set()
        self.ending: dict[Any, float] = {}  # when they are closed at the latest, oldest first
        # Where more than one protocol is spoken: wraps what makes an HTTP/1.1 connection in what
        # finds out which it is.
        self.detect_protocol: Callable[[Callable[[], Any]], Any] | None = None
        self.streams: set[Any] = set()  # requests on multiplexed connections
        self.max_streams = STREAMS_FACTOR * soft_limit
        self.listener: socket.socket | None = None
        self._resume_timer: asyncio.TimerHandle | None = None
        self._full_since: float | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None

    # Accepting.

    def listen(self, address: Address) -> Address:
        """Begin to accept; returns the address, with the port that was chosen where it was 0."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.listener = socket.create_server(address, family=family, backlog=BACKLOG)
        self.listener.setblocking(False)
        self.loop.add_reader(self.listener, self._accept)
        self._sweep()
        host, port = self.listener.getsockname()[:2]
        return host, port

    def _accept(self) -> bool:
        """Accept some of those that wait; whether none waits any more."""
        assert self.listener is not None
        now = self.loop.time()
        for _ in range(MAX_ACCEPTS):
            try:
                if not self._make_room():
                    raise OSError(EMFILE, "connections of clients are at their bound")
                accepted, _address = self.listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                self._full_since = None
                return True
            except OSError:
                # The system has none left, or the limit is reached: against asking it in every
                # turn.
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
        # A last write must not wait for the close.
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connect: Any = partial(Connection, self, waited_s, loop=self.loop, **self.options)
        if self.detect_protocol is not None:
            connect = partial(self.detect_protocol, connect)
        task = self.loop.create_task(self.loop.connect_accepted_socket(connect, accepted))
        self.arriving.add(task)
        task.add_done_callback(self.arriving.discard)

    def stop(self, at_once: bool = False) -> bool:
        """Stop accepting, once no connection waits to be accepted; whether it has stopped.

        A connection that the machine had accepted for this process would be reset, with the message
        on it.
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
        """End those whose time is up.

        Against some that send nothing, or never end what they send, keeping the room of others and
        what was reserved for them.
        """
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.loop.time()
        for handler in [handler for handler in self.idle if handler.expires_at < now]:
            if handler.is_message_begun:
                self.reject(handler, "408 Request Timeout")
            elif self.close_idle(handler):
                self.counters.add("connections idle too long")
        for handler in [handler for handler, ends in self.ending.items() if ends < now]:
            self.abort(handler)

    def reject(self, handler: Any, status: str) -> None:
        """End one on which a message began that will not be read to its end."""
        self.counters.add("not taken")
        if handler.transport is not None:
            handler.transport.write(
                f"HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode()
            )
        self.retire(handler)

    def retire(self, handler: Any) -> None:
        """Close a connection gracefully; the one way for idle, evicted, refused and last ones.

        Our sending ends, what still comes is read and dropped, and it is closed once the client has
        ended its own, or a while later. Closed at once, what comes in that moment would be answered
        by a reset, which takes a response just written with it.
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
        """Retire one whose response was just written, and keep the library from closing it."""
        self.retire(handler)
        while handler in self.ending:
            await asyncio.sleep(SWEEP_INTERVAL_S)  # cancelled when the connection is lost

    def abort(self, handler: Any) -> None:
        """Close one whose time to linger is over."""
        if self.ending.pop(handler, None) is not None and handler.transport is not None:
            handler.transport.abort()

    def go_away(self) -> None:
        """Tell clients on multiplexed connections to begin nothing new there."""
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
        """Make room for one more if need be, first by those never used; whether there is room."""
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
        """Retire idle ones, at most ``limit``, the longest idle first; whether any was."""
        before = len(self.idle)
        for handler in list(self.idle) if candidates is None else candidates:
            # One just used, or just made, is spared: its next message may be on its way.
            if limit == 0 or self.loop.time() - self.idle[handler] <= MIN_IDLE_S:
                break
            # One with something unread is answered first.
            if self.close_idle(handler, limit is not None) and limit is not None:
                limit -= 1
        return len(self.idle) < before

    def close_idle(self, handler: Any, even_if_begun: bool = True) -> bool:
        """Retire an idle one, unless that would lose what has come on it; whether it was.

        ``even_if_begun``: also one on which a message has begun to come, which is answered by an
        error.
        """
        if handler.has_unread_data() or (handler.is_message_begun and not even_if_begun):
            return False
        if handler.is_message_begun:
            self.reject(handler, "503 Service Unavailable")
        else:
            handler.retire()
        return True

    # What happens on connections.

    def connection_made(self, handler: Any, transport: asyncio.Transport) -> None:
        """Count a new connection as idle."""
        super().connection_made(handler, transport)
        self.idle[handler] = self.loop.time()

    def connection_lost(self, handler: Any, exc: BaseException | None = None) -> None:
        """Forget a connection."""
        self.idle.pop(handler, None)
        self.busy.discard(handler)
        self.ending.pop(handler, None)
        super().connection_lost(handler, exc)

    def data_arrived(self, handler: Any) -> None:
        """Move an idle connection to the end, as the one used last."""
        if handler in self.idle:
            del self.idle[handler]
            now = self.loop.time()
            self.idle[handler] = now
            if handler.answered:
                handler.expires_at = now + MESSAGE_TIMEOUT_S

    def request_begun(self, handler: Any) -> None:
        """Count a connection as busy: a request has begun."""
        self.idle.pop(handler, None)
        self.busy.add(handler)

    def request_done(self, handler: Any) -> None:
        """Count a connection as idle: the response was written."""
        if handler not in self.busy:
            return  # lost or ending meanwhile
        self.busy.discard(handler)
        now = self.loop.time()
        self.idle[handler] = now
        handler.is_message_begun = False
        handler.answered = True
        handler.received_bytes = 0
        handler.expires_at = now + IDLE_TIMEOUT_S
        handler.requests_before = handler._request_count  # the library has no public one

    @property
    def count(self) -> int:
        """All connections that hold a descriptor."""
        return len(self.idle) + len(self.busy) + len(self.arriving) + len(self.ending)

    @property
    def _is_full(self) -> bool:
        return self.count - len(self.ending) >= self.soft_limit

    @property
    def is_full_of_active(self) -> bool:
        """Whether it is full of connections that are used, and not of some that may make room."""
        return self._is_full and all(handler.answered for handler in self.idle)

    @property
    def is_crowded(self) -> bool:
        """Whether so many requests are in flight that new ones must be refused."""
        return len(self.busy) > CROWDED_FRACTION * self.soft_limit
