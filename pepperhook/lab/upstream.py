"""A stand-in upstream: serves HTTP requests on sockets with the work model of one Machine.

It applies injected faults, calls the next tier through a balancer of its own, and records what it
observes as event rows.
"""

import asyncio
import errno
import re
import socket
import time
from contextlib import suppress
from typing import Any

from pepperhook.lab import events, http1, machine, random_draws
from pepperhook.lab.instances import LIFECYCLE_FAULTS, Transition
from pepperhook.lab.machine import Job

MS, S = 10**6, 10**9
CONTEXT_HEADER, CONTEXT_RESULT_HEADER = b"pepperhook-chain", b"pepperhook-chain-result"
REMAINING_RETRIES = re.compile(rb"tries=(\d+)")  # in the request context header
RESTART_AFTER_OVERLOAD_S = 2.0
TIME_LIMIT_MARGIN_MS = 5  # subtracted from the time limit that is sent to the next tier
NOT_PROCESSED = b"X-Not-Processed: 1\r\n"


class Attempt:
    """One received request, from its arrival to its event row; times are in nanoseconds."""

    __slots__ = (
        "context_results",
        "began_at",
        "calls",
        "arrived_at",
        "context_header",
        "is_recorded",
        "connection",
        "deadline",
        "failed",
        "first_byte_at",
        "disconnected_at",
        "service_class",
        "id",
        "job",
        "time_limit_ns",
        "nonce",
        "delivery",
    )

    context_results: list  # request context result headers from the next tier
    began_at: int  # 0: its work never began
    calls: int  # calls to the next tier that have not ended
    arrived_at: int
    context_header: bytes | None  # value of the request context header
    is_recorded: bool  # its event row has been written
    connection: Any  # the ServerConnection or ServerStream that it came on
    deadline: int  # when its time limit is over
    failed: bool  # a call to the next tier failed
    first_byte_at: int
    disconnected_at: int  # when its connection ended; 0: it has not
    service_class: int  # index of its service class
    id: str
    job: Job
    time_limit_ns: int
    nonce: str  # names this attempt in the response body; empty: no valid response was sent
    delivery: int  # how often this request id has reached the tier, this attempt included


class ServerConnection(asyncio.Protocol):
    """The server side of one HTTP/1.1 connection."""

    def __init__(self, upstream, caller):
        self.upstream, self.caller, self.transport, self.messages = (
            upstream,
            caller,
            None,
            http1.MessageParser(),
        )
        self.open_attempt, self.first_byte_at, self.idle_at = None, 0, 0

    def connection_made(self, transport):
        self.transport = transport
        upstream = self.upstream
        if len(upstream.connections) >= upstream.spec.connections or upstream.down:
            return transport.abort()
        upstream.connections.add(self)
        upstream.tier_state.event_log.add(
            events.AcceptedConnection(upstream.tier, upstream.number, self.caller, upstream.now())
        )
        upstream.machine.charge(upstream.now(), upstream.spec.connect_work_ms * MS)
        self.idle_at = upstream.now()
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data):
        upstream = self.upstream
        if not self.messages.has_partial_message:
            self.first_byte_at = upstream.now()
            if data.startswith(b"PRI * HTTP/2.0"):
                # HTTP/2 with prior knowledge.
                from pepperhook.lab.http2 import Http2ServerConnection

                connection, self.open_attempt = Http2ServerConnection(upstream, self.caller), None
                upstream.connections.discard(self)
                self.transport.set_protocol(connection)
                connection.connection_made(self.transport)
                return connection.data_received(data)
        if upstream.fault_applies("reset_before", self.first_byte_at):
            return self.abort()
        self.messages.feed(data)
        try:
            while (request := self.messages.next()) is not None:
                if self.open_attempt is not None:
                    raise http1.MalformedMessageError("a second request before the response")
                upstream.handle_request(self, *request)
        except (http1.MalformedMessageError, ValueError) as error:
            upstream.record_event("bad message", details=str(error))
            self.transport.write(http1.encode_response(400))
            self.transport.close()

    def abort(self):
        # A linger time of 0 sends a reset, as the peer of a process that dies sees it.
        sock = self.transport.get_extra_info("socket")
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.transport.abort()

    def eof_received(self):
        return False

    def connection_lost(self, error):
        self.upstream.connections.discard(self)
        if self.open_attempt is not None:
            self.upstream.on_disconnect(self.open_attempt)


