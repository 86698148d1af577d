"""The stand-in for the platform's discovery service: whole endpoint lists and watches over HTTP.

One service answers the polls of all callers. Its injected faults are lag, outage, slow calls,
refused polls, silence and a move to another address.
"""

import asyncio
import bisect
import time
from contextlib import suppress
from math import inf
from urllib.parse import parse_qs, urlsplit

import msgspec

from pepperhook.lab import events, experiment, http1, random_draws
from pepperhook.lab.call_queue import CallQueue
from pepperhook.lab.instances import GONE, READY, Timeline, host_name

S = 10**9
# A row with a health state that the protocol does not define, sent if adds_unknown_state is set.
UNKNOWN_STATE_ROW = {"host": "odd", "dial": "127.0.0.1:9", "health": "warming"}


class EndpointList:
    """The present endpoint list of one tier, and its change log."""

    def __init__(self, plan, tier):
        # rows: (number, health state, start in Unix ms) by host name; seq: the list's version.
        self.plan, self.tier, self.rows, self.seq = plan, tier, {}, 1
        self.log = []  # (seq, host) of each change
        started_ms = 0 if not plan.scenario.cold else int(time.time() * 1000)
        for number in range(plan.scenario.tiers[tier].upstreams):
            self.rows[host_name(tier, number)] = (number, READY, started_ms)
        self.changed = asyncio.Event()

    def change(self, number, name, state, started_ms):
        """Change one row and wake the watches; ``started_ms`` None keeps the start time."""
        previous = self.rows.get(name)
        self.rows[name] = (
            number,
            state,
            previous[2] if started_ms is None and previous else started_ms or 0,
        )
        self.seq += 1
        self.log.append((self.seq, name))
        self.changed.set()
        self.changed = asyncio.Event()

    def hosts_for_response(self, since):
        """Return the host names to send to a caller that has version ``since``.

        Also return whether they are the whole list.
        """
        if since is None or since > self.seq:
            return [name for name, row in self.rows.items() if row[1] != GONE], True
        # "\uffff" sorts after every host name of that version.
        first_index = bisect.bisect_right(self.log, (since, "\uffff"))
        return list(dict.fromkeys(name for _, name in self.log[first_index:])), False

    def response_for(self, since, caller):
        """Return the response document and the (number, state) pairs that it tells the caller."""
        names, is_whole_list = self.hosts_for_response(since)
        rows = []
        for name in names:
            number, state, started_ms = self.rows[name]
            rows.append(
                {
                    "host": name,
                    "dial": "{}:{}".format(*self.plan.connect_address(self.tier, number, caller)),
                    "site": experiment.zone_name(self.plan.scenario, number),
                    "class": "m",
                    "block": number % 3,
                    "health": state,
                    "share": 1.0,
                    "born_ms": started_ms,
                }
            )
        if self.plan.scenario.discovery.adds_unknown_state and rows:
            rows.append(UNKNOWN_STATE_ROW)
        states = [self.rows[name][:2] for name in names]
        if is_whole_list:
            # An upstream that is missing from a whole list is gone.
            listed = {number for number, _ in states}
            states += [
                (n, GONE)
                for n in range(self.plan.scenario.tiers[self.tier].upstreams)
                if n not in listed
            ]
        return {"seq": self.seq, "whole": is_whole_list, "hosts": rows}, states


