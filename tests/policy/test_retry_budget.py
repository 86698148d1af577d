"""Adaptive Retry Budgeting, and the retries of failed attempts."""

import pytest

from pepperhook.actions import RejectRequest, StartAttempt, WakeAt
from pepperhook.balancer import Balancer
from pepperhook.domain import (
    Effect,
    EndpointUpdate,
    Outcome,
    Request,
    Upstream,
    UpstreamState,
)
from pepperhook.policy import retry_budget
from pepperhook.units import MILLISECOND, SECOND
from tests.policy.simulation import (
    FinalResponse,
    PolicySimulation,
    constant,
    for_upstream,
    make_settings,
    ready,
)


def test_budget_is_halved_at_a_high_failure_ratio_and_recovers_in_steps():
    simulation = PolicySimulation(6)
    budget = simulation.balancer.retry_budget
    simulation.now += SECOND

    budget.f = 0.5
    budget._adjust(simulation.now)
    assert budget.B == retry_budget.B0 / 2

    budget.f = 0.1
    budget._adjust(simulation.now)
    assert budget.B == retry_budget.B0 / 2

    budget.f, budget.B = 0.0, 0.05
    budget._adjust(simulation.now)
    assert abs(budget.B - 0.15) < 1e-9

    budget._adjust(simulation.now)
    assert budget.B == retry_budget.B0


def test_retries_are_granted_with_the_probability_of_the_budget_and_reduce_it():
    simulation = PolicySimulation(7)
    budget = simulation.balancer.retry_budget
    simulation.outcome_of = lambda attempt: Outcome.SERVED if attempt.number else Outcome.ERROR

    retried = 0
    for _ in range(1500):
        # A constant state, in which only the random draw decides.
        budget.B, budget.f = 0.2, 0.1
        budget.f_by_class[0], budget.rate.weight = 0.1, 100.0
        for upstream in simulation.upstreams:
            upstream.failures.total, upstream.failures.weight = 0.0, 50.0
        request = simulation.accept_new(0)
        simulation.step(400 * MILLISECOND)
        simulation.step(400 * MILLISECOND)
        if len(request.attempts) > 1:
            retried += 1
            # Reduced by 1 / rate, with a rate of more than 15 attempts per second.
            assert 0.2 - 1 / 15 < budget.B < 0.2

    assert 0.15 < retried / 1500 < 0.25
    budget.B = 0.0
    assert not any(budget._grants(simulation.now, request.attempts[0]) for _ in range(100))


def lose_one_attempt_in_ten(simulation, outcome):
    draw = simulation.random.random
    simulation.outcome_of = lambda _: outcome if draw() < 0.1 else Outcome.SERVED


@pytest.mark.parametrize("outcome", [Outcome.MALFORMED_RESPONSE, Outcome.RESET])
def test_attempts_lost_in_transit_at_all_upstreams_are_retried_within_the_budget(outcome):
    # Guards against losses at each upstream that stop the retries of all: one request in ten
    # finally failed.
    responses = []
    for seed in range(17, 21):
        simulation = PolicySimulation(seed, fleet_size=1)
        lose_one_attempt_in_ten(simulation, outcome)
        simulation.run(6000, arrival_probability=0.1)
        requests = simulation.requests
        responses += simulation.responses_to(
            request for request in requests if request.service_class.effect == Effect.SAFE
        )
        retries = [sent.attempt for sent in simulation.sent_attempts if sent.attempt.number]
        assert simulation.balancer.retry_budget.f < retry_budget.LOW_F
        assert 0 < len(retries) < retry_budget.B0 * len(requests)
        assert not any(attempt.request.service_class.effect == Effect.UNSAFE for attempt in retries)

    # First attempts serve nine in ten; with a retry of only one failure in five, 0.90 of all
    # requests were served.
    assert responses.count(FinalResponse.SERVED) > 0.95 * len(responses)


def first_attempt_failed_to_connect_over_500_ms_ago(simulation, request):
    return (
        bool(request.attempts)
        and request.attempts[0].outcome == Outcome.CONNECT_FAILED
        and simulation.now > request.accepted_at + SECOND // 2
    )


def test_requests_whose_first_attempt_cannot_connect_are_served_by_other_upstreams():
    # Guards against failing such requests while the upstream is not yet known to be unreachable:
    # four in five finally failed.
    responses = []
    for seed in range(40, 80):
        simulation = PolicySimulation(seed, fleet_size=1)
        simulation.outcome_of = constant(Outcome.SERVED)
        simulation.run(300, arrival_probability=0.2)
        unreachable = simulation.balancer.subset.members[0]
        simulation.outcome_of = for_upstream(
            unreachable, Outcome.CONNECT_FAILED, otherwise=Outcome.SERVED
        )
        simulation.run(300, arrival_probability=0.2)
        responses += simulation.responses_to(
            request
            for request in simulation.requests
            if first_attempt_failed_to_connect_over_500_ms_ago(simulation, request)
        )

    assert len(responses) > 20
    assert responses.count(FinalResponse.SERVED) > 0.8 * len(responses)


