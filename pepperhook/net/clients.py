"""Clients: takes their operations in, decodes what decisions need, and writes the one final answer."""

import asyncio
from contextlib import suppress

from aiohttp import web

from pepperhook import model
from pepperhook.net import http
from pepperhook.net.connections import Connections
from pepperhook.net.operation import Answer
from pepperhook.net.upstreams import FORWARDED, Message

IDLE_S = 75             # a kept connection may stand idle this long
LINGER_S = 1            # how long the rest of a message that was answered early is still read
MARGIN_NS = 25 * 10 ** 6    # of a time limit: for the way from and to the client, and for a busy core
LATE = 3                # times that lateness meets a message: accepting, reading, and writing the answer
PART_S = 0.1            # for what is still open when the time to leave is up


class Refused(Exception):
    """No operation was taken: a status and one plain sentence."""

    def __init__(self, status, text):
        super().__init__(text)
        self.status = status


class Clients:
    def __init__(self, core, log, counters, config, operations, discovery, bounds):
        self.core, self.log, self.counters = core, log, counters
        self.operations, self.discovery = operations, discovery
        self.grades, self.customers = config.names["grades"], config.names["customers"]
        self.settings, self.listen = config.settings, config.listen
        self.longest_s = max(grade["limit_ns"] for grade in self.settings["grades"]) / 1e9
        self.leaving, self.address = False, None
        most, hard = bounds
        self.server = Connections(self.serve, most, hard, self.received, access_log=None,
                                  keepalive_timeout=IDLE_S, lingering_time=LINGER_S, auto_decompress=False)

    def received(self, message, payload, protocol, writer, task):
        return web.BaseRequest(message, payload, protocol, writer, task, self.core.loop,
                               client_max_size=http.MOST_BODY)

    def open(self):
        self.address = self.server.listen(self.listen)

    async def serve(self, request):
        connection = request.protocol
        self.server.begun(connection)
        try:
            response = await self.handle(request)
            if self.leaving or self.server.full:
                response.force_close()
            # Written here, so that no connection counts as idle before its answer is out.
            with suppress(ConnectionError):
                await response.prepare(request)
                await response.write_eof()
            return response
        finally:
            self.server.done(connection)

    async def handle(self, request):
        if request.path == "/_health" and request.method == "GET":
            if self.discovery.ready:
                return self.plain(200, "serving\n")
            return self.plain(503, "no list of upstreams yet\n")
        try:
            if self.server.crowded:
                # There are no sockets to work for it with; nothing was sent, so trying again is harmless.
                raise Refused(503, "too many connections")
            message = await self.message(request)
            operation = self.operation(request)
            if operation.not_after <= self.core.now():
                # It lay here too long. Against a core that is short doing more for it than answering.
                self.counters.add("too late")
                return self.encode(Answer("shed"))
        except Refused as problem:
            self.counters.add("not taken")
            self.log.info("not_taken", status=problem.status, why=problem)
            response = self.plain(problem.status, f"{problem}\n")
            response.force_close()
            return response
        self.counters.add("taken")
        return self.encode(await self.operations.begin(operation, message))

    async def message(self, request):
        """The whole message; half of one is given up after the longest time limit."""
        try:
            if (request.content_length or 0) > http.MOST_BODY:
                raise web.HTTPRequestEntityTooLarge(http.MOST_BODY, request.content_length)
            if request.headers.get("Expect", "").lower() == "100-continue":
                await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                request.writer.output_size = 0
            async with asyncio.timeout(self.longest_s):
                body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            raise Refused(413, f"a body of at most {http.MOST_BODY} bytes is wanted") from None
        except TimeoutError:
            raise Refused(408, "the rest of the message did not come") from None
        headers = [(name, request.headers[name]) for name in FORWARDED if name in request.headers]
        for name, value in headers:
            if not value.isascii():
                raise Refused(400, f"{name}: plain ASCII is wanted")
        target = request.raw_path
        if not target.startswith("/"):
            target = request.rel_url.raw_path_qs    # the absolute form names this balancer first
        return Message(request.method, target, headers, body)

    def operation(self, request):
        headers = request.headers
        name = request.path.split("/", 2)[1] if request.path.startswith("/") else ""
        number = self.grades.get(name)
        if number is None:
            raise Refused(404, "no service grade has the name that the path begins with")
        grade = self.settings["grades"][number]
        identity = headers.get("X-Request-ID")
        if not identity:
            raise Refused(400, "X-Request-ID is wanted")
        if grade["effect"] == model.FINGERPRINTED and not headers.get("Idempotency-Key"):
            raise Refused(400, "Idempotency-Key is wanted for this service grade")
        limit = whole(headers, "X-Timeout-Ms")
        limit = grade["limit_ns"] if limit is None else min(grade["limit_ns"], limit * 10 ** 6)
        # Counted from the sending, which nobody tells: the message's way is in the margin; a core that is late
        # may have let it lie as long, and may let the answer lie; a first one may have waited for room.
        lost, request.protocol.waited_s = int(request.protocol.waited_s * 1e9), 0
        lost += min(limit // 2, MARGIN_NS) + LATE * self.core.late()
        not_after = self.core.now() + max(0, limit - lost)
        cost = whole(headers, "X-Cost")
        customer = self.customers.get(headers.get("X-Tenant-Id"))
        return model.Operation(identity, grade, customer, None, not_after, cost * 1000 if cost else None,
                               headers.get("X-Retried") == "1")

    def encode(self, answer):
        if answer.kind == "fulfilled":
            response = web.Response(body=answer.body, headers={
                "Content-Type": answer.content_type or "application/octet-stream"})
        elif answer.kind == "shed":
            response = self.plain(503, "shed\n")
            if answer.after_ns:
                response.headers["Retry-After"] = f"{answer.after_ns / 1e9:.3f}"
        else:
            response = self.plain(500, "broken off\n")
        return response

    def plain(self, status, text):
        return web.Response(status=status, text=text)

    async def close(self, accept_s, within_s):
        """Goes on accepting briefly, answers all that was taken, closes connections after their answers."""
        self.leaving = True
        await asyncio.sleep(accept_s)
        self.server.stop()
        ends = self.core.loop.time() + within_s
        while (self.server.busy or self.server.idle) and self.core.loop.time() < ends:
            self.server.part_idle()
            await asyncio.sleep(0.01)
        # Half a message, or a client that does not read its answer, is not waited for any longer.
        await self.server.shutdown(PART_S)


def whole(headers, name):
    value = headers.get(name)
    if value is None:
        return None
    if not (value.isascii() and value.isdecimal() and len(value) < 16):
        raise Refused(400, f"{name}: a whole number is wanted")
    return int(value)
