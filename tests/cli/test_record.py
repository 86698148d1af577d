"""``pepperhook record``: its text and JSON output, and its exit codes."""

import json

import pytest

from pepperhook.capture import replay
from pepperhook.capture.replay import Difference, Replay
from tests.cli.commands import actual_output, command_of, expected_outputs, run

DIFFERENCE = Difference(
    call=3,
    now=1200,
    name="take",
    about="r1",
    recorded=[["wake", 1], ["shed", 4, "no room"]],
    replayed=[["wake", 1]],
    fault="KeyError",
    stage="AdmissionQueue.handle, line 7",
    led=["1100 take r1: nothing"],
)
DIFFERENCE_TEXT = """\
a.rec: 3 calls of 0.5 s in 0 s, 2 states checked, 0 bytes lost: DIFFERENT
    state: admission.queue: 1 and 2
    call 3, take at 1200, about r1
    recorded: shed 4 no room
    replayed: nothing (raised KeyError)
    by: AdmissionQueue.handle, line 7
      led by: 1100 take r1: nothing
"""


@pytest.mark.parametrize("row", expected_outputs("record"), ids=command_of)
def test_output_is_that_of_earlier_releases(row, tmp_path):
    assert actual_output(row["command"], tmp_path) == row


@pytest.fixture
def different_replay(monkeypatch):
    """A replay that differs from the capture in a state and in a call."""
    result = Replay("a.rec", 3, 0.5, DIFFERENCE, states_checked=2)
    result.states_differ = ["admission.queue: 1 and 2"]
    monkeypatch.setattr(replay, "replay_file", lambda *_: result)


@pytest.mark.usefixtures("different_replay")
def test_difference_is_printed_with_the_calls_before_it(tmp_path):
    row = actual_output("record replay a.rec", tmp_path)

    assert row["exit_code"] == 1
    assert row["stdout"] == DIFFERENCE_TEXT


@pytest.mark.usefixtures("different_replay")
def test_difference_is_an_object_in_json_output():
    result = run("record", "replay", "a.rec", "--json")

    assert result.exit_code == 1
    assert json.loads(result.stdout)["difference"] == {
        "call": 3,
        "now": 1200,
        "name": "take",
        "about": "r1",
        "recorded": [["wake", 1], ["shed", 4, "no room"]],
        "replayed": [["wake", 1]],
        "fault": "KeyError",
        "stage": "AdmissionQueue.handle, line 7",
        "led": ["1100 take r1: nothing"],
    }


def test_command_fails_if_one_of_several_captures_differs(monkeypatch):
    rows = [Replay("a.rec", 1, 0.1, None, states_differ=["x"]), Replay("b.rec", 1, 0.1, None)]
    monkeypatch.setattr(replay, "replay_file", lambda path, _: rows[path == "b.rec"])

    result = run("record", "replay", "a.rec", "b.rec")

    assert result.exit_code == 1
    assert [line.rpartition(": ")[2] for line in result.stdout.splitlines()] == [
        "DIFFERENT",
        "x",
        "the same",
    ]
