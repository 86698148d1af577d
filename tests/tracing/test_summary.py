"""Figures of traces, and the memory needed to compute them."""

import random
import tracemalloc

import pytest
from click.testing import CliRunner

from pepperhook.cli import main
from pepperhook.lab import trace_summary_benchmark
from pepperhook.tracing.heavy_hitters import SpaceSaving
from tests.tracing.traces import request_trace, summary_of


def test_summary_counts_requests_attempts_and_reasons():
    rng = random.Random(1)
    traces = [
        request_trace(number, final=rng.choice(["fulfilled", "shed"]), attempts=rng.choice([1, 2]))
        for number in range(400)
    ]

    figures = summary_of(traces)

    rejected = sum(trace.final == "shed" for trace in traces)
    attempts = sum(len(trace.sent) for trace in traces)
    assert figures["lives"] == 400
    assert figures["all"]["finals"] == {"fulfilled": 400 - rejected, "shed": rejected}
    assert figures["all"]["tries"] == pytest.approx(attempts / 400, abs=0.001)
    assert sum(row["dispatches"] for row in figures["upstreams"].values()) == attempts
    assert figures["reasons"] == {"shed: not again: chance": rejected}
    assert [row["customer"] for row in figures["customers"]] == ["acme"]


def test_most_frequent_of_100_000_names_is_found_in_bounded_memory():
    names = SpaceSaving(100)
    tracemalloc.start()
    for number in range(100_000):
        names.add("frequent" if number % 10 == 0 else f"c{number}", number % 20 == 0)
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()

    (first,) = names.most_frequent(1)

    assert first.name == "frequent"
    # The count is never too low, and too high by at most ``overcount``.
    assert 10_000 <= first.count <= 10_000 + first.overcount
    assert used_bytes < 200_000


def test_trace_size_measurement_summarizes_every_record_written(tmp_path):
    figures = trace_summary_benchmark.measure(0.3, 4, tmp_path)

    # Records are written in batches of 2000.
    assert figures["lives"] == figures["summed"] >= 2000
    assert figures["peak_mb"] > 10


def test_trace_size_measurement_rejects_too_small_a_size():
    result = CliRunner().invoke(main, ["lab", "trace-size", "--mb", "0.01"])

    assert result.exit_code == 2
