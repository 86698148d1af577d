"""Run a deliberately faulty balancer: ``python -m pepperhook.lab.faulty_balancers FAULT``.

Each kind of fault breaks one rule, so that a scenario can show that the auditor reports it.
``honest`` breaks none; it is a minimal balancer that makes one attempt per request, to the
upstreams in turn.
"""

import asyncio
import json
import os
import signal
import sys

from pepperhook.lab import http1, random_draws
from pepperhook.server.process_signals import SignalListener, block_signals

# Kind of fault: the finding that the auditor must report.
FINDINGS_BY_FAULT = {
    "honest": None,
    "twice": "answered twice",
    "loses": "lost",
    "invents": "invented",
    "late": "late",
    "reruns": "ran twice",
    "overlaps": "overlap",
    "sheds-what-ran": "shed what may have run",
    "repeats-late": "repeated outside its window",
    "drained": "sent after drain",
    "floods": "pushed over cold",
}
FAULTY_ONE_IN = 20  # one of this many requests is handled faultily


class Attempt:
    """One attempt, an exchange of `http1.Pool`.

    ``result`` is a future of (status, body, whether the request was never executed). The pool reads
    ``has_ended`` and sets ``connection`` and ``is_on_new_connection`` (whether that connection was
    opened for this attempt). The parameters ``why`` and ``unread`` belong to its interface and are
    ignored here.
    """

    def __init__(self, pool, data, limit_s):
        loop = asyncio.get_running_loop()
        self.has_ended, self.connection, self.is_on_new_connection, self.pool, self.result = (
            False,
            None,
            False,
            pool,
            loop.create_future(),
        )
        self.timer = loop.call_later(limit_s, self.time_out)
        pool.send(self, data)

    def on_connected(self):
        """Do nothing: the pool calls this when a new connection is established."""

    def finish(self, *result):
        """Set the result, unless the attempt has ended already."""
        if not self.has_ended:
            self.has_ended = True
            self.timer.cancel()
            self.result.set_result(result)

    def on_response(self, status, body, headers):
        """Finish with the response."""
        self.finish(status, body, headers.get(b"x-not-processed") == b"1")

    def on_lost(self, why, unread=False):
        """Finish after the connection was lost: the request may have been executed."""
        self.finish(0, b"", False)

    def on_connect_failed(self, why):
        """Finish after the connection failed: the request was never executed."""
        self.finish(0, b"", True)

    def time_out(self):
        """Close the connection at the time limit: the request may have been executed."""
        self.pool.drop(self)
        self.finish(0, b"", False)


