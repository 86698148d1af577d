"""A fleet that polls one discovery service, in virtual time: its polls, and what it may send."""

import heapq
import itertools
from collections import Counter
from dataclasses import dataclass, field

from pepperhook.actions import HealthCheck, WatchEndpoints
from pepperhook.balancer import Balancer
from pepperhook.domain import EndpointUpdate, Outcome, PollFailure, Upstream, UpstreamState
from pepperhook.lab.call_queue import CallQueue
from pepperhook.server.endpoint_discovery import (
    SLOW_ANSWER_NS,
    SLOW_ANSWER_VALID_NS,
    WATCH_MARGIN_S,
)
from pepperhook.units import MILLISECOND, SECOND
from tests.policy.simulation import make_settings

START = 9 * SECOND
STEP_NS = 20 * MILLISECOND
TRANSIT_NS = MILLISECOND
WATCH_MARGIN_NS = int(WATCH_MARGIN_S * SECOND)
QUEUE_TIMEOUT_S = 2.0


@dataclass
class Service:
    """The discovery service: its capacity, and the outages in which it refuses all polls."""

    calls_per_s: float = 10**6
    waiting_s: float = 60.0  # work that may wait; a poll that would wait longer is refused at once
    outages: list[tuple[int, int]] = field(default_factory=list)
    refuses_after_ns: int = 0
    changed_at: int = 0  # when an upstream left the list
    polls: Counter = field(default_factory=Counter)  # by second
    dropped: int = 0

    def __post_init__(self):
        self.queue = CallQueue(1 / self.calls_per_s, 0.0, self.waiting_s, QUEUE_TIMEOUT_S)

    def is_down(self, at):
        return any(begin <= at < end for begin, end in self.outages)

    def call(self, now):
        """Return when a call is over, and whether it is answered."""
        if self.is_down(now):
            return now + self.refuses_after_ns + TRANSIT_NS, False
        admission = self.queue.admit(now / SECOND, 0)
        is_answered = admission is not None and admission.is_in_time
        self.dropped += not is_answered
        over_at = now if admission is None else int(admission.answer_at * SECOND)
        return over_at + TRANSIT_NS, is_answered


