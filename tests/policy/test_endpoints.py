"""When the endpoint list is polled and how long it is valid: rule 3 while the service fails."""

import pytest

from pepperhook.actions import HealthCheck, RejectRequest, StartAttempt, WatchEndpoints
from pepperhook.balancer import Balancer
from pepperhook.domain import EndpointUpdate, Outcome, PollFailure, Request, Upstream, UpstreamState
from pepperhook.policy import endpoints
from pepperhook.policy.endpoints import FAILED_POLL_FACTOR, NOTIFIED_AFTER, POLL_TIMEOUT
from pepperhook.server import endpoint_discovery
from tests.policy.simulation import PolicySimulation, make_settings

MILLISECOND, SECOND = 10**6, 10**9
START = 9 * SECOND


class Host:
    """A host of a balancer with three upstreams, with a virtual clock."""

    def __init__(self, seed=3, **settings):
        self.now = START
        values = {"polls_endpoints": True, "endpoint_poll_within_ns": 10 * SECOND, **settings}
        self.balancer = Balancer(make_settings(**values), seed, START)
        self.upstreams = [Upstream(b"%d" % number) for number in range(3)]
        self.actions = []
        self.requests = 0
        self.call(self.balancer.wake)
        ready = [EndpointUpdate(upstream, UpstreamState.READY, 0) for upstream in self.upstreams]
        self.call(self.balancer.endpoints_changed, True, ready)

    def call(self, entry_point, *arguments):
        """Call an entry point and return its actions."""
        actions = entry_point(self.now, *arguments)
        self.actions += actions
        return actions

    def advance(self, until):
        """Advance the clock to ``until``, waking the balancer every 10 ms; return the actions."""
        actions = []
        while self.now < until:
            self.now = min(until, self.now + 10 * MILLISECOND)
            actions += self.call(self.balancer.wake)
        return actions

    def open_watch(self):
        """Advance until the balancer opens a watch; return the elapsed time."""
        began_at = self.now
        while not self.balancer.endpoints.is_watching:
            self.advance(self.now + 10 * MILLISECOND)
        return self.now - began_at

    def open_confirmed_watch(self):
        """Open a watch, and confirm the list by an answer to its first poll."""
        self.open_watch()
        self.call(self.balancer.endpoints_confirmed)

    def fail_poll(self, failure=PollFailure.REFUSED, retry_after_ns=0):
        self.call(self.balancer.endpoint_poll_failed, failure, retry_after_ns)

    def may_send_to(self, upstream):
        """Return whether the last check allows a new request to be written to the upstream."""
        service_class = self.balancer.settings.service_classes[0]
        request = Request(self.requests, service_class, 0, None, self.now + SECOND)
        self.requests += 1
        return self.balancer.guard.may_write(self.now, request, upstream, None)

    def may_send_to_any(self):
        return any(self.may_send_to(upstream) for upstream in self.upstreams)


# How long the list is valid.


@pytest.mark.parametrize("failure", list(PollFailure))
def test_list_is_valid_for_the_notification_time_after_its_last_answer_however_a_watch_ends(
    failure,
):
    host = Host(may_health_check=False, endpoint_poll_within_ns=6 * SECOND)
    host.open_confirmed_watch()
    answered_at = host.now
    host.advance(host.now + 2 * SECOND)
    if failure is not PollFailure.UNSPECIFIED:  # the settings alone say how long it is valid then
        host.fail_poll(failure)

    host.now = answered_at + NOTIFIED_AFTER
    assert host.may_send_to_any()
    host.now += 1
    assert not host.may_send_to_any()


def test_open_watch_does_not_extend_the_time_for_which_the_list_is_valid():
    # An open watch permitted all sends, whether or not the service still held it.
    host = Host(may_health_check=False)
    host.open_confirmed_watch()
    host.now += NOTIFIED_AFTER + 1

    assert host.balancer.endpoints.is_watching
    assert not host.may_send_to_any()


