"""Sends dispatches and probes to upstreams, and tells how each ended. Owns the connections to upstreams."""

import asyncio
import socket
from dataclasses import dataclass
from errno import EMFILE
from weakref import WeakSet

from yarl import URL

from pepperhook import model
from pepperhook.net import http

FORWARDED = ("X-Request-ID", "Idempotency-Key", "Content-Type")
NOT_PROCESSED = "X-Not-Processed"
IDLE_SHARE = 0.45       # of the time after which an upstream closes an idle connection
LATE = 1.5              # times the limit for connecting that its end may take to be noticed
PROBE_CONNECTS = 4      # a probe may take as many times the limit for connecting


@dataclass
class Message:
    """What goes on unchanged: the bytes that came."""

    method: str
    target: str
    headers: list
    body: bytes


@dataclass
class Received:
    body: bytes
    content_type: str | None


class Upstreams:
    def __init__(self, core, log, counters, settings, most_sockets):
        self.core, self.log, self.counters, self.most_sockets = core, log, counters, most_sockets
        self.dials, self.tasks, self.probes, self.sockets = {}, {}, set(), WeakSet()
        self.connect_s = settings.get("connect_limit_ns", 10 ** 9) / 1e9
        # Against writing on a connection that the upstream closes as idle, which ends as a reset. The library
        # looks for idle ones only once in that time, so some stand for twice as long.
        idle_s = IDLE_SHARE * settings.get("idle_ns", 15 * 10 ** 9) / 1e9
        self.session = http.session(limit=0, keepalive_timeout=idle_s, socket_factory=self.socket)

    def socket(self, address):
        """Bounds all connections to upstreams, idle ones too, against their taking clients' descriptors."""
        open_now = [known for known in self.sockets if known.fileno() != -1]
        if len(open_now) >= self.most_sockets:
            self.counters.add("connections over the bound")
            raise http.Bound(EMFILE, "connections to upstreams are at their bound")
        made = socket.socket(*address[:3])
        self.sockets.add(made)
        return made

    def send(self, dispatch, for_ns, message, inbox):
        """Sends; the inbox gets ("ended", dispatch, outcome, what was received) once, whatever happens."""
        self.tasks[dispatch] = self.core.loop.create_task(self.carry(dispatch, for_ns, message))
        # Also when the task is called off before its first step, which then never runs.
        self.tasks[dispatch].add_done_callback(lambda task: self.ended(task, dispatch, inbox))
        self.counters.add("dispatched")

    def call_off(self, dispatch):
        task = self.tasks.get(dispatch)
        if task is not None:
            task.cancel()

    def ended(self, task, dispatch, inbox):
        del self.tasks[dispatch]
        outcome, received = (model.CALLED_OFF, None) if task.cancelled() else task.result()
        self.counters.add(f"dispatches {outcome}")
        inbox.put_nowait(("ended", dispatch, outcome, received))

    async def carry(self, dispatch, for_ns, message):
        """The outcome and what was received; whatever is not surely unsent may have run."""
        dial, begun = self.dials.get(dispatch.upstream), self.core.now()
        for_ns += dispatch.sent - begun
        if dial is None or dispatch.upstream.state != model.READY or for_ns <= 0:
            return model.MOOT, None     # told since it was chosen, or this program was late
        try:
            return await http.unspent(lambda: self.exchange(dial, message, begun + for_ns))
        except http.UNSENT as problem:
            # Against taking an upstream for dead where this program has no socket left, or stood still.
            own = isinstance(problem.__cause__, http.Bound) or (
                isinstance(problem, TimeoutError) and self.core.now() - begun > LATE * self.connect_s * 1e9)
            return (model.MOOT if own else model.UNCONNECTED), None
        except TimeoutError:
            return model.TIMED_OUT, None
        except http.BROKEN:
            return model.RESET, None
        except Exception:
            self.log.exception("dispatch_fault", upstream=dial)
            return model.RESET, None

    async def exchange(self, dial, message, ends):
        for_s = (ends - self.core.now()) / 1e9
        if for_s <= 0:
            raise TimeoutError
        headers = message.headers + [("X-Timeout-Ms", str(max(1, int(for_s * 1000))))]
        async with self.session.request(
                message.method, URL(f"http://{dial}{message.target}", encoded=True), headers=headers,
                data=message.body or None, allow_redirects=False,
                timeout=http.limits(for_s, self.connect_s)) as response:
            body = await http.whole_body(response)
            if response.status == 200:
                return model.FULFILLED, Received(body, response.headers.get("Content-Type"))
            never_ran = response.status in (503, 504) and response.headers.get(NOT_PROCESSED) == "1"
            return (model.FULL if never_ran else model.ERROR), None

    def probe(self, upstream, tell):
        task = self.core.loop.create_task(self.ask(upstream, tell))
        self.probes.add(task)
        task.add_done_callback(self.probes.discard)
        self.counters.add("probes")

    async def ask(self, upstream, tell):
        begun, outcome = self.core.now(), model.UNCONNECTED
        try:
            outcome = await http.unspent(lambda: self.ping(self.dials[upstream]))
        except http.UNSENT + http.BROKEN + (KeyError, ValueError):
            pass
        finally:
            tell(upstream, outcome, self.core.now() - begun)

    async def ping(self, dial):
        async with self.session.get(
                URL(f"http://{dial}/ping", encoded=True), allow_redirects=False,
                timeout=http.limits(PROBE_CONNECTS * self.connect_s, self.connect_s)) as response:
            await http.whole_body(response)
            return model.FULFILLED if response.status == 200 else model.ERROR

    async def close(self):
        tasks = list(self.tasks.values()) + list(self.probes)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.session.close()
