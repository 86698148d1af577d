"""Captures of random worlds replay to the last byte, and changes of the policy are found."""

import dataclasses
from pathlib import Path

import pytest

from pepperhook.balancer import Balancer
from pepperhook.capture import replay
from pepperhook.container import ContainerWriter, FileMetadata
from pepperhook.lab.proofs.replay import ReplayProof
from tests.capture.captured_world import POLICY_FOLDER, CapturedWorld, changed_policy
from tests.world import LOOKS

# Of the lab (`pepperhook lab prove replay --write tests/captures`), each from its policy's start.
RECORDED_RUNS = sorted((Path(__file__).parents[1] / "captures").glob("*.rec"))


@pytest.mark.parametrize("seed", range(8))
def test_random_worlds_replay_to_the_byte_and_their_states_are_equal(tmp_path, seed):
    # A load report that was counted on in place once made captures hold what came after it.
    reports = LOOKS if seed % 2 else {}
    world = CapturedWorld(seed, tmp_path / "a", state_chance=0.01, **reports)
    world.run(1500, chance=0.3)
    world.writer.close()

    result = replay.replay_file(tmp_path / "a", Balancer)

    assert result.difference is None
    assert result.calls > 1000
    assert result.states_checked > 3
    assert result.states_differ == []


def test_capture_that_begins_in_the_middle_replays_from_its_state(tmp_path):
    world = CapturedWorld(3, tmp_path / "a")
    world.run(500, chance=0.3)
    world.writer.close()
    world.writer = ContainerWriter(tmp_path / "b", FileMetadata("capture", 1))
    world.recorder.write_state(world.now)
    world.run(500, chance=0.3)
    world.writer.close()

    result = replay.replay_file(tmp_path / "b", Balancer)

    assert result.difference is None
    assert result.calls > 300
    assert result.beginnings == 1


def test_changed_constant_is_found_at_its_first_effect(tmp_path):
    world = CapturedWorld(5, tmp_path / "a")
    world.run(1500, chance=0.5)
    world.writer.close()
    constant = "MAX_QUEUE_TIME = 0.2 "

    longer = changed_policy(tmp_path, "admission", constant, "MAX_QUEUE_TIME = 0.21 ")
    difference = replay.replay_file(tmp_path / "a", longer).difference
    same = changed_policy(tmp_path, "admission", constant, "MAX_QUEUE_TIME = 0.20 ")

    assert difference is not None
    assert difference.recorded != difference.replayed
    assert difference.name in ("take", "ended", "wake", "listing")
    assert difference.stage
    assert replay.replay_file(tmp_path / "a", same).difference is None


def test_policy_that_reads_a_clock_is_found(tmp_path):
    world = CapturedWorld(6, tmp_path / "a")
    world.run(1500, chance=0.5)
    world.writer.close()
    line = "request.accepted_at = now\n"
    reads_clock = "now += __import__('time').perf_counter_ns() % 1000\n        " + line

    build = changed_policy(tmp_path, "completion", line, reads_clock)

    assert replay.replay_file(tmp_path / "a", build).difference is not None


def test_failure_of_the_policy_in_a_call_is_replayed_as_one(tmp_path):
    line = "request.accepted_at = now\n"
    fails = f"{line}        if request.id == 5:\n            raise ArithmeticError\n"
    build = changed_policy(tmp_path, "completion", line, fails)
    world = CapturedWorld(7, tmp_path / "a", make=build)
    assert sum(step_fails(world) for _ in range(400)) == 1
    world.writer.close()

    same = replay.replay_file(tmp_path / "a", build)
    other = replay.replay_file(tmp_path / "a", Balancer).difference

    assert same.difference is None
    assert same.calls > 200
    assert (other.fault, other.name, other.about) == (None, "take", "5")


def step_fails(world):
    """Do one step, and return whether the policy failed; the host then goes on."""
    try:
        world.run(1, chance=0.5)
    except ArithmeticError:
        # What the policy had decided before it failed is kept.
        actions, world.recorder.actions = world.recorder.actions, []
        world.answered[world.taken[-1]] = "fault"
        world.play(actions)
        return True
    return False


@pytest.mark.parametrize("path", RECORDED_RUNS, ids=lambda path: path.stem)
def test_recorded_runs_replay_to_the_byte(path):
    """A change of the decisions shows here; if it is wanted, capture the runs anew and say so."""
    result = replay.replay_file(path, Balancer)

    assert result.difference is None
    assert result.calls > 500
    assert not result.lost_bytes
    assert path.stat().st_size < 300 * 1024


@pytest.mark.parametrize(("module", "before", "after"), ReplayProof.CHANGES)
def test_what_the_acceptance_scenario_changes_is_in_the_policy(module, before, after):
    # A constant once was renamed, and the scenario had nothing to change.
    text = (POLICY_FOLDER / f"{module}.py").read_text(encoding="utf-8")

    assert text.count(before) == 1
    assert before != after


def test_changed_constant_is_found_by_the_recorded_runs(tmp_path):
    constants = "MAX_SPEED, FAILURE_PENALTY = 2.0, "
    build = changed_policy(tmp_path, "outlier", constants, constants.replace("2.0", "1.2"))

    assert len(RECORDED_RUNS) == 3
    assert any(replay.replay_file(path, build).difference is not None for path in RECORDED_RUNS)


@pytest.mark.parametrize("keeps_classes", [True, False])
def test_states_after_other_settings_are_those_of_the_capture(tmp_path, keeps_classes):
    """Requests in flight hold their service classes, also through a reconfiguration.

    A replay made all classes anew, so each state behind a reconfiguration that had left them as
    they were, as by a change of the fleet, was reported as different ("not the same object as
    elsewhere").
    """
    world = CapturedWorld(11, tmp_path / "a")
    world.run(300, chance=0.5)
    settings = dataclasses.replace(world.recorder.module.settings, fleet_size=3, index=1)
    if not keeps_classes:
        settings.service_classes = [dataclasses.replace(one) for one in settings.service_classes]
    assert any(not request.finished for request in world.taken)

    world.recorder.reconfigure(world.now, settings, [])
    world.recorder.write_state(world.now)
    world.state_chance = 0.05
    world.run(300, chance=0.5)
    world.writer.close()
    result = replay.replay_file(tmp_path / "a", Balancer)

    assert result.difference is None
    assert result.states_checked > 3
    assert result.states_differ == []
