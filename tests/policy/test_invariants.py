"""Seeded random runs in which the simulation checks the rules after every action."""

import pytest

from pepperhook.domain import EndpointUpdate, Outcome, UpstreamState
from pepperhook.units import SECOND
from tests.policy.simulation import (
    LOAD_QUERY_SETTINGS,
    FinalResponse,
    PolicySimulation,
    constant,
)

STATES = [UpstreamState.READY] * 6 + [UpstreamState.DRAINING, UpstreamState.GONE]


def change_endpoints_at_random(simulation):
    """Report a random endpoint list, which is a whole one in one of five cases."""
    draw = simulation.random
    whole = draw.random() < 0.2
    updates = [
        EndpointUpdate(
            upstream, draw.choice(STATES), draw.choice([0] * 9 + [simulation.now - SECOND])
        )
        for upstream in draw.sample(simulation.upstreams, 7 if whole else 3)
    ]
    simulation.perform(simulation.balancer.endpoints_changed(simulation.now, whole, updates))


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_while_endpoints_change_and_attempts_fail(seed):
    load_query_settings = LOAD_QUERY_SETTINGS | {"fleet_size": 300, "clients_mark_retries": True}
    simulation = PolicySimulation(
        seed,
        may_overlap_attempts=seed % 3 == 0,
        may_advise_retry_after=seed % 4 == 0,
        slow_start_ns=2 * SECOND,
        **(load_query_settings if seed % 2 else {}),
    )
    simulation.keeps_retry_budget_full = True

    for _ in range(30):
        simulation.run(150, simulation.random.choice([0.05, 0.3, 0.9]))
        change_endpoints_at_random(simulation)
        if simulation.requests and simulation.random.random() < 0.3:
            last = simulation.requests[-1]
            if last not in simulation.responses:
                simulation.client_leaves(last)

    retries = [sent for sent in simulation.sent_attempts if sent.attempt.number]
    assert retries, "a run without retries does not check the rules for retries"


def test_requests_are_served_after_a_restart_that_loses_all_state():
    simulation = PolicySimulation(5)
    simulation.run(300, arrival_probability=0.5)

    simulation.scheduled_results, simulation.wake_times, simulation.requests = [], [], []
    simulation.restart()
    simulation.run(300, arrival_probability=0.5)

    assert FinalResponse.SERVED in simulation.responses.values()


def test_requests_are_served_again_after_all_upstreams_were_unreachable():
    simulation = PolicySimulation(3)
    simulation.outcome_of = constant(Outcome.CONNECT_FAILED)
    simulation.run(1500, arrival_probability=0.3)
    assert FinalResponse.SERVED not in simulation.responses.values()

    simulation.outcome_of = constant(Outcome.SERVED)
    simulation.run(8000, arrival_probability=0.3)

    # After the recovery, without the last 150, which may still be open.
    responses = simulation.responses_to(simulation.requests[-250:-150])
    assert responses.count(FinalResponse.SERVED) > 95