class Discovery:
    """The stand-in service with its faults and open watches."""

    def __init__(self, plan, event_log):
        self.plan, self.event_log, self.tasks, self.servers = plan, event_log, set(), {}
        self.endpoint_lists = [EndpointList(plan, tier) for tier in range(len(plan.scenario.tiers))]
        # slow_call_s: duration of a call, 0 for the usual one; lag_s: delay of list changes;
        # active_address_index: which address answers.
        self.down, self.slow_call_s, self.lag_s, self.active_address_index = False, 0.0, 0.0, 0
        self.call_lock, self.waiting_polls = asyncio.Lock(), 0
        # The capacity is limited only from the run's start on, so that all balancers can start.
        self.queue = None
        # refused_share: the fraction of polls that a fault refuses.
        self.refused_share, self.poll_count = 0.0, 0
        self.is_silent, self.silence_ended_at = False, -inf
        self.open_watches = {}  # the event rows of open watches, by a key object per watch
        self.writers = set()

    async def open(self):
        """Listen on the first address."""
        await self.listen(0)

    async def listen(self, address_index):
        """Listen for each tier and caller; ``address_index`` is 0 before a move and 1 after it."""
        servers = self.servers[address_index] = []
        for tier in range(len(self.plan.scenario.tiers)):
            for caller in range(experiment.caller_count(self.plan.scenario, tier)):
                servers.append(
                    await asyncio.start_server(
                        lambda reader, writer, tier=tier, caller=caller: self.serve(
                            reader, writer, tier, caller, address_index
                        ),
                        *self.plan.discovery(tier, caller, address_index),
                    )
                )

    def schedule(self, start):
        """Schedule all changes and faults; ``start`` is in monotonic nanoseconds."""
        self.queue = CallQueue.of(self.plan.scenario.discovery)
        for tier, endpoint_list in enumerate(self.endpoint_lists):
            for change in Timeline.of(self.plan.scenario, tier).listings:
                self.spawn(self.apply_change(start, endpoint_list, change))
        for fault in self.plan.scenario.faults:
            if fault.type in experiment.DISCOVERY_FAULTS:
                self.spawn(self.run_fault(start, fault))

    def spawn(self, coroutine):
        """Start a task that ``close`` cancels."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def apply_change(self, start, endpoint_list, change):
        """Apply one change of the endpoint list at its time, after the present lag."""
        await self.sleep_until(start, change.at)
        await asyncio.sleep(self.lag_s)
        # The platform reports start times in Unix time.
        start_unix_s = time.time() - (time.monotonic_ns() - start) / S
        started_ms = (
            None if change.started_at is None else int((start_unix_s + change.started_at) * 1000)
        )
        endpoint_list.change(change.number, change.host, change.state, started_ms)
        what = f"listed {change.state}"
        self.event_log.add(
            events.StateChange(time.monotonic_ns(), what, endpoint_list.tier, change.number)
        )

    async def run_fault(self, start, fault):
        """Begin one fault at its time and end it; a move does not end."""
        await self.sleep_until(start, fault.start_s)
        self.event_log.add(events.StateChange(time.monotonic_ns(), fault.type, -1, -1))
        if fault.type == "discovery_outage":
            self.down = True
            for writer in list(self.writers):
                writer.transport.abort()
        elif fault.type == "discovery_slow":
            self.slow_call_s = fault.size or 0.5
        elif fault.type == "discovery_lag":
            self.lag_s = fault.size or 3.0
        elif fault.type == "discovery_refused":
            self.refused_share = fault.size or 1.0
        elif fault.type == "discovery_silence":
            self.is_silent = True
        else:  # discovery_move: the service answers at another address from now on
            await self.listen(1)
            self.active_address_index = 1
            return
        await self.sleep_until(start, fault.start_s + fault.duration_s)
        self.event_log.add(events.StateChange(time.monotonic_ns(), fault.type, -1, -1, False))
        if fault.type == "discovery_refused":
            self.refused_share = 0.0
        elif fault.type == "discovery_silence":
            self.is_silent, self.silence_ended_at = False, time.monotonic()
        else:
            self.down, self.slow_call_s, self.lag_s = False, 0.0, 0.0

    async def sleep_until(self, start, at):
        """Sleep until ``at`` seconds after the start."""
        await asyncio.sleep(max(0.0, start / S + at - time.monotonic_ns() / S))

    async def serve(self, reader, writer, tier, caller, address_index):
        """Serve one connection until it ends."""
        self.writers.add(writer)
        messages = http1.MessageParser()
        if self.down:
            self.event_log.add(
                events.EndpointListPoll(tier, caller, time.monotonic_ns(), False, False)
            )
        try:
            while not self.down:
                data = await reader.read(65536)
                if not data:
                    break
                messages.feed(data)
                while (request := messages.next()) is not None:
                    if not await self.answer_poll(request[0], writer, tier, caller, address_index):
                        while await reader.read(65536):
                            pass  # until the caller closes the connection
                        return
        except (http1.MalformedMessageError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer_poll(self, head, writer, tier, caller, address_index):
        """Answer one poll; return False if a silence fault keeps it unanswered."""
        endpoint_list, query = (
            self.endpoint_lists[tier],
            parse_qs(urlsplit(head.start[1].decode()).query),
        )
        since = int(query["since"][0]) if "since" in query else None
        arrived_at = time.monotonic()
        if is_refused := self.count_and_check_refusal(caller):
            reached_at = time.monotonic_ns()
        else:
            if since is not None:
                wait_s = int(query.get("timeout_ms", ["0"])[0]) / 1000
                await self.wait_for_change(endpoint_list, since, wait_s, caller)
                if self.is_silent or arrived_at < self.silence_ended_at:
                    return False
            # When the service begins to answer.
            reached_at = time.monotonic_ns()
            is_refused = not await self.wait_for_response(endpoint_list, since)
        is_unavailable = is_refused or self.down or self.active_address_index > address_index
        self.event_log.add(
            events.EndpointListPoll(
                tier,
                caller,
                time.monotonic_ns(),
                since is not None,
                not is_unavailable,
                reached_at,
                503 if is_unavailable else 200,
            )
        )
        if is_unavailable:
            retry_after_s = self.plan.scenario.discovery.retry_after_s
            writer.write(
                http1.encode_response(
                    503, headers=b"Retry-After: %d\r\n" % retry_after_s if retry_after_s else b""
                )
            )
            return True
        document, states = endpoint_list.response_for(since, caller)
        writer.write(http1.encode_response(200, msgspec.json.encode(document)))
        now = time.monotonic_ns()
        for number, state in states:
            self.event_log.add(events.EndpointListEntry(tier, caller, now, number, state))
        return True

    def count_and_check_refusal(self, caller):
        """Count a poll and return whether a fault refuses it, at random by the plan's seed."""
        self.poll_count += 1
        return (
            random_draws.share(self.plan.seed, "discovery", caller, self.poll_count)
            < self.refused_share
        )

    async def wait_for_change(self, endpoint_list, since, wait_s, caller):
        """Keep a watch open until the list changes, it times out or the service goes down."""
        wait_s = min(wait_s, self.plan.scenario.discovery.longest_watch_s or inf)
        deadline, watch = time.monotonic() + wait_s, object()
        self.open_watches[watch] = events.HeldWatch(
            endpoint_list.tier, caller, time.monotonic_ns(), 0
        )
        try:
            while since == endpoint_list.seq and time.monotonic() < deadline and not self.down:
                with suppress(TimeoutError):
                    await asyncio.wait_for(
                        endpoint_list.changed.wait(),
                        max(0.001, min(0.5, deadline - time.monotonic())),
                    )
        finally:
            self.record_watch(watch)

    def record_watch(self, watch):
        """Record a watch that has ended."""
        if (row := self.open_watches.pop(watch, None)) is not None:
            row.ended_at = time.monotonic_ns()
            self.event_log.add(row)

    async def wait_for_response(self, endpoint_list, since):
        """Wait until the response to a poll is ready; return False if the service rejects the poll.

        It also returns False if the poll times out at the service.
        """
        if self.queue is not None:
            now = time.monotonic()
            admission = self.queue.admit(
                now, len(endpoint_list.hosts_for_response(since)[0]), self.slow_call_s
            )
            if admission is None:
                return False
            await asyncio.sleep(admission.answer_at - now)
            return admission.is_in_time
        settings = self.plan.scenario.discovery
        if settings.max_waiting and self.waiting_polls >= settings.max_waiting:
            return False
        self.waiting_polls += 1
        try:
            async with self.call_lock:
                # The service handles one call at a time, of all tiers and callers.
                await asyncio.sleep(self.slow_call_s or settings.call_duration_ms / 1000)
        finally:
            self.waiting_polls -= 1
        return True

    async def close(self):
        """Record open watches and close all connections."""
        for watch in list(self.open_watches):
            self.record_watch(watch)
        for task in list(self.tasks):
            task.cancel()
        for servers in self.servers.values():
            for server in servers:
                server.close()
        for writer in list(self.writers):
            writer.transport.abort()
