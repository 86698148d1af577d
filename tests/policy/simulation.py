"""A simulated host of one policy that checks the rules after every action.

Time is virtual, outcomes and latencies are drawn from a seed, and wake-ups come early, late or
twice. Checked rules: each request has exactly one final response, within its deadline (rule 1); no
request is executed twice unless that is harmless (rule 2); attempts go to ready upstreams only
(rule 3); no action is forbidden by the settings.
"""

import random
from enum import StrEnum
from typing import NamedTuple

from pepperhook.actions import (
    CancelAttempt,
    FailRequest,
    HealthCheck,
    RejectRequest,
    StartAttempt,
    WakeAt,
    WatchEndpoints,
)
from pepperhook.balancer import Balancer
from pepperhook.domain import (
    NEVER_EXECUTED,
    Attempt,
    Effect,
    EndpointUpdate,
    Outcome,
    RepeatGroup,
    Request,
    ServiceClass,
    Upstream,
    UpstreamState,
)
from pepperhook.policy.retry_budget import B0
from pepperhook.settings import ReportSource, Settings, TenantQuota
from pepperhook.units import MILLISECOND, SECOND

LOAD_QUERY_SETTINGS = {
    "report_source": ReportSource.HEALTH_CHECKS,
    "report_figures": ["in flight"],
    "connection_price": 0.0,
    "handshake_price": 0.0,
}
RANDOM_OUTCOMES = [Outcome.SERVED] * 30 + [
    Outcome.ERROR,
    Outcome.OVERLOADED,
    Outcome.CONNECT_FAILED,
    Outcome.RESET,
    Outcome.TIMED_OUT,
]
STRAY_WAKE_UP_PROBABILITY = 0.05


class FinalResponse(StrEnum):
    """How a request ended for its client; the values are those of stored traces."""

    SERVED = "fulfilled"
    REJECTED = "shed"
    FAILED = "broken off"
    CLIENT_LEFT = "left"


class SentAttempt(NamedTuple):
    """An attempt and the time when it was started."""

    at: int
    attempt: Attempt


class ScheduledResult(NamedTuple):
    """The scheduled end of an attempt or of a health check of an upstream."""

    at: int
    target: Attempt | Upstream
    outcome: Outcome


def constant(value):
    """Return a function that ignores its arguments and returns ``value``."""
    return lambda *_: value


def make_service_class(number, effect=Effect.SAFE, **replaced):
    """Return a service class with an objective of 1 s and a time limit of 2 s."""
    values = {
        "time_limit_ns": 2 * SECOND,
        "objective_ns": SECOND,
        "key_window_ns": SECOND,
        **replaced,
    }
    return ServiceClass(number=number, effect=effect, **values)


def make_settings(**replaced):
    """Return settings with a safe, an unsafe and a keyed service class."""
    values = {
        "fleet_size": 2,
        "zone": 0,
        "tenants": [TenantQuota(quota_per_s=40.0, share=1.0)],
        "service_classes": [
            make_service_class(0),
            make_service_class(1, Effect.UNSAFE),
            make_service_class(
                2, Effect.KEYED, repeat_group=RepeatGroup.CELL, key_window_ns=SECOND // 2
            ),
        ],
        "tick_ns": MILLISECOND,
        "may_cancel": True,
        "may_health_check": True,
        "max_attempts": 3,
        "drain_grace_ns": SECOND,
        "overload_multiple": 2.5,
        "overload_window_ns": SECOND,
        "slow_start_capacity": 0.2,
        "slow_start_ns": 10 * SECOND,
        **replaced,
    }
    return Settings(**values)


def ready(upstreams, started_at=0):
    """Return the rows of an endpoint list in which all ``upstreams`` are ready."""
    return [EndpointUpdate(upstream, UpstreamState.READY, started_at) for upstream in upstreams]