def test_list_is_valid_for_the_notification_time_after_it_was_current_not_after_its_arrival():
    host = Host(may_health_check=False)
    host.open_watch()
    host.call(host.balancer.endpoints_changed, False, [], 2 * SECOND)

    host.now += NOTIFIED_AFTER - 2 * SECOND
    assert host.may_send_to_any()
    host.now += 1
    assert not host.may_send_to_any()


@pytest.mark.parametrize("failure", [PollFailure.REFUSED, PollFailure.UNREACHABLE])
def test_list_is_valid_for_the_notification_time_after_the_end_of_a_subscription(failure):
    host = Host(may_health_check=False, subscribes_to_endpoints=True)
    host.open_confirmed_watch()
    host.advance(host.now + 20 * SECOND)
    assert host.may_send_to_any()
    host.fail_poll(failure)
    ended_at = host.now

    host.now = ended_at + NOTIFIED_AFTER
    assert host.may_send_to_any()
    host.now += 1
    assert not host.may_send_to_any()


def test_poll_that_is_queued_and_then_refused_does_not_confirm_the_list():
    host = Host(may_health_check=False)
    host.open_confirmed_watch()
    answered_at = host.now
    host.now += 2 * SECOND
    host.fail_poll()

    host.now = answered_at + NOTIFIED_AFTER + 1
    assert not host.may_send_to_any(), (
        "an upstream may drain right after the answer, and a queued poll does not report it"
    )


def test_failed_polls_do_not_extend_the_time_for_which_the_list_is_valid():
    host = Host(may_health_check=False)
    host.open_confirmed_watch()
    host.fail_poll()
    ended_at = host.now
    while host.now < ended_at + NOTIFIED_AFTER:
        host.open_watch()
        host.now += MILLISECOND
        host.fail_poll()

    assert not host.may_send_to_any()


def test_poll_that_fails_before_the_first_answer_does_not_confirm_the_list():
    host = Host(may_health_check=False)
    host.open_watch()
    host.now += POLL_TIMEOUT
    host.fail_poll()

    host.now = START + NOTIFIED_AFTER + 1
    assert not host.may_send_to_any()


def test_list_is_valid_for_the_poll_interval_of_the_settings_if_that_is_shorter():
    host = Host(may_health_check=False, endpoint_poll_within_ns=3 * SECOND)
    host.open_confirmed_watch()
    host.fail_poll()

    host.now += 3 * SECOND + 1
    assert not host.may_send_to_any()


@pytest.mark.parametrize("may_health_check", [False, True])
def test_list_holds_for_the_settings_time_after_a_failure_without_a_reason(may_health_check):
    # Where health checks are forbidden, 80% of the requests were rejected in an outage of the list.
    within = 10 * SECOND
    host = Host(may_health_check=may_health_check, endpoint_poll_within_ns=within)
    host.open_confirmed_watch()
    good_until = host.now + NOTIFIED_AFTER
    if not may_health_check:
        good_until = host.balancer.endpoints.planned_at + FAILED_POLL_FACTOR * within
    host.fail_poll(PollFailure.UNSPECIFIED)

    host.now = good_until
    assert host.may_send_to_any()
    host.now += 1
    assert not host.may_send_to_any()


def test_that_time_counts_from_the_beginning_of_the_last_failed_poll():
    within = 10 * SECOND
    host = Host(may_health_check=False, endpoint_poll_within_ns=within)
    host.open_confirmed_watch()
    host.fail_poll(PollFailure.UNSPECIFIED)
    host.open_watch()
    polled_at = host.balancer.endpoints.planned_at
    host.now += 2 * SECOND
    host.fail_poll(PollFailure.UNSPECIFIED)

    host.now = polled_at + FAILED_POLL_FACTOR * within
    assert host.may_send_to_any()
    host.now += 1
    assert not host.may_send_to_any()


