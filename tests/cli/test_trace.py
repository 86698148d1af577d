"""``pepperhook trace``: its text and JSON output, and its exit codes."""

import pytest

from pepperhook.tracing import merge, retrace
from pepperhook.tracing.clock_offsets import Offset
from tests.cli.commands import actual_output, command_of, expected_outputs, run

FRONT = "tests/data/stored-0.2/front.trc"


@pytest.fixture
def directory(tmp_path):
    """A directory with keys for pseudonyms and a file that is not a trace."""
    (tmp_path / "key").write_text("a key of the installation\n")
    (tmp_path / "short").write_text("x")
    (tmp_path / "text.trc").write_text("no trace")
    return tmp_path


@pytest.mark.parametrize("row", expected_outputs("trace"), ids=command_of)
def test_output_is_that_of_earlier_releases(row, directory):
    assert actual_output(row["command"], directory) == row


def test_make_fails_and_prints_the_call_whose_result_differs(monkeypatch):
    result = retrace.RetraceResult("x.trc", lives=57, calls=525, differs_at=7)
    monkeypatch.setattr(retrace, "trace_captures", lambda *_: result)

    command = run("trace", "make", "a.rec", "-o", "x.trc")

    text = "x.trc: 57 lives of 525 calls; DIFFERENT from what was captured at call 7\n"
    assert (command.exit_code, command.stdout) == (1, text)
    assert run("trace", "make", "a.rec", "-o", "x.trc", "--json").exit_code == 1


def test_merge_prints_which_clock_offsets_are_unknown_or_contradictory(monkeypatch):
    clocks = [
        Offset("front", 0, 0, 0, False),
        Offset("back", -1_500_000, 250_000, 4, True),
        Offset("alone", 0, None, 0, False),
    ]
    merged = merge.Merged(lives=9, doubled=2, clocks=clocks, unmatched=1, before_their_dispatch=3)
    monkeypatch.setattr(merge, "merge", lambda *_: merged)

    lines = run("trace", "merge", "a.trc", "-o", "x.trc").stdout.splitlines()

    assert lines == [
        "x.trc: 9 lives, 2 were there twice, 1 calls matched no dispatch, 3 come before theirs",
        "    front: +0.000 ms ahead, error at most 0.000 ms, 0 calls",
        "    back: -1.500 ms ahead, error at most 0.250 ms, 4 calls, which contradict each other: "
        "it drifted or stepped",
        "    alone: +0.000 ms ahead, error at most not known: nothing ties it to the first, "
        "0 calls",
    ]


@pytest.mark.parametrize("words", [("show", "18", FRONT, "--svg"), ("report", FRONT, "-o")])
def test_file_that_cannot_be_written_is_reported_in_one_line(tmp_path, words):
    result = run("trace", *words, tmp_path / "none" / "file")

    assert result.exit_code == 1
    assert result.stdout == ""
    assert result.stderr.startswith(f"Error: {tmp_path}/none/")
    assert result.stderr.count("\n") == 1


def test_written_file_replaces_an_existing_one(tmp_path):
    path = tmp_path / "page.html"
    path.write_text("old")

    result = run("trace", "report", FRONT, "-o", path, "--title", "Stored")

    assert result.exit_code == 0
    assert "<title>Stored</title>" in path.read_text()
    assert list(tmp_path.iterdir()) == [path]
