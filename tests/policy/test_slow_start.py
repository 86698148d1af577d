"""Attempts of a single balancer to an upstream in slow start."""

from pepperhook.domain import Outcome, Request
from pepperhook.units import MILLISECOND, SECOND
from tests.policy.simulation import PolicySimulation, constant


def warm_simulation(seed, steps):
    """Return a simulation whose upstreams have served for a while."""
    simulation = PolicySimulation(seed, fleet_size=1)
    simulation.outcome_of = constant(Outcome.SERVED)
    simulation.run(steps, arrival_probability=0.2)
    return simulation


def begin_slow_start(simulation):
    """Report a restart of a member of the subset, and return it."""
    cold = simulation.balancer.subset.members[0]
    simulation.update_endpoint(cold, started_at=simulation.now)
    return cold


def test_upstream_in_slow_start_gets_no_more_than_its_share_of_a_warm_ones_attempts():
    simulation = warm_simulation(4, 3000)
    restarted_at = simulation.now
    cold = begin_slow_start(simulation)

    simulation.run(1500, arrival_probability=0.2)

    attempts = simulation.attempts_since(restarted_at)
    to_cold = sum(attempt.upstream is cold for attempt in attempts)
    to_a_warm_one = sum(attempt.upstream is not cold for attempt in attempts) / 7
    capacity = simulation.settings.slow_start_capacity
    # At the end of the 3 s run the capacity is 0.2 + 0.8 * 3 s / 10 s; seven upstreams are warm.
    assert 0 < to_cold <= 1 + (capacity + 0.8 * 0.3) * to_a_warm_one


def test_guard_limits_attempts_in_slow_start_even_if_each_request_selects_that_upstream():
    simulation = warm_simulation(12, 4000)
    restarted_at = simulation.now
    cold = begin_slow_start(simulation)
    balancer, service_class = simulation.balancer, simulation.settings.service_classes[0]
    rate = balancer.retry_budget.rate.rate(simulation.now) / len(balancer.subset.members)

    allowed = 0
    for _ in range(1000):
        request = Request(-1, service_class, None, None, simulation.now + SECOND)
        allowed += balancer.guard.send(simulation.now, request, cold)
        simulation.now += 2 * MILLISECOND

    assert 1 <= allowed <= 1 + 2 * rate * 0.4
    assert simulation.now - restarted_at == 2 * SECOND
