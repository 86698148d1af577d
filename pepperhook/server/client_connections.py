"""All client connections: the listener, limits, timeouts, and closing some to make room."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable
from contextlib import suppress
from errno import EMFILE
from functools import partial
from http import HTTPStatus
from itertools import islice
from typing import TYPE_CHECKING, Any

from aiohttp import web

from pepperhook.server.backlog_wait import BacklogWait, has_received, waiting_connections
from pepperhook.server.client_connection import MESSAGE_TIMEOUT_S, Connection
from pepperhook.server.connection_reports import ConnectionReports
from pepperhook.server.memory_ledger import CONNECTION_BYTES, MemoryLedger
from pepperhook.server.parsing_turns import ParsingTurns
from pepperhook.server.refusal import RequestRefusedError

if TYPE_CHECKING:
    from pepperhook.server.config import Address
    from pepperhook.server.metrics import Counters
    from pepperhook.server.structured_logging import Log

IDLE_TIMEOUT_S = 10  # after which an idle keep-alive connection is closed
SWEEP_INTERVAL_S = 0.2  # between checks for expired connections
LINGER_S = 0.4  # to wait for the client's FIN after ours, before the connection is closed
MIN_IDLE_S = 0.1  # a connection created or used more recently is not closed to make room
BACKLOG = 1024  # connections that the kernel queues for this process
MAX_ACCEPTS = 16  # in one iteration of the event loop
ACCEPT_PAUSE_S = 0.02  # before accepting is tried again after a failure
MAX_SHED_CANDIDATES = 8  # unfinished messages that are looked at to make room for a connection
STREAMS_FACTOR = 4  # concurrent multiplexed requests, as a multiple of the connection limit
MAX_BUSY_FRACTION = 0.9  # of the soft limit that may be busy; requests beyond it are refused


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
        ledger: MemoryLedger,
        log: Log,
        **options: Any,
    ) -> None:
        """``options``: those that aiohttp takes for each connection."""
        super().__init__(handler, request_factory=request_factory, handler_cancellation=True)
        self.loop = asyncio.get_running_loop()
        self.options = options
        self.counters = counters
        self.ledger = ledger
        self.log = log
        self.turns = ParsingTurns(self.loop)
        self.reports = ConnectionReports(self)
        self.serve_unreadable = serve_unreadable
        self.soft_limit = soft_limit
        self.hard_limit = hard_limit
        self.idle: dict[Any, float] = {}  # with the time when it became idle; longest idle first
        self.busy: set[Any] = set()  # with a request in flight or a body to receive
        self.receiving: dict[Any, float] = {}  # the latter, with the time of their head
        self.arriving: set[asyncio.Task[Any]] = set()  # create the transport of a connection
        self.ending: dict[Any, float] = {}  # closing, with the deadline; oldest first
        # If HTTP/2 is enabled: takes the factory of HTTP/1.1 connections, and how long a connection
        # waited to be accepted; returns one that detects the protocol.
        self.detect_protocol: Callable[[Callable[[], Any], float], Any] | None = None
        self.streams: set[Any] = set()  # requests on multiplexed connections
        self.max_streams = STREAMS_FACTOR * soft_limit
        # Those of them whose response waits for the client's window, the longest waiting first.
        self.window_waiters: dict[Any, None] = {}
        self.listener: socket.socket | None = None
        self._resume_timer: asyncio.TimerHandle | None = None
        self._full_since: float | None = None
        self._backlog_wait = BacklogWait()
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
        waiting = waiting_connections(self.listener, BACKLOG)
        if waiting is not None:
            self._backlog_wait.observe(now, waiting)
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
            self._connect(accepted, self._waited_s(now, waiting is not None))
        return False

    def _waited_s(self, now: float, is_told: bool) -> float:
        """Return how long a connection that is accepted now has waited in the backlog.

        ``is_told``: whether the system tells how many wait. Otherwise it may have waited since
        accepting was paused.
        """
        seen_s = self._backlog_wait.accept(now)
        if is_told:
            return seen_s
        return 0 if self._full_since is None else now - self._full_since

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
        if waited_s and not has_received(accepted):
            waited_s = 0.0  # the request is sent later
        # Else Nagle's algorithm could delay a last write until the close.
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connect: Any = partial(Connection, self, waited_s, loop=self.loop, **self.options)
        if self.detect_protocol is not None:
            connect = partial(self.detect_protocol, connect, waited_s)
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
            if handler.is_unfinished:
                self.reject(handler, "408 Request Timeout")
            elif self.close_idle(handler):
                self.counters.add("connections idle too long")
        for handler in [handler for handler, deadline in self.ending.items() if deadline < now]:
            self.abort(handler)
        self.reports.watch()

    def reject(self, handler: Any, status: str) -> None:
        """Answer an incomplete message with ``status`` and close its connection."""
        self.counters.add("not taken")
        self.counters.add(f"incomplete heads refused {status[:3]}")
        if handler.transport is not None:
            handler.transport.write(
                f"HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode()
            )
            self.ledger.hold(handler, CONNECTION_BYTES, is_unfinished=False)
        self.retire(handler)
        handler.drop_parser()

    def retire(self, handler: Any) -> None:
        """Close a connection gracefully. All connections that this side closes end here.

        Close the sending side, discard what is still received, and close the socket once the client
        has closed its side, or after LINGER_S. Closing the socket at once would answer data that
        arrives in that moment with a reset, and the client could lose a response just written.
        """
        self._forget(handler)
        if handler.transport is None or handler in self.ending:
            return
        handler.ending = True
        self.ledger.unfinished.pop(handler, None)
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
            self.ledger.release(handler)
            handler.transport.abort()

    def _forget(self, handler: Any) -> None:
        self.idle.pop(handler, None)
        self.busy.discard(handler)
        self.receiving.pop(handler, None)

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

        Idle connections that never had a response are closed first, then one whose message is
        incomplete: clients that stop half way must not keep others out.
        """
        if self._is_full:
            unused = [handler for handler in self.idle if not handler.answered]
            if not self.close_idle_connections(1, unused) and not self._shed_oldest():
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
        with status 503. A complete message, which the library is about to serve, is never refused.
        """
        is_complete = handler.is_message_begun and not handler.is_unfinished
        must_stay = is_complete or (handler.is_message_begun and not even_if_begun)
        if must_stay or handler.has_unread_data():
            return False
        if handler.is_message_begun:
            self.reject(handler, "503 Service Unavailable")
        else:
            handler.retire()
        return True

    def _shed_oldest(self) -> bool:
        """Refuse the message that has been incomplete for longest; return whether there was one.

        Of the oldest ones, rather one with nothing unread, whose rest has not arrived.
        """
        now = self.loop.time()
        oldest = [
            handler
            for handler, since in islice(self.receiving.items(), MAX_SHED_CANDIDATES)
            if now - since > MIN_IDLE_S
        ]
        if not oldest:
            return False
        stalled = (handler for handler in oldest if not handler.has_unread_data())
        self._shed(next(stalled, oldest[0]))
        return True

    def _shed(self, holder: Any) -> None:
        self.counters.add("messages shed")
        holder.shed()
        self.ledger.hold(holder, holder.held_bytes(), is_unfinished=False)

    # Memory.

    def message_grew(self, holder: Any) -> None:
        """Count what a connection or stream holds, and shed messages if it is too much."""
        self.ledger.hold(holder, holder.held_bytes(), holder.is_unfinished)
        if self.ledger.is_exceeded:
            self._relieve_memory()

    def _relieve_memory(self) -> None:
        """Shed the largest unfinished messages; then end connections that are closing anyway."""
        for holder in self.ledger.largest_unfinished():
            self._shed(holder)
        for handler in list(self.ending):
            if not self.ledger.is_exceeded:
                break
            if handler.transport is None or not handler.transport.get_write_buffer_size():
                self.abort(handler)

    # Events of connections.

    def connection_made(self, handler: Any, transport: asyncio.Transport) -> None:
        """Count a new connection as idle."""
        super().connection_made(handler, transport)
        self.idle[handler] = self.loop.time()
        self.message_grew(handler)

    def connection_lost(self, handler: Any, exc: BaseException | None = None) -> None:
        """Remove a connection."""
        self._forget(handler)
        self.ending.pop(handler, None)
        self.ledger.release(handler)
        super().connection_lost(handler, exc)

    def data_arrived(self, handler: Any) -> None:
        """Record that a message begins on an idle connection, as the most recently used one."""
        if handler in self.idle:
            del self.idle[handler]
            now = self.loop.time()
            self.idle[handler] = now
            if handler.answered:
                handler.expires_at = now + MESSAGE_TIMEOUT_S

    def request_begun(self, handler: Any, is_complete: bool = True) -> None:
        """Record that a request has begun: the connection is busy."""
        self.idle.pop(handler, None)
        self.busy.add(handler)
        if not is_complete:
            self.receiving[handler] = self.loop.time()

    def message_received(self, handler: Any) -> None:
        """Record that a message was received as a whole: it is not shed any more."""
        if self.receiving.pop(handler, None) is not None:
            self.message_grew(handler)

    def request_done(self, handler: Any) -> None:
        """Record that the response was written: the connection is idle."""
        if handler not in self.busy:
            return  # lost or retired in the meantime
        self._forget(handler)
        now = self.loop.time()
        self.idle[handler] = now
        handler.expires_at = now + IDLE_TIMEOUT_S
        was_counted = handler.is_counted
        handler.message_done()
        if was_counted or handler.unsent_bytes:
            self.message_grew(handler)

    @property
    def count(self) -> int:
        """The number of connections that hold a descriptor."""
        return len(self.idle) + len(self.busy) + len(self.arriving) + len(self.ending)

    @property
    def _is_full(self) -> bool:
        return self.count - len(self.ending) >= self.soft_limit

    @property
    def is_full_without_unused(self) -> bool:
        """Whether the soft limit is reached, and nobody but idle, answered ones can make room."""
        return (
            self._is_full and not self.receiving and all(handler.answered for handler in self.idle)
        )

    @property
    def has_too_many_busy(self) -> bool:
        """Whether so many requests are in flight that new ones must be refused."""
        return len(self.busy) - len(self.receiving) > MAX_BUSY_FRACTION * self.soft_limit

    def check_busy(self) -> None:
        """Raise RequestRefusedError if so many requests are in flight."""
        if self.has_too_many_busy:
            self.reports.too_many_busy()
            # No sockets are left to serve the request; nothing was sent, so a retry is harmless.
            raise RequestRefusedError(HTTPStatus.SERVICE_UNAVAILABLE, "too many connections")
