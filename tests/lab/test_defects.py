"""The injected defects change the decisions that they are named for."""

from pepperhook.domain import Outcome
from pepperhook.lab import defects
from pepperhook.policy import retry_budget
from pepperhook.units import MILLISECOND
from tests.policy.simulation import PolicySimulation


def count_retries_without_budget(count):
    """Return how many of ``count`` failed first attempts are retried with an empty budget."""
    simulation = PolicySimulation(7)
    simulation.outcome_of = lambda attempt: Outcome.SERVED if attempt.number else Outcome.ERROR
    requests = []
    for _ in range(count):
        simulation.balancer.retry_budget.B = 0.0
        requests.append(simulation.accept_new(0))
        simulation.step(400 * MILLISECOND)
    return sum(len(request.attempts) > 1 for request in requests)


def test_without_the_defect_nothing_is_retried_without_a_budget():
    assert count_retries_without_budget(20) == 0


def test_granted_always_retries_without_a_budget(monkeypatch):
    # It called a method that does not exist, so that the policy failed in place of retrying.
    monkeypatch.setattr(retry_budget.RetryBudget, "_grants", retry_budget.RetryBudget._grants)
    defects.DEFECTS["granted-always"]()

    assert count_retries_without_budget(20) > 10
