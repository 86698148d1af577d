"""Load generator: ``python -m pepperhook.lab.load_generator PLAN FOLDER``.

It runs an open loop from a seeded arrival process, closed-loop clients and misbehaving clients.
Latency counts from the intended send time. A generator that waits for a slow balancer before it
sends the next request would leave out the delay that users see (coordinated omission, described by
Gil Tene on the HdrHistogram pages). The generator measures its own lateness and marks a run as void
when it was the bottleneck itself.
"""

import asyncio
import json
import sys
import time
from contextlib import suppress

import numpy
from hdrh.histogram import HdrHistogram

from pepperhook.lab import events, http1, random_draws
from pepperhook.lab.experiment import Plan

NS_PER_MS, NS_PER_S = 10**6, 10**9
MAX_LATENESS_NS = 20 * NS_PER_MS  # void above this 99th percentile of the generator's lateness
LATE_RESPONSE_WAIT_S = 1.0  # how long to wait for late responses after the longest time limit
# Tolerance past the time limit, as responses may be late on a busy machine.
TIME_LIMIT_SLACK_NS = 50 * NS_PER_MS
FLUSH_INTERVAL_S = 0.25  # interval at which event rows are flushed
HEALTH_CHECK_INTERVAL_S = 0.5  # interval of the front's health checks
# The number of an exchange (``Exchange.number``) shows its kind:
#     0: first attempt; 1, 2, ...: retries of the client
#     COPY_NUMBER + n: copy sent at a scheduled time
#     COPY_NUMBER + COPY_AT_END + n: copy sent when the first attempt ends
#     COPY_NUMBER + COPY_AFTER_LOSS + n: copy sent after an exchange was lost
# A lost exchange is copied, unless it is itself a copy sent after a loss.
COPY_NUMBER = 100
COPY_AT_END = 50
COPY_AFTER_LOSS = 200


def arrivals(scenario, seed):
    """Return the open loop's arrivals as sorted arrays: (ns, service_class, tenant, balancer).

    Tenant and balancer are -1 where none is given. Arrivals are a Poisson process, thinned on
    ramps; the number of requests in a burst is geometrically distributed.
    """
    arrays_by_load = []  # one tuple of arrays for each load row
    for index, load in enumerate(scenario.load):
        rng = numpy.random.default_rng([seed, index])
        end_s = (
            scenario.seconds
            if load.duration_s is None
            else min(scenario.seconds, load.start_s + load.duration_s)
        )
        duration, peak_rate = end_s - load.start_s, max(load.rate, load.end_rate or 0.0)
        if duration <= 0 or not peak_rate:
            continue
        times = numpy.sort(rng.uniform(0, duration, rng.poisson(peak_rate / load.burst * duration)))
        if load.end_rate is not None:
            rate = load.rate + (load.end_rate - load.rate) * times / duration
            times = times[rng.uniform(0, peak_rate, len(times)) < rate]
        if load.burst > 1:
            times = numpy.repeat(times, rng.geometric(1 / load.burst, len(times)))
        names = (
            [service_class.name for service_class in scenario.service_classes],
            [tenant.name for tenant in scenario.tenants],
        )
        service_classes = (
            numpy.full(len(times), names[0].index(load.service_class))
            if load.service_class
            else rng.choice(
                len(scenario.service_classes),
                len(times),
                p=normalized_shares(scenario.service_classes),
            )
        )
        if load.tenant:
            tenants = numpy.full(len(times), names[1].index(load.tenant))
        elif scenario.tenants:
            tenants = rng.choice(
                len(scenario.tenants), len(times), p=normalized_shares(scenario.tenants)
            )
        else:
            tenants = numpy.full(len(times), -1)
        balancers = numpy.full(len(times), -1 if load.balancer is None else load.balancer)
        arrays_by_load.append(
            ((load.start_s + times) * NS_PER_S, service_classes, tenants, balancers)
        )
    if not arrays_by_load:
        return tuple(numpy.array([], dtype=int) for _ in range(4))
    columns = [numpy.concatenate(arrays) for arrays in zip(*arrays_by_load)]
    order = numpy.argsort(columns[0], kind="stable")
    return tuple(column[order].astype(int) for column in columns)