class Upstream:
    """One stand-in upstream process and its faults."""

    def __init__(self, tier_state, number):
        self.tier_state, self.number, self.tier, self.scenario = (
            tier_state,
            number,
            tier_state.tier,
            tier_state.scenario,
        )
        self.spec = tier_state.scenario.tiers[tier_state.tier].machine
        self.machine, self.connections, self.servers = None, set(), []
        self.down, self.unready, self.draining = True, False, False
        self.fails_checks = False  # true from the start of a drain, unless the tier passes checks
        self.active_faults = {}  # active faults by kind
        self.timer, self.pool, self.fillers, self.malformed_count = None, None, [], 0
        self.calls, self.first_context_header = set(), None
        self.open_attempts = set()  # attempts whose event row has not been written
        header_handling = self.scenario.tiers[self.tier].header_handling
        self.header_handling = header_handling[number % len(header_handling)]

    def now(self):
        return time.monotonic_ns()

    def record_event(self, name, is_start=True, details=""):
        """Record an event of this upstream; ``is_start`` is False at the end of a fault."""
        self.tier_state.event_log.add(
            events.StateChange(self.now(), name, self.tier, self.number, is_start, details)
        )

    def fault_applies(self, kind, name):
        """Whether an active fault of this kind applies to the attempt or connection with this name.

        A fault with a size applies to that fraction of the names, by a chance that depends on the
        seed and the name.
        """
        fault = self.active_faults.get(kind)
        if fault is None or not fault.size:
            return fault is not None
        # If all upstreams have the fault, the result depends on the name alone, so a request has
        # the same outcome at each of them.
        scope = "all" if fault.target_fraction == 1 else self.number
        return random_draws.share(self.tier_state.plan.seed, kind, scope, name) < fault.size

    # Process lifecycle.

    async def start(self, cold=False):
        """Start the process with a fresh machine, and listen."""
        self.machine = machine.Machine(self.spec, self.now(), cold)
        self.down = self.draining = self.fails_checks = False
        if cold:
            self.record_event("up cold")
        # With loop_service_class the last tier calls tier 0, for attempts of that service class.
        settings, is_last_tier = (
            self.scenario.tiers[self.tier],
            self.tier + 1 == len(self.scenario.tiers),
        )
        if (
            self.pool is None
            and settings.calls
            and (not is_last_tier or settings.loop_service_class)
        ):
            address = (
                self.tier_state.plan.balancer(0, 0)
                if is_last_tier
                else self.tier_state.plan.balancer(self.tier + 1, self.number)
            )
            self.pool = http1.Pool(
                lambda: address, self.tier_state.record_unsolicited, self.tier_state.record_excess
            )
        await self.listen()

    async def listen(self):
        """Accept connections; raise OSError if an address stays in use for a second."""
        if self.servers:
            return  # an overlapping fault that ended earlier has already reopened it
        loop = asyncio.get_running_loop()
        for caller in range(self.tier_state.callers):
            address = self.tier_state.plan.upstream(self.tier, self.number, caller)
            for _ in range(50):
                try:
                    self.servers.append(
                        await loop.create_server(
                            lambda caller=caller: ServerConnection(self, caller),
                            *address,
                            backlog=512,
                            reuse_address=True,
                        )
                    )
                    break
                except OSError as error:
                    if error.errno != errno.EADDRINUSE:
                        raise
                    await asyncio.sleep(0.02)
            else:
                raise OSError(
                    errno.EADDRINUSE, f"{address[0]}:{address[1]} is still in use after 1 s"
                )

    def stop_listening(self):
        """Stop accepting connections."""
        for server in self.servers:
            server.close()
        self.servers.clear()

    def crash(self):
        """Kill the process: reset its connections and drop its work."""
        self.stop_listening()
        self.down = True
        # Each attempt is recorded here, once. Calls to the next tier that it waits for end with the
        # process and must not record it again.
        for attempt in list(self.open_attempts):
            if attempt.connection.open_attempt is attempt:
                attempt.connection.open_attempt = None
            self.record(attempt, "reset", attempt.disconnected_at or self.now())
        for call in list(self.calls):
            call.cancel()
        for connection in list(self.connections):
            connection.abort()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    # Requests.

    def handle_request(self, connection, head, body):
        """Handle one request.

        Raise http1.MalformedMessageError if it names no service class or has no id.
        """
        now, tier_state = self.now(), self.tier_state
        path, request_id = head.start[1], head.headers.get(b"x-request-id")
        if path in (b"/ping", b"/_load"):
            tier_state.event_log.add(events.Probe(self.tier, self.number, connection.caller, now))
            connection.transport.write(self.probe_response(path))
            return None
        name = path.split(b"/", 2)[1].partition(b"?")[0].decode()
        if request_id is None or name not in tier_state.service_classes:
            raise http1.MalformedMessageError(
                "no request id, or a path that names no service class"
            )
        attempt = Attempt()
        (
            attempt.connection,
            attempt.id,
            attempt.service_class,
            attempt.first_byte_at,
            attempt.arrived_at,
        ) = (
            connection,
            request_id.decode(),
            tier_state.service_classes[name],
            connection.first_byte_at,
            now,
        )
        limit = head.number(b"x-timeout-ms")
        attempt.time_limit_ns = (
            limit * MS
            if limit is not None
            else int(self.scenario.service_classes[attempt.service_class].time_limit_ms * MS)
        )
        attempt.context_header, attempt.context_results = head.headers.get(CONTEXT_HEADER), []
        if attempt.context_header is not None:
            self.first_context_header = self.first_context_header or attempt.context_header
        (
            attempt.calls,
            attempt.failed,
            attempt.disconnected_at,
            attempt.began_at,
            attempt.nonce,
            attempt.is_recorded,
        ) = 0, False, 0, 0, "", False
        attempt.delivery = tier_state.deliveries[attempt.id] = (
            tier_state.deliveries.get(attempt.id, 0) + 1
        )
        attempt.deadline = now + attempt.time_limit_ns
        connection.open_attempt = attempt
        self.open_attempts.add(attempt)
        attempt.job = Job(
            random_draws.work_ns(
                tier_state.plan.seed,
                attempt.id,
                self.scenario.service_classes[attempt.service_class],
            ),
            attempt,
        )
        if self.active_faults.get("hang") is not None and self.fault_applies(
            "hang", f"{attempt.id} {attempt.delivery}"
        ):
            return None
        if self.draining or self.unready:
            return self.respond(
                attempt, "turned away", http1.encode_response(503, b"draining\n", NOT_PROCESSED)
            )
        if self.fault_applies("errors", f"{attempt.id} {attempt.delivery}"):
            attempt.began_at = now
            return self.respond(attempt, "error", http1.encode_response(500, b"error\n"))
        admission = self.machine.arrive(now, attempt.job)
        if self.machine.has_crashed:
            # Overload while cold crashes the process; it restarts cold.
            self.record_event(
                "fell over", details=f"cold, offered {self.machine.offered_work / S:.2f} s of work"
            )
            self.crash()
            asyncio.get_running_loop().call_later(
                RESTART_AFTER_OVERLOAD_S, lambda: tier_state.spawn(self.start(cold=True))
            )
            return None
        if admission == machine.REJECTED:
            return self.respond(
                attempt, "turned away", http1.encode_response(503, b"full\n", NOT_PROCESSED)
            )
        self.set_timer()

    def probe_response(self, path):
        """Return the response to a health check (``/ping``) or a load query (``/_load``).

        The fault stale_report repeats the last report before it; lost_report fails the query.
        """
        if path == b"/ping":
            return http1.encode_response(
                503 if self.fails_checks or self.unready else 200, b"pong\n"
            )
        if "lost_report" in self.active_faults:
            return http1.encode_response(503)
        if "stale_report" not in self.active_faults or not hasattr(self, "last_report"):
            self.last_report = self.machine.report(self.now())
        return http1.encode_response(200, events.msgspec.json.encode(self.last_report))

    def set_timer(self):
        """Set the timer for the machine's next event."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.down:
            return
        at = self.machine.next_due_at(self.now())
        if at is not None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_at(loop.time() + max(0, at - self.now()) / S, self.on_timer)

    def on_timer(self):
        """Continue the attempts whose work is done, and set the timer again."""
        self.timer = None
        for job in self.machine.due(self.now()):
            self.on_work_done(job.owner)
        self.set_timer()

    def on_work_done(self, attempt):
        """Handle the end of the work here: call the next tier, or respond."""
        attempt.began_at = attempt.job.began_at
        settings = self.scenario.tiers[self.tier]
        # cancels_on_disconnect: work stops when the client disconnects.
        if attempt.disconnected_at and settings.cancels_on_disconnect:
            self.machine.finish_job(self.now(), attempt.job)
            return self.record(attempt, "given up", attempt.disconnected_at)
        is_last_tier = self.tier + 1 == len(self.scenario.tiers)
        if self.pool is not None and (
            not is_last_tier
            or settings.loop_service_class
            == self.scenario.service_classes[attempt.service_class].name
        ):
            attempt.calls = settings.calls
            for number in range(attempt.calls):
                call = Call(self, attempt, number)
                self.calls.add(call)
                call.begin()
            return None
        self.reply(attempt)

    def on_call_ended(self, attempt, has_succeeded):
        """Handle the end of one call to the next tier; respond after the last one."""
        attempt.calls -= 1
        attempt.failed = attempt.failed or not has_succeeded
        if attempt.is_recorded:
            return  # its process died: the attempt is recorded, the machine with its slot is gone
        if not attempt.calls:
            self.reply(attempt)
            self.set_timer()

    def reply(self, attempt):
        """Release the slot and respond: served, error, or as an active fault requires."""
        settings, now = self.scenario.tiers[self.tier], self.now()
        self.machine.finish_job(now, attempt.job)
        fails_at_random = (
            settings.failure_rate
            and random_draws.share(
                self.tier_state.plan.seed,
                "fail",
                self.tier,
                attempt.id,
                0 if settings.failures_are_sticky else attempt.delivery,
            )
            < settings.failure_rate
        )
        if attempt.disconnected_at:
            return self.record(attempt, "given up", attempt.disconnected_at)  # the client has left
        if fails_at_random or attempt.failed and not settings.responds_ok_on_failure:
            return self.respond(
                attempt,
                "error",
                http1.encode_response(500, b"error\n", self.context_result_headers(attempt)),
            )
        attempt.nonce = f"{self.tier}.{self.number}.{attempt.id}.{attempt.delivery}"
        body = attempt.nonce.encode() + b"\n"
        if self.fault_applies("reset_after", f"{attempt.id} {attempt.delivery}"):
            return self.respond(attempt, "reset", None)
        if self.fault_applies("spoilt", f"{attempt.id} {attempt.delivery}"):
            attempt.nonce = ""
            return self.respond(attempt, "spoilt", self.make_malformed_response(body))
        self.respond(
            attempt,
            "served",
            http1.encode_response(200, body, self.context_result_headers(attempt)),
        )

    def context_result_headers(self, attempt):
        """Return the next tier's request context results as header lines, unchanged."""
        return b"".join(
            b"%s: %s\r\n" % (CONTEXT_RESULT_HEADER, value) for value in attempt.context_results
        )

    def make_malformed_response(self, body):
        """Return a malformed response, which a balancer must not pass on to a client."""
        # short: body shorter than its Content-Length; noise: bytes before the status line;
        # no_length and two_lengths: no or two Content-Length headers; large: a body of 70,000
        # bytes; half: the connection closes in the middle.
        kinds = ("short", "noise", "no_length", "two_lengths", "large", "half")
        self.malformed_count += 1
        kind = self.active_faults["spoilt"].malformation or kinds[self.malformed_count % len(kinds)]
        valid = http1.encode_response(200, body)
        return {
            "short": http1.encode_response(200, body + b"x" * 40)[:-40],
            "noise": b"\x00\xffnoise\r\n\r\n" + valid,
            "no_length": b"HTTP/1.1 200 OK\r\n\r\n" + body,
            "two_lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n"
            + body,
            "large": http1.encode_response(200, b"x" * 70000),
            "half": valid[: len(valid) // 2],
        }[kind]

    def respond(self, attempt, outcome, data):
        """Send a response (None resets the connection) and record the attempt."""
        connection = attempt.connection
        connection.open_attempt = None
        if data is None:
            connection.abort()
        elif not connection.transport.is_closing():
            connection.transport.write(data)
            connection.idle_at = self.now()
            if outcome == "spoilt":
                connection.transport.close()
        self.record(attempt, outcome, self.now())

    def record(self, attempt, outcome, ended):
        """Record an attempt's only event row; the auditor counts a second as a second execution."""
        attempt.is_recorded = True
        self.open_attempts.discard(attempt)
        began_at = attempt.began_at or attempt.job.began_at
        worked = int(attempt.job.work) if began_at and outcome not in ("hung", "turned away") else 0
        self.tier_state.event_log.add(
            events.UpstreamWork(
                self.tier,
                self.number,
                attempt.connection.caller,
                attempt.id,
                attempt.service_class,
                attempt.first_byte_at,
                attempt.arrived_at,
                ended,
                outcome,
                began_at,
                worked,
                attempt.nonce,
                attempt.disconnected_at,
                self.now() if began_at else 0,
                int(retries_match[1])
                if attempt.context_header
                and (retries_match := REMAINING_RETRIES.search(attempt.context_header))
                else -1,
            )
        )

    def on_disconnect(self, attempt):
        """Handle a connection that ended before the response: client left or process died."""
        attempt.connection.open_attempt = None
        attempt.disconnected_at = self.now()
        if self.down:
            return self.record(attempt, "reset", attempt.disconnected_at)
        if attempt.job.state is None:
            return self.record(attempt, "hung", attempt.disconnected_at)
        if not self.scenario.tiers[self.tier].cancels_on_disconnect:
            attempt.job.abandoned = True
            return None
        began_at = attempt.job.began_at
        is_over = self.machine.abandon(attempt.disconnected_at, attempt.job)
        for call in [call for call in self.calls if call.parent is attempt]:
            call.cancel()
        if is_over:
            attempt.began_at = began_at
            self.record(attempt, "given up", attempt.disconnected_at)
        self.set_timer()

    def close_idle_connections(self):
        """Close connections that have been idle for too long."""
        oldest_allowed = self.now() - int(self.spec.idle_close_s * S)
        for connection in [
            connection
            for connection in self.connections
            if connection.open_attempt is None and connection.idle_at < oldest_allowed
        ]:
            connection.transport.close()

    # Injected faults.

    async def apply_fault(self, fault, on):
        """Begin or end one fault."""
        kind, now = fault.type, self.now()
        self.record_event(kind, on)
        if on:
            self.active_faults[kind] = fault
        else:
            self.active_faults.pop(kind, None)
        if kind in LIFECYCLE_FAULTS:
            return  # the tier's timeline starts and ends the process, see apply_transition
        if kind == "unready":
            # Refuses connections for the fault's size in seconds, then accepts them but fails
            # health checks and rejects requests.
            if on:
                self.refuse_connections()
                await asyncio.sleep(fault.size or 0.5)
                self.unready = True
                await self.listen()
            else:
                self.unready = False
        elif kind in ("slow", "pause"):
            self.machine.set_fault_factor(
                now, (0.0 if kind == "pause" else fault.size or 0.2) if on else 1.0
            )
            self.set_timer()
        elif kind == "crowd":
            self.machine.advance(now)
            self.machine.crowded = on or self.machine.crowded
            self.set_timer()
        elif kind in ("refused", "unconnectable"):
            if on:
                self.refuse_connections()
                if kind == "unconnectable":
                    for caller in range(self.tier_state.callers):
                        self.fillers += http1.fill_backlog(
                            self.tier_state.plan.upstream(self.tier, self.number, caller)
                        )
            else:
                self.fillers = [filler.close() for filler in self.fillers][:0]
                await self.listen()

    async def apply_transition(self, transition):
        """Apply a transition of the process's lifecycle."""
        if transition is Transition.END:
            self.crash()
        elif transition is Transition.START:
            await self.start(cold=True)
        else:
            # Balancers learn of a drain with a delay, so requests are served for the grace period.
            passes_checks = self.scenario.tiers[self.tier].passes_checks_while_draining
            self.fails_checks = transition is not Transition.SERVE and not passes_checks
            self.draining = transition is Transition.REJECT

    def refuse_connections(self):
        """Reset all connections and refuse new ones; attempts in progress continue."""
        self.stop_listening()
        for connection in list(self.connections):
            connection.abort()

    async def close(self):
        """Stop the process and close its connections to the next tier."""
        self.crash()
        if self.pool is not None:
            await self.pool.close()


class Call:
    """One request to the next tier's balancer.

    Its time limit is the parent attempt's remaining time, or with ``forwards_remaining_time`` off
    the service class's whole limit, in both cases less TIME_LIMIT_MARGIN_MS. It implements the
    exchange interface that http1.Pool describes.
    """

    def __init__(self, upstream, parent, number):
        self.upstream, self.parent, self.has_ended, self.connection = upstream, parent, False, None
        self.id = f"{parent.id}-{parent.delivery}{'abcdefgh'[number]}"
        self.begun_at = upstream.now()
        forwards_limit = upstream.scenario.tiers[upstream.tier].forwards_remaining_time
        self.time_limit_ns = (
            parent.deadline - self.begun_at
            if forwards_limit
            else int(upstream.scenario.service_classes[parent.service_class].time_limit_ms * MS)
        ) - TIME_LIMIT_MARGIN_MS * MS
        self.timer = None

    def begin(self):
        """Send the request, or end at once if no time is left."""
        if self.time_limit_ns < 2 * MS:
            # The request is never sent, and finish records none with this note.
            return self.finish("gone", 0, b"", "no time left")
        service_class = self.upstream.scenario.service_classes[self.parent.service_class]
        method = b"GET" if service_class.effect == "idempotent" else b"POST"
        headers = [
            (b"X-Request-ID", self.id.encode()),
            (b"X-Timeout-Ms", b"%d" % (self.time_limit_ns // MS)),
        ]
        if service_class.effect == "deduplicated":
            headers.append((b"Idempotency-Key", self.id.encode()))
        headers += [(CONTEXT_HEADER, value) for value in self.context_headers()]
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(self.time_limit_ns / S + 0.1, self.on_timeout)
        self.upstream.pool.send(
            self,
            http1.encode_request(
                method,
                f"/{service_class.name}".encode(),
                headers,
                b"{}" if method == b"POST" else b"",
            ),
        )

    def context_headers(self):
        """Return the context headers to send, by the tier's ``header_handling`` setting."""
        mode, value = self.upstream.header_handling, self.parent.context_header
        if value is None or mode == "drop":
            return []
        if mode == "copy":
            return [self.upstream.first_context_header]  # of the first request with one
        if mode == "change":
            return [re.sub(rb"left=\d+", b"left=1", re.sub(rb"tries=\d+", b"tries=9", value))]
        return [value] * (2 if mode == "twice" else 1)

    def on_connected(self):
        """Do nothing; http1.Pool calls it when a new connection is established."""

    def on_response(self, status, body, headers):
        """Handle the response."""
        if CONTEXT_RESULT_HEADER in headers and self.upstream.header_handling != "drop":
            self.parent.context_results.append(headers[CONTEXT_RESULT_HEADER])
        self.finish("answer", status, body)

    def on_lost(self, why, unread=False):
        """Handle the loss of the connection before the response; ``unread`` is not used here."""
        self.finish("lost", 0, b"", why)

    def on_connect_failed(self, why):
        """Handle a failure to connect."""
        self.finish("unconnected", 0, b"", why)

    def on_timeout(self):
        """Handle the end of the time limit."""
        self.upstream.pool.drop(self)
        self.finish("open", 0, b"", "no answer in time")

    def cancel(self):
        """Cancel the call, unless it has ended."""
        if not self.has_ended:
            self.upstream.pool.drop(self)
            self.finish("gone", 0, b"")

    def finish(self, kind, status, body, note=""):
        """End the call, record it, and notify the upstream; later calls have no effect."""
        if self.has_ended:
            return
        self.has_ended = True
        if self.timer is not None:
            self.timer.cancel()
        upstream = self.upstream
        upstream.calls.discard(self)
        if note != "no time left":
            upstream.tier_state.event_log.add(
                events.Attempt(
                    upstream.tier + 1,
                    upstream.number,
                    self.id,
                    self.id,
                    0,
                    self.parent.service_class,
                    -1,
                    self.begun_at,
                    self.begun_at,
                    upstream.now(),
                    kind,
                    status,
                    body.decode(errors="replace").strip(),
                    self.time_limit_ns,
                    note,
                )
            )
        has_succeeded = status == 200 and f".{self.id}." in body.decode(errors="replace")
        upstream.on_call_ended(self.parent, has_succeeded)
