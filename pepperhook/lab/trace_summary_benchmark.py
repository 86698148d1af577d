"""Measure the time and peak memory of summarizing a large trace.

A trace of the given size is generated from a seed, and the command line summarizes it in a process
of its own. The kernel reports that process's peak memory (Linux only).
"""

import json
import subprocess
import sys
import time
from pathlib import Path
from random import Random

from pepperhook.container import ContainerWriter, FileMetadata
from pepperhook.tracing import records

S = 10**9
SERVICE_CLASSES = ("look", "hold", "sale")
OUTCOMES = (records.RequestOutcome.SERVED,) * 6 + (
    records.RequestOutcome.REJECTED,
    records.RequestOutcome.FAILED,
)
TENANT_COUNT = 1_000_000
UPSTREAM_COUNT = 300
# VmHWM is the peak memory of this program alone. The peak in rusage would include the memory that
# its parent had when the process was started.
SUMMARY_SCRIPT = """
import re, sys
from pepperhook.cli import main
main(["trace", "summary", "--json", sys.argv[1]], standalone_mode=False)
print(re.search(r"VmHWM:\\s+(\\d+)", open("/proc/self/status").read())[1], file=sys.stderr)
"""


def write_trace(path, megabytes: float, seed: int, report_progress=lambda *_: None) -> int:
    """Write a trace of about this size and return its number of request traces.

    Ids are random like those of real clients; there are a million tenants.
    """
    rng, traces, accepted_ns = Random(seed), 0, 10**18
    writer = ContainerWriter(
        Path(path),
        FileMetadata("trace", records.CONTENT_VERSION, "b0-0", 0, 10**18, 10**18, {"share": 1.0}),
    )
    names = [f"t0-{number:03}" for number in range(UPSTREAM_COUNT)]
    max_bytes = int(megabytes * 1e6)
    while writer.size < max_bytes:
        for _ in range(2000):
            accepted_ns += rng.randrange(1000, 300_000)
            final, first, second = (
                OUTCOMES[traces % len(OUTCOMES)],
                names[rng.randrange(UPSTREAM_COUNT)],
                names[rng.randrange(UPSTREAM_COUNT)],
            )
            duration_us = 1000 + int(rng.expovariate(1 / 20_000))
            selection = records.Selection(
                "slice",
                8,
                1 + traces % 8,
                [
                    (first, rng.random(), rng.random() * 5, rng.random()),
                    (second, rng.random(), rng.random() * 5, rng.random()),
                ],
            )
            retry = (
                None
                if final == records.RequestOutcome.SERVED
                else records.RetryDecision(
                    "chance", rng.random(), 0.2, rng.random() / 5, rng.random()
                )
            )
            trace = records.RequestTrace(
                f"{rng.getrandbits(128):032x}",
                "",
                SERVICE_CLASSES[traces % 3],
                f"c{rng.randrange(TENANT_COUNT)}",
                accepted_ns,
                2_000_000,
                1_000_000,
                rng.random(),
                final,
                duration_us,
                final == records.RequestOutcome.SERVED and traces % 50 == 0,
                "" if retry is None else "not again: chance",
                [],
                [
                    records.AttemptTrace(
                        first,
                        200,
                        duration_us,
                        "fulfilled" if retry is None else "error",
                        selection,
                        retry,
                    )
                ],
            )
            writer.append(records.encode(trace), accepted_ns, records.index_keys(trace))
            traces += 1
        report_progress("writing", min(1.0, writer.size / max_bytes))
    writer.close()
    return traces


def measure(megabytes: float, seed: int, folder, report_progress=lambda *_: None) -> dict:
    """Return the figures of one summary.

    Raises OSError if the disk is full, RuntimeError if the summary failed.
    """
    path = Path(folder) / "large.trc"
    traces = write_trace(path, megabytes, seed, report_progress)
    report_progress("summarizing", 0.5)
    started_at = time.monotonic()
    completed = subprocess.run(
        [sys.executable, "-c", SUMMARY_SCRIPT, str(path)], capture_output=True, text=True
    )
    if completed.returncode:
        raise RuntimeError(
            f"the summary ended with {completed.returncode}: "
            f"{completed.stderr.strip().splitlines()[-1:]}"
        )
    summary, size = json.loads(completed.stdout), path.stat().st_size
    return {
        "megabytes": round(size / 1e6, 1),
        "lives": traces,
        "summed": summary["lives"],
        "bytes_a_life": round(size / traces, 1),
        "peak_mb": round(int(completed.stderr.split()[-1]) / 1024, 1),
        "seconds": round(time.monotonic() - started_at, 1),
    }