class FaultyBalancer:
    """A balancer with one kind of fault; ``environ`` has the variables that a balancer reads."""

    def __init__(self, fault, environ):
        with open(environ["LB_CONFIG"], encoding="utf-8") as file:
            config = json.load(file)
        self.fault, self.pools, self.states, self.started_ms, self.selections = fault, {}, {}, {}, 0
        self.service_classes = {row["name"]: row for row in config["settings"]["serviceGrades"]}
        self.listen, self.discovery = (
            parse_address(environ[key]) for key in ("LB_LISTEN", "LB_DISCOVERY")
        )
        self.restarted_upstreams = []  # addresses; they are cold after the restart

    async def run(self):
        """Serve until SIGTERM."""
        server = await asyncio.start_server(self.serve, *self.listen)
        watch_task = asyncio.create_task(self.watch())
        stop = asyncio.Event()
        SignalListener(asyncio.get_running_loop(), {signal.SIGTERM: stop.set}).start()
        await stop.wait()
        server.close()
        watch_task.cancel()

    async def watch(self):
        """Follow the endpoint list by long polls."""
        since = None
        while True:
            try:
                reader, writer = await asyncio.open_connection(*self.discovery)
                query = "" if since is None else f"?since={since}&timeout_ms=2000"
                writer.write(http1.encode_request(b"GET", f"/catalog/members{query}".encode(), []))
                messages = http1.MessageParser()
                while (message := messages.next()) is None:
                    data = await reader.read(65536)
                    if not data:
                        raise OSError("connection closed before the endpoint list was complete")
                    messages.feed(data)
                writer.close()
                endpoint_list = json.loads(message[1])
            except (OSError, ValueError):
                await asyncio.sleep(0.1)
                continue
            since = endpoint_list["seq"]
            for row in endpoint_list["hosts"]:
                self.update_upstream(row)

    def update_upstream(self, row):
        """Apply one row of the endpoint list."""
        upstream_address, state = row["dial"], row["health"]
        if state == "ready" and row["born_ms"] != self.started_ms.get(
            upstream_address, row["born_ms"]
        ):
            self.restarted_upstreams.append(upstream_address)
        self.started_ms[upstream_address] = row["born_ms"]
        # The kind `drained` keeps the first state of an upstream, and so sends to draining ones.
        if self.fault == "drained" and upstream_address in self.states:
            return
        self.states[upstream_address] = state
        if upstream_address not in self.pools:
            host = parse_address(upstream_address)
            self.pools[upstream_address] = http1.Pool(lambda: host)

    def select(self):
        """Return the address of the next upstream, or None when none is ready."""
        ready = sorted(
            upstream_address for upstream_address, state in self.states.items() if state == "ready"
        )
        if self.fault == "floods" and self.restarted_upstreams:
            return self.restarted_upstreams[-1]
        self.selections += 1
        return ready[self.selections % len(ready)] if ready else None

    async def serve(self, reader, writer):
        """Handle the requests of one client connection."""
        messages = http1.MessageParser()
        try:
            while data := await reader.read(65536):
                messages.feed(data)
                while (message := messages.next()) is not None:
                    await self.handle(writer, *message)
        except (http1.MalformedMessageError, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(self, writer, head, body):
        """Handle one request; a fraction, chosen by the request id, is handled faultily."""
        path = head.start[1]
        if path == b"/_health":
            writer.write(http1.encode_response(200 if self.states else 503))
            return
        request_id = head.headers[b"x-request-id"]
        service_class = self.service_classes[path.split(b"/")[1].decode()]
        limit_s = head.number(b"x-timeout-ms", 1000) / 1000
        is_faulty = random_draws.share("crooked", request_id) < 1 / FAULTY_ONE_IN
        fault = self.fault if is_faulty else None
        is_unsafe = service_class["effect"] == "at_most_once"
        headers = [
            (name, head.headers[name.lower()])
            for name in (b"X-Request-ID", b"Idempotency-Key")
            if name.lower() in head.headers
        ]
        headers.append((b"X-Timeout-Ms", b"%d" % max(1, int(limit_s * 1000))))
        data = http1.encode_request(head.start[0], path, headers, body)

        def send(upstream_address=None):
            upstream_address = upstream_address or self.select()
            return (
                Attempt(self.pools[upstream_address], data, limit_s) if upstream_address else None
            )

        if fault == "invents":
            writer.write(http1.encode_response(200, b"0.0.made-up.1\n"))
            return
        first = send()
        if first is None:
            writer.write(http1.encode_response(503, b"shed\n"))
            return
        if fault == "overlaps":
            second = send()
            await second.result
        status, response, never_executed = await first.result
        if fault == "reruns" and is_unsafe and status == 200:
            status, response, never_executed = await send().result
        if fault == "repeats-late" and service_class["effect"] == "deduplicated" and status == 200:
            await asyncio.sleep(service_class["keyTtlUs"] / 1e6 + 0.3)
            status, response, never_executed = await send().result
        if fault == "loses":
            writer.close()
            return
        if fault == "late":
            await asyncio.sleep(limit_s + 0.06)
        if fault == "sheds-what-ran" and is_unsafe:
            writer.write(http1.encode_response(503, b"shed\n"))
        elif status == 200:
            writer.write(http1.encode_response(200, response) * (2 if fault == "twice" else 1))
        else:
            writer.write(http1.encode_response(503 if never_executed else 500))


def parse_address(text):
    """Return host and port of ``host:port``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


if __name__ == "__main__":
    block_signals()
    asyncio.run(FaultyBalancer(sys.argv[1], os.environ).run())
