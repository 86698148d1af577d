"""Decisions of one tier: deadlines, retries, results, repeated contexts and loops."""

import pytest

from pepperhook.domain import Outcome
from pepperhook.request_context.context_policy import most_restrictive, retry_stop
from pepperhook.request_context.errors import RejectionReason
from pepperhook.request_context.messages import TierOutcome
from pepperhook.request_context.request_state import RetryStop
from pepperhook.request_context.seen_contexts import MAX_SEEN_CONTEXTS
from pepperhook.server.messages import ResponseKind
from pepperhook.units import MILLISECOND, SECOND
from tests.request_context.contexts import arrive, make_context, make_policy, make_result

UPSTREAM = "u"


def serve_slowly(policy, requests, serving_ms):
    """Serve requests that all take the same time; return the time after the last one."""
    interval = SECOND // 10
    for number in range(requests):
        now = number * interval
        state = arrive(policy, now, None, now + 9 * SECOND, request_id=f"n{number}").state
        policy.respond(now + serving_ms * MILLISECOND, state, ResponseKind.SERVED)
        policy.finish(state)
    return requests * interval


# Deadlines.


def test_context_shortens_the_deadline():
    admission = arrive(make_policy(), 0, make_context(remaining_ms=400))

    assert admission.deadline == 400 * MILLISECOND


def test_context_never_extends_the_deadline():
    own_deadline = 100 * MILLISECOND

    admission = arrive(make_policy(), 0, make_context(remaining_ms=400), own_deadline)

    assert admission.deadline == own_deadline


def test_context_without_remaining_time_leaves_the_deadline():
    admission = arrive(make_policy(), 0, make_context(remaining_ms=None, retries=None))

    assert admission.deadline == SECOND


def test_request_with_no_time_left_is_rejected_before_execution():
    admission = arrive(make_policy(), 0, make_context(remaining_ms=0))

    assert admission.rejection is TierOutcome.EXPIRED


def test_request_with_less_time_than_serving_takes_is_rejected_before_execution():
    policy = make_policy()
    now = serve_slowly(policy, requests=60, serving_ms=300)

    too_late = arrive(policy, now, make_context("x", remaining_ms=250), now + SECOND)
    in_time = arrive(policy, now, make_context("y", remaining_ms=350), now + SECOND)

    assert too_late.rejection is TierOutcome.EXPIRED
    assert in_time.rejection is None


def test_old_serving_times_decay_so_that_a_tier_that_is_fast_again_accepts_requests():
    policy = make_policy()
    later = serve_slowly(policy, requests=60, serving_ms=300) + 60 * SECOND

    admission = arrive(policy, later, make_context("z", remaining_ms=250), later + 10 * SECOND)

    assert admission.rejection is None


def test_overhead_of_an_attempt_is_measured_and_deducted_from_the_remaining_time():
    policy = make_policy()
    for number in range(40):
        now = number * MILLISECOND
        state = arrive(policy, now, None, now + SECOND, request_id=f"n{number}").state
        policy.attempt_started(now, state, now + SECOND, is_retry=False)
        result = make_result(TierOutcome.SERVED, spent_ms=170, request_id=f"n{number}")
        policy.attempt_ended(now + 200 * MILLISECOND, state, UPSTREAM, Outcome.SERVED, result)
        policy.finish(state)
    state = arrive(policy, SECOND, None, 2 * SECOND).state

    context = policy.attempt_started(SECOND, state, 2 * SECOND, is_retry=False)

    assert context.remaining_ms == pytest.approx(970, abs=3)


def test_no_overhead_is_deducted_without_measurements():
    policy = make_policy()

    context = policy.attempt_started(0, arrive(policy, 0, None).state, SECOND, is_retry=False)

    assert context.remaining_ms == 1000


# Retries.


@pytest.mark.parametrize(
    "result, may_retry",
    [
        (make_result(TierOutcome.FAILED, unused=1, attempts=2), False),
        (make_result(TierOutcome.FAILED, unused=1, attempts=1), True),
        (make_result(TierOutcome.REJECTED, unused=1, attempts=0), False),
        (make_result(TierOutcome.EXPIRED, unused=1, attempts=0), False),
        (make_result(TierOutcome.LOOP, unused=1, attempts=0), False),
        (make_result(TierOutcome.SERVED, unused=1, attempts=1), True),
        (make_result(TierOutcome.LOOP, unused=1, attempts=0, request_id="other"), True),
        (None, True),
    ],
)
def test_retry_is_refused_only_after_a_result_that_makes_it_useless(result, may_retry):
    policy = make_policy()
    state = arrive(policy, 0, make_context(remaining_ms=900, retries=4)).state
    assert policy.attempt_started(0, state, SECOND, is_retry=False).retries == 2

    policy.attempt_ended(MILLISECOND, state, UPSTREAM, Outcome.ERROR, result)
    retry = policy.attempt_started(2 * MILLISECOND, state, SECOND, is_retry=True)

    assert (retry is not None) == may_retry
    assert state.refused_retries == (0 if may_retry else 1)


def test_retries_lent_to_a_failed_attempt_are_returned():
    policy = make_policy()
    state = arrive(policy, 0, make_context(remaining_ms=900, retries=4)).state
    policy.attempt_started(0, state, SECOND, is_retry=False)

    policy.attempt_ended(MILLISECOND, state, UPSTREAM, Outcome.ERROR, None)
    policy.attempt_started(2 * MILLISECOND, state, SECOND, is_retry=True)

    # Of the 4 retries of the context, the second attempt used one.
    assert state.allowance.retries + state.lent_retries == 3


