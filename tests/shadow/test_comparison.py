"""Tests of the kinds of differences between a live and a shadow decision on one call."""

import pytest

from pepperhook.actions import (
    CancelAttempt,
    FailRequest,
    HealthCheck,
    RejectRequest,
    StartAttempt,
    WakeAt,
)
from pepperhook.domain import Attempt, Outcome, Request, Upstream
from pepperhook.shadow.comparison import (
    DecisionKind,
    Difference,
    RequestDecision,
    compare,
    compare_request_decisions,
    decisions_of,
)
from tests.policy.simulation import make_service_class

SENT_TO_A = RequestDecision(DecisionKind.SENT, b"a")
SENT_TO_B = RequestDecision(DecisionKind.SENT, b"b")
RETRIED_AT_A = RequestDecision(DecisionKind.SENT, b"a", was_attempted=True)
REJECTED = RequestDecision(DecisionKind.REJECTED)
REJECTED_AFTER_AN_ATTEMPT = RequestDecision(DecisionKind.REJECTED, was_attempted=True)
FAILED = RequestDecision(DecisionKind.FAILED)
CANCELLED = RequestDecision(DecisionKind.CANCELLED)

REQUEST_CASES = [
    (SENT_TO_A, SENT_TO_B, Difference.ANOTHER_UPSTREAM),
    (SENT_TO_A, REJECTED, Difference.ENDED),
    (REJECTED, SENT_TO_A, Difference.SENT),
    (RETRIED_AT_A, REJECTED_AFTER_AN_ATTEMPT, Difference.NOT_RETRIED),
    (REJECTED_AFTER_AN_ATTEMPT, RETRIED_AT_A, Difference.RETRIED),
    (REJECTED, None, Difference.ENDED_LATER),
    (None, REJECTED, Difference.ENDED_SOONER),
    (SENT_TO_A, None, Difference.QUEUED),
    (None, SENT_TO_A, Difference.NOT_QUEUED),
    (REJECTED, FAILED, Difference.ANOTHER_RESPONSE),
    (CANCELLED, None, Difference.NOT_CANCELLED),
    (None, CANCELLED, Difference.CANCELLED),
    (SENT_TO_A, CANCELLED, Difference.CANCELLED),
    (CANCELLED, SENT_TO_A, Difference.NOT_CANCELLED),
    (CANCELLED, REJECTED, Difference.ENDED_SOONER),
    (REJECTED, CANCELLED, Difference.ENDED_LATER),
    (SENT_TO_A, RETRIED_AT_A, None),
    (REJECTED, REJECTED_AFTER_AN_ATTEMPT, None),
]
# Not returned by compare_request_decisions; compare and the extension add them.
CALL_DIFFERENCES = {
    Difference.CHECKED,
    Difference.NOT_CHECKED,
    Difference.ANOTHER_WAKE_TIME,
    Difference.ANOTHER_SUBSET,
}


@pytest.mark.parametrize("live, shadow, difference", REQUEST_CASES)
def test_different_decisions_give_the_expected_difference_and_equal_ones_none(
    live, shadow, difference
):
    assert compare_request_decisions(live, shadow) is difference
    assert compare_request_decisions(live, live) is None
    assert compare_request_decisions(shadow, shadow) is None


def test_cases_cover_each_kind_of_difference():
    covered = {difference for _, _, difference in REQUEST_CASES if difference is not None}

    assert covered | CALL_DIFFERENCES == set(Difference)


@pytest.mark.parametrize(
    "live, shadow, difference",
    [
        ([], [HealthCheck(Upstream(b"a"))], Difference.CHECKED),
        ([HealthCheck(Upstream(b"a"))], [], Difference.NOT_CHECKED),
        ([WakeAt(5)], [WakeAt(6)], Difference.ANOTHER_WAKE_TIME),
    ],
)
def test_health_checks_and_wake_up_times_are_compared(live, shadow, difference):
    assert compare(live, shadow) == [difference]
    assert compare(live, live) == compare(shadow, shadow) == []


def test_different_latency_objective_counts_as_another_wake_time():
    assert compare([], [], 5, 6) == [Difference.ANOTHER_WAKE_TIME]
    assert compare([], [], 5, 5) == []


@pytest.fixture
def request_with_attempts():
    """A request whose first attempt ended without a response and whose second is open."""
    request = Request("r", make_service_class(0), None, None, 0)
    first, second = Attempt(request, Upstream(b"a"), 0), Attempt(request, Upstream(b"b"), 1)
    first.outcome = Outcome.RESET
    request.attempts = [first, second]
    return request


def test_last_action_except_cancellations_is_the_decision_on_a_request(request_with_attempts):
    first, second = request_with_attempts.attempts

    cancelled = decisions_of([CancelAttempt(first)])
    retried = decisions_of([CancelAttempt(first), StartAttempt(second, 1)])
    sent = decisions_of([StartAttempt(second, 1), CancelAttempt(first)])
    rejected = decisions_of([RejectRequest(request_with_attempts, 0), CancelAttempt(second)])
    failed = decisions_of([FailRequest(request_with_attempts)])

    assert cancelled.by_request == {"r": RequestDecision(DecisionKind.CANCELLED)}
    assert (
        retried.by_request
        == sent.by_request
        == {"r": RequestDecision(DecisionKind.SENT, b"b", was_attempted=True)}
    )
    assert rejected.by_request == {"r": RequestDecision(DecisionKind.REJECTED, was_attempted=True)}
    assert failed.by_request == {"r": RequestDecision(DecisionKind.FAILED, was_attempted=True)}