def test_quick_errors_of_one_upstream_neither_attract_traffic_nor_stop_retries():
    simulation = PolicySimulation(8)
    failing = simulation.balancer.subset.members[0]
    simulation.outcome_of = for_upstream(failing, Outcome.ERROR, otherwise=Outcome.SERVED)
    simulation.latency_of = for_upstream(failing, 2 * MILLISECOND, otherwise=60 * MILLISECOND)

    simulation.run(5000, arrival_probability=0.2)

    attempts = simulation.attempts_since(simulation.now - 5 * SECOND)
    assert sum(attempt.upstream is failing for attempt in attempts) < 0.04 * len(attempts)
    budget = simulation.balancer.retry_budget
    assert budget.f < retry_budget.HIGH_F and budget.B > 0.1


def test_rejections_of_a_single_upstream_are_no_overload_and_it_soon_gets_few_attempts():
    # An upstream that drains before the endpoint list reports it rejects everything. Guards against
    # rejections of one upstream that stop retries which others could serve.
    responses = []
    for seed in range(20, 26):
        simulation = PolicySimulation(seed, fleet_size=1)
        rejecting = simulation.balancer.subset.members[0]
        simulation.latency_of = for_upstream(rejecting, 2 * MILLISECOND, otherwise=60 * MILLISECOND)
        simulation.outcome_of = constant(Outcome.SERVED)
        simulation.run(1500, arrival_probability=0.2)
        requests_before = len(simulation.requests)
        attempts_before = len(simulation.sent_attempts)

        simulation.outcome_of = for_upstream(
            rejecting, Outcome.OVERLOADED, otherwise=Outcome.SERVED
        )
        simulation.run(1500, arrival_probability=0.2)

        assert not simulation.balancer.retry_budget._is_overloaded(simulation.now)
        responses += simulation.responses_to(simulation.requests[requests_before:-20])
        late = [sent.attempt for sent in simulation.sent_attempts[attempts_before + 150 :]]
        assert sum(attempt.upstream is rejecting for attempt in late) < 0.08 * len(late)

    assert responses.count(FinalResponse.SERVED) > 0.96 * len(responses)


class SelectedAttempt:
    """A policy whose settings allow one attempt per request, and an attempt that it has started."""

    def __init__(self):
        self.now = 9 * SECOND
        self.balancer = Balancer(make_settings(max_attempts=1, fleet_size=1), 3, self.now)
        self.balancer.wake(self.now)
        upstreams = [Upstream(b"%d" % number) for number in range(4)]
        self.balancer.endpoints_changed(self.now, True, ready(upstreams))
        unsafe = self.balancer.settings.service_classes[1]
        request = Request(0, unsafe, 0, None, self.now + SECOND)
        actions = self.balancer.accept(self.now, request)
        [self.attempt] = [action.attempt for action in actions if isinstance(action, StartAttempt)]

    def end_unsent(self, attempt):
        """End an attempt as not sent; return the only action except wake-ups."""
        actions = self.balancer.attempt_ended(
            self.now + MILLISECOND, attempt, Outcome.NOT_SENT, MILLISECOND, False
        )
        [action] = [action for action in actions if not isinstance(action, WakeAt)]
        return action


def test_unsent_attempt_to_a_draining_upstream_uses_no_retry_budget_no_limit_and_no_credit():
    setup = SelectedAttempt()
    chosen, budget = setup.attempt.upstream, setup.balancer.retry_budget
    chosen.slow_start_since, chosen.warm_up_credit = setup.now, 0.0
    draining = EndpointUpdate(chosen, UpstreamState.DRAINING, 0)
    setup.balancer.endpoints_changed(setup.now, False, [draining])

    action = setup.end_unsent(setup.attempt)

    assert isinstance(action, StartAttempt)
    assert action.attempt.upstream is not chosen
    assert chosen.warm_up_credit == 1.0
    assert (budget.B, budget.f) == (retry_budget.B0, 0.0)
    # An attempt that was not sent although its upstream is ready shows that this process has run
    # out of sockets, which an attempt at another upstream would also need.
    assert isinstance(setup.end_unsent(action.attempt), RejectRequest)
