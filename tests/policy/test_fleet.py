"""Attempts of a whole fleet: rules 3 and 4 hold for the sum over all balancers."""

import pytest

from pepperhook.units import MILLISECOND, SECOND
from tests.policy.fleet import Fleet, SlowStartFleet
from tests.policy.simulation import FinalResponse

UPSTREAMS = 6


@pytest.mark.parametrize("seed", range(4))
def test_six_balancers_with_two_requests_per_second_each_serve_all_on_six_upstreams(seed):
    fleet = Fleet(6, UPSTREAMS, seed, 120 * MILLISECOND)

    fleet.run(20, 2.0)

    assert fleet.responses[FinalResponse.SERVED] > 150
    assert not fleet.responses[FinalResponse.REJECTED]
    assert not fleet.responses[FinalResponse.FAILED]


@pytest.mark.parametrize("seed", range(4))
def test_no_upstream_is_overloaded_when_all_begin_slow_start_at_once(seed):
    # No balancer knows the attempts of the others.
    fleet = Fleet(6, UPSTREAMS, seed, 120 * MILLISECOND)
    fleet.run(20, 2.0)
    warm_attempts_per_s = len(fleet.attempts) / 20 / UPSTREAMS
    started_at = fleet.now
    fleet.report_all_ready(started_at)

    fleet.run(8, 2.0)

    assert fleet.responses[FinalResponse.SERVED] > 180
    for upstream in range(UPSTREAMS):
        times = [
            attempt.at
            for attempt in fleet.attempts
            if attempt.upstream == upstream and attempt.at >= started_at
        ]
        for begins_at in times:
            in_window = sum(begins_at <= at < begins_at + 1.5 * SECOND for at in times)
            # Slow start: from 0.2 of the capacity to all of it within 10 s.
            capacity = 0.2 + 0.8 * (begins_at - started_at) / (10 * SECOND)
            # A warm upstream was busy a quarter of the time, so it can serve at least four times
            # as much.
            warm_capacity = 4 * warm_attempts_per_s * 1.5
            assert in_window <= max(3, 2.5 * warm_capacity * capacity)


def attempts_after_all_upstreams_start(balancers, rate):
    """Return how many attempts a fleet makes in the two seconds after all upstreams start."""
    fleet = Fleet(balancers, 4, 5, 20 * MILLISECOND)
    fleet.run(12, rate)
    started_at = fleet.now
    fleet.report_all_ready(started_at)
    fleet.run(2, rate)
    return fleet.attempts_since(started_at)


@pytest.mark.parametrize(
    "balancers, rate, random_first_attempts", [(2, 40.0, 2 * 4), (20, 4.0, 20 * 4 * 0.6)]
)
def test_capacity_in_slow_start_holds_for_the_sum_of_all_balancers(
    balancers, rate, random_first_attempts
):
    # If each balancer calculated as if it were alone, each of the twenty would use the whole share.
    offered = 40.0 * 2 * 2
    assert rate * balancers * 2 == offered

    attempts = attempts_after_all_upstreams_start(balancers, rate)

    # In these two seconds an upstream in slow start has 0.2 to 0.36 of a warm one's capacity. In
    # addition each balancer may make a first attempt, by its random initial credit.
    assert attempts <= offered * 0.36 + random_first_attempts


@pytest.mark.parametrize("balancers", [1, 4, 12, 20, 30])
@pytest.mark.parametrize(
    "options", [{}, {"max_delay_ns": SECOND}, {"restarts": True}, {"rate": 3.0}]
)
def test_fleet_sends_an_upstream_in_slow_start_no_more_than_its_budget_and_random_excess(
    balancers, options
):
    # Guards against first attempts that all balancers send immediately: a single one is harmless,
    # but their sum overloads the upstream.
    for seed in range(3):
        fleet = SlowStartFleet(balancers, seed, **options)

        fleet.run()

        assert fleet.largest_excess().above_bound <= 0, fleet.largest_excess()
