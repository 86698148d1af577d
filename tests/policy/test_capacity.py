"""Limits on the attempts in flight at an upstream."""

from pepperhook.domain import Outcome
from pepperhook.policy import capacity, outlier
from pepperhook.units import MILLISECOND
from tests.policy.simulation import PolicySimulation, constant


def test_idle_upstream_with_the_lowest_weight_has_little_capacity():
    simulation = PolicySimulation(13)
    upstream = simulation.balancer.subset.members[0]
    upstream.weight = outlier.MIN_WEIGHT
    assert not upstream.in_flight

    allowed = sum(
        simulation.balancer.capacity.allows(
            simulation.now, upstream, simulation.make_request(0), 1.0
        )
        for _ in range(2000)
    )

    assert 0 < allowed < 100


def test_fair_share_below_one_attempt_is_not_rounded_up_while_responses_are_slow():
    simulation = PolicySimulation(14, fleet_size=60)
    subset = simulation.balancer.subset
    assert 0 < subset.fair_share < 0.5
    simulation.outcome_of = constant(Outcome.SERVED)
    simulation.latency_of = constant(1500 * MILLISECOND)

    in_flight = []
    for _ in range(3000):
        simulation.accept_new(0)
        simulation.step(10 * MILLISECOND)
        in_flight.append(sum(len(upstream.in_flight) for upstream in subset.ring.ready))

    # Rounded up, the share would allow one attempt at each member all the time. The limit applies
    # only after slow responses have raised the latency pressure.
    assert simulation.balancer.capacity.latency_pressure > capacity.HIGH_PRESSURE
    assert sum(in_flight[1000:]) / 2000 < 0.75 * len(subset.members)
