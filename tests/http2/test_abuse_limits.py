"""The token bucket for frames without progress, and the growing limit on streams."""

import pytest

from pepperhook.http2.abuse_limits import MAX_CREDIT, AbuseBudget, FrameKind, StreamLimit

NS_PER_HOUR = 3600 * 10**9


def spend_all(budget):
    """Charge for PING frames until no credit is left; return the results."""
    return [budget.charge(0, FrameKind.PING) for _ in range(int(MAX_CREDIT / FrameKind.PING.cost))]


@pytest.mark.parametrize("kind", FrameKind)
def test_each_kind_of_frame_is_permitted_until_the_credit_is_spent(kind):
    budget = AbuseBudget(0)
    permitted = int(MAX_CREDIT / kind.cost)

    assert all(budget.charge(0, kind) for _ in range(permitted))
    assert not budget.charge(0, kind)


def test_credit_is_refilled_by_an_answered_request():
    budget = AbuseBudget(0)
    assert all(spend_all(budget)) and not budget.charge(0, FrameKind.PING)

    budget.request_answered()

    assert budget.charge(0, FrameKind.PING)


def test_credit_is_refilled_by_time_up_to_its_maximum():
    budget = AbuseBudget(0)
    spend_all(budget)

    assert budget.charge(NS_PER_HOUR, FrameKind.PING)
    assert budget.credit == MAX_CREDIT - FrameKind.PING.cost


def test_a_stream_limit_grows_with_responses_up_to_its_maximum():
    limit = StreamLimit(100)
    assert limit.allowed == StreamLimit.INITIAL

    for _ in range(200):
        limit.request_answered()

    assert limit.allowed == 100


def test_a_stream_limit_is_reduced_to_a_lower_maximum_of_the_peer():
    limit = StreamLimit(100)
    limit.set_max_streams(3)
    assert limit.allowed == 3


def test_a_stream_limit_that_has_not_grown_returns_to_its_initial_value_under_a_higher_maximum():
    limit = StreamLimit(100)
    limit.set_max_streams(3)
    limit.set_max_streams(50)
    assert limit.allowed == StreamLimit.INITIAL
