"""Merging the traces of several balancers."""

import pytest
from msgspec.structs import replace

from pepperhook.tracing.merge import count_early_calls, merge
from pepperhook.units import MILLISECOND, SECOND
from tests.tracing.traces import read_file, request_trace, two_tiers, write_file

OFFSETS = [SECOND, -SECOND, 0]


@pytest.mark.parametrize("ahead_ns", OFFSETS)
def test_estimated_clock_offset_is_within_its_reported_error(tmp_path, ahead_ns):
    front, back, _, _ = two_tiers(tmp_path, ahead_ns)

    merged = merge([back, front], tmp_path / "m.trc")

    clock = {offset.name: offset for offset in merged.clocks}["back"]
    assert abs(clock.ahead - ahead_ns) <= clock.error < 5 * MILLISECOND
    assert clock.pairs == 60
    assert not clock.contradicts


@pytest.mark.parametrize("ahead_ns", OFFSETS)
def test_merged_records_are_in_causal_order(tmp_path, ahead_ns):
    front, back, _, _ = two_tiers(tmp_path, ahead_ns)

    merged = merge([back, front], tmp_path / "m.trc")

    traces = read_file(tmp_path / "m.trc")
    assert merged.lives == len(traces) == 120
    assert merged.doubled == merged.unmatched == merged.before_their_dispatch == 0
    assert [trace.taken for trace in traces] == sorted(trace.taken for trace in traces)
    by_id = {trace.id: trace for trace in traces}
    calls = [trace for trace in traces if trace.parent]
    assert len(calls) == 60
    for call in calls:
        request = by_id[call.parent]
        assert request.time_ns(request.sent[0].sent) <= call.taken
        assert call.time_ns(call.answered) <= request.time_ns(request.sent[0].ended)


@pytest.mark.parametrize(("ahead_ns", "early"), [(SECOND, 0), (-SECOND, 60)])
def test_early_calls_are_counted_in_a_file_with_uncorrected_clocks(tmp_path, ahead_ns, early):
    _, _, requests, calls = two_tiers(tmp_path, ahead_ns)
    by_time = sorted(requests + calls, key=lambda trace: trace.taken)

    path = write_file(tmp_path / "uncorrected.trc", by_time)

    assert count_early_calls(path) == early


def test_file_given_twice_is_merged_once_and_sorted_by_acceptance(tmp_path):
    traces = [request_trace(number) for number in range(40)]
    slow = [replace(traces[3].sent[0], ended=300_000)]
    traces[3] = replace(traces[3], answered=300_000, sent=slow)
    by_end = sorted(traces, key=lambda trace: trace.end_ns)
    assert by_end != traces
    path = write_file(tmp_path / "a.trc", by_end)

    merged = merge([path, path], tmp_path / "m.trc")

    assert (merged.lives, merged.doubled) == (40, 40)
    assert read_file(tmp_path / "m.trc") == traces
