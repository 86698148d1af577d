"""When requests that are not served end: objective, deadline and clients' retries."""

import pytest

from pepperhook.domain import Outcome
from pepperhook.policy import completion
from pepperhook.settings import TenantQuota
from pepperhook.units import MILLISECOND, SECOND
from tests.policy.simulation import (
    FinalResponse,
    PolicySimulation,
    constant,
    make_service_class,
)

OBJECTIVE_MS = 1000
TIME_LIMIT_NS = 2 * SECOND


def unresponsive_simulation(seed, **settings):
    """Return a simulation in which no attempt gets a response."""
    simulation = PolicySimulation(seed, **settings)
    simulation.outcome_of = constant(None)
    return simulation


@pytest.mark.parametrize(
    "class_number, settings, at_objective, at_deadline",
    [
        (0, {}, FinalResponse.REJECTED, FinalResponse.REJECTED),
        # Unsafe and possibly executed, so it cannot be rejected.
        (1, {}, None, FinalResponse.FAILED),
        (0, {"may_cancel": False}, None, FinalResponse.REJECTED),
        (
            0,
            {"service_classes": [make_service_class(0, late_priority_weight=0.5)]},
            None,
            FinalResponse.REJECTED,
        ),
    ],
)
def test_request_without_value_after_its_objective_is_rejected_at_it_if_a_retry_is_harmless(
    class_number, settings, at_objective, at_deadline
):
    # Otherwise it occupies its upstream and its client until the deadline, for nothing.
    simulation = unresponsive_simulation(1, **settings)
    request = simulation.accept_new(class_number)

    simulation.step(SECOND - 10 * MILLISECOND)
    assert request not in simulation.responses

    simulation.step(9 * MILLISECOND)
    assert simulation.responses.get(request) == at_objective
    assert bool(simulation.cancelled_attempts) == (at_objective is not None)

    simulation.step(1001 * MILLISECOND)
    assert simulation.responses[request] == at_deadline


@pytest.mark.parametrize(
    "time_limit_ms, is_marked, clients_mark_retries, counts_as_retry",
    [
        (801, False, False, True),  # with the 1199 ms before it the time limit of the first request
        (700, False, False, False),  # another client's request, with a short limit
        (1500, True, True, True),
        (1500, True, False, False),
    ],
)
def test_retry_of_a_client_keeps_the_objective_of_its_first_request(
    time_limit_ms, is_marked, clients_mark_retries, counts_as_retry
):
    # Otherwise work is done for a client whose objective has passed.
    simulation = unresponsive_simulation(4, clients_mark_retries=clients_mark_retries)
    first = simulation.accept_new(0)
    simulation.step(1199 * MILLISECOND)

    second = simulation.accept_new(0, time_limit_ms * MILLISECOND, is_marked)

    assert simulation.responses[first] == FinalResponse.REJECTED
    assert (simulation.responses.get(second) == FinalResponse.REJECTED) == counts_as_retry
    assert (not second.attempts) == counts_as_retry
    if not counts_as_retry:
        simulation.client_leaves(second)
        assert simulation.cancelled_attempts[-1] is second.attempts[0]


@pytest.mark.parametrize("tenant, counts_as_retry", [(0, True), (1, False), (None, False)])
def test_request_counts_as_a_retry_only_of_a_request_of_the_same_tenant(tenant, counts_as_retry):
    # Guards against taking a request with a shorter time limit for a retry of another tenant's
    # request, whose objective it would get.
    simulation = unresponsive_simulation(4, tenants=[TenantQuota(quota_per_s=0, share=0.5)] * 2)
    first = simulation.accept_new(0)
    simulation.step(1199 * MILLISECOND)
    second = simulation.make_request(0, time_limit_ns=801 * MILLISECOND)
    second.tenant = tenant

    simulation.accept(second)

    assert simulation.responses[first] == FinalResponse.REJECTED
    assert (second.accepted_at == first.accepted_at) == counts_as_retry


def step_until_final_response(simulation, request):
    while request not in simulation.responses:
        simulation.step(5 * MILLISECOND)


