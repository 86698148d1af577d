"""Simulated fleets of independent balancers that use the same upstreams."""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import replace
from typing import NamedTuple

from pepperhook.actions import FailRequest, RejectRequest, StartAttempt, WakeAt
from pepperhook.balancer import Balancer
from pepperhook.domain import EndpointUpdate, Outcome, Request, Upstream, UpstreamState
from pepperhook.units import MILLISECOND, SECOND
from tests.policy.simulation import FinalResponse, make_service_class, make_settings, ready

STEP_NS = 5 * MILLISECOND


class FleetAttempt(NamedTuple):
    """When an attempt was started, by which balancer and at which upstream (indices)."""

    at: int
    balancer: int
    upstream: int


class Fleet:
    """A fleet whose attempts are all served, with the same latency."""

    def __init__(self, balancers, upstreams, seed, latency_ns):
        self.random = random.Random(seed)
        self.now = 9 * SECOND
        self.latency_ns = latency_ns
        self.attempts = []
        self.responses = Counter()
        self.in_flight = []
        self.upstreams = [
            [Upstream(b"u%d" % number) for number in range(upstreams)] for _ in range(balancers)
        ]
        self.balancers = [self._make_balancer(index, balancers, seed) for index in range(balancers)]
        for index, balancer in enumerate(self.balancers):
            self._perform(index, balancer.wake(self.now))
        self.report_all_ready(started_at=0)

    def _make_balancer(self, index, balancers, seed):
        settings = make_settings(
            index=index, fleet_size=balancers, service_classes=[make_service_class(0)]
        )
        return Balancer(settings, seed * 100 + index, self.now)

    def report_all_ready(self, started_at):
        """Report an endpoint list in which all upstreams are ready, started at this time."""
        for index, balancer in enumerate(self.balancers):
            rows = ready(self.upstreams[index], started_at)
            self._perform(index, balancer.endpoints_changed(self.now, True, rows))

    def _perform(self, index, actions):
        for action in actions:
            match action:
                case StartAttempt(attempt):
                    upstream = self.upstreams[index].index(attempt.upstream)
                    self.attempts.append(FleetAttempt(self.now, index, upstream))
                    self.in_flight.append((self.now + self.latency_ns, index, attempt))
                case RejectRequest():
                    self.responses[FinalResponse.REJECTED] += 1
                case FailRequest():
                    self.responses[FinalResponse.FAILED] += 1

    def run(self, seconds, rate):
        """Simulate ``seconds``, in which each balancer gets ``rate`` requests per second."""
        ends_at = self.now + int(seconds * SECOND)
        while self.now < ends_at:
            self.now += STEP_NS
            self._end_attempts()
            for index, balancer in enumerate(self.balancers):
                self._perform(index, balancer.wake(self.now))
                if self.random.random() < rate * STEP_NS / SECOND:
                    service_class = balancer.settings.service_classes[0]
                    request = Request(0, service_class, None, None, self.now + 2 * SECOND)
                    self._perform(index, balancer.accept(self.now, request))

    def _end_attempts(self):
        for due in [entry for entry in self.in_flight if entry[0] <= self.now]:
            self.in_flight.remove(due)
            _, index, attempt = due
            self.responses[FinalResponse.SERVED] += 1
            actions = self.balancers[index].attempt_ended(
                self.now, attempt, Outcome.SERVED, self.latency_ns, True
            )
            self._perform(index, actions)

    def attempts_since(self, at):
        """Return the number of attempts that were started at ``at`` or later."""
        return sum(attempt.at >= at for attempt in self.attempts)


class Excess(NamedTuple):
    """Attempts of a window above its bound, its budget, and its number of attempts."""

    above_bound: float
    budget: float
    count: int


