"""When the endpoint list is polled."""

import pytest

from pepperhook.actions import WatchEndpoints
from pepperhook.balancer import Balancer
from pepperhook.domain import PollFailure
from pepperhook.policy import endpoints
from pepperhook.policy.endpoints import NOTIFIED_AFTER, POLL_TIMEOUT
from pepperhook.server import endpoint_discovery
from tests.policy.endpoint_host import MILLISECOND, SECOND, START, Host
from tests.policy.simulation import PolicySimulation, make_settings


def test_watch_waits_for_less_than_the_notification_time():
    host = Host()
    [watch] = [a for a in host.advance(START + 5 * SECOND) if isinstance(a, WatchEndpoints)]

    given_up_after = watch.wait_ns + endpoint_discovery.WATCH_MARGIN_S * SECOND
    assert watch.wait_ns == endpoints.MAX_WATCH_WAIT
    assert given_up_after + endpoints.MIN_ROUND < NOTIFIED_AFTER - SECOND


def test_watch_waits_for_half_the_poll_interval_of_the_settings_if_that_is_shorter():
    host = Host(endpoint_poll_within_ns=SECOND)
    [watch] = [a for a in host.advance(START + 2 * SECOND) if isinstance(a, WatchEndpoints)]

    assert watch.wait_ns == SECOND // 2


@pytest.mark.parametrize("seed", range(5))
def test_first_poll_after_a_watch_can_be_answered_while_the_list_is_valid(seed):
    host = Host(seed=seed)
    host.open_confirmed_watch()
    host.fail_poll()

    assert host.open_watch() <= NOTIFIED_AFTER - POLL_TIMEOUT + 10 * MILLISECOND


def test_silent_watch_is_replaced_within_a_second():
    host = Host()
    host.open_confirmed_watch()
    host.fail_poll(PollFailure.SILENT)

    assert host.open_watch() <= SECOND + 10 * MILLISECOND


def test_unreachable_service_is_polled_every_three_seconds_without_backoff():
    host = Host()
    host.open_confirmed_watch()
    waits = []
    for _ in range(8):
        host.fail_poll(PollFailure.UNREACHABLE)
        waits.append(host.open_watch())

    # A round of 3 s, and the quarter of a round that is skipped after a failed retry.
    assert max(waits) <= 3.75 * SECOND + 10 * MILLISECOND


def time_failed_polls(host, count, duration_ns):
    """Let polls in a row be refused after a while; return the time from each one to the next."""
    began_at, intervals = host.now, []
    for _ in range(count):
        host.now = began_at + duration_ns
        host.fail_poll()
        host.open_watch()
        intervals.append(host.now - began_at)
        began_at = host.now
    return intervals


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("index, fleet_size", [(0, 1), (1, 3), (67, 102)])
@pytest.mark.parametrize("duration_s", [0, 1, 2])
def test_next_poll_can_be_answered_before_trust_in_health_checks_ends(
    seed, index, fleet_size, duration_s
):
    # Rounds of up to 24 s were longer than the 6 s for which a failed poll shows an outage.
    host = Host(seed=seed, index=index, fleet_size=fleet_size)
    host.open_confirmed_watch()
    host.fail_poll()
    host.open_watch()

    intervals = time_failed_polls(host, endpoints.MAX_QUEUED_POLLS - 1, duration_s * SECOND)

    assert max(intervals) <= NOTIFIED_AFTER - POLL_TIMEOUT + 10 * MILLISECOND


def test_interval_between_polls_that_are_refused_in_a_queue_grows_to_the_length_of_the_trust():
    # A service that is too slow for its callers works on each of these polls in vain.
    host = Host(index=67, fleet_size=102)
    host.open_confirmed_watch()

    intervals = time_failed_polls(host, 20, 2 * SECOND)

    assert min(intervals[endpoints.MAX_QUEUED_POLLS + 1 :]) >= 5 * SECOND
    assert max(intervals) <= 2 * SECOND + 1.25 * endpoints.LOAD_ROUND + 10 * MILLISECOND


def test_interval_between_polls_that_are_refused_at_once_does_not_grow():
    host = Host(index=67, fleet_size=102)
    host.open_confirmed_watch()

    intervals = time_failed_polls(host, 20, 0)

    assert max(intervals) <= NOTIFIED_AFTER - POLL_TIMEOUT + 10 * MILLISECOND
    assert sum(intervals) >= 20 * 2 * SECOND, "in the mean no more often than watches poll"


