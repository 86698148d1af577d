"""Clients' connections: listening, the bound on them, and which make room for others."""

import asyncio
import socket
from errno import EMFILE
from functools import partial

from aiohttp import web

from pepperhook.net import http

FRESH_S = 0.1           # a connection just made or used is not closed to make room
BACKLOG, ACCEPTS = 1024, 16     # what the machine holds for this program, and what it takes in at once
PAUSE_S = 0.02          # between looks for room for new connections
CROWDED = 0.9           # share of the bound that may be at work; what is beyond gets its answer at once


class Connection(web.RequestHandler):
    """One connection; tells when something came, as that is handled only a turn of the event loop later."""

    def __init__(self, connections, waited_s, **rest):
        super().__init__(connections, **rest)
        self.connections, self.waited_s, self.touched = connections, waited_s, False

    def data_received(self, data):
        # Once for each message, or one that comes byte by byte would never be closed to make room.
        if not self.touched:
            self.touched = True
            self.connections.used(self)
        super().data_received(data)

    def unread(self):
        """Whether something has come that was not read yet."""
        return self.transport is not None and http.unread(self.transport)


class Connections(web.Server):
    """Clients' connections, bounded. Over ``most`` those that stand idle longest make room and every answer
    closes its connection; at ``hard`` new ones wait. So descriptors never run out, which would stop all
    accepting for a second at a time."""

    def __init__(self, handler, most, hard, request_factory, **rest):
        super().__init__(handler, request_factory=request_factory, handler_cancellation=True)
        self.loop, self.rest = asyncio.get_running_loop(), rest
        self.most, self.hard, self.idle, self.busy, self.arriving = most, hard, {}, set(), set()
        self.listener, self.pause, self.full_since = None, None, None

    def listen(self, address):
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self.listener = socket.create_server(address, family=family, backlog=BACKLOG)
        self.listener.setblocking(False)
        self.loop.add_reader(self.listener, self.accept)
        return self.listener.getsockname()[:2]

    def accept(self):
        now = self.loop.time()
        for _ in range(ACCEPTS):
            try:
                if not self.room():
                    raise OSError(EMFILE, "connections of clients are at their bound")
                made, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                self.full_since = None
                return
            except OSError:
                # The system has none left, or the bound is reached: against asking it again in every turn.
                self.full_since = now if self.full_since is None else self.full_since
                self.loop.remove_reader(self.listener)
                self.pause = self.loop.call_later(PAUSE_S, self.resume)
                return
            made.setblocking(False)
            waited_s = 0 if self.full_since is None else now - self.full_since
            connect = partial(Connection, self, waited_s, loop=self.loop, **self.rest)
            task = self.loop.create_task(self.loop.connect_accepted_socket(connect, made))
            self.arriving.add(task)
            task.add_done_callback(self.arriving.discard)

    def resume(self):
        self.pause = None
        self.loop.add_reader(self.listener, self.accept)

    def stop(self):
        """Takes in no new connections any more."""
        if self.pause is not None:
            self.pause.cancel()
        if self.listener is not None:
            self.loop.remove_reader(self.listener)
            self.listener.close()
            self.listener = None

    def room(self):
        """Whether there is room for one more, made if need be."""
        if self.full:
            self.part_idle(1)
        return self.count < self.hard

    def part_idle(self, most=None):
        """Closes idle ones, at most so many, those first that stand so for longest."""
        for handler, since in list(self.idle.items()):
            # One just used, or just made, is spared: its next message may be on its way.
            if most == 0 or self.loop.time() - since <= FRESH_S:
                break
            # One with something unread is answered first.
            if self.part(handler) and most is not None:
                most -= 1

    def part(self, handler):
        """Closes an idle one, unless that would lose what has come on it."""
        if handler.unread():
            return False
        del self.idle[handler]
        handler.force_close()
        return True

    def connection_made(self, handler, transport):
        super().connection_made(handler, transport)
        self.idle[handler] = self.loop.time()

    def connection_lost(self, handler, exc=None):
        self.idle.pop(handler, None)
        self.busy.discard(handler)
        super().connection_lost(handler, exc)

    def used(self, handler):
        if handler in self.idle:
            # To the end, as the one used last.
            del self.idle[handler]
            self.idle[handler] = self.loop.time()

    def begun(self, handler):
        self.idle.pop(handler, None)
        self.busy.add(handler)

    def done(self, handler):
        if handler in self.busy:
            self.busy.discard(handler)
            self.idle[handler], handler.touched = self.loop.time(), False

    @property
    def count(self):
        return len(self.idle) + len(self.busy) + len(self.arriving)

    @property
    def full(self):
        return self.count >= self.most

    @property
    def crowded(self):
        return len(self.busy) > CROWDED * self.most
