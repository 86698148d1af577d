"""How long the endpoint list is valid: rule 3 while the service fails."""

import pytest

from pepperhook.actions import (
    HealthCheck,
    OperatorNote,
    RejectRequest,
    StartAttempt,
    WatchEndpoints,
)
from pepperhook.domain import EndpointUpdate, Outcome, PollFailure, Request, UpstreamState
from pepperhook.policy import endpoints
from pepperhook.policy.endpoints import FAILED_POLL_FACTOR, NOTIFIED_AFTER, POLL_TIMEOUT
from tests.policy.endpoint_host import MILLISECOND, SECOND, START, Host

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


@pytest.mark.parametrize("failure", [PollFailure.SILENT, PollFailure.HELD, PollFailure.OVERLOADED])
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


# Trust in health checks, and its end.


def host_with_failed_retry(failure=PollFailure.REFUSED, duration_ns=0, retry_after_ns=0):
    """Return a host with a stale list, whose last poll failed, and the time when that began."""
    host = Host()
    host.open_confirmed_watch()
    host.fail_poll()
    host.open_watch()
    began_at = host.now
    host.now += duration_ns
    host.fail_poll(failure, retry_after_ns)
    return host, began_at


def pass_checks(host):
    for upstream in host.upstreams:
        upstream.shown_ready_at = host.now


@pytest.mark.parametrize("retry_after_s", [0, 20])
@pytest.mark.parametrize("duration_s", [0, 2])
def test_trust_in_health_checks_ends_6_s_after_the_beginning_of_the_poll_that_failed(
    duration_s, retry_after_s
):
    # It lasted until the next poll, which growing rounds and Retry-After put off.
    host, began_at = host_with_failed_retry(
        duration_ns=duration_s * SECOND, retry_after_ns=retry_after_s * SECOND
    )

    host.now = began_at + NOTIFIED_AFTER
    pass_checks(host)
    assert host.may_send_to_any()
    host.now += 1
    assert not host.may_send_to_any()


def test_health_check_counts_for_6_s_within_the_trust():
    host, began_at = host_with_failed_retry()
    checked_at = began_at - SECOND
    host.upstreams[0].shown_ready_at = checked_at

    host.now = checked_at + NOTIFIED_AFTER
    assert host.may_send_to(host.upstreams[0])
    host.now += 1
    assert not host.may_send_to(host.upstreams[0])


def test_trust_in_health_checks_ends_when_another_service_is_polled():
    host, began_at = host_with_failed_retry()
    host.now = began_at + NOTIFIED_AFTER - SECOND
    pass_checks(host)
    assert host.may_send_to_any()

    host.call(host.balancer.endpoint_service_moved)

    assert not host.may_send_to_any(), "the failure of the old service shows nothing about it"


def test_answer_ends_the_trust_in_health_checks():
    host, began_at = host_with_failed_retry()
    host.now = began_at + NOTIFIED_AFTER - SECOND
    host.call(host.balancer.endpoints_confirmed, NOTIFIED_AFTER)
    host.now += 1
    pass_checks(host)

    assert not host.may_send_to_any(), "what the answer confirmed is six seconds old"


def test_failure_of_a_watch_that_was_answered_shows_no_outage():
    host = Host()
    host.open_confirmed_watch()
    answered_at = host.now
    host.now += 5 * SECOND
    host.fail_poll(PollFailure.UNREACHABLE)

    host.now = answered_at + NOTIFIED_AFTER + 1
    pass_checks(host)
    assert not host.may_send_to_any()


# Reports to operators.


def notes_of(host):
    return [action.text for action in host.actions if isinstance(action, OperatorNote)]


def test_what_permits_sends_while_the_list_is_stale_is_reported_as_it_changes():
    host = Host()
    host.open_confirmed_watch()
    host.fail_poll(PollFailure.UNREACHABLE)
    run_while_polls_fail(
        host, lambda _: Outcome.SERVED, host.now + 10 * SECOND, PollFailure.UNREACHABLE
    )
    host.open_watch()
    host.fail_poll(PollFailure.SILENT)
    host.advance(host.now + SECOND // 2)
    host.call(host.balancer.endpoints_confirmed)
    host.advance(host.now + SECOND)

    assert notes_of(host) == [
        "endpoint list is stale",
        "only upstreams that pass health checks get requests",
        "no upstream gets requests until the endpoint list is current",
        "endpoint list is current",
    ]


def test_stale_list_is_reported_with_its_consequence_where_health_checks_are_forbidden():
    host = Host(may_health_check=False)
    host.open_confirmed_watch()
    host.fail_poll()
    host.advance(host.now + NOTIFIED_AFTER + SECOND)

    assert notes_of(host) == [
        "endpoint list is stale",
        "no upstream gets requests until the endpoint list is current",
    ]
