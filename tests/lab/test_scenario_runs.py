"""Void runs of an acceptance scenario: a balancer or the load generator had too little CPU time."""

import pytest

from pepperhook.lab.proofs.base import Proof
from pepperhook.lab.scenario_run import RunError

CORE_WAIT = {"who": "balancer 0.1", "worst_ms": 400, "stolen": 0.07}


class RecordingScenario(Proof):
    """Records the names of its runs; ``is_void(name)`` returns whether a run is void."""

    def __init__(self, is_void):
        self.is_void = is_void
        self.runs_done = 0
        self.played = []

    def report_progress(self, *_):
        """Report no progress."""

    def play_once(self, *arguments, **_):
        """Return the result of a run without playing it."""
        name = arguments[2]
        self.played.append(name)
        return {"void": self.is_void(name), "load": {}, "core_wait": CORE_WAIT}


def test_void_run_is_repeated_alone_until_it_is_not_void():
    scenario = RecordingScenario(lambda name: name in ("b", "b-alone-0"))

    results = scenario.play_concurrently([(None, None, "a", {}), (None, None, "b", {})], 2)

    assert sorted(scenario.played[:2]) == ["a", "b"]
    assert scenario.played[2:] == ["b-alone-0", "b-alone-1"]
    assert not any(result["void"] for result in results.values())


def test_run_that_is_void_each_time_fails_with_the_reason():
    scenario = RecordingScenario(lambda _: True)
    reason = "void 3 times .balancer 0.1 waited 400 ms for a core, and 7% of"

    with pytest.raises(RunError, match=reason):
        scenario.play_concurrently([(None, None, "a", {})], 1)
