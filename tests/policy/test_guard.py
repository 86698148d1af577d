"""The last check before the first byte of an attempt, and the checks for draining upstreams."""

import pytest

from pepperhook.actions import StartAttempt
from pepperhook.balancer import Balancer
from pepperhook.domain import (
    Attempt,
    Effect,
    EndpointUpdate,
    Outcome,
    RepeatGroup,
    Request,
    Upstream,
    UpstreamState,
)
from pepperhook.units import MILLISECOND, SECOND
from tests.policy.simulation import constant, make_service_class, make_settings, ready

NOW = 9 * SECOND


class UnsentRetry:
    """A policy and an unsent attempt that retries one that may have been executed."""

    def __init__(
        self,
        effect=Effect.KEYED,
        repeat_group=RepeatGroup.ALL,
        key_window_ns=SECOND,
        first_outcome=Outcome.RESET,
    ):
        service_class = make_service_class(
            0, effect, repeat_group=repeat_group, key_window_ns=key_window_ns
        )
        settings = make_settings(
            service_classes=[service_class],
            polls_endpoints=True,
            endpoint_poll_within_ns=3 * SECOND,
        )
        self.balancer = Balancer(settings, 3, NOW)
        upstreams = [Upstream(b"%d" % number, cell=number) for number in range(3)]
        self.balancer.wake(NOW)
        self.balancer.endpoints_changed(NOW, True, ready(upstreams))
        self.balancer.endpoints.is_watching = True
        service_class = self.balancer.settings.service_classes[0]
        self.request = Request("x", service_class, 0, None, NOW + 2 * SECOND)
        self._add_attempt(upstreams[0], first_outcome)
        self.attempt = self._add_attempt(upstreams[1], None)
        self.request.open_attempts = 1

    def _add_attempt(self, upstream, outcome):
        attempt = Attempt(self.request, upstream, NOW)
        attempt.outcome = outcome
        self.request.attempts.append(attempt)
        return attempt

    def may_send(self, after_ns=0):
        return self.balancer.may_send(NOW + after_ns, self.attempt)

    def state(self):
        """Return the state that the check must not change."""
        return (
            self.balancer.counter,
            self.balancer.actions,
            self.attempt.outcome,
            self.request.open_attempts,
        )


def test_attempt_may_be_sent_while_nothing_has_changed_and_the_check_has_no_side_effects():
    retry = UnsentRetry()
    before = retry.state()

    assert retry.may_send(MILLISECOND)
    assert retry.may_send(MILLISECOND)

    assert retry.state() == before


def finish_request(retry):
    retry.request.finished = True


def drain_upstream(retry):
    retry.attempt.upstream.state = UpstreamState.DRAINING


def restart_upstream(retry):
    """Restart the upstream, which was warm when it was selected."""
    retry.attempt.upstream.started_at = NOW + MILLISECOND


def expire_endpoint_list(retry):
    retry.balancer.endpoints.is_watching = False
    retry.balancer.endpoints.knowledge.list_valid_until = NOW


@pytest.mark.parametrize(
    "change", [finish_request, drain_upstream, restart_upstream, expire_endpoint_list]
)
def test_attempt_may_not_be_sent_after_the_request_upstream_or_list_has_changed(change):
    retry = UnsentRetry()

    change(retry)

    assert not retry.may_send(2 * MILLISECOND)


@pytest.mark.parametrize(
    "key_window_ns, last_ns",
    [
        pytest.param(SECOND, SECOND, id="window of the key"),
        pytest.param(9 * SECOND, 2 * SECOND - 1, id="deadline of the request"),
    ],
)
def test_attempt_may_be_sent_up_to_the_last_nanosecond_and_not_after_it(key_window_ns, last_ns):
    retry = UnsentRetry(key_window_ns=key_window_ns)

    assert retry.may_send(last_ns)
    assert not retry.may_send(last_ns + 1)


def test_keyed_retry_may_not_be_sent_outside_the_repeat_group_of_its_key():
    assert not UnsentRetry(repeat_group=RepeatGroup.CELL).may_send()


@pytest.mark.parametrize(
    "first_outcome, may_send", [(Outcome.RESET, False), (Outcome.OVERLOADED, True)]
)
def test_unsafe_retry_may_be_sent_only_if_the_first_attempt_was_never_executed(
    first_outcome, may_send
):
    retry = UnsentRetry(effect=Effect.UNSAFE, first_outcome=first_outcome)

    assert retry.may_send() == may_send


class BalancerWithDrainingUpstream:
    """A policy with four upstreams, the first of which is draining."""

    def __init__(self):
        self.balancer = Balancer(make_settings(fleet_size=1), 3, NOW)
        upstreams = [Upstream(b"%d" % number) for number in range(4)]
        self.draining = upstreams[0]
        self.balancer.wake(NOW)
        self.balancer.endpoints_changed(NOW, True, ready(upstreams))
        update = EndpointUpdate(self.draining, UpstreamState.DRAINING, 0)
        self.balancer.endpoints_changed(NOW, False, [update])
        assert self.draining not in self.balancer.subset.ring.ready

    def make_request(self):
        service_class = self.balancer.settings.service_classes[0]
        return Request(0, service_class, 0, None, NOW + SECOND)

    def started_attempts(self, request):
        """Return the attempts that the policy starts when it accepts a request."""
        actions = self.balancer.accept(NOW, request)
        return [action.attempt for action in actions if isinstance(action, StartAttempt)]


# Each check hides defects of the other, so each is tested with the other one disabled.


def test_guard_blocks_attempts_to_a_draining_upstream_that_is_still_in_the_subset():
    # The subset may be outdated since the last endpoint list or review; the guard reads the
    # upstream's current state.
    setup = BalancerWithDrainingUpstream()
    subset, request = setup.balancer.subset, setup.make_request()

    subset.ring.ready = subset.members = [setup.draining]

    assert not setup.balancer.guard.may_start(NOW, request, setup.draining)
    assert not setup.started_attempts(request)


def test_subset_excludes_a_draining_upstream_even_if_the_guard_allows_it():
    setup = BalancerWithDrainingUpstream()
    setup.balancer.guard.may_start = constant(True)

    for _ in range(40):
        attempt = setup.started_attempts(setup.make_request())[0]
        assert attempt.upstream is not setup.draining
        setup.balancer.attempt_ended(NOW + MILLISECOND, attempt, Outcome.SERVED, MILLISECOND, True)
