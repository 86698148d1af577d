"""The ``trace`` commands, and ``record keep``, which has a balancer preserve its rings."""

import json
import os
import subprocess
import sys

import pytest
from click.testing import CliRunner

from pepperhook.cli import main
from pepperhook.units import SECOND
from tests.tracing.traces import two_tiers

# Prints a line once its signal handler is installed.
EXIT_ON_SIGUSR2 = (
    "import signal, sys; signal.signal(signal.SIGUSR2, lambda *_: sys.exit(7)); "
    "print(1, flush=True); signal.pause()"
)


def run(*arguments, exit_code=0):
    """Run a command, check its exit code, and return its output."""
    result = CliRunner().invoke(main, [str(argument) for argument in arguments])
    assert result.exit_code == exit_code, result.output
    return result.output


@pytest.fixture
def tiers(tmp_path):
    """Traces of two tiers whose clocks are a second apart, a key, and files that are rejected."""
    (tmp_path / "key").write_text("a key of the installation\n")
    (tmp_path / "short").write_text("x")
    (tmp_path / "text.trc").write_text("no trace")
    return two_tiers(tmp_path, SECOND)


@pytest.fixture
def front(tiers):
    return tiers[0]


@pytest.fixture
def request_id(tiers):
    return tiers[2][7].id


def test_info_and_summary_count_the_requests(front):
    assert json.loads(run("trace", "info", front, "--json"))["lives"] == 60
    assert "60 lives" in run("trace", "summary", front)
    assert json.loads(run("trace", "summary", front, "--json"))["lives"] == 60


def test_grep_prints_matching_requests_and_fails_without_a_match(front, request_id):
    assert request_id in run("trace", "grep", front, "--id", request_id)
    assert run("trace", "grep", front, "--id", "no", exit_code=1) == ""


def test_merge_prints_the_clock_offsets(tiers, tmp_path):
    # The clock is 1000 ms ahead; the estimate is the middle of its bounds.
    assert "back: +999.0" in run("trace", "merge", *tiers[:2], "-o", tmp_path / "m.trc")


def test_strip_report_and_cut_count_the_requests(tiers, tmp_path, request_id):
    front, back = tiers[:2]
    key, out = tmp_path / "key", tmp_path / "out"

    stripped = run("trace", "strip", front, "--key-file", key, "-o", out)
    report = run("trace", "report", front, back, "-o", tmp_path / "r.html")
    cut = run("trace", "cut", front, "--id", request_id, "-o", tmp_path / "c.trc")

    assert "60 lives" in stripped
    assert "120 lives" in report
    assert "1 lives" in cut


def test_show_prints_the_request_and_writes_an_svg(front, request_id, tmp_path):
    output = run("trace", "show", request_id, front, "--svg", tmp_path / "s.svg")

    assert request_id in output
    assert (tmp_path / "s.svg").exists()


def test_show_of_an_unknown_request_fails(front):
    assert "is in none of 1 files" in run("trace", "show", "unknown", front, exit_code=1)


@pytest.mark.parametrize(
    ("command", "problem"),
    [
        ("info DIR/none.trc", "none.trc"),
        ("summary DIR/text.trc", "is no record"),
        ("strip FRONT --key-file DIR/short -o DIR/o", "16 bytes"),
        ("strip FRONT --key-file DIR/nokey -o DIR/o", "--key-file"),
        ("cut FRONT --from noon -o DIR/c", "--from"),
        ("make FRONT -o DIR/x", "no capture"),
        ("make FRONT -o DIR/x --parent (", "--parent"),
    ],
)
def test_bad_input_is_reported_in_one_line(front, tmp_path, command, problem):
    command = command.replace("DIR", str(tmp_path)).replace("FRONT", str(front))

    output = run("trace", *command.split(), exit_code=2)

    # Lines with a percentage show progress.
    lines = [line for line in output.splitlines() if "%" not in line]
    assert len(lines) == 1
    assert problem in lines[0]


@pytest.mark.parametrize(
    ("pid", "problem"),
    # The second one is above the largest process id of Linux.
    [(os.getpid(), "is no balancer"), (2**22 + 1, "no such process")],
)
def test_record_keep_rejects_a_pid_that_is_not_of_a_balancer(pid, problem):
    assert problem in run("record", "keep", pid, exit_code=2)


def test_record_keep_sends_sigusr2_to_the_balancer():
    # The last argument makes the process pass for a balancer.
    command = [sys.executable, "-c", EXIT_ON_SIGUSR2, "pepperhook"]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        process.stdout.readline()

        run("record", "keep", process.pid)

        assert process.wait(30) == 7  # the exit code of the signal handler
