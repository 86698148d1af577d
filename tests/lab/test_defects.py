"""The injected defects change the decisions that they are named for."""

import shutil

import pytest

from pepperhook.domain import Outcome
from pepperhook.lab import defects
from pepperhook.lab.experiment import Variant
from pepperhook.lab.proofs import PROOFS, base
from pepperhook.lab.scenario_run import RunError
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


def make_proof(monkeypatch, log_line):
    """Return a scenario whose only run writes ``log_line`` to the log of a balancer."""

    class Run:
        def __init__(self, _scenario, _variant, _seed, folder):
            self.folder = folder

        def play(self):
            self.folder.mkdir()
            (self.folder / "balancer-0-0.log").write_text(log_line)
            return {"interrupted": False}

    monkeypatch.setattr(base, "ScenarioRun", Run)
    return PROOFS["amplification"](False, None, None, lambda *_: None)


@pytest.mark.parametrize(
    "log_line, has_failed",
    [
        ("time=x level=error event=module_fault call=wake error=\"AttributeError('x')\"\n", True),
        ("time=x level=error event=dispatch_fault upstream=h error=NameError\n", True),
        ("time=x level=info event=ended\n", False),
    ],
)
def test_a_run_in_which_the_defect_itself_fails_is_no_result(monkeypatch, log_line, has_failed):
    # A defect that failed by AttributeError counted as found.
    proof = make_proof(monkeypatch, log_line)
    variant = Variant(name="pepperhook", defect="granted-always")
    try:
        if has_failed:
            with pytest.raises(RunError, match="granted-always failed itself"):
                proof.play_once(proof.scenario, variant, "run")
        else:
            assert proof.play_once(proof.scenario, variant, "run") == {"interrupted": False}
        assert proof.play_once(proof.scenario, Variant(name="other"), "other")
    finally:
        shutil.rmtree(proof.folder)
