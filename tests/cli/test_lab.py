"""``pepperhook lab`` and ``demo``: their output for given results, and their exit codes."""

import sys
from types import SimpleNamespace

import pytest

import pepperhook.lab
from pepperhook.lab import (
    control_benchmark,
    demo,
    experiment,
    load_generator_limit,
    matrix,
    proofs,
    report,
    scenario_run,
    throughput,
    trace_summary_benchmark,
)
from tests.cli.commands import actual_output, command_of, expected_outputs

EXPERIMENT = SimpleNamespace(
    name="day",
    seed=7,
    repeats=2,
    variants=[SimpleNamespace(name="base"), SimpleNamespace(name="other")],
)
PAIRING = {"a_core_per_s": 2612.4, "half_p50_ms": 1.234, "half_p99_ms": 5.678, "core_ms": 0.3827}


# ``lab proofs`` prints the docstrings of the fake scenarios, and ``expected/lab.json`` has them.
class FakeProof:
    """Holds unless a fault is injected."""

    plants = {"fault": "one thing is broken", "busy": "the machine is too busy"}
    write = None

    def __init__(self, full, plant, seed, update):
        self.full = full
        self.plant = plant
        self.seed = seed
        self.update = update

    def prove(self):
        self.update("first part", 0.5)
        self.update("first part", 0.75)
        self.update("second part", 1.0)
        if self.plant == "busy":
            raise scenario_run.RunError("this machine is too busy")
        return {"proof": "fake", "holds": self.plant is None, "full": self.full, "seed": self.seed}


class FakeMeasurement(FakeProof):
    """Writes a page."""

    plants = {}

    def write(self, folder, result):
        (folder / "page.md").write_text(f"holds: {result['holds']}\n")


class InterruptedProof(FakeProof):
    """Is interrupted by its user."""

    plants = {}

    def prove(self):
        raise KeyboardInterrupt


def play(_, folder, seed, repeats, only, update):
    """Simulate a run of an experiment; the folder's name determines how it ends."""
    update("base, seed 7", 0.5)
    if folder.name == "nothing":
        return []
    if folder.name == "failed":
        raise scenario_run.RunError("no balancer came up")
    return [{"folder": folder.name, "seed": seed, "repeats": repeats, "only": list(only)}]


def summarize(_, results):
    findings = {"lost": 1} if results[0]["folder"] == "findings" else {}
    return {"experiment": "day", "variants": [{"findings": findings, "results": results}]}


def read_results(folder):
    if folder.name == "empty":
        raise ValueError("no result.json is in it")
    return EXPERIMENT, [{"variant": name, "folder": folder.name} for name in ("other", "base")]


def compare(_, base, other):
    row = {"base": 0.9, "other": 0.91, "difference": 0.01, "low": -0.02, "high": 0.03}
    return {"base": base, "other": other, "seeds": [7], "figures": {"goodput": row}}


def measure_control(counts, _folder, port, update):
    update("members", 0.5)
    if port == 1:
        raise control_benchmark.MeasurementError("the service did not come up")
    return [{"members": count, "port": port} for count in counts]


def measure_trace_size(megabytes, seed, _folder, _update):
    if seed == 0:
        raise RuntimeError("the summary ended with 1")
    return {"megabytes": megabytes, "lives": 12}


def measure_speed(rounds, seconds, seed, _folder, _update):
    if seed == 0:
        raise scenario_run.RunError("something else was the bottleneck")
    pairings = {"1-2": {**PAIRING, "core_ms_ratios": [0.9, 1.25, 1.3]}}
    return {"rounds": rounds, "seconds": seconds, "pairings": pairings}


def measure_trace_cost(capture, revision, rounds, _update):
    row = {"least": 9.5, "median": 10.25}
    figures = {"operations": 57, "rounds": rounds, "us_an_operation": {"off": row}}
    return {"file": capture, "revision": revision, **figures}


def show_demo(seconds, folder):
    if seconds == 11:
        raise OSError("no room")
    return folder / "report.html"


@pytest.fixture
def directory(tmp_path, monkeypatch):
    """A directory with folders of results, and fakes of the lab's measurements."""
    for name in ("results", "empty"):
        (tmp_path / name).mkdir()
    scenarios = {"fake": FakeProof, "page": FakeMeasurement, "stopped": InterruptedProof}
    monkeypatch.setattr(proofs, "PROOFS", scenarios)
    monkeypatch.setattr(experiment, "read", lambda _: EXPERIMENT)
    monkeypatch.setattr(matrix, "play", play)
    monkeypatch.setattr(matrix, "summary", summarize)
    monkeypatch.setattr(matrix, "read", read_results)
    monkeypatch.setattr(matrix, "compare", compare)
    monkeypatch.setattr(report, "write", lambda *_: None)
    monkeypatch.setattr(report, "markdown", lambda *_: "| variant |")
    monkeypatch.setattr(
        load_generator_limit, "measure", lambda rate, s: {"asked_per_s": rate, "seconds": s}
    )
    monkeypatch.setattr(throughput, "measure", measure_speed)
    monkeypatch.setattr(control_benchmark, "measure", measure_control)
    monkeypatch.setattr(trace_summary_benchmark, "measure", measure_trace_size)
    fake_trace_cost = SimpleNamespace(measure=measure_trace_cost)
    monkeypatch.setattr(pepperhook.lab, "tracecost", fake_trace_cost, raising=False)
    monkeypatch.setattr(demo, "run", show_demo)
    return tmp_path


@pytest.mark.parametrize("row", expected_outputs("lab"), ids=command_of)
def test_output_is_that_of_earlier_releases(row, directory):
    assert actual_output(row["command"], directory) == row


def test_page_of_a_measurement_is_written_to_the_given_folder(directory):
    command = "lab prove page --write {tmp}/pages/new"

    assert actual_output(command, directory)["exit_code"] == 0
    assert (directory / "pages" / "new" / "page.md").read_text() == "holds: True\n"


def test_error_in_an_experiment_file_is_invalid_input(directory, monkeypatch):
    monkeypatch.undo()
    (directory / "bad.toml").write_text("version = 9\n")

    row = actual_output("lab run {tmp}/bad.toml", directory)

    assert row["exit_code"] == 2
    assert row["stderr"].startswith("pepperhook: {tmp}/bad.toml")
    assert row["stderr"].count("\n") == 1


def test_figure_without_a_value_is_a_dash(directory, monkeypatch):
    figure = {"base": 0.9, "other": None, "difference": 0.0, "low": 0.0, "high": 0.0}
    comparison = {"seeds": [], "figures": {"goodput": figure}}
    monkeypatch.setattr(matrix, "compare", lambda *_: comparison)

    row = actual_output("lab compare {tmp}/results base other", directory)

    assert row["exit_code"] == 0
    assert row["stdout"].split()[:3] == ["goodput", "0.9", "-"]


@pytest.mark.parametrize("name", ["hdrh", "numpy", "uvloop"])
def test_missing_package_is_named(directory, monkeypatch, name):
    monkeypatch.setitem(sys.modules, name, None)

    row = actual_output("lab proofs", directory)

    assert row["exit_code"] == 2
    assert row["stderr"] == (
        f"pepperhook: the lab needs {name}: pip install -r requirements-lab.txt\n"
    )
