"""Whether draining upstreams pass health checks is learned from some of them."""

import pytest

from pepperhook.actions import HealthCheck, OperatorNote
from pepperhook.domain import EndpointUpdate, Outcome, UpstreamState
from pepperhook.policy.drain_check import CHECK_AFTER, MIN_INTERVAL
from tests.policy.endpoint_host import MILLISECOND, SECOND, Host
from tests.policy.test_endpoints import run_while_polls_fail


def drain(host, upstream):
    """Notify the balancer of a drain."""
    update = EndpointUpdate(upstream, UpstreamState.DRAINING, 0)
    host.call(host.balancer.endpoints_changed, False, [update])


def checked_upstreams(actions):
    return [action.upstream for action in actions if isinstance(action, HealthCheck)]


def end_check(host, upstream, outcome):
    return host.call(host.balancer.health_check_ended, upstream, outcome, MILLISECOND)


def host_after_check(outcome):
    """Return a host whose first upstream drains, and ended its health check with ``outcome``."""
    host = Host()
    host.open_confirmed_watch()
    host.advance(host.now + SECOND)
    drain(host, host.upstreams[0])
    assert checked_upstreams(host.advance(host.now + CHECK_AFTER)) == host.upstreams[:1]
    end_check(host, host.upstreams[0], outcome)
    return host


@pytest.mark.parametrize("outcome, is_trusted", [(Outcome.SERVED, False), (Outcome.ERROR, True)])
def test_health_checks_do_not_count_once_a_draining_upstream_has_passed_one(outcome, is_trusted):
    # A draining upstream that passes health checks got requests for as long as polls failed.
    host = host_after_check(outcome)
    host.fail_poll()

    allowed = run_while_polls_fail(host, lambda _: Outcome.SERVED, host.now + 10 * SECOND)

    assert allowed[-1] == [False, is_trusted, is_trusted]


def test_passed_check_of_a_draining_upstream_is_reported_once():
    host = host_after_check(Outcome.SERVED)

    notes = [action for action in host.actions if isinstance(action, OperatorNote)]

    assert [note.text for note in notes] == ["0 drains and passes health checks"]


def test_passed_check_of_an_upstream_that_is_ready_again_shows_nothing():
    host = Host()
    host.open_confirmed_watch()
    host.advance(host.now + SECOND)
    drain(host, host.upstreams[0])
    host.advance(host.now + CHECK_AFTER)
    ready = EndpointUpdate(host.upstreams[0], UpstreamState.READY, 0)
    host.call(host.balancer.endpoints_changed, False, [ready])

    end_check(host, host.upstreams[0], Outcome.SERVED)

    assert not host.balancer.drain_check.drains_pass_checks


def test_second_drain_is_checked_only_after_the_minimum_interval():
    host = host_after_check(Outcome.ERROR)
    drain(host, host.upstreams[1])
    assert not checked_upstreams(host.advance(host.now + CHECK_AFTER))

    host.now += MIN_INTERVAL
    host.call(host.balancer.endpoints_confirmed)
    drain(host, host.upstreams[2])
    actions = host.advance(host.now + CHECK_AFTER)
    assert host.upstreams[2] in checked_upstreams(actions)


def test_no_draining_upstream_is_checked_where_health_checks_are_forbidden():
    host = Host(may_health_check=False)
    host.open_confirmed_watch()
    host.advance(host.now + SECOND)
    drain(host, host.upstreams[0])

    assert not checked_upstreams(host.advance(host.now + 2 * CHECK_AFTER))
