"""Sends dispatches and probes to upstreams, and tells how each ended. Owns the connections to upstreams."""

import asyncio
from dataclasses import dataclass

import aiohttp
from yarl import URL

from pepperhook import model

FORWARDED = ("X-Request-ID", "Idempotency-Key", "Content-Type")
NOT_PROCESSED = "X-Not-Processed"
MOST_BODY = 64 * 1024
PROBE_CONNECTS = 4      # a probe may take as many times the limit for connecting


class Dropped(Exception):
    """The connection broke after something may have been written."""


class Unwritten(Exception):
    """The connection was gone before anything was written."""


async def once(request, handler):
    """Against the library's own second sending of a GET when a kept connection drops: a dispatch nobody counts.

    It resends after the errors caught here, so they leave under names that it does not know.
    """
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except aiohttp.ClientConnectionResetError as problem:
        # Raised where the transport was closing before a write; nothing of this message has gone out then.
        raise Unwritten(str(problem)) from problem
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as problem:
        raise Dropped(str(problem)) from problem


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
    def __init__(self, core, counters, settings, most_connections):
        self.core, self.counters = core, counters
        self.dials, self.tasks, self.probes = {}, {}, set()
        self.connect_s = settings.get("connect_limit_ns", 10 ** 9) / 1e9
        # Well before the upstream closes an idle connection, as what is written to it from then on is a reset.
        idle_s = settings.get("idle_ns", 15 * 10 ** 9) / 1e9
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=most_connections, use_dns_cache=False,
                                           keepalive_timeout=max(0.1, min(idle_s - 2, 0.8 * idle_s))),
            cookie_jar=aiohttp.DummyCookieJar(), auto_decompress=False, trust_env=False,
            requote_redirect_url=False, middlewares=(once,),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"))

    def send(self, dispatch, for_ns, message, inbox):
        """Sends; the inbox gets ("ended", dispatch, outcome, what was received) once, whatever happens."""
        task = self.core.loop.create_task(self.carry(dispatch, for_ns, message, inbox))
        self.tasks[dispatch] = task
        self.counters.add("dispatched")

    def call_off(self, dispatch):
        task = self.tasks.get(dispatch)
        if task is not None:
            task.cancel()

    async def carry(self, dispatch, for_ns, message, inbox):
        outcome, received = model.CALLED_OFF, None
        try:
            outcome, received = await self.attempt(dispatch, for_ns, message)
        finally:
            del self.tasks[dispatch]
            self.counters.add(f"dispatches {outcome}")
            inbox.put_nowait(("ended", dispatch, outcome, received))

    async def attempt(self, dispatch, for_ns, message):
        """The outcome, by PROTOCOL's table; whatever is not surely unsent may have run."""
        headers = message.headers + [("X-Timeout-Ms", str(max(1, for_ns // 10 ** 6)))]
        try:
            async with self.session.request(
                    message.method, self.url(dispatch.upstream, message.target), headers=headers,
                    data=message.body or None, allow_redirects=False,
                    timeout=aiohttp.ClientTimeout(total=for_ns / 1e9, connect=self.connect_s)) as response:
                body = await response.read()
                if response.status == 200:
                    return model.FULFILLED, Received(body, response.headers.get("Content-Type"))
                if response.status in (503, 504) and response.headers.get(NOT_PROCESSED) == "1":
                    return model.FULL, None
                return model.ERROR, None
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError, Unwritten):
            return model.UNCONNECTED, None
        except TimeoutError:
            return model.TIMED_OUT, None
        except (Dropped, aiohttp.ClientError, OSError):
            return model.RESET, None

    def url(self, upstream, target):
        return URL(f"http://{self.dials[upstream]}{target}", encoded=True)

    def probe(self, upstream, tell):
        task = self.core.loop.create_task(self.ask(upstream, tell))
        self.probes.add(task)
        task.add_done_callback(self.probes.discard)
        self.counters.add("probes")

    async def ask(self, upstream, tell):
        begun, outcome = self.core.now(), model.ERROR
        try:
            async with self.session.get(
                    self.url(upstream, "/ping"), allow_redirects=False,
                    timeout=aiohttp.ClientTimeout(total=PROBE_CONNECTS * self.connect_s,
                                                  connect=self.connect_s)) as response:
                await response.read()
                outcome = model.FULFILLED if response.status == 200 else model.ERROR
        except (aiohttp.ClientError, Dropped, Unwritten, OSError):
            outcome = model.UNCONNECTED
        tell(upstream, outcome, self.core.now() - begun)

    async def close(self):
        for task in list(self.tasks.values()) + list(self.probes):
            task.cancel()
        await self.session.close()
