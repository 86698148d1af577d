"""Decisions of several tiers combined, in random trees of calls and in cycles."""

import random

import pytest

from pepperhook.domain import Outcome
from pepperhook.request_context.messages import TierOutcome
from pepperhook.request_context.retry_allowance import MIN_CAPACITY
from pepperhook.server.messages import ResponseKind
from pepperhook.units import MILLISECOND, SECOND
from tests.request_context.contexts import arrive, make_context, make_policy

TIERS = 3
INSTANCES = 3
MAX_ATTEMPTS = 4


class RandomCalls:
    """Calls through three tiers that always want to retry; counts the attempts of each tier."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.retry_ratio = self.random.choice([0.0, 0.05, 0.2])
        self.tiers = [
            [make_policy(f"s{tier}.{instance}") for instance in range(INSTANCES)]
            for tier in range(TIERS)
        ]
        self.attempts = [0] * TIERS
        self.requests = 0
        self.now = 0

    def run(self, requests):
        for self.requests in range(requests):
            self.now += self.random.randrange(20 * MILLISECOND)
            self.call(0, None, self.now + SECOND)

    def call(self, tier, context, deadline):
        """Simulate one request at a tier; return whether it was served, and its result."""
        policy = self.tiers[tier][self.random.randrange(INSTANCES)]
        request_id = f"o{self.requests}"
        admission = arrive(policy, self.now, context, deadline, self.retry_ratio, request_id)
        state, is_served = admission.state, False
        if admission.rejection is None:
            is_served = self.attempt_until_served(policy, tier, admission)
        kind = ResponseKind.SERVED if is_served else ResponseKind.FAILED
        result = policy.respond(self.now, state, kind)
        policy.finish(state)
        assert state.allowance.retries >= 0
        assert not state.lent_retries
        return is_served, result

    def attempt_until_served(self, policy, tier, admission):
        state, is_served = admission.state, False
        for number in range(MAX_ATTEMPTS):
            deadline = admission.deadline
            sent = policy.attempt_started(self.now, state, deadline, is_retry=number > 0)
            if sent is None:
                break
            self.attempts[tier] += 1
            self.now += self.random.randrange(3 * MILLISECOND)
            is_served, is_lost, result = self.forward(tier, sent, deadline)
            outcome = Outcome.SERVED if is_served else Outcome.ERROR
            if is_lost:
                outcome = Outcome.RESET
            policy.attempt_ended(self.now, state, ("u", tier), outcome, result)
            if is_served and not is_lost:
                break
        return is_served

    def forward(self, tier, context, deadline):
        """Simulate an attempt; return whether it is served, whether it is lost, and its result."""
        # A tenth of the responses are lost. A tenth of the attempts, and all of the last tier, end
        # at the node without a call to the tier below; half of these succeed.
        draw = self.random.random()
        is_lost = draw > 0.9
        if tier < TIERS - 1 and draw > 0.1:
            is_served, result = self.call(tier + 1, context, deadline)
            return is_served, is_lost, None if is_lost else result
        return self.random.random() > 0.5, is_lost, None


@pytest.mark.parametrize("seed", range(5))
def test_all_tiers_in_total_retry_no_more_than_the_fraction_granted_at_the_entry(seed):
    calls = RandomCalls(seed)

    calls.run(1500)

    for attempts in calls.attempts:
        limit = calls.requests * (1 + calls.retry_ratio) + INSTANCES * MIN_CAPACITY
        assert attempts <= limit
    assert not any(policy.loops.in_flight for tier in calls.tiers for policy in tier)


class Cycle:
    """Tiers that call each other in a cycle; counts the visits to all tiers."""

    def __init__(self, length, instances, loses_hops):
        self.tiers = [
            [make_policy(f"s{tier}.{instance}") for instance in range(instances)]
            for tier in range(length)
        ]
        self.loses_hops = loses_hops
        self.visits = 0
        self.random = random.Random(3)

    def call(self, step, context):
        """Simulate a visit, the number ``step`` in the cycle; return its result."""
        self.visits += 1
        tier = self.tiers[step % len(self.tiers)]
        policy = tier[self.random.randrange(len(tier))]
        now = step * MILLISECOND
        admission = arrive(policy, now, context, SECOND)
        state = admission.state
        if admission.rejection is not None:
            assert admission.rejection is TierOutcome.LOOP
            return policy.respond(now, state, ResponseKind.FAILED)
        for number in range(MAX_ATTEMPTS):
            sent = policy.attempt_started(now, state, SECOND, is_retry=number > 0)
            if sent is None:
                break
            if self.loses_hops:
                sent.hops = ()
            result = self.call(step + 1, sent)
            policy.attempt_ended(now, state, "u", Outcome.ERROR, result)
        result = policy.respond(now, state, ResponseKind.FAILED)
        policy.finish(state)
        return result


@pytest.mark.parametrize(
    "length, instances, loses_hops",
    [(2, 1, False), (3, 1, False), (2, 3, False), (3, 2, False), (2, 1, True), (3, 1, True)],
)
def test_loop_ends_after_a_bounded_number_of_visits_and_is_not_retried(
    length, instances, loses_hops
):
    cycle = Cycle(length, instances, loses_hops)

    result = cycle.call(0, None)

    assert result.outcome is TierOutcome.LOOP
    # One pass, or two if several instances delay detection, and the visit that is rejected.
    passes = 1 if instances == 1 else 2
    assert cycle.visits <= passes * length + 1


def test_call_to_another_instance_of_the_same_service_is_not_a_loop():
    context = make_context("c", depth=2, remaining_ms=500, hops=("a.1", "b.1"))

    assert arrive(make_policy("a.2"), 0, context).rejection is None


def test_second_call_to_the_same_instance_is_a_loop():
    context = make_context("d", depth=2, remaining_ms=500, hops=("a.2", "b.1"))

    assert arrive(make_policy("a.2"), 0, context).rejection is TierOutcome.LOOP


def test_client_retry_or_second_call_of_a_node_at_the_same_depth_is_not_a_loop():
    policy = make_policy("a.2")
    arrive(policy, 0, make_context("c", depth=2, remaining_ms=500, hops=("a.1", "b.1")))

    second = arrive(policy, 0, make_context("c", "0.2", depth=2, remaining_ms=500))

    assert second.rejection is None


def test_request_at_the_maximum_depth_is_a_loop():
    context = make_context("c", depth=64, remaining_ms=500)

    assert arrive(make_policy(), 0, context).rejection is TierOutcome.LOOP
