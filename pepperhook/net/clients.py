"""Clients: takes their operations in, decodes what decisions need, and writes the one final answer."""

import asyncio

from aiohttp import web

from pepperhook import model
from pepperhook.net.upstreams import FORWARDED, MOST_BODY, Message

IDLE_S = 75             # a kept connection may stand idle this long
LINGER_S = 1            # how long the rest of a message that was answered early is still read
MARGIN_NS = 15 * 10 ** 6    # of a time limit: for the way from and to the client, and for a busy core


class Refused(Exception):
    """No operation was taken: a status and one plain sentence."""

    def __init__(self, status, text):
        super().__init__(text)
        self.status = status


class Clients:
    def __init__(self, core, log, counters, config, operations, discovery):
        self.core, self.log, self.counters = core, log, counters
        self.operations, self.discovery = operations, discovery
        self.grades, self.customers = config.names["grades"], config.names["customers"]
        self.settings, self.listen = config.settings, config.listen
        self.longest_s = max(grade["limit_ns"] for grade in self.settings["grades"]) / 1e9
        self.leaving, self.listener = False, None
        self.server = web.Server(self.handle, request_factory=self.received, handler_cancellation=True,
                                 access_log=None, keepalive_timeout=IDLE_S, lingering_time=LINGER_S,
                                 auto_decompress=False)

    def received(self, message, payload, protocol, writer, task):
        return web.BaseRequest(message, payload, protocol, writer, task, self.core.loop,
                               client_max_size=MOST_BODY)

    async def open(self):
        host, port = self.listen
        self.listener = await self.core.loop.create_server(self.server, host, port, backlog=1024)

    async def handle(self, request):
        if request.path == "/_health" and request.method == "GET":
            serving = self.discovery.ready
            return self.plain(200 if serving else 503, "serving\n" if serving else "no list of upstreams yet\n")
        received = self.core.now()
        try:
            message = await self.message(request)
            operation = self.operation(request, message, received)
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
        if request.headers.get("Expect", "").lower() == "100-continue":
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            request.writer.output_size = 0
        try:
            async with asyncio.timeout(self.longest_s):
                body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            raise Refused(413, f"a body of at most {MOST_BODY} bytes is wanted") from None
        except TimeoutError:
            raise Refused(408, "the rest of the message did not come") from None
        headers = [(name, request.headers[name]) for name in FORWARDED if name in request.headers]
        return Message(request.method, request.raw_path, headers, body)

    def operation(self, request, message, received):
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
        limit = grade["limit_ns"] if limit is None else limit * 10 ** 6
        # Counted from the sending, which nobody tells: the way of the message is in the margin.
        not_after = received + max(limit // 2, limit - MARGIN_NS)
        cost = whole(headers, "X-Cost")
        return model.Operation(identity, grade, self.customers.get(headers.get("X-Tenant-Id")), None, not_after,
                               cost * 1000 if cost else None, headers.get("X-Retried") == "1")

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
        return self.parting(response)

    def plain(self, status, text):
        return self.parting(web.Response(status=status, text=text))

    def parting(self, response):
        if self.leaving:
            response.force_close()
        return response

    async def close(self, accept_s, within_s):
        """Goes on accepting briefly, answers all that was taken, closes connections after their answers."""
        self.leaving = True
        await asyncio.sleep(accept_s)
        self.listener.close()
        self.server.pre_shutdown()
        ends = self.core.loop.time() + within_s
        while self.operations.tasks and self.core.loop.time() < ends:
            await asyncio.wait(list(self.operations.tasks), timeout=ends - self.core.loop.time())
        # The last answers are still to be written by their connections' own tasks.
        while self.server.connections and self.core.loop.time() < ends:
            await asyncio.sleep(0.01)
        await self.server.shutdown(0.1)


def whole(headers, name):
    value = headers.get(name)
    if value is None:
        return None
    if not (value.isascii() and value.isdecimal() and len(value) < 16):
        raise Refused(400, f"{name}: a whole number is wanted")
    return int(value)
