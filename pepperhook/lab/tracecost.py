"""Measure the cost that tracing adds to the policy's decisions.

It replays the calls of a capture with tracing off, sampled and complete, and with another revision,
in turn. It measures CPU time spent in calls to the policy, which is the decisions' part of a
request. ``python -m pepperhook.lab.tracecost CAPTURE`` prints one run with tracing off as JSON; a
revision is measured that way, in a process of its own.
"""

import gc
import json
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from statistics import median
from typing import Any, NamedTuple

from pepperhook.balancer import Balancer
from pepperhook.capture.driver import Driver
from pepperhook.capture.reader import open_capture, read_records
from pepperhook.capture.revision_replay import RevisionBuild
from pepperhook.container import UnreadableFileError
from pepperhook.stored_words import CALLS
from pepperhook.tracing.records import encode
from pepperhook.tracing.tracer import Tracer

NS_PER_S = 1e9
US_PER_S = 1e6
ROOT = Path(__file__).resolve().parents[2]
# Fraction of requests that are traced; None: tracing is off.
MODES: dict[str, float | None] = {"off": None, "sampled, 1%": 0.01, "whole": 1.0}

Record = list[Any]
ReportProgress = Callable[[str, float], None]


class Run(NamedTuple):
    """One replay of a capture."""

    seconds: float  # CPU time in calls to the policy
    requests: int
    traced_bytes: int = 0
    traces: int = 0


def play(records: Sequence[Record], sampled_fraction: float | None = None) -> Run:
    """Replay the records, without tracing if ``sampled_fraction`` is None."""
    driver, traces = Driver(Balancer), []
    spent_ns = requests = 0
    clock = time.process_time_ns
    for kind, *rest in records:  # kinds of a capture's records
        if kind == "new" or (kind == "state" and driver.policy is None):
            begin = driver.start_policy if kind == "new" else driver.restore_state
            begin(*rest)
            if sampled_fraction is not None:
                append_size = lambda trace: traces.append(len(encode(trace)))  # noqa: E731
                driver.policy = Tracer(driver.policy, append_size, (), (), sampled_fraction)
        elif kind == "upstream":
            driver.add_upstream(*rest)
        elif kind == "operation":
            driver.add_request(*rest)
        elif kind == "call" and driver.policy is not None:
            name, now, arguments, _, _ = rest
            requests += name == CALLS["accept"]
            started_at = clock()
            driver.call(name, now, arguments)
            spent_ns += clock() - started_at
    return Run(spent_ns / NS_PER_S, requests, sum(traces), len(traces))


def read(path: str | Path) -> list[Record]:
    """Return all records of a capture. Raises UnreadableFileError."""
    with open_capture(path) as reader:
        return list(read_records(reader))


def play_revision(build: RevisionBuild, path: str | Path) -> Run:
    """Replay with a revision's own code. Raises UnreadableFileError."""
    completed = subprocess.run(
        [sys.executable, "-m", "pepperhook.lab.tracecost", str(Path(path).resolve())],
        cwd=build.folder.name,
        capture_output=True,
        text=True,
        check=False,
    )
    if completed.returncode:
        reason = (completed.stderr.strip().splitlines() or ["nothing was printed"])[-1]
        raise UnreadableFileError(f"revision {build.revision}: {reason}")
    return Run(*json.loads(completed.stdout))


def measure(
    path: str | Path,
    revision: str | None = None,
    rounds: int = 7,
    report_progress: ReportProgress = lambda *_: None,
) -> dict[str, Any]:
    """Return the microseconds per request in each mode, and a trace's bytes before compression."""
    records = read(path)
    build = None if revision is None else RevisionBuild(revision, ROOT)
    names = [*([] if build is None else [f"revision {revision}"]), *MODES]
    runs: dict[str, list[Run]] = {name: [] for name in names}
    for turn in range(rounds):
        first = turn % len(names)
        for name in names[first:] + names[:first]:
            report_progress(name, turn / rounds)
            gc.collect()
            if build is not None and name not in MODES:
                runs[name].append(play_revision(build, path))
            else:
                runs[name].append(play(records, MODES[name]))
    return {
        "file": str(path),
        "operations": runs["off"][0].requests,
        "rounds": rounds,
        "us_an_operation": {name: _times(rows) for name, rows in runs.items()},
        # Bytes of a request's trace.
        "raw_bytes_a_life": {
            name: round(rows[-1].traced_bytes / rows[-1].traces, 1)
            for name, rows in runs.items()
            if rows[-1].traces
        },
    }


def _times(runs: Sequence[Run]) -> dict[str, float]:
    """Return the least and the median of the microseconds per request."""
    times = [run.seconds * US_PER_S / max(1, run.requests) for run in runs]
    return {"least": round(min(times), 2), "median": round(median(times), 2)}


if __name__ == "__main__":
    print(json.dumps(play(read(sys.argv[1]))))