def test_list_is_valid_for_the_notification_time_after_the_last_answer_of_a_silent_watch():
    host = Host(may_health_check=False)
    host.open_confirmed_watch()
    answered_at = host.now
    host.now += 4 * SECOND
    host.fail_poll(PollFailure.SILENT)

    assert host.may_send_to_any()
    host.now = answered_at + NOTIFIED_AFTER + 1
    assert not host.may_send_to_any()


def test_retried_watch_confirms_the_list_only_by_its_answer():
    host = Host(may_health_check=False)
    host.open_confirmed_watch()
    host.fail_poll()
    ended_at = host.now
    host.open_watch()
    host.now = ended_at + NOTIFIED_AFTER + 1
    assert not host.may_send_to_any()

    host.call(host.balancer.endpoints_confirmed, 2 * SECOND)
    assert host.may_send_to_any()
    host.fail_poll(PollFailure.SILENT)
    host.now += NOTIFIED_AFTER - 2 * SECOND + 1
    assert not host.may_send_to_any(), (
        "answered after two seconds, so the list may have been current only two seconds before"
    )


def test_states_set_by_operators_do_not_confirm_the_list():
    host = Host(may_health_check=False)
    host.open_confirmed_watch()
    host.fail_poll()
    host.now += NOTIFIED_AFTER + 1
    draining = [EndpointUpdate(host.upstreams[0], UpstreamState.DRAINING, 0)]

    host.call(host.balancer.endpoints_corrected, draining)

    assert not host.may_send_to_any()
    assert not host.upstreams[0].is_ready


@pytest.mark.parametrize("subscribes", [False, True])
def test_move_to_another_service_polls_it_immediately_and_keeps_the_old_list_valid(subscribes):
    host = Host(may_health_check=False, subscribes_to_endpoints=subscribes)
    host.open_confirmed_watch()
    answered_at = host.now
    host.advance(host.now + 2 * SECOND)

    actions = host.call(host.balancer.endpoint_service_moved)

    assert any(isinstance(action, WatchEndpoints) for action in actions)
    moved_at = host.now
    host.fail_poll()
    # A subscription had reported all changes up to the move.
    host.now = (moved_at if subscribes else answered_at) + NOTIFIED_AFTER
    assert host.may_send_to_any()
    host.now += 1
    assert not host.may_send_to_any()


def test_retry_scheduled_before_a_move_does_not_poll_the_new_service():
    host = Host(index=1, fleet_size=40)
    host.open_confirmed_watch()
    host.fail_poll()
    planned = host.balancer.endpoints.planned_at
    host.call(host.balancer.endpoint_service_moved)
    host.fail_poll(retry_after_ns=30 * SECOND)

    actions = host.advance(max(host.now, planned) + SECOND)

    assert not any(isinstance(action, WatchEndpoints) for action in actions)


def test_requests_are_rejected_immediately_while_the_list_is_stale():
    host = Host(may_health_check=False)
    host.open_confirmed_watch()
    host.fail_poll()
    host.now += NOTIFIED_AFTER + 1
    request = Request("late", host.balancer.settings.service_classes[0], 0, None, host.now + SECOND)

    actions = host.call(host.balancer.accept, request)
    actions += host.advance(host.now + 300 * MILLISECOND)

    assert not any(isinstance(action, StartAttempt) for action in actions)
    assert any(isinstance(action, RejectRequest) for action in actions)


# Health checks while the list is stale.


def run_while_polls_fail(host, outcome_of, until, failure=PollFailure.REFUSED):
    """End health checks with ``outcome_of(upstream)`` while polls fail with ``failure``.

    Returns for each step whether each upstream may be sent to.
    """
    allowed = []
    while host.now < until:
        for action in host.advance(host.now + 10 * MILLISECOND):
            if isinstance(action, HealthCheck):
                outcome = outcome_of(action.upstream)
                host.call(host.balancer.health_check_ended, action.upstream, outcome, MILLISECOND)
        if host.balancer.endpoints.is_watching:
            host.fail_poll(failure)
        allowed.append([host.may_send_to(upstream) for upstream in host.upstreams])
    return allowed


