"""Captures of random simulations replay byte-identically, and changes of the policy are found."""

import dataclasses
from pathlib import Path

import pytest

from pepperhook.balancer import Balancer
from pepperhook.capture import replay
from pepperhook.container import ContainerWriter, FileMetadata
from pepperhook.lab.proofs.replay import ReplayProof
from pepperhook.units import MILLISECOND
from tests.capture.captured_simulation import POLICY_FOLDER, CapturedSimulation, changed_policy
from tests.policy.simulation import LOAD_QUERY_SETTINGS, constant

# Written by `pepperhook lab prove replay --write tests/captures`; each begins with the policy's
# start.
STORED_CAPTURES = sorted((Path(__file__).parents[1] / "captures").glob("*.rec"))


@pytest.mark.parametrize("seed", range(8))
def test_random_simulations_replay_byte_identically_with_equal_states(tmp_path, seed):
    # Odd seeds use load reports: when the policy updated a report in place, captures contained its
    # later values.
    reports = LOAD_QUERY_SETTINGS if seed % 2 else {}
    simulation = CapturedSimulation(seed, tmp_path / "a", state_probability=0.01, **reports)
    simulation.run(1500, arrival_probability=0.3)
    simulation.writer.close()

    result = replay.replay_file(tmp_path / "a", Balancer)

    assert result.difference is None
    assert result.calls > 1000
    assert result.states_checked > 3
    assert result.states_differ == []


def test_client_connections_of_requests_are_replayed(tmp_path):
    class ConnectedSimulation(CapturedSimulation):
        def make_request(self, *arguments, **options):
            request = super().make_request(*arguments, **options)
            request.client_connection = len(self.requests) % 3 or None
            return request

    simulation = ConnectedSimulation(4, tmp_path / "a", state_probability=0.01)
    simulation.latency_of = constant(200 * MILLISECOND)
    simulation.run(1500, arrival_probability=0.7)
    simulation.writer.close()
    fairness = "request.value / counts[connection]"

    result = replay.replay_file(tmp_path / "a", Balancer)
    unfair = changed_policy(tmp_path, "admission", fairness, "request.value")

    assert result.difference is None
    assert result.states_checked > 3 and result.states_differ == []
    assert replay.replay_file(tmp_path / "a", unfair).difference is not None


def test_capture_that_begins_with_a_state_replays_from_there(tmp_path):
    simulation = CapturedSimulation(3, tmp_path / "a")
    simulation.run(500, arrival_probability=0.3)
    simulation.writer.close()
    simulation.writer = ContainerWriter(tmp_path / "b", FileMetadata("capture", 1))
    simulation.recorder.write_state(simulation.now)
    simulation.run(500, arrival_probability=0.3)
    simulation.writer.close()

    result = replay.replay_file(tmp_path / "b", Balancer)

    assert result.difference is None
    assert result.calls > 300
    assert result.beginnings == 1


def test_replay_differs_if_a_constant_has_another_value(tmp_path):
    simulation = CapturedSimulation(5, tmp_path / "a")
    simulation.run(1500, arrival_probability=0.5)
    simulation.writer.close()
    constant = "MAX_QUEUE_TIME = 0.2 "

    changed = changed_policy(tmp_path, "admission", constant, "MAX_QUEUE_TIME = 0.21 ")
    difference = replay.replay_file(tmp_path / "a", changed).difference
    equivalent = changed_policy(tmp_path, "admission", constant, "MAX_QUEUE_TIME = 0.20 ")

    assert difference is not None
    assert difference.recorded != difference.replayed
    assert difference.name in ("take", "ended", "wake", "listing")
    assert difference.stage
    assert replay.replay_file(tmp_path / "a", equivalent).difference is None


