"""An upstream on sockets: HTTP/1.1 round one Machine, with its troubles, and calls to the next tier through a balancer
of its own. What it sees goes into the book."""

import asyncio
import errno
import re
import socket
import time
from contextlib import suppress
from typing import Any

from pepperhook.lab import chance, events, machine, wire
from pepperhook.lab.instances import OF_LIFECYCLES, Transition
from pepperhook.lab.machine import Job

MS, S = 10**6, 10**9
CHAIN, BACK = b"pepperhook-chain", b"pepperhook-chain-result"
TRIES = re.compile(rb"tries=(\d+)")
MARGIN_MS = 5  # kept back from the time that is told to the next tier
NOT_PROCESSED = b"X-Not-Processed: 1\r\n"


class Attempt:
    """One message on its way through: a Job's owner. Times in nanoseconds."""

    __slots__ = (
        "back",
        "began",
        "calls",
        "came",
        "carried",
        "closed",
        "end",
        "ends_at",
        "failed",
        "first_byte",
        "gone_at",
        "grade",
        "id",
        "job",
        "limit",
        "nonce",
        "seen",
    )

    back: list  # contexts that came back from the next tier
    began: int  # 0: its work never began
    calls: int
    came: int
    carried: bytes | None
    closed: bool
    end: Any
    ends_at: int
    failed: bool
    first_byte: int
    gone_at: int
    grade: int
    id: str
    job: Job
    limit: int
    nonce: str
    seen: int


class End(asyncio.Protocol):
    """The upstream's end of one connection."""

    def __init__(self, upstream, caller):
        self.upstream, self.caller, self.transport, self.messages = (
            upstream,
            caller,
            None,
            wire.Messages(),
        )
        self.open, self.first_byte, self.idle_at = None, 0, 0

    def connection_made(self, transport):
        self.transport = transport
        upstream = self.upstream
        if len(upstream.ends) >= upstream.spec.connections or upstream.down:
            return transport.abort()
        upstream.ends.add(self)
        upstream.stage.book.add(
            events.Connected(upstream.tier, upstream.number, self.caller, upstream.now())
        )
        upstream.machine.charge(upstream.now(), upstream.spec.connect_work_ms * MS)
        self.idle_at = upstream.now()
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data):
        upstream = self.upstream
        if not self.messages.begun:
            self.first_byte = upstream.now()
            if data.startswith(b"PRI * HTTP/2.0"):
                # Prior knowledge: the caller speaks HTTP/2.
                from pepperhook.lab.wire2 import End2

                end, self.open = End2(upstream, self.caller), None
                upstream.ends.discard(self)
                self.transport.set_protocol(end)
                end.connection_made(self.transport)
                return end.data_received(data)
        if upstream.hits("reset_before", self.first_byte):
            return self.abort()
        self.messages.feed(data)
        try:
            while (whole := self.messages.next()) is not None:
                if self.open is not None:
                    raise wire.Broken("a second message before the answer")
                upstream.take(self, *whole)
        except (wire.Broken, ValueError) as problem:
            upstream.happened("bad message", text=str(problem))
            self.transport.write(wire.answer(400))
            self.transport.close()

    def abort(self):
        # A reset, as the other side would see of a process that dies.
        sock = self.transport.get_extra_info("socket")
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.transport.abort()

    def eof_received(self):
        return False

    def connection_lost(self, problem):
        self.upstream.ends.discard(self)
        if self.open is not None:
            self.upstream.left(self.open)