def normalized_shares(rows):
    """Return the rows' shares, scaled to a sum of one."""
    weights = numpy.array([row.share for row in rows])
    return weights / weights.sum()


class Front:
    """Stand-in for the network load balancer before the first tier.

    It distributes connections over the balancers, round robin or skewed, and notices only after a
    delay that a balancer went down or came back.
    """

    def __init__(self, plan):
        self.seed, self.config = plan.seed, plan.scenario.front
        self.addresses = [
            plan.balancer(0, number) for number in range(plan.scenario.tiers[0].balancers)
        ]
        self.numbers = {address: number for number, address in enumerate(self.addresses)}
        self.alive = list(self.addresses)
        self.last_healthy_at = dict.fromkeys(self.addresses, time.monotonic())
        self.connection_count = 0
        ranked = sorted(
            self.addresses, key=lambda address: random_draws.share(plan.seed, "rank", address)
        )
        self.weights = {
            address: (rank + 1) ** -self.config.skew for rank, address in enumerate(ranked)
        }

    def next_address(self):
        """Return the address for the next connection; None if no balancer is alive."""
        if not self.alive:
            return None
        self.connection_count += 1
        if not self.config.skew:
            return self.alive[self.connection_count % len(self.alive)]
        drawn = random_draws.share(self.seed, "deal", self.connection_count) * sum(
            self.weights[address] for address in self.alive
        )
        for address in self.alive:
            drawn -= self.weights[address]
            if drawn < 0:
                break
        return address

    async def watch(self):
        """Check the health of all balancers, until cancelled."""
        while True:
            for address in self.addresses:
                if await is_healthy(address):
                    self.last_healthy_at[address] = time.monotonic()
                    if address not in self.alive:
                        self.alive.append(address)
                elif (
                    time.monotonic() - self.last_healthy_at[address] > self.config.notice_s
                    and address in self.alive
                ):
                    self.alive.remove(address)
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)