class PolicySimulation:
    """Carries out the actions of the policy, and checks them.

    Tests may replace ``outcome_of`` and ``latency_of``, functions of the attempt, and
    ``load_report_of``, a function of the upstream that returns the load report of a health check.
    """

    def __init__(self, seed, make_policy=Balancer, **settings):
        self.random = random.Random(seed)
        self.now = 7 * SECOND
        self.make_policy = make_policy
        self.settings = make_settings(**settings)
        self.upstreams = [Upstream(bytes([n] * 6), zone=n % 2, cell=n % 3) for n in range(8)]
        self.requests, self.responses = [], {}
        self.sent_attempts, self.cancelled_attempts = [], []
        self.scheduled_results, self.wake_times = [], []
        self.health_checks = []
        self.watched_at = None
        self.outcome_of = lambda _: self.random.choice(RANDOM_OUTCOMES)
        self.latency_of = lambda _: self.random.randrange(5 * MILLISECOND, 300 * MILLISECOND)
        self.load_report_of = None
        if "report_source" in settings:
            self.load_report_of = lambda upstream: {
                "in flight": float(len(upstream.in_flight) + self.random.randrange(3))
            }
        # A full retry budget and upstreams marked as outliers, whose failures count as local, make
        # enough retries happen to check the rules for retries.
        self.keeps_retry_budget_full = False
        self.restart()

    def restart(self):
        """Create a new policy, and report the whole endpoint list to it."""
        self.balancer = self.make_policy(self.settings, self.random.getrandbits(64), self.now)
        self.perform(self.balancer.wake(self.now))
        self.replace_endpoints(self.upstreams)

    def replace_endpoints(self, upstreams):
        """Report a whole endpoint list in which all ``upstreams`` are ready."""
        self.perform(self.balancer.endpoints_changed(self.now, True, ready(upstreams)))

    def update_endpoint(self, upstream, state=UpstreamState.READY, started_at=0):
        """Report the changed state of one upstream."""
        update = EndpointUpdate(upstream, state, started_at)
        self.perform(self.balancer.endpoints_changed(self.now, False, [update]))

    def perform(self, actions):
        """Carry out actions of the policy, and check the retry budget and the subset."""
        for action in actions:
            self._perform_action(action)
        budget = getattr(self.balancer, "retry_budget", None)
        if budget is None:
            return  # A baseline policy of the lab, which has no stages to check.
        if self.keeps_retry_budget_full:
            budget.B, budget.f = B0, 0.0
            for upstream in self.upstreams:
                upstream.is_outlier = True
        assert 0 <= budget.B <= B0 and 0 <= budget.f <= 1
        subset = self.balancer.subset
        assert len(set(subset.members)) >= min(3, len(subset.ring.ready))

    def _perform_action(self, action):
        match action:
            case StartAttempt(attempt, timeout_ns):
                self.start_attempt(attempt, timeout_ns)
            case CancelAttempt(attempt):
                self.cancel_attempt(attempt)
            case RejectRequest(request, retry_after_ns):
                self.reject_request(request, retry_after_ns)
            case FailRequest(request):
                self.respond(request, FinalResponse.FAILED)
            case HealthCheck(upstream):
                self.check_health(upstream)
            case WatchEndpoints():
                self.watched_at = self.now
            case WakeAt(at_ns):
                self.wake_times.append(at_ns)

    def start_attempt(self, attempt, timeout_ns):
        """Check that the attempt is allowed, and schedule its end."""
        self._check_attempt(attempt, timeout_ns)
        self._check_no_second_execution(attempt)
        self.sent_attempts.append(SentAttempt(self.now, attempt))
        outcome, latency = self.outcome_of(attempt), self.latency_of(attempt)
        if outcome in (None, Outcome.TIMED_OUT) or latency >= timeout_ns:
            outcome, latency = Outcome.TIMED_OUT, timeout_ns
        self.scheduled_results.append(ScheduledResult(self.now + latency, attempt, outcome))

    def _check_attempt(self, attempt, timeout_ns):
        request = attempt.request
        assert request not in self.responses and self.now < request.deadline
        assert 0 < timeout_ns <= request.deadline - self.now
        assert attempt.upstream.state == UpstreamState.READY
        assert len(request.attempts) <= self.settings.max_attempts
        earlier = request.attempts[:-1]
        assert self.settings.may_overlap_attempts or all(other.outcome for other in earlier)

    def _check_no_second_execution(self, attempt):
        request = attempt.request
        service_class = request.service_class
        maybe_executed = [a for a in request.attempts[:-1] if a.outcome not in NEVER_EXECUTED]
        assert not (maybe_executed and service_class.effect == Effect.UNSAFE)
        if maybe_executed and service_class.effect == Effect.KEYED:
            assert self.now <= maybe_executed[0].sent_at + service_class.key_window_ns
            assert all(a.upstream.cell == attempt.upstream.cell for a in maybe_executed)

    def cancel_attempt(self, attempt):
        """End an attempt that is in flight, immediately."""
        assert self.settings.may_cancel and attempt.outcome is None
        self.cancelled_attempts.append(attempt)
        others = [result for result in self.scheduled_results if result.target is not attempt]
        cancelled = ScheduledResult(self.now, attempt, Outcome.CANCELLED)
        self.scheduled_results = [*others, cancelled]

    def reject_request(self, request, retry_after_ns):
        """Record a rejection; check that the request was not executed or is safe to repeat."""
        maybe_executed = any(a.outcome not in NEVER_EXECUTED for a in request.attempts)
        assert request.service_class.effect == Effect.SAFE or not maybe_executed
        assert self.settings.may_advise_retry_after or retry_after_ns == 0
        self.respond(request, FinalResponse.REJECTED)

    def respond(self, request, response):
        """Record the only final response of a request."""
        assert request not in self.responses and self.now <= request.deadline
        self.responses[request] = response

    def check_health(self, upstream):
        """Start a health check, which succeeds half of the time."""
        assert self.settings.may_health_check
        self.health_checks.append((self.now, upstream))
        outcome = self.random.choice([Outcome.SERVED, Outcome.TIMED_OUT])
        latency = 5 * MILLISECOND if self.load_report_of is None else MILLISECOND
        self.scheduled_results.append(ScheduledResult(self.now + latency, upstream, outcome))

    def make_request(self, class_number=None, time_limit_ns=2 * SECOND, is_retry=False):
        """Return a new request, of a random service class if none is given."""
        classes = self.settings.service_classes
        chosen = classes[class_number] if class_number is not None else self.random.choice(classes)
        deadline = self.now + time_limit_ns
        return Request(len(self.requests), chosen, 0, None, deadline, is_retry=is_retry)

    def accept(self, request):
        """Hand a request to the policy."""
        self.requests.append(request)
        self.perform(self.balancer.accept(self.now, request))
        return request

    def accept_new(self, class_number=None, time_limit_ns=2 * SECOND, is_retry=False):
        """Make a request and hand it to the policy."""
        return self.accept(self.make_request(class_number, time_limit_ns, is_retry))

    def client_leaves(self, request):
        """Simulate that the client of a request disconnects."""
        self.responses[request] = FinalResponse.CLIENT_LEFT
        self.perform(self.balancer.client_left(self.now, request))

    def step(self, duration_ns=2 * MILLISECOND):
        """Advance the time, report due results, and wake the policy early, late or twice."""
        self.now += duration_ns
        due = [result for result in self.scheduled_results if result.at <= self.now]
        self.scheduled_results = [
            result for result in self.scheduled_results if result.at > self.now
        ]
        for result in sorted(due, key=lambda result: result.at):
            if isinstance(result.target, Upstream):
                self._end_health_check(result.target, result.outcome)
            else:
                self._end_attempt(result.target, result.outcome)
        self._wake()
        overdue = [
            request
            for request in self.requests
            if request not in self.responses and request.deadline < self.now
        ]
        assert not overdue, f"{len(overdue)} requests without a final response"

    def _end_health_check(self, upstream, outcome):
        report = None
        if self.load_report_of and outcome == Outcome.SERVED:
            report = self.load_report_of(upstream)
        latency = 5 * MILLISECOND
        self.perform(self.balancer.health_check_ended(self.now, upstream, outcome, latency, report))

    def _end_attempt(self, attempt, outcome):
        request = attempt.request
        if outcome == Outcome.SERVED and request not in self.responses:
            self.respond(request, FinalResponse.SERVED)
        latency, is_final = self.now - attempt.sent_at, request in self.responses
        self.perform(self.balancer.attempt_ended(self.now, attempt, outcome, latency, is_final))

    def _wake(self):
        due = [at for at in self.wake_times if at <= self.now]
        self.wake_times = [at for at in self.wake_times if at > self.now]
        # Without a due wake-up there may be a stray one.
        for _ in due or [0] * (self.random.random() < STRAY_WAKE_UP_PROBABILITY):
            self.perform(self.balancer.wake(self.now))

    def run(self, steps, arrival_probability=0.15):
        """Simulate steps, in each of which a request arrives with this probability."""
        for _ in range(steps):
            if self.random.random() < arrival_probability:
                self.accept_new()
            self.step()

    def responses_to(self, requests):
        """Return the final response to each request, or None while there is none."""
        return [self.responses.get(request) for request in requests]

    def attempts_since(self, at):
        """Return the attempts that were started after ``at``."""
        return [sent.attempt for sent in self.sent_attempts if sent.at > at]


def for_upstream(upstream, value, otherwise):
    """Return a function of the attempt: ``value`` at this upstream, otherwise ``otherwise``."""
    return lambda attempt: value if attempt.upstream is upstream else otherwise