@pytest.mark.parametrize(
    "outcome, upstream_reports, remaining_retries",
    [
        (Outcome.TIMED_OUT, True, 1),
        (Outcome.TIMED_OUT, False, 2),
        (Outcome.RESET, True, 1),
        (Outcome.CONNECT_FAILED, True, 2),
        (Outcome.OVERLOADED, True, 2),
        (Outcome.ERROR, True, 2),
    ],
)
def test_lent_retries_without_a_result_are_returned_only_if_no_tier_can_have_used_them(
    outcome, upstream_reports, remaining_retries
):
    policy = make_policy()
    if upstream_reports:
        policy.reporting_upstreams.add(UPSTREAM)
    state = arrive(policy, 0, make_context(remaining_ms=900, retries=2)).state
    policy.attempt_started(0, state, SECOND, is_retry=False)

    policy.attempt_ended(MILLISECOND, state, UPSTREAM, outcome, None)

    assert state.allowance.retries == remaining_retries


def test_most_restrictive_of_several_results_is_used():
    retriable = make_result(TierOutcome.FAILED, unused=0, attempts=1)
    stopping = make_result(TierOutcome.LOOP, unused=2)
    stopping_with_fewer_retries = make_result(TierOutcome.FAILED, unused=1, attempts=3)

    assert retry_stop(retriable) is None
    assert retry_stop(stopping) is RetryStop.LOOP
    assert retry_stop(stopping_with_fewer_retries) is RetryStop.RETRIED_BELOW
    results = [retriable, stopping, stopping_with_fewer_retries]
    assert most_restrictive(results) is stopping_with_fewer_retries
    assert most_restrictive([]) is None


# Results.


@pytest.mark.parametrize(
    "below, kind, outcome",
    [
        (TierOutcome.LOOP, ResponseKind.FAILED, TierOutcome.LOOP),
        (TierOutcome.EXPIRED, ResponseKind.REJECTED, TierOutcome.EXPIRED),
        (TierOutcome.REJECTED, ResponseKind.REJECTED, TierOutcome.FAILED),
        (TierOutcome.LOOP, ResponseKind.SERVED, TierOutcome.SERVED),
    ],
)
def test_result_forwards_outcomes_that_no_tier_above_must_retry(below, kind, outcome):
    policy = make_policy()
    state = arrive(policy, 0, make_context()).state
    policy.attempt_started(0, state, SECOND, is_retry=False)
    policy.attempt_ended(MILLISECOND, state, UPSTREAM, Outcome.ERROR, make_result(below))

    assert policy.respond(2 * MILLISECOND, state, kind).outcome is outcome


@pytest.mark.parametrize(
    "attempt_outcome, outcome",
    [
        (Outcome.OVERLOADED, TierOutcome.REJECTED),
        (Outcome.CONNECT_FAILED, TierOutcome.REJECTED),
        (Outcome.ERROR, TierOutcome.FAILED),
    ],
)
def test_only_a_request_that_was_executed_nowhere_reports_a_lack_of_capacity(
    attempt_outcome, outcome
):
    policy = make_policy()
    state = arrive(policy, 0, make_context()).state
    policy.attempt_started(0, state, SECOND, is_retry=False)
    policy.attempt_ended(MILLISECOND, state, UPSTREAM, attempt_outcome, None)

    result = policy.respond(2 * MILLISECOND, state, ResponseKind.REJECTED)

    assert result.outcome is outcome


# Repeated contexts.


def test_requests_with_the_same_context_share_its_time_and_its_retries():
    policy = make_policy()
    first = arrive(policy, 0, make_context(remaining_ms=400, retries=1))
    second = arrive(policy, 10 * MILLISECOND, make_context(remaining_ms=400, retries=1))

    policy.attempt_started(10 * MILLISECOND, first.state, SECOND, is_retry=False)
    retry = policy.attempt_started(11 * MILLISECOND, second.state, SECOND, is_retry=True)

    assert first.state.allowance is second.state.allowance
    assert second.deadline == 400 * MILLISECOND
    assert retry is None


def test_repeated_context_is_ignored_after_it_has_expired():
    policy = make_policy()
    arrive(policy, 0, make_context(remaining_ms=400))

    replayed = arrive(policy, 500 * MILLISECOND, make_context(remaining_ms=400), 2 * SECOND)

    assert replayed.deadline == 2 * SECOND
    assert not replayed.state.has_context
    assert policy.rejected_values == {RejectionReason.REPLAYED: 1}


def test_number_of_stored_contexts_is_bounded():
    policy = make_policy()

    for number in range(MAX_SEEN_CONTEXTS + 500):
        arrive(policy, SECOND, make_context(f"n{number}", "0", remaining_ms=100))

    assert len(policy.seen_contexts) <= MAX_SEEN_CONTEXTS


# Loops.


def test_rejected_repeat_of_a_context_does_not_end_loop_detection_of_the_first():
    """A node may make two calls with the same context, the second of which is rejected as expired.

    Both calls have the same id and depth, so the end of the second one removed the first from the
    requests in flight. A call that came back to this tier with fewer hops was then served
    repeatedly.
    """
    policy = make_policy()
    first = arrive(policy, 0, make_context(remaining_ms=400))
    second = arrive(policy, 400 * MILLISECOND, make_context(remaining_ms=400))
    assert first.rejection is None and second.rejection is TierOutcome.EXPIRED

    policy.finish(second.state)
    returned = arrive(policy, 400 * MILLISECOND, make_context(path="0.1.1.1", depth=3))
    assert returned.rejection is TierOutcome.LOOP

    policy.finish(returned.state)
    policy.finish(first.state)
    assert not policy.loops.in_flight