async def is_healthy(address):
    """Return whether a balancer passes its health check within a second."""
    try:
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(b"GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return (await reader.read(200)).startswith(b"HTTP/1.1 200")
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return False


class Exchange:
    """One request that a client sends, from its intended send time to its event row.

    A client's retry, or a copy, is another exchange.
    """

    __slots__ = (
        "load",
        "id",
        "first_id",  # id of the first attempt; its own unless it is a retry or a copy
        "number",  # 0: first attempt; else the number of the retry or copy
        "service_class",
        "tenant",
        "scheduled_at",  # intended send time, ns
        "sent_at",
        "limit_ns",
        "connection",
        "is_on_new_connection",  # its connection was opened for it
        "has_ended",  # its row has been written
        "timer",
        "other_headers",  # all but the request's id and its time limit
        "was_resent",
        "leaves_early",
        "future",
        "stream_id",
        "balancer_number",  # number of the balancer; -1: the front chooses
        "pool",
        "copies_at_end",
    )

    def __init__(
        self,
        load,
        request_id,
        first_id,
        number,
        service_class,
        tenant,
        scheduled_at,
        balancer_number=-1,
    ):
        self.load, self.id, self.first_id, self.number, self.service_class = (
            load,
            request_id,
            first_id,
            number,
            service_class,
        )
        self.tenant, self.scheduled_at, self.sent_at, self.future = tenant, scheduled_at, 0, None
        self.limit_ns, self.balancer_number, self.pool = (
            load.limits_ns[service_class],
            balancer_number,
            load.pools[balancer_number],
        )
        (
            self.connection,
            self.is_on_new_connection,
            self.has_ended,
            self.was_resent,
            self.leaves_early,
        ) = (
            None,
            False,
            False,
            False,
            False,
        )
        self.copies_at_end = 0  # copies to send in the same event loop turn in which this one ends

    def start(self):
        """Send the request and start its timer."""
        load = self.load
        load.open_count += 1
        headers = self.other_headers = []
        if self.tenant >= 0:
            headers.append((b"X-Tenant-Id", load.tenant_names[self.tenant]))
        if self.number:
            headers.append((b"X-Retried", b"1"))
        if (
            load.scenario.clients.duplicates
            and not self.number
            and load.has_effect[self.service_class]
        ):
            load.schedule_copies(self)
        if load.keyed[self.service_class]:
            headers.append((b"Idempotency-Key", self.first_id.encode()))
        self.sent_at = time.monotonic_ns()
        patience_ns = (
            load.patience_ns
            if load.patience_ns is not None
            else self.limit_ns + 2 * TIME_LIMIT_SLACK_NS
        )
        leave = load.scenario.clients.leave_fraction
        if leave and (draw := random_draws.share(load.plan.seed, "leave", self.id)) < leave:
            # Drawn by the request's id, so it is the same for HTTP/1.1 and HTTP/2.
            self.leaves_early = True
            patience_ns = self.limit_ns * draw / leave / 3
        self.timer = load.loop.call_later(patience_ns / NS_PER_S, self.on_timeout)
        self._send(self.limit_ns)

    def _send(self, remaining_ns):
        """Send the request with what is left of its time limit."""
        load = self.load
        path, method = load.targets[self.service_class]
        headers = [
            (b"X-Request-ID", self.id.encode()),
            (b"X-Timeout-Ms", b"%d" % (remaining_ns // NS_PER_MS)),
            *self.other_headers,
        ]
        self.pool.send_request(self, method, path, headers, load.bodies[self.service_class])

    def on_connected(self):
        """Set the send time: the time limit counts from the first sending, after connecting."""
        if not self.was_resent:
            self.sent_at = time.monotonic_ns()

    def on_response(self, status, body, headers):
        """Record a response; retry one that isn't 200."""
        self.finish("answer", status, body.decode(errors="replace").strip())
        load = self.load
        if status != 200:
            retry_after = headers.get(b"retry-after")
            load.schedule_retry(self, float(retry_after) if retry_after else 0.0)

    def on_lost(self, why, unread=False):
        """Record a broken connection; ``unread``: it broke before any byte of the response."""
        remaining_ns = self.limit_ns - (time.monotonic_ns() - self.sent_at)
        may_resend = unread and not self.is_on_new_connection and not self.was_resent
        if may_resend and remaining_ns >= NS_PER_MS:
            # The balancer closed the kept connection while the request was sent: resend it once on
            # a new connection.
            self.was_resent = True
            self.pool.idle.clear()
            self._send(remaining_ns)
            return
        self.finish("lost", 0, "", why)
        load = self.load
        if (
            load.scenario.clients.duplicates
            and load.has_effect[self.service_class]
            and self.number < COPY_AFTER_LOSS
        ):
            # Like a client whose connection broke: send a copy at once, and another when a killed
            # balancer may be running again.
            for wait_s in 0.05, 2.2 + random_draws.share(load.plan.seed, "lost", self.id):
                load.loop.call_later(
                    wait_s, load.send_copy, self, COPY_AFTER_LOSS + 2 * self.number + int(wait_s)
                )
        load.schedule_retry(self, 0.0)

    def on_connect_failed(self, why):
        """Record that no connection could be opened."""
        self.finish("unconnected", 0, "", why)
        self.load.schedule_retry(self, 0.0)

    def on_timeout(self):
        """Record that the client's patience or time limit ran out, and close the connection."""
        self.pool.drop(self)
        self.finish(
            "gone" if self.leaves_early or self.load.patience_ns is not None else "open", 0, ""
        )
        self.load.schedule_retry(self, 0.0)

    def finish(self, kind, status, body, note=""):
        """Write the event row, once, and send the copies due at its end."""
        if self.has_ended:
            return
        self.has_ended = True
        self.timer.cancel()
        load, now = self.load, time.monotonic_ns()
        load.open_count -= 1
        load.event_log.add(
            events.Attempt(
                0,
                load.front.numbers.get(getattr(self.connection, "address", None), -1),
                self.id,
                self.first_id,
                self.number,
                self.service_class,
                self.tenant,
                self.scheduled_at,
                self.sent_at,
                now,
                kind,
                status,
                body,
                self.limit_ns,
                note,
            )
        )
        load.latency.record_value(max(1, min(60 * 10**6, (now - self.scheduled_at) // 1000)))
        if status == 200:
            load.served_latency.record_value(
                max(1, min(60 * 10**6, (now - self.scheduled_at) // 1000))
            )
        if self.future is not None and not self.future.done():
            self.future.set_result(status)
        for index in range(self.copies_at_end):
            load.send_copy(self, COPY_AT_END + index)


class Load:
    """The clients of one run."""

    def __init__(self, plan, folder, choose_address=None):
        self.plan, self.scenario, self.folder, self.loop = (
            plan,
            plan.scenario,
            folder,
            asyncio.get_running_loop(),
        )
        self.event_log = events.EventLog(f"{folder}/clients.rows")
        self.front = Front(plan)
        pool_class = http1.Pool
        if plan.scenario.clients.protocol == "h2":
            from pepperhook.lab.http2 import Http2Pool as pool_class
        self.pools = {
            -1: pool_class(
                choose_address or self.front.next_address,
                self.record_unsolicited,
                self.record_unsolicited,
            )
        }
        for number, address in enumerate(self.front.addresses):
            self.pools[number] = pool_class(
                lambda address=address: address, self.record_unsolicited, self.record_unsolicited
            )
        service_classes = plan.scenario.service_classes
        self.limits_ns = [
            int((service_class.client_limit_ms or service_class.time_limit_ms) * NS_PER_MS)
            for service_class in service_classes
        ]
        self.targets = [  # (path, method) by service class
            (
                b"/" + service_class.name.encode(),
                b"GET" if service_class.effect == "idempotent" else b"POST",
            )
            for service_class in service_classes
        ]
        self.bodies = [
            b"x" * max(2, service_class.body_bytes) if service_class.effect != "idempotent" else b""
            for service_class in service_classes
        ]
        self.has_effect = [
            service_class.effect != "idempotent" for service_class in service_classes
        ]
        self.keyed = [
            service_class.effect == "deduplicated"
            or service_class.effect == "at_most_once"
            and plan.scenario.clients.duplicates
            for service_class in service_classes
        ]
        self.tenant_names = [tenant.name.encode() for tenant in plan.scenario.tenants]
        clients = plan.scenario.clients
        self.patience_ns = (
            None if clients.patience_ms is None else int(clients.patience_ms * NS_PER_MS)
        )
        self.latency, self.served_latency, self.own_lateness = (
            HdrHistogram(1, 60 * 10**6, 3) for _ in "abc"
        )
        self.open_count, self.sent_count, self.tasks, self.ends_at = 0, 0, set(), None

    def record_unsolicited(self, exchange, data):
        """Record bytes received without an open request."""
        self.event_log.add(
            events.UnexpectedBytes(
                0, time.monotonic_ns(), exchange.id if exchange else "", len(data)
            )
        )

    def spawn(self, work):
        """Run a coroutine as a task that ``close`` cancels."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def schedule_retry(self, exchange, after_s):
        """Schedule a client's retry, which is a new request to the balancer."""
        clients = self.scenario.clients
        if (
            exchange.number >= clients.retries
            or exchange.future is not None
            or time.monotonic_ns() > self.ends_at
        ):
            return
        wait_s = (
            clients.backoff_ms
            / 1000
            * 2**exchange.number
            * (0.5 + random_draws.share(self.plan.seed, "back", exchange.id))
        )
        self.loop.call_later(max(wait_s, after_s), self.send_retry, exchange)

    def send_retry(self, exchange):
        """Send the next retry."""
        number = exchange.number + 1
        Exchange(
            self,
            f"{exchange.first_id}r{number}",
            exchange.first_id,
            number,
            exchange.service_class,
            exchange.tenant,
            time.monotonic_ns(),
            exchange.balancer_number,
        ).start()

    def schedule_copies(self, exchange):
        """Schedule copies of a first attempt, with their own ids and its idempotency key.

        They are sent at the most difficult moments: together with it, while it runs, in the event
        loop turn in which it ends, at its time limit, and so late that a killed balancer is running
        again.
        """

        def draw(*names):
            return random_draws.share(self.plan.seed, "copy", exchange.id, *names)

        limit_s = exchange.limit_ns / NS_PER_S
        for number in range(int(draw() * (self.scenario.clients.duplicates + 1))):
            kind, position = int(draw(number) * 6), draw(number, "at")
            if kind == 2:
                exchange.copies_at_end += 1
                continue
            wait_s = (
                position * 0.003,  # together with it
                position * 0.1,  # soon after it
                None,  # in the event loop turn in which it ends, see above
                limit_s + (position - 0.5) * 0.06,  # around its time limit
                position * limit_s,  # at any time up to its time limit
                1.5 + position * 2.0,  # when a killed balancer may be running again
            )[kind]
            self.loop.call_later(wait_s, self.send_copy, exchange, number + 1)

    def send_copy(self, exchange, number):
        """Send a copy of a request under its idempotency key."""
        if time.monotonic_ns() < self.ends_at + 2 * NS_PER_S:
            # COPY_NUMBER is above any limit of retries: a copy is never retried.
            Exchange(
                self,
                f"{exchange.first_id}k{number}",
                exchange.first_id,
                COPY_NUMBER + number,
                exchange.service_class,
                exchange.tenant,
                time.monotonic_ns(),
                exchange.balancer_number,
            ).start()

    async def send_all(self, start):
        """Send all requests of the run, then wait for the last responses."""
        self.ends_at = start + int(self.scenario.seconds * NS_PER_S)
        self.spawn(self.front.watch())
        self.spawn(self.flush_event_rows())
        for number in range(self.scenario.clients.closed_loop_clients):
            self.spawn(self.run_closed_loop_client(start, number))
        for kind, count in self.scenario.clients.misbehaving.items():
            for number in range(count):
                self.spawn(self.run_misbehaving_client(start, kind, number))
        times, service_classes, tenants, balancers = (
            column.tolist() for column in arrivals(self.scenario, self.plan.seed)
        )
        seed_hex, index, total = f"{self.plan.seed:x}", 0, len(times)
        while index < total:
            now = time.monotonic_ns() - start
            while index < total and times[index] <= now:
                request_id = f"{seed_hex}.{index:x}"
                Exchange(
                    self,
                    request_id,
                    request_id,
                    0,
                    service_classes[index],
                    tenants[index],
                    start + times[index],
                    balancers[index],
                ).start()
                # The generator's own lateness, kept apart from the balancer's latency.
                self.own_lateness.record_value(
                    max(1, (time.monotonic_ns() - start - times[index]) // 1000)
                )
                index += 1
            if index < total:
                # Very short sleeps would only keep the event loop from reading responses.
                await asyncio.sleep(
                    max(0.0005, (times[index] - (time.monotonic_ns() - start)) / NS_PER_S)
                )
        self.sent_count = index
        await asyncio.sleep(max(0.0, (self.ends_at - time.monotonic_ns()) / NS_PER_S))
        longest_s = (
            (max(self.limits_ns) + 2 * TIME_LIMIT_SLACK_NS) / NS_PER_S
            + LATE_RESPONSE_WAIT_S
            + (2.0 if self.scenario.clients.duplicates else 0.0)
        )
        deadline = time.monotonic() + longest_s
        # Copies may still be sent for two seconds after the end: see send_copy.
        copies_scheduled_until = time.monotonic() + (
            2.0 if self.scenario.clients.duplicates else 0.0
        )
        while (
            self.open_count or time.monotonic() < copies_scheduled_until
        ) and time.monotonic() < deadline:
            await asyncio.sleep(0.02)

    async def flush_event_rows(self):
        """Flush the event rows regularly, for live displays.

        Buffered rows are otherwise written only in large groups.
        """
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.event_log.flush()

    async def run_closed_loop_client(self, start, number):
        """Run a closed-loop client: it sends its next request after a response and a think time."""
        await asyncio.sleep(max(0, start - time.monotonic_ns()) / NS_PER_S)
        turn = 0
        while time.monotonic_ns() < self.ends_at:
            turn += 1
            request_id = f"{self.plan.seed:x}c{number:x}.{turn:x}"
            draw = random_draws.share(self.plan.seed, "grade", request_id)
            service_class = int(
                numpy.searchsorted(
                    numpy.cumsum(normalized_shares(self.scenario.service_classes)), draw
                )
            )
            exchange = Exchange(
                self,
                request_id,
                request_id,
                0,
                service_class,
                -1 if not self.tenant_names else number % len(self.tenant_names),
                time.monotonic_ns(),
            )
            exchange.future = self.loop.create_future()
            exchange.start()
            await exchange.future
            await asyncio.sleep(self.scenario.clients.think_ms / 1000)

    async def run_misbehaving_client(self, start, kind, number):
        """Run a misbehaving client; its messages aren't requests of the run and aren't audited."""
        await asyncio.sleep(max(0, start - time.monotonic_ns()) / NS_PER_S)
        path, method = self.targets[0]
        turn = 0
        while time.monotonic_ns() < self.ends_at:
            turn += 1
            request_id = f"bad-{kind}-{number}-{turn}".encode()
            headers = [(b"X-Request-ID", request_id), (b"X-Timeout-Ms", b"500")]
            valid = http1.encode_request(method, path, headers, b"{}" if method == b"POST" else b"")
            data, wait_s = {
                "mute": (valid * 20, 2.0),  # requests whose responses are never read
                "half": (valid[: len(valid) // 2], 2.0),  # half a request
                "flood": (valid * 200, 0.05),  # many requests at once
                "lengths": (  # two contradicting lengths
                    valid.replace(
                        b"\r\n\r\n", b"\r\nContent-Length: 7\r\nContent-Length: 70\r\n\r\n"
                    ),
                    0.1,
                ),
                "forged": (
                    valid.replace(request_id, f"{self.plan.seed:x}.{turn:x}".encode()),
                    0.05,
                ),
            }[kind]
            if kind == "forged":
                # Two X-Request-ID headers: ``forged``, and the id of a real client's request, which
                # must still get its response.
                data = data.replace(b"X-Request-ID", b"X-Request-ID: forged\r\nX-Request-ID")
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(5):
                    address = self.front.next_address()
                    if address is None:
                        await asyncio.sleep(0.2)
                        continue
                    reader, writer = await asyncio.open_connection(*address)
                    try:
                        writer.write(data)
                        await asyncio.sleep(wait_s)
                        if kind not in ("mute", "half"):
                            await asyncio.wait_for(reader.read(65536), 1)
                    finally:
                        writer.transport.abort()

    async def close(self):
        """Cancel all tasks and close the connections and the file."""
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for pool in self.pools.values():
            await pool.close()
        self.event_log.close()

    def summary(self):
        """Return the counts and latency quantiles in ms; ``void`` if the generator was late."""

        def quantiles(histogram):
            return {
                f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1000
                for percentile in (50, 90, 99, 99.9)
            }

        late_ns = self.own_lateness.get_value_at_percentile(99) * 1000
        return {
            "operations": self.sent_count,
            "latency_ms": quantiles(self.latency),
            "served_ms": quantiles(self.served_latency),
            "own_lateness_ms": quantiles(self.own_lateness),
            "void": bool(late_ns > MAX_LATENESS_NS),
            "served": self.served_latency.get_total_count(),
        }


async def run(plan, folder, wait_for_start, choose_address=None):
    """Run the load from the shared start time until it is done or stdin closes; write load.json."""
    load = Load(plan, folder, choose_address)
    start, ended = await wait_for_start()
    play_task = asyncio.ensure_future(load.send_all(start))
    await asyncio.wait([play_task, ended], return_when=asyncio.FIRST_COMPLETED)
    play_task.cancel()
    await asyncio.gather(play_task, return_exceptions=True)
    await load.close()
    with open(f"{folder}/load.json", "w", encoding="utf-8") as file:
        json.dump(load.summary(), file)


def main(arguments):
    import uvloop

    from pepperhook.lab.stand_ins import wait_for_start

    plan, folder = arguments[:2]
    address = (arguments[2], int(arguments[3])) if len(arguments) > 2 else None
    uvloop.run(run(Plan.read(plan), folder, wait_for_start, address and (lambda: address)))


if __name__ == "__main__":
    main(sys.argv[1:])
