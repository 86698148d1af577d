"""Runs each command of the command line once, on small input.

Guards against commands that no test runs: renames once broke ``lab trace-cost`` (ImportError) and a
program that the comparison of journals starts (NameError), and no test failed.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys

import click
import pytest

from pepperhook.cli import main
from pepperhook.lab import journals
from tests.cli.commands import ROOT, run
from tests.control_plane.helpers import SECRET, RunningControlService
from tests.programs import free_port, write_config
from tests.server.balancers import ENVIRONMENT, wait_until

STORED = ROOT / "tests/data/stored-0.2"
TRACE = STORED / "front.trc"
CAPTURE = ROOT / "tests/captures/late-list.rec"
EXPERIMENT = """
version = 1
name = "small"
seconds = 1
seed = 1
[[grades]]
name = "look"
time_limit_ms = 500
work_ms = 1
[[tiers]]
upstreams = 2
[[load]]
rate = 20
[[variants]]
name = "one"
[[variants]]
name = "two"
"""
SHUTDOWN_TIMEOUT_S = 30


def command_names(command, words=()):
    """Yield the full names of all commands, without groups."""
    if not isinstance(command, click.Group):
        yield " ".join(words)
        return
    for name, subcommand in command.commands.items():
        yield from command_names(subcommand, (*words, name))


# Arguments by command; {tmp} stands for the test's folder, {port} for a free port.
ARGUMENTS = {
    "check": "--config {tmp}/config.json",
    "completion": "bash",
    "config show": "--config {tmp}/config.json",
    "explain": f"op7 {STORED}/chain.log",
    "lab capacity": "--rate 50 --seconds 1",
    "lab control-load": "--members 1 --port {port}",
    "lab proofs": "",
    "lab speed": "--rounds 1 --seconds 2",
    "lab trace-cost": f"{CAPTURE} --rounds 1",
    "lab trace-size": "--mb 0.1",
    "record info": f"{CAPTURE}",
    "record replay": f"{CAPTURE}",
    "trace cut": f"{TRACE} -o {{tmp}}/cut.trc",
    "trace export": f"{TRACE} --format csv -o {{tmp}}/front.csv",
    "trace grep": f"{TRACE} --most 1",
    "trace info": f"{TRACE}",
    "trace make": f"{STORED}/capture-new.rec -o {{tmp}}/made.trc",
    "trace merge": f"{TRACE} {STORED}/back.trc -o {{tmp}}/merged.trc",
    "trace report": f"{TRACE} -o {{tmp}}/report.html",
    "trace strip": f"{TRACE} --key-file {{tmp}}/keys -o {{tmp}}/stripped.trc",
    "trace summary": f"{TRACE}",
}
# Commands with tests of their own below.
TESTED_SEPARATELY = {"run", "demo", "gossip", "record keep", "trace show"}
# ``lab prove`` and ``lab soak`` are run in full elsewhere.
LAB_RUNS = {"lab run", "lab report", "lab compare", "lab prove", "lab soak"}
CONTROL_COMMANDS = {name for name in command_names(main) if name.startswith("control ")}


def test_every_command_is_in_a_list_of_tested_commands():
    tested = set(ARGUMENTS) | TESTED_SEPARATELY | LAB_RUNS | CONTROL_COMMANDS
    assert set(command_names(main)) == tested


@pytest.mark.parametrize("name", ARGUMENTS)
def test_command_succeeds(name, tmp_path):
    write_config(tmp_path)
    (tmp_path / "keys").write_text(f"k1 {SECRET}\n")
    words = ARGUMENTS[name].format(tmp=tmp_path, port=free_port()).split()

    result = run(*name.split(), *words)

    # A measurement refuses to run on a machine with too little CPU time.
    is_too_busy = "could not run" in result.output
    assert result.exit_code == 0 or is_too_busy, result.output
    assert result.output


def test_trace_show_shows_a_request_that_grep_finds():
    matches = json.loads(run("trace", "grep", str(TRACE), "--most", "1", "--json").stdout)
    first = matches[0] if isinstance(matches, list) else matches

    result = run("trace", "show", first["id"], str(TRACE))

    assert result.exit_code == 0, result.output


def test_experiment_is_run_reported_and_compared(tmp_path):
    experiment, out = tmp_path / "small.toml", tmp_path / "out"
    experiment.write_text(EXPERIMENT)

    result = run("lab", "run", experiment, "--out", out)
    assert result.exit_code == 0, result.output
    folder = next(path for path in (out, *out.iterdir()) if list(path.rglob("result.json")))

    assert run("lab", "report", folder).exit_code == 0
    assert run("lab", "compare", folder, "one", "two").exit_code == 0


def test_prove_lists_the_scenarios_if_the_name_is_unknown():
    result = run("lab", "prove", "nothing")  # .ci/scenarios runs each scenario

    assert result.exit_code == 2
    assert "auditor" in result.output


def test_journals_are_compared(tmp_path):
    result = journals.measure(
        tmp_path, lambda *_: None, counts=(50,), requests=journals.CONCURRENCY, rounds=1
    )

    assert [(row["journal"], row["entries"]) for row in result["reading"]] == [
        ("own", 50),
        ("sqlite", 50),
    ]


def program(*words, **environ):
    """Start a command as a process."""
    return subprocess.Popen(
        [sys.executable, "-m", "pepperhook.cli", *map(str, words)],
        env=os.environ | environ,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def read_until(process, text):
    """Read the output of a process up to a line that contains ``text``, and return the line."""
    for line in process.stdout:
        if text in line:
            return line
    raise AssertionError(f"the process ended without {text!r}")


def test_run_serves_until_sigterm_and_record_keep_makes_it_save_its_capture(tmp_path):
    settings = ENVIRONMENT | {"discovery": "push"}
    environ = write_config(tmp_path, listen=f"127.0.0.1:{free_port()}", settings=settings)
    (tmp_path / "operator.toml").write_text(f'version = 1\n[record]\nfolder = "{tmp_path}/ring"\n')
    process = program("run", "--operator", tmp_path / "operator.toml", **environ)
    try:
        read_until(process, "event=started")
        assert run("record", "keep", process.pid).exit_code == 0
        read_until(process, "record_kept")
        process.send_signal(signal.SIGTERM)
        read_until(process, "event=ended")
        assert process.wait(SHUTDOWN_TIMEOUT_S) == 0
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def test_demo_runs_its_fleet_and_writes_its_report(tmp_path):
    result = run("demo", "--seconds", "10", "--out", tmp_path)

    assert result.exit_code == 0, result.output
    assert any(tmp_path.rglob("*"))


def test_gossip_reports_a_member_that_does_not_respond(tmp_path):
    (tmp_path / "keys").write_text(f"k1 {SECRET}\n")

    result = run("gossip", f"127.0.0.1:{free_port()}", "--keys", tmp_path / "keys")

    assert result.exit_code == 1
    assert result.output.count("\n") == 1


async def test_commands_of_the_control_service_succeed(tmp_path):
    (tmp_path / "keys").write_text(f"k1 {SECRET}\n")
    document = tmp_path / "doc.toml"
    document.write_text("version = 1\n")
    async with RunningControlService(tmp_path / "store") as service:
        for words in (
            f"plan {document}",
            f"propose {document} --author ann --reason first",
            "versions",
            "show 1",
            "rollout 1 --author ann --steps 50%:60,100%:0",
            "hold --reason wait",
            "resume --reason on",
            "back --reason off",
            "status",
        ):
            options = ["--service", service.address, "--keys", tmp_path / "keys"]
            result = await asyncio.to_thread(run, "control", *words.split(), *options)
            assert result.exit_code == 0, f"{words}: {result.output}"
    assert run("control", "new-key", "k2").exit_code == 0


async def test_control_service_starts_and_responds(tmp_path):
    (tmp_path / "keys").write_text(f"k1 {SECRET}\n")
    address = f"127.0.0.1:{free_port()}"
    options = ["--listen", address, "--store", tmp_path / "store", "--keys", tmp_path / "keys"]
    process = program("control", "serve", *options)
    try:

        def responds():
            status = ("--service", address, "--keys", tmp_path / "keys")
            return run("control", "status", *status).exit_code == 0

        await asyncio.to_thread(lambda: asyncio.run(wait_until(responds, 0.1)))
        process.send_signal(signal.SIGTERM)
        assert process.wait(SHUTDOWN_TIMEOUT_S) == 0
    finally:
        process.kill()
        process.wait()
        process.stdout.close()
