"""Load queries: upstreams report their load before an attempt is started."""

from pepperhook.domain import Outcome
from pepperhook.policy import load_query
from pepperhook.units import MILLISECOND
from tests.policy.simulation import (
    LOAD_QUERY_SETTINGS,
    FinalResponse,
    PolicySimulation,
    constant,
)

ALL_ROUNDS_MS = load_query.MAX_ROUNDS * load_query.MAX_WAIT // MILLISECOND
QUERIES_PER_ROUND = 2


def reporting_simulation(seed, in_flight_of):
    """Return a simulation in which load queries report ``in_flight_of(upstream)`` requests."""
    simulation = PolicySimulation(seed, fleet_size=300, **LOAD_QUERY_SETTINGS)
    simulation.outcome_of = constant(Outcome.SERVED)
    simulation.load_report_of = lambda upstream: {"in flight": in_flight_of(upstream)}
    simulation.random.choice = lambda options: options[0]  # all health checks succeed
    return simulation


def step_through_all_rounds(simulation):
    for _ in range(ALL_ROUNDS_MS + 3):
        simulation.step(MILLISECOND)


def test_attempt_goes_to_the_idle_one_of_the_queried_upstreams():
    # With a request every 0.5 s the balancer's own attempts do not show how busy upstreams are.
    simulation = reporting_simulation(7, lambda upstream: 0.0 if upstream.address[0] % 2 else 4.0)

    for _ in range(100):
        simulation.accept_new(0)
        for _ in range(250):
            simulation.step()

    to_idle = sum(sent.attempt.upstream.address[0] % 2 for sent in simulation.sent_attempts)
    assert len(simulation.sent_attempts) == 100
    assert to_idle >= 95
    assert len(simulation.health_checks) < 100 * QUERIES_PER_ROUND * load_query.MAX_ROUNDS


def test_request_is_rejected_after_the_last_round_if_all_queried_upstreams_are_busy():
    # Guards against querying while a request waits, without a limit of rounds: that took 22
    # queries, and a retry by the client needs none.
    simulation = reporting_simulation(8, constant(60.0))
    request = simulation.accept_new(0)

    step_through_all_rounds(simulation)

    assert simulation.responses[request] == FinalResponse.REJECTED
    assert not simulation.sent_attempts
    queries = len(simulation.health_checks)
    assert 2 <= queries <= QUERIES_PER_ROUND * load_query.MAX_ROUNDS


def test_request_is_sent_after_the_last_round_if_no_query_is_answered():
    simulation = PolicySimulation(9, fleet_size=300, **LOAD_QUERY_SETTINGS)
    simulation.check_health = constant(None)
    request = simulation.accept_new(0)

    step_through_all_rounds(simulation)

    assert request.attempts
