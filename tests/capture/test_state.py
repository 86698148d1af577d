"""Stored states: which are refused, and how states are compared."""

import os
import pickle

import pytest

from pepperhook.capture import policy_build, replay, state
from pepperhook.capture.state_errors import StateRefusedError
from pepperhook.container import ContainerWriter, FileMetadata
from tests.capture.captured_simulation import CapturedSimulation, changed_policy


def test_state_of_another_shape_is_refused(tmp_path):
    simulation = CapturedSimulation(8, tmp_path / "a")
    simulation.run(100)
    simulation.writer.close()
    simulation.writer = ContainerWriter(tmp_path / "b", FileMetadata("capture", 1))
    simulation.recorder.write_state(simulation.now)
    simulation.run(50)
    simulation.writer.close()
    line = "self.queue = ValueQueue()"
    build = changed_policy(tmp_path, "admission", line, f"{line}\n        self.extra = 1")

    with pytest.raises(StateRefusedError, match="shape"):
        replay.replay_file(tmp_path / "b", build)


def test_state_that_names_a_function_outside_the_policy_is_refused():
    with pytest.raises(StateRefusedError, match="getcwd"):
        state.deserialize(pickle.dumps(os.getcwd), policy_build.current_build())


def test_equal_states_have_no_differences():
    left, right = [1], [1]

    assert state.differences({"a": left, "b": left}, {"a": right, "b": right}) == []
    assert not state.differences([0.3], [0.3])


def test_differences_in_values_order_and_shared_references_are_reported():
    shared = [1]

    assert state.differences({"a": shared, "b": shared}, {"a": [1], "b": [1]})
    assert state.differences({"a": 1, "b": 2}, {"b": 2, "a": 1})
    assert state.differences([0.1 + 0.2], [0.3])