class Member:
    """One balancer of the fleet with two upstreams; the first leaves the list."""

    def __init__(self, fleet, index, size):
        self.fleet = fleet
        settings = make_settings(
            index=index,
            fleet_size=size,
            polls_endpoints=True,
            endpoint_poll_within_ns=10 * SECOND,
            may_health_check=True,
        )
        self.balancer = Balancer(settings, index, START)
        self.leaving, self.staying = self.upstreams = [Upstream(b"a"), Upstream(b"b")]
        self.polled_at = 0
        self.slow_at = None
        self.version_at = START
        self.current_at = None  # when it knew that the upstream had left
        self.perform(START, self.balancer.wake(START))
        ready = [EndpointUpdate(upstream, UpstreamState.READY, 0) for upstream in self.upstreams]
        self.perform(START, self.balancer.endpoints_changed(START, True, ready))

    def perform(self, now, actions):
        for action in actions:
            match action:
                case WatchEndpoints(wait_ns):
                    self.wait_ns = wait_ns
                    self.fleet.at(now, self.poll, 0)
                case HealthCheck(upstream):
                    self.fleet.at(now + TRANSIT_NS, self.pass_check, upstream)

    def pass_check(self, now, upstream):
        check_ended = self.balancer.health_check_ended
        self.perform(now, check_ended(now, upstream, Outcome.SERVED, TRANSIT_NS))

    def poll(self, now, wait_ns):
        """Poll the service, which waits up to ``wait_ns`` for a change."""
        self.polled_at, self.wait_of_poll_ns = now, wait_ns
        service = self.fleet.service
        service.polls[now // SECOND] += 1
        if service.is_down(now):
            over_at, _ = service.call(now)
            self.fleet.at(over_at, self.fail, PollFailure.REFUSED)
        elif wait_ns and not self.version_at < service.changed_at <= now:
            changes = [at for at in (service.changed_at,) if now < at < now + wait_ns]
            breaks = [begin for begin, _ in service.outages if now < begin < now + wait_ns]
            wakes_at = min([*changes, *breaks, now + wait_ns])
            self.fleet.at(wakes_at, self.answer, wakes_at == now + wait_ns)
        else:
            self.fleet.at(now, self.answer, False)

    def answer(self, now, is_unchanged):
        over_at, is_answered = self.fleet.service.call(now)
        given_up_at = self.polled_at + self.wait_of_poll_ns + WATCH_MARGIN_NS
        if self.wait_of_poll_ns and over_at > given_up_at:
            self.fleet.at(given_up_at, self.fail, PollFailure.SILENT)
        elif not is_answered:
            self.fleet.at(over_at, self.fail, PollFailure.REFUSED)
        elif is_unchanged or not self.wait_of_poll_ns:
            self.fleet.at(over_at, self.receive, now, over_at - now)
        else:
            # How much of the time was spent waiting for the change is not known.
            self.fleet.at(over_at, self.receive, self.polled_at, 0)

    def receive(self, now, as_of, delay_ns):
        self.slow_at = now if delay_ns > SLOW_ANSWER_NS else None
        service, rows = self.fleet.service, []
        if self.version_at < service.changed_at <= now:
            rows = [EndpointUpdate(self.leaving, UpstreamState.GONE, 0)]
            self.current_at = now
        self.version_at = now
        age_ns = now - as_of
        if rows:
            self.perform(now, self.balancer.endpoints_changed(now, False, rows, age_ns))
        else:
            self.perform(now, self.balancer.endpoints_confirmed(now, age_ns))
        is_old = age_ns > self.wait_ns // 2
        self.fleet.at(now, self.poll, self.wait_ns // 2 if is_old else self.wait_ns)

    def fail(self, now, failure):
        # As the host tells them apart.
        is_slow = self.slow_at is not None and now < self.slow_at + SLOW_ANSWER_VALID_NS
        if is_slow and failure is PollFailure.REFUSED:
            failure = PollFailure.OVERLOADED
        self.perform(now, self.balancer.endpoint_poll_failed(now, failure, 0))

    def may_send(self, now, upstream):
        is_stale = self.balancer.endpoints.is_stale(now, upstream)
        return upstream.state is UpstreamState.READY and not is_stale


class DiscoveryFleet:
    """All balancers of a fleet, the service that they poll, and what they may send over time."""

    def __init__(self, size, service):
        self.service = service
        self.events = []
        self.order = itertools.count()
        self.members = [Member(self, index, size) for index in range(size)]
        # By time: the share of the members that may send to the upstream that stays, and the number
        # of those that may send to the one that has left.
        self.permitted = {}
        self.late = {}

    def at(self, when, call, *arguments):
        heapq.heappush(self.events, (when, next(self.order), call, arguments))

    def run(self, until):
        """Simulate until a time."""
        now = START
        while now < until:
            now += STEP_NS
            while self.events and self.events[0][0] <= now:
                when, _, call, arguments = heapq.heappop(self.events)
                call(when, *arguments)
            for member in self.members:
                if now >= member.balancer.next_wake_at:
                    member.perform(now, member.balancer.wake(now))
            may_send = [member.may_send(now, member.staying) for member in self.members]
            self.permitted[now] = sum(may_send) / len(self.members)
            self.late[now] = sum(member.may_send(now, member.leaving) for member in self.members)

    def polls_per_second(self, begin, end):
        """Return the mean and the greatest number of polls in a second of a span."""
        counts = [self.service.polls[second] for second in range(begin // SECOND, end // SECOND)]
        return sum(counts) / len(counts), max(counts)

    def served_share(self, begin, end):
        """Return the share of time and members in which the staying upstream could be sent to."""
        shares = [share for at, share in self.permitted.items() if begin <= at < end]
        return sum(shares) / len(shares)

    def latest_permission(self):
        """Return the last time at which any member could send to the upstream that has left."""
        return max(at for at, members in self.late.items() if members)

    def all_current_at(self):
        """Return when the last member knew that the upstream had left; None: some do not know."""
        times = [member.current_at for member in self.members]
        return None if None in times else max(times)
