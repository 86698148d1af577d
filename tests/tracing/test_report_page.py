"""The HTML page of a trace, and its timeline."""

from msgspec.structs import replace

from pepperhook.tracing.report_page import report_page
from pepperhook.tracing.summary import Summary
from pepperhook.tracing.timeline import MAX_BINS, Timeline
from pepperhook.units import SECOND
from tests.tracing.traces import BASE, request_trace


def timeline_of(traces):
    timeline = Timeline()
    for trace in traces:
        timeline.add(trace)
    return timeline


def test_long_timeline_has_at_most_max_bins_and_counts_every_request():
    # The multiplication mixes the order of the times.
    traces = [
        request_trace(number, taken=BASE + (number * 37 % 5000) * SECOND) for number in range(5000)
    ]

    bins = timeline_of(traces).bins()

    assert len(bins) <= MAX_BINS
    assert sum(sum(time_bin.counts.values()) for time_bin in bins) == 5000


def test_page_has_a_chart_and_escapes_names():
    traces = [replace(request_trace(number), customer="<script>") for number in range(50)]
    summary = Summary()
    for trace in traces:
        summary.add(trace)

    page = report_page("A <b>", summary, timeline_of(traces), ["x < y"])

    assert "<svg" in page
    assert "&lt;script&gt;" in page
    assert "<script>" not in page
    assert "A &lt;b&gt;" in page
    assert "x &lt; y" in page


def test_page_without_requests_has_no_chart():
    page = report_page("Empty", Summary(), Timeline(), [])

    assert "<svg" not in page
    assert "No requests." in page