class SlowStartFleet:
    """A fleet with eight upstreams, one of which enters slow start.

    Each balancer is an independent policy, and all are notified at the same time. ``rate``:
    requests offered per upstream and second, which is also its capacity. Attempts reach the
    upstream with a random delay of up to ``max_delay_ns``, as connections are established.
    ``restarts``: half of the balancers restart with the same endpoint list one second after slow
    start has begun.
    """

    RUN_BEGINS_AT, UPSTREAM_STARTS_AT, RUN_ENDS_AT = 5 * SECOND, 25 * SECOND, 37 * SECOND
    WINDOW_NS, SLOW_START_NS, LATENCY_NS = 1500 * MILLISECOND, 10 * SECOND, 40 * MILLISECOND
    INITIAL_CAPACITY = 0.2
    UPSTREAMS, IN_SLOW_START = 8, 3

    def __init__(self, balancers, seed, max_delay_ns=0, restarts=False, rate=12.0):
        self.random = random.Random(seed)
        self.seed = seed
        self.max_delay_ns = max_delay_ns
        self.rate = rate
        self.rate_per_balancer = rate * self.UPSTREAMS / balancers
        self.settings = make_settings(
            fleet_size=balancers,
            connection_price=0.0,
            handshake_price=0.0,
            overload_window_ns=self.WINDOW_NS,
            slow_start_ns=self.SLOW_START_NS,
            service_classes=[make_service_class(0)],
            tenants=[],
        )
        self.balancers = {}
        self.events, self.event_numbers = [], itertools.count()
        self.arrivals = []
        for number in range(balancers):
            self._start_balancer(self.RUN_BEGINS_AT, number, 0)
            self._schedule_request(self.RUN_BEGINS_AT, number)
            self._schedule(self.UPSTREAM_STARTS_AT, self._report_start, number)
            if restarts and number % 2:
                self._schedule(
                    self.UPSTREAM_STARTS_AT + SECOND,
                    self._start_balancer,
                    number,
                    self.UPSTREAM_STARTS_AT,
                )

    def _schedule(self, at, handler, *arguments):
        heapq.heappush(self.events, (at, next(self.event_numbers), handler, arguments))

    def _schedule_request(self, now, number):
        wait_ns = int(self.random.expovariate(self.rate_per_balancer) * SECOND)
        self._schedule(now + wait_ns, self._accept, number)

    def _start_balancer(self, now, number, started_at):
        settings = replace(self.settings, index=number)
        balancer = Balancer(settings, self.seed * 100 + number + now, now)
        upstreams = [Upstream(bytes([n] * 6)) for n in range(self.UPSTREAMS)]
        self.balancers[number] = balancer, upstreams
        rows = ready(upstreams)
        rows[self.IN_SLOW_START] = rows[self.IN_SLOW_START]._replace(started_at=started_at)
        self._perform(now, balancer, balancer.wake(now))
        self._perform(now, balancer, balancer.endpoints_changed(now, True, rows))

    def _report_start(self, now, number):
        balancer, upstreams = self.balancers[number]
        upstream = upstreams[self.IN_SLOW_START]
        update = EndpointUpdate(upstream, UpstreamState.READY, self.UPSTREAM_STARTS_AT)
        self._perform(now, balancer, balancer.endpoints_changed(now, False, [update]))

    def _accept(self, now, number):
        balancer, _ = self.balancers[number]
        service_class = balancer.settings.service_classes[0]
        request = Request(0, service_class, None, None, now + 2 * SECOND)
        self._perform(now, balancer, balancer.accept(now, request))
        self._schedule_request(now, number)

    def _perform(self, now, balancer, actions):
        for action in actions:
            if isinstance(action, WakeAt):
                self._schedule(action.at_ns, self._wake, balancer)
            elif isinstance(action, StartAttempt):
                arrives_at = now + int(self.random.random() * self.max_delay_ns)
                if action.attempt.upstream.address[0] == self.IN_SLOW_START:
                    self.arrivals.append(arrives_at)
                ends_at = arrives_at + self.LATENCY_NS
                self._schedule(ends_at, self._end_attempt, balancer, action.attempt)

    def _wake(self, now, balancer):
        self._perform(now, balancer, balancer.wake(now))

    def _end_attempt(self, now, balancer, attempt):
        latency = now - attempt.sent_at
        actions = balancer.attempt_ended(now, attempt, Outcome.SERVED, latency, True)
        self._perform(now, balancer, actions)

    def run(self):
        """Process all events until the end of the simulation."""
        while self.events and self.events[0][0] < self.RUN_ENDS_AT:
            at, _, handler, arguments = heapq.heappop(self.events)
            handler(at, *arguments)

    def largest_excess(self):
        """Return the excess of the worst window after the start of the upstream.

        The bound is the budget of the window plus 2 * sqrt(budget) + 2 for chance.
        """
        starts = [at for at in self.arrivals if at >= self.UPSTREAM_STARTS_AT]
        return max(
            (self._excess(at) for at in starts), default=Excess(-99.0, 0.0, 0)
        )  # no attempt: far below the bound

    def _excess(self, begins_at):
        count = sum(begins_at <= at < begins_at + self.WINDOW_NS for at in self.arrivals)
        age_ns = begins_at + self.WINDOW_NS / 2 - self.UPSTREAM_STARTS_AT
        progress = min(1.0, age_ns / self.SLOW_START_NS)
        capacity = self.INITIAL_CAPACITY + (1 - self.INITIAL_CAPACITY) * progress
        budget = self.rate * capacity * self.WINDOW_NS / SECOND
        return Excess(count - budget - 2 * budget**0.5 - 2, budget, count)