def simulate_clients(seed, wait_ms, **settings):
    """Simulate 60 consecutive clients, each of which retries once after ``wait_ms``.

    With None they do not retry. Returns the milliseconds until each first request was rejected,
    and how many retries got their final response after the objective.
    """
    simulation = unresponsive_simulation(seed, **settings)
    durations_ms, late_retries = [], 0
    for _ in range(60):
        began_at = simulation.now
        step_until_final_response(simulation, simulation.accept_new(0))
        durations_ms.append((simulation.now - began_at) // MILLISECOND)
        if wait_ms is not None:
            simulation.step(wait_ms * MILLISECOND)
            remaining = began_at + TIME_LIMIT_NS - simulation.now
            step_until_final_response(simulation, simulation.accept_new(0, remaining))
            late_retries += simulation.now > began_at + SECOND
        simulation.step(900 * MILLISECOND)
    return durations_ms, late_retries


def test_requests_of_clients_that_retry_are_rejected_early_enough_for_the_retry():
    # Otherwise the retry ends after the objective and counts towards the objective's tail.
    rejected_after_ms = OBJECTIVE_MS - 300

    durations_ms, late_retries = simulate_clients(
        21, 300, objective_tail=0.3, objective_tail_slack=0.01
    )

    assert max(durations_ms) < OBJECTIVE_MS
    # The first requests end by the assumed wait, or by few observed ones.
    assert all(
        rejected_after_ms - 40 <= duration <= rejected_after_ms for duration in durations_ms[5:]
    )
    assert late_retries <= 3


def test_requests_of_clients_that_never_retry_end_at_the_objective_except_the_first():
    durations_ms, _ = simulate_clients(22, None, objective_tail=0.3, objective_tail_slack=0.01)

    # Before any observation of clients a default wait is assumed.
    assumed_ms = int(OBJECTIVE_MS - 1000 * completion.ASSUMED_CLIENT_WAIT)
    assert assumed_ms - 20 <= durations_ms[0] <= assumed_ms
    assert all(OBJECTIVE_MS - 20 <= duration <= OBJECTIVE_MS for duration in durations_ms[1:])


@pytest.mark.parametrize(
    "wait_ms, settings",
    [
        pytest.param(300, {}, id="objective without a tail"),
        pytest.param(700, {"objective_tail": 0.3}, id="long wait before the retry"),
    ],
)
def test_requests_end_at_the_objective_where_an_early_rejection_gains_nothing(wait_ms, settings):
    durations_ms, _ = simulate_clients(23, wait_ms, **settings)

    assert all(duration >= 980 for duration in durations_ms[2:])


def test_request_with_a_time_limit_below_the_objective_ends_at_its_time_limit():
    # Guards against subtracting the wait of other clients from a short time limit: that leaves
    # nothing, and each such request is rejected immediately.
    simulation = unresponsive_simulation(25, objective_tail=0.3)
    request = simulation.accept_new(0, time_limit_ns=140 * MILLISECOND)
    assert request.attempts and request not in simulation.responses

    simulation.step(130 * MILLISECOND)
    assert request not in simulation.responses

    simulation.step(9 * MILLISECOND)
    assert simulation.responses[request] == FinalResponse.REJECTED


def test_request_right_after_an_immediate_rejection_does_not_count_as_a_retry():
    # Guards against taking each request of a burst for a retry of the previous one.
    simulation = unresponsive_simulation(26, objective_tail=0.3)
    first = simulation.accept_new(0, time_limit_ns=MILLISECOND)
    assert simulation.responses[first] == FinalResponse.REJECTED
    simulation.step(MILLISECOND)

    second = simulation.accept_new(0)

    assert second.accepted_at == simulation.now
    assert not simulation.balancer.completion.client_waits.weight


def test_retry_that_has_too_little_time_left_is_rejected_on_arrival():
    # Otherwise an attempt is started for it and cancelled, and may still be executed.
    simulation = unresponsive_simulation(24, objective_tail=0.3)
    simulation.outcome_of = constant(Outcome.SERVED)
    simulation.latency_of = constant(150 * MILLISECOND)
    for _ in range(20):
        simulation.accept_new(0)
        simulation.step(200 * MILLISECOND)
    simulation.outcome_of = constant(None)
    began_at = simulation.now
    step_until_final_response(simulation, simulation.accept_new(0))
    # 70 ms before the objective, which is less than the mean service time of 150 ms.
    simulation.step(began_at + 930 * MILLISECOND - simulation.now)

    retry = simulation.accept_new(0, time_limit_ns=began_at + TIME_LIMIT_NS - simulation.now)

    assert simulation.responses[retry] == FinalResponse.REJECTED
    assert not retry.attempts