def test_interval_between_refused_polls_of_a_balancer_without_upstreams_grows():
    # Restarted balancers asked for the whole list every 3 s, and buried the service.
    host = Host()
    host.open_confirmed_watch()
    host.call(host.balancer.endpoints_changed, True, [])

    intervals = time_failed_polls(host, 9, 0)

    assert min(intervals[-2:]) >= 6 * SECOND


def test_interval_between_polls_of_an_overloaded_service_grows_up_to_a_bound():
    host = Host()
    host.open_confirmed_watch()
    waits = []
    for _ in range(9):
        host.fail_poll(PollFailure.OVERLOADED)
        waits.append(host.open_watch())

    assert min(waits[4:]) >= 6 * SECOND
    assert max(waits) <= 30 * SECOND + 10 * MILLISECOND


def test_next_poll_waits_for_the_retry_after_of_a_refusal():
    host = Host()
    host.open_confirmed_watch()
    host.fail_poll(retry_after_ns=15 * SECOND)

    assert host.open_watch() >= 15 * SECOND


def test_polls_of_a_fleet_that_loses_its_watches_together_are_spread_evenly():
    fleet_size, polls = 40, []
    for index in range(fleet_size):
        host = Host(seed=index, index=index, fleet_size=fleet_size)
        host.open_confirmed_watch()
        host.now = START + 30 * SECOND
        host.fail_poll()
        host.open_watch()
        polls.append(host.now)

    # From the failure at START + 30 s on.
    in_each_second = [sum(at // SECOND == second for at in polls) for second in range(39, 44)]
    assert sum(in_each_second) == fleet_size
    assert max(in_each_second) <= fleet_size / 4 + 1


def test_fleet_that_starts_together_spreads_its_first_polls():
    fleet_size = 30
    waits = [
        Host(seed=index, index=index, fleet_size=fleet_size).open_watch()
        for index in range(fleet_size)
    ]

    assert max(waits) <= 3 * SECOND + 10 * MILLISECOND
    assert sum(wait < SECOND for wait in waits) < fleet_size * 2 / 3


def test_nothing_is_polled_if_the_settings_do_not_let_the_host_poll():
    host = Host(polls_endpoints=False)
    actions = host.advance(START + 5 * SECOND)
    host.fail_poll()
    actions += host.advance(host.now + 30 * SECOND)

    assert not any(isinstance(action, WatchEndpoints) for action in actions)
    assert host.may_send_to_any()


def polling_simulation(seed):
    return PolicySimulation(seed, polls_endpoints=True, endpoint_poll_within_ns=10 * SECOND)


def test_nothing_is_sent_once_polls_have_failed_for_longer_than_the_settings_allow():
    simulation = polling_simulation(11)
    simulation.run(700)
    assert simulation.watched_at
    simulation.perform(simulation.balancer.endpoint_poll_failed(simulation.now))
    simulation.balancer.timers.clear()
    simulation.now += 11 * SECOND
    sent_before = len(simulation.sent_attempts)

    request = simulation.accept_new(0)

    assert request.attempts == [] and len(simulation.sent_attempts) == sent_before


def test_requests_are_sent_by_health_checks_only_after_a_poll_that_was_refused_in_time():
    simulation = polling_simulation(19)
    simulation.run(20000, arrival_probability=0.01)
    endpoints_part = simulation.balancer.endpoints
    assert simulation.now > endpoints_part.watch_began_at + NOTIFIED_AFTER

    # What this poll shows is about a time that is too long ago.
    simulation.perform(simulation.balancer.endpoint_poll_failed(simulation.now))
    assert not simulation.accept_new(0).attempts

    while not endpoints_part.is_watching:
        simulation.run(1, arrival_probability=0.01)
    simulation.perform(simulation.balancer.endpoint_poll_failed(simulation.now))
    assert simulation.accept_new(0).attempts


@pytest.mark.parametrize("seed", range(20))
def test_first_poll_is_immediate_where_endpoints_are_pushed(seed):
    settings = make_settings(polls_endpoints=True, endpoints_are_pushed=True)

    actions = Balancer(settings, seed, START).wake(START)

    assert any(isinstance(action, WatchEndpoints) for action in actions)


def test_first_poll_is_spread_over_balancers_where_endpoints_are_not_pushed():
    settings = make_settings(polls_endpoints=True, endpoints_are_pushed=False)

    first_actions = [Balancer(settings, seed, START).wake(START) for seed in range(20)]

    is_immediate = [
        any(isinstance(action, WatchEndpoints) for action in actions) for actions in first_actions
    ]
    assert not any(is_immediate)