def test_replay_differs_if_the_policy_reads_a_clock(tmp_path):
    simulation = CapturedSimulation(6, tmp_path / "a")
    simulation.run(1500, arrival_probability=0.5)
    simulation.writer.close()
    line = "request.accepted_at = now\n"
    reads_clock = "now += __import__('time').perf_counter_ns() % 1000\n        " + line

    build = changed_policy(tmp_path, "completion", line, reads_clock)

    assert replay.replay_file(tmp_path / "a", build).difference is not None


def test_exception_in_the_policy_is_replayed_as_the_same_exception(tmp_path):
    line = "request.accepted_at = now\n"
    raises = f"{line}        if request.id == 5:\n            raise ArithmeticError\n"
    build = changed_policy(tmp_path, "completion", line, raises)
    simulation = CapturedSimulation(7, tmp_path / "a", make_policy=build)
    assert sum(step_raises(simulation) for _ in range(400)) == 1
    simulation.writer.close()

    result = replay.replay_file(tmp_path / "a", build)
    difference = replay.replay_file(tmp_path / "a", Balancer).difference

    assert result.difference is None
    assert result.calls > 200
    assert (difference.fault, difference.name, difference.about) == (None, "take", "5")


def step_raises(simulation):
    """Run one step; continue if the policy raises an exception, and return whether it did."""
    try:
        simulation.run(1, arrival_probability=0.5)
    except ArithmeticError:
        # The actions that the policy added before the exception are still carried out.
        actions, simulation.recorder.actions = simulation.recorder.actions, []
        simulation.responses[simulation.requests[-1]] = "fault"
        simulation.perform(actions)
        return True
    return False


@pytest.mark.parametrize("path", STORED_CAPTURES, ids=lambda path: path.stem)
def test_stored_captures_replay_byte_identically(path):
    """Fails if the policy's decisions change.

    If the change is intended, record the captures again and say so in the commit.
    """
    result = replay.replay_file(path, Balancer)

    assert result.difference is None
    assert result.calls > 500
    assert not result.lost_bytes
    assert path.stat().st_size < 300 * 1024


@pytest.mark.parametrize(("module", "before", "after"), ReplayProof.CHANGES)
def test_policy_contains_each_text_that_the_replay_proof_changes(module, before, after):
    # ReplayProof, an acceptance test of the lab, replaces these texts in a copy of the policy. It
    # failed to change anything after a constant had been renamed.
    text = (POLICY_FOLDER / f"{module}.py").read_text(encoding="utf-8")

    assert text.count(before) == 1
    assert before != after


def test_replay_of_the_stored_captures_differs_if_a_constant_has_another_value(tmp_path):
    constants = "MAX_SPEED, FAILURE_PENALTY = 2.0, "
    build = changed_policy(tmp_path, "outlier", constants, constants.replace("2.0", "1.2"))

    assert len(STORED_CAPTURES) == 3
    assert any(replay.replay_file(path, build).difference is not None for path in STORED_CAPTURES)


@pytest.mark.parametrize("keeps_classes", [True, False])
def test_states_after_a_reconfiguration_replay_without_differences(tmp_path, keeps_classes):
    """Requests in flight keep their service class objects through a reconfiguration.

    When a replay created all classes again, each state after a reconfiguration that kept them, for
    example a change of the fleet size, was reported as different, because it shared other objects.
    """
    simulation = CapturedSimulation(11, tmp_path / "a")
    simulation.run(300, arrival_probability=0.5)
    settings = dataclasses.replace(simulation.recorder.module.settings, fleet_size=3, index=1)
    if not keeps_classes:
        settings.service_classes = [
            dataclasses.replace(service_class) for service_class in settings.service_classes
        ]
    assert any(not request.finished for request in simulation.requests)

    simulation.recorder.reconfigure(simulation.now, settings, [])
    simulation.recorder.write_state(simulation.now)
    simulation.state_probability = 0.05
    simulation.run(300, arrival_probability=0.5)
    simulation.writer.close()
    result = replay.replay_file(tmp_path / "a", Balancer)

    assert result.difference is None
    assert result.states_checked > 3
    assert result.states_differ == []