def test_upstreams_that_pass_health_checks_get_requests_without_a_gap_while_the_list_is_stale():
    host = Host()
    host.open_confirmed_watch()
    host.fail_poll()

    allowed = run_while_polls_fail(host, lambda _: Outcome.SERVED, host.now + 20 * SECOND)

    assert all(all(row) for row in allowed)


def test_upstream_that_fails_health_checks_gets_no_requests_once_the_list_is_stale():
    host = Host()
    host.open_confirmed_watch()
    host.fail_poll()
    ended_at, draining = host.now, host.upstreams[1]

    run_while_polls_fail(
        host,
        lambda upstream: Outcome.ERROR if upstream is draining else Outcome.SERVED,
        ended_at + NOTIFIED_AFTER + 10 * MILLISECOND,
    )

    assert [host.may_send_to(upstream) for upstream in host.upstreams] == [True, False, True]


def test_upstream_that_begins_to_drain_gets_no_requests_after_the_notification_time():
    host = Host()
    host.open_confirmed_watch()
    host.fail_poll()
    drained_at, draining = host.now + 10 * SECOND, host.upstreams[1]

    def outcome_of(upstream):
        drains = upstream is draining and host.now >= drained_at
        return Outcome.ERROR if drains else Outcome.SERVED

    run_while_polls_fail(host, outcome_of, drained_at + NOTIFIED_AFTER + 20 * MILLISECOND)

    assert not host.may_send_to(draining)
    assert host.may_send_to(host.upstreams[0])


def test_health_checks_begin_only_shortly_before_the_list_becomes_stale():
    host = Host()
    host.open_confirmed_watch()
    while host.now < START + 30 * SECOND:
        actions = host.advance(host.now + endpoints.MAX_WATCH_WAIT)
        assert not any(isinstance(action, HealthCheck) for action in actions)
        host.call(host.balancer.endpoints_confirmed)
    host.fail_poll()

    actions = host.advance(host.now + NOTIFIED_AFTER - 3 * SECOND)

    assert not any(isinstance(action, HealthCheck) for action in actions)


@pytest.mark.parametrize("failure", [PollFailure.SILENT, PollFailure.HELD])
def test_health_checks_do_not_count_while_the_service_runs_but_does_not_answer(failure):
    # A draining upstream that passes health checks got requests for as long as polls failed.
    host = Host()
    host.open_confirmed_watch()
    answered_at = host.now
    host.fail_poll(failure)

    allowed = run_while_polls_fail(
        host, lambda _: Outcome.SERVED, answered_at + 20 * SECOND, failure
    )

    steps_while_valid = NOTIFIED_AFTER // (10 * MILLISECOND)
    assert all(all(row) for row in allowed[: steps_while_valid - 1])
    assert not any(any(row) for row in allowed[steps_while_valid:])


@pytest.mark.parametrize("failure", [PollFailure.UNREACHABLE, PollFailure.INTERRUPTED])
def test_health_checks_count_while_the_service_may_be_down(failure):
    host = Host()
    host.open_confirmed_watch()
    host.fail_poll(failure)

    allowed = run_while_polls_fail(host, lambda _: Outcome.SERVED, host.now + 20 * SECOND, failure)

    assert all(all(row) for row in allowed)


# When the list is polled.


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


def test_interval_between_refused_polls_grows_up_to_a_bound():
    host = Host()
    host.open_confirmed_watch()
    waits = []
    for _ in range(9):
        host.fail_poll()
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


def test_requests_are_sent_at_the_end_of_a_long_watch():
    simulation = polling_simulation(19)
    simulation.run(20000, arrival_probability=0.01)

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