class Upstream:
    def __init__(self, stage, number):
        self.stage, self.number, self.tier, self.day = stage, number, stage.tier, stage.day
        self.spec = stage.day.tiers[stage.tier].machine
        self.machine, self.ends, self.servers = None, set(), []
        self.down, self.unready, self.draining = True, False, False
        self.fails_checks = False  # from the beginning of a drain on
        self.on = {}  # troubles at work, by what they are, to their sizes and kinds
        self.timer, self.pool, self.fillers, self.turn = None, None, [], 0
        self.calls, self.copied = set(), None
        self.works = set()  # dispatches whose end is not in the book yet
        carry = self.day.tiers[self.tier].carry
        self.carry = carry[number % len(carry)]

    def now(self):
        return time.monotonic_ns()

    def happened(self, what, on=True, text=""):
        self.stage.book.add(events.Happened(self.now(), what, self.tier, self.number, on, text))

    def hits(self, what, name):
        """Whether a trouble that is on meets this one."""
        trouble = self.on.get(what)
        if trouble is None or not trouble.size:
            return trouble is not None
        # Where all upstreams have it an operation's fate goes by its name alone, whichever it is sent to.
        where = "all" if trouble.part == 1 else self.number
        return chance.share(self.stage.plan.seed, what, where, name) < trouble.size

    # Up and down.

    async def up(self, cold=False):
        self.machine = machine.Machine(self.spec, self.now(), cold)
        self.down = self.draining = self.fails_checks = False
        if cold:
            self.happened("up cold")
        told, last = self.day.tiers[self.tier], self.tier + 1 == len(self.day.tiers)
        if self.pool is None and told.calls and (not last or told.circle):
            address = (
                self.stage.plan.balancer(0, 0)
                if last
                else self.stage.plan.balancer(self.tier + 1, self.number)
            )
            self.pool = wire.Pool(lambda: address, self.stage.unasked, self.stage.after)
        await self.listen()

    async def listen(self):
        if self.servers:
            return  # another fault has ended within the one that ends now
        loop = asyncio.get_running_loop()
        for caller in range(self.stage.callers):
            address = self.stage.plan.upstream(self.tier, self.number, caller)
            for _ in range(50):
                try:
                    self.servers.append(
                        await loop.create_server(
                            lambda caller=caller: End(self, caller),
                            *address,
                            backlog=512,
                            reuse_address=True,
                        )
                    )
                    break
                except OSError as problem:
                    if problem.errno != errno.EADDRINUSE:
                        raise
                    await asyncio.sleep(0.02)
            else:
                raise OSError(errno.EADDRINUSE, f"{address[0]}:{address[1]} stays in use")

    def deafen(self):
        """Takes no new connections."""
        for server in self.servers:
            server.close()
        self.servers.clear()

    def fall(self):
        """The process dies: connections are reset, what it had is lost."""
        self.deafen()
        self.down = True
        # Each dispatch ends here, once: what it still waited for, such as calls to the next tier, ends with the process.
        for it in list(self.works):
            if it.end.open is it:
                it.end.open = None
            self.write(it, "reset", it.gone_at or self.now())
        for call in list(self.calls):
            call.give_up()
        for end in list(self.ends):
            end.abort()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    # Operations.

    def take(self, end, head, body):
        now, stage = self.now(), self.stage
        path, identity = head.start[1], head.headers.get(b"x-request-id")
        if path in (b"/ping", b"/_load"):
            stage.book.add(events.Probe(self.tier, self.number, end.caller, now))
            end.transport.write(self.told_load(path))
            return None
        name = path.split(b"/", 2)[1].partition(b"?")[0].decode()
        if identity is None or name not in stage.grades:
            raise wire.Broken("no operation of this deployment")
        it = Attempt()
        it.end, it.id, it.grade, it.first_byte, it.came = (
            end,
            identity.decode(),
            stage.grades[name],
            end.first_byte,
            now,
        )
        limit = head.number(b"x-timeout-ms")
        it.limit = (
            limit * MS if limit is not None else int(self.day.grades[it.grade].time_limit_ms * MS)
        )
        it.carried, it.back = head.headers.get(CHAIN), []
        if it.carried is not None:
            self.copied = self.copied or it.carried
        it.calls, it.failed, it.gone_at, it.began, it.nonce, it.closed = 0, False, 0, 0, "", False
        it.seen = stage.seen[it.id] = stage.seen.get(it.id, 0) + 1
        it.ends_at = now + it.limit
        end.open = it
        self.works.add(it)
        it.job = Job(chance.work_ns(stage.plan.seed, it.id, self.day.grades[it.grade]), it)
        if self.on.get("hang") is not None and self.hits("hang", f"{it.id} {it.seen}"):
            return None
        if self.draining or self.unready:
            return self.end(it, "turned away", wire.answer(503, b"draining\n", NOT_PROCESSED))
        if self.hits("errors", f"{it.id} {it.seen}"):
            it.began = now
            return self.end(it, "error", wire.answer(500, b"error\n"))
        said = self.machine.arrive(now, it.job)
        if self.machine.fell:
            self.happened(
                "fell over", text=f"cold, offered {self.machine.offered / S:.2f} s of work"
            )
            self.fall()
            asyncio.get_running_loop().call_later(2.0, lambda: stage.spawn(self.up(cold=True)))
            return None
        if said == machine.TURNED_AWAY:
            return self.end(it, "turned away", wire.answer(503, b"full\n", NOT_PROCESSED))
        self.arm()

    def told_load(self, path):
        if path == b"/ping":
            return wire.answer(503 if self.fails_checks or self.unready else 200, b"pong\n")
        if "lost_report" in self.on:
            return wire.answer(503)
        if "stale_report" not in self.on or not hasattr(self, "stale"):
            self.stale = self.machine.report(self.now())
        return wire.answer(200, events.msgspec.json.encode(self.stale))

    def arm(self):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.down:
            return
        at = self.machine.next_at(self.now())
        if at is not None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_at(loop.time() + max(0, at - self.now()) / S, self.due)

    def due(self):
        self.timer = None
        for job in self.machine.due(self.now()):
            self.worked(job.about)
        self.arm()

    def worked(self, it):
        """Its work here is done: the next tier is called, or it is answered."""
        it.began = it.job.began
        told = self.day.tiers[self.tier]
        if it.gone_at and told.heeds_leaving:
            self.machine.free(self.now(), it.job)
            return self.write(it, "given up", it.gone_at)
        last = self.tier + 1 == len(self.day.tiers)
        if self.pool is not None and (not last or told.circle == self.day.grades[it.grade].name):
            it.calls = told.calls
            for number in range(it.calls):
                call = Call(self, it, number)
                self.calls.add(call)
                call.begin()
            return None
        self.reply(it)

    def called(self, it, good):
        it.calls -= 1
        it.failed = it.failed or not good
        if it.closed:
            return  # it ended with the process that waited; its slot was that process's
        if not it.calls:
            self.reply(it)
            self.arm()

    def reply(self, it):
        day, now = self.day.tiers[self.tier], self.now()
        self.machine.free(now, it.job)
        own = (
            day.fail
            and chance.share(
                self.stage.plan.seed, "fail", self.tier, it.id, 0 if day.fail_sticks else it.seen
            )
            < day.fail
        )
        if it.gone_at:
            return self.write(it, "given up", it.gone_at)  # there is nobody to answer any more
        if own or it.failed and not day.hide_failures:
            return self.end(it, "error", wire.answer(500, b"error\n", self.back(it)))
        it.nonce = f"{self.tier}.{self.number}.{it.id}.{it.seen}"
        body = it.nonce.encode() + b"\n"
        if self.hits("reset_after", f"{it.id} {it.seen}"):
            return self.end(it, "reset", None)
        if self.hits("spoilt", f"{it.id} {it.seen}"):
            it.nonce = ""
            return self.end(it, "spoilt", self.spoil(body))
        self.end(it, "served", wire.answer(200, body, self.back(it)))

    def back(self, it):
        """What came back from the tier behind, passed on as it came."""
        return b"".join(b"%s: %s\r\n" % (BACK, value) for value in it.back)

    def spoil(self, body):
        """An answer that no client may be given."""
        kinds = ("short", "noise", "no_length", "two_lengths", "large", "half")
        self.turn += 1
        kind = self.on["spoilt"].kind or kinds[self.turn % len(kinds)]
        whole = wire.answer(200, body)
        return {
            "short": wire.answer(200, body + b"x" * 40)[:-40],
            "noise": b"\x00\xffnoise\r\n\r\n" + whole,
            "no_length": b"HTTP/1.1 200 OK\r\n\r\n" + body,
            "two_lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n"
            + body,
            "large": wire.answer(200, b"x" * 70000),
            "half": whole[: len(whole) // 2],
        }[kind]

    def end(self, it, outcome, data):
        """Answers; None resets the connection."""
        end = it.end
        end.open = None
        if data is None:
            end.abort()
        elif not end.transport.is_closing():
            end.transport.write(data)
            end.idle_at = self.now()
            if outcome == "spoilt":
                end.transport.close()
        self.write(it, outcome, self.now())

    def write(self, it, outcome, ended):
        """The one row of a dispatch; a second would be judged as work that ran twice."""
        it.closed = True
        self.works.discard(it)
        began = it.began or it.job.began
        worked = int(it.job.work) if began and outcome not in ("hung", "turned away") else 0
        self.stage.book.add(
            events.Work(
                self.tier,
                self.number,
                it.end.caller,
                it.id,
                it.grade,
                it.first_byte,
                it.came,
                ended,
                outcome,
                began,
                worked,
                it.nonce,
                it.gone_at,
                self.now() if began else 0,
                int(found[1]) if it.carried and (found := TRIES.search(it.carried)) else -1,
            )
        )

    def left(self, it):
        """The connection ended before the answer: the client gave it up, or this process died."""
        it.end.open = None
        it.gone_at = self.now()
        if self.down:
            return self.write(it, "reset", it.gone_at)
        if it.job.state is None:
            return self.write(it, "hung", it.gone_at)
        if not self.day.tiers[self.tier].heeds_leaving:
            it.job.given = True
            return None
        began = it.job.began
        over = self.machine.abandon(it.gone_at, it.job)
        for call in [call for call in self.calls if call.parent is it]:
            call.give_up()
        if over:
            it.began = began
            self.write(it, "given up", it.gone_at)
        self.arm()

    def sweep(self):
        """Closes connections that stand idle."""
        before = self.now() - int(self.spec.idle_close_s * S)
        for end in [end for end in self.ends if end.open is None and end.idle_at < before]:
            end.transport.close()

    # Troubles.

    async def trouble(self, trouble, on):
        what, now = trouble.what, self.now()
        self.happened(what, on)
        if on:
            self.on[what] = trouble
        else:
            self.on.pop(what, None)
        if what in OF_LIFECYCLES:
            return  # its process follows the timeline of the tier
        if what == "unready":
            # Dead for a moment, then back and not yet fit for service, as it says to probes.
            if on:
                self.refuse()
                await asyncio.sleep(trouble.size or 0.5)
                self.unready = True
                await self.listen()
            else:
                self.unready = False
        elif what in ("slow", "pause"):
            self.machine.slow(now, (0.0 if what == "pause" else trouble.size or 0.2) if on else 1.0)
            self.arm()
        elif what == "crowd":
            self.machine.move(now)
            self.machine.crowded = on or self.machine.crowded
            self.arm()
        elif what in ("refused", "unconnectable"):
            if on:
                self.refuse()
                if what == "unconnectable":
                    for caller in range(self.stage.callers):
                        self.fillers += wire.stop_up(
                            self.stage.plan.upstream(self.tier, self.number, caller)
                        )
            else:
                self.fillers = [filler.close() for filler in self.fillers][:0]
                await self.listen()

    async def follow(self, transition):
        """Make a transition of the process's lifecycle."""
        if transition is Transition.END:
            self.fall()
        elif transition is Transition.START:
            await self.up(cold=True)
        else:
            # Balancers hear of a drain a little later, so requests are served for the grace.
            self.fails_checks = transition is not Transition.SERVE
            self.draining = transition is Transition.REJECT

    def refuse(self):
        """Connections are reset and new ones refused; what it worked on goes on."""
        self.deafen()
        for end in list(self.ends):
            end.abort()

    async def close(self):
        self.fall()
        if self.pool is not None:
            await self.pool.close()


class Call:
    """A call to the next tier: a client's try, with what is left of the time."""

    def __init__(self, upstream, parent, number):
        self.upstream, self.parent, self.over, self.link = upstream, parent, False, None
        self.id = f"{parent.id}-{parent.seen}{'abcdefgh'[number]}"
        self.begun = upstream.now()
        tells = upstream.day.tiers[upstream.tier].tells_time
        self.limit = (
            parent.ends_at - self.begun
            if tells
            else int(upstream.day.grades[parent.grade].time_limit_ms * MS)
        ) - MARGIN_MS * MS
        self.timer = None

    def begin(self):
        if self.limit < 2 * MS:
            return self.done("gone", 0, b"", "no time left")
        grade = self.upstream.day.grades[self.parent.grade]
        method = b"GET" if grade.effect == "idempotent" else b"POST"
        headers = [
            (b"X-Request-ID", self.id.encode()),
            (b"X-Timeout-Ms", b"%d" % (self.limit // MS)),
        ]
        if grade.effect == "deduplicated":
            headers.append((b"Idempotency-Key", self.id.encode()))
        headers += [(CHAIN, value) for value in self.carried()]
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(self.limit / S + 0.1, self.late)
        self.upstream.pool.send(
            self,
            wire.message(
                method, f"/{grade.name}".encode(), headers, b"{}" if method == b"POST" else b""
            ),
        )

    def carried(self):
        """What the node passes on of its chain, by the way that it has."""
        way, value = self.upstream.carry, self.parent.carried
        if value is None or way == "drop":
            return []
        if way == "copy":
            return [self.upstream.copied]  # of the first call that it ever saw
        if way == "change":
            return [re.sub(rb"left=\d+", b"left=1", re.sub(rb"tries=\d+", b"tries=9", value))]
        return [value] * (2 if way == "twice" else 1)

    def written(self):
        """The connection is up."""

    def answered(self, status, body, headers):
        if BACK in headers and self.upstream.carry != "drop":
            self.parent.back.append(headers[BACK])
        self.done("answer", status, body)

    def lost(self, why, unread=False):
        self.done("lost", 0, b"", why)

    def unconnected(self, why):
        self.done("unconnected", 0, b"", why)

    def late(self):
        self.upstream.pool.drop(self)
        self.done("open", 0, b"", "no answer in time")

    def give_up(self):
        if not self.over:
            self.upstream.pool.drop(self)
            self.done("gone", 0, b"")

    def done(self, kind, status, body, note=""):
        if self.over:
            return
        self.over = True
        if self.timer is not None:
            self.timer.cancel()
        upstream = self.upstream
        upstream.calls.discard(self)
        if note != "no time left":
            upstream.stage.book.add(
                events.Try(
                    upstream.tier + 1,
                    upstream.number,
                    self.id,
                    self.id,
                    0,
                    self.parent.grade,
                    -1,
                    self.begun,
                    self.begun,
                    upstream.now(),
                    kind,
                    status,
                    body.decode(errors="replace").strip(),
                    self.limit,
                    note,
                )
            )
        good = status == 200 and f".{self.id}." in body.decode(errors="replace")
        upstream.called(self.parent, good)
