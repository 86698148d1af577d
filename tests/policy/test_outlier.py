"""Distribution of traffic by the health and latency of upstreams."""

from pepperhook.domain import Outcome
from pepperhook.units import MILLISECOND, SECOND
from tests.policy.simulation import PolicySimulation, constant, for_upstream


def test_faster_upstream_gets_more_attempts():
    simulation = PolicySimulation(17)
    members = simulation.balancer.subset.members
    fast = members[0]
    simulation.outcome_of = constant(Outcome.SERVED)
    simulation.latency_of = for_upstream(fast, 30 * MILLISECOND, otherwise=60 * MILLISECOND)

    simulation.run(5000, arrival_probability=0.1)

    attempts = simulation.attempts_since(simulation.now - 5 * SECOND)
    to_fast = sum(attempt.upstream is fast for attempt in attempts)
    assert to_fast > 1.5 * len(attempts) / len(members)


def test_unresponsive_upstream_gets_few_attempts_and_none_is_ejected_if_all_are_slow():
    simulation = PolicySimulation(9)
    unresponsive = simulation.balancer.subset.members[0]
    simulation.outcome_of = for_upstream(unresponsive, None, otherwise=Outcome.SERVED)
    simulation.run(4000, arrival_probability=0.2)

    attempts = simulation.attempts_since(simulation.now - 4 * SECOND)
    assert sum(attempt.upstream is unresponsive for attempt in attempts) < 0.08 * len(attempts)

    simulation.outcome_of = constant(Outcome.SERVED)
    simulation.latency_of = constant(600 * MILLISECOND)
    simulation.run(8000, arrival_probability=0.02)

    assert all(upstream.weight > 0.3 for upstream in simulation.balancer.subset.members)


def test_upstream_that_refused_connections_gets_attempts_again_without_health_checks():
    # Guards against an upstream that gets no attempts any more after a network failure: it has not
    # restarted, so the endpoint list reports no new start.
    simulation = PolicySimulation(11, may_health_check=False)
    unreachable = simulation.balancer.subset.members[0]
    simulation.outcome_of = for_upstream(
        unreachable, Outcome.CONNECT_FAILED, otherwise=Outcome.SERVED
    )
    simulation.run(500, arrival_probability=0.3)
    assert unreachable.unreachable_since is not None

    repaired_at = simulation.now
    simulation.outcome_of = constant(Outcome.SERVED)
    simulation.run(6000, arrival_probability=0.3)

    attempts = simulation.attempts_since(repaired_at)
    assert sum(attempt.upstream is unreachable for attempt in attempts) > 20
