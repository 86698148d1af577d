"""Renders a trace as one HTML page: its figures, and the outcomes of requests over time."""

from __future__ import annotations

import html
import io
from collections.abc import Iterable, Sequence
from typing import TYPE_CHECKING, Any

from pepperhook.tracing.records import RequestOutcome
from pepperhook.tracing.timeline import NS_PER_S, Timeline

if TYPE_CHECKING:
    from pepperhook.tracing.summary import Summary

MAX_TENANTS = 20
OUTCOME_COLOURS = {
    RequestOutcome.SERVED: "#3a7d44",
    RequestOutcome.LATE: "#c7a500",
    RequestOutcome.REJECTED: "#c75000",
    RequestOutcome.FAILED: "#b3261e",
    RequestOutcome.CLIENT_LEFT: "#546e7a",
    RequestOutcome.OPEN: "#9e9e9e",
}
STYLE = (
    "<style>body{font:14px sans-serif;max-width:62em;margin:2em auto;padding:0 1em}"
    "table{border-collapse:collapse;margin:1em 0}"
    "td,th{padding:.2em .6em;border-bottom:1px solid #ddd;text-align:right}"
    "td:first-child,th:first-child{text-align:left}</style>"
)
# Column names are those of the summary's output; a life is a request, a dispatch an attempt.
SERVICE_CLASS_HEADER = ("grade", "lives", *RequestOutcome, "dispatches each", "p50 ms", "p99 ms")
UPSTREAM_HEADER = ("upstream", "dispatches", "outcomes", "p50 ms", "p99 ms")
TENANT_HEADER = ("customer", "lives", "not served in time", "too high by")

Row = Sequence[Any]


def report_page(
    title: str, summary: Summary, timeline: Timeline, sampling_notes: Iterable[str]
) -> str:
    """Return the HTML page.

    ``sampling_notes`` state which fraction of the requests is in the trace, because the counts of
    served requests depend on it.
    """
    figures = summary.to_dict(MAX_TENANTS)
    lines = [
        f"<!doctype html><meta charset='utf-8'><title>{html.escape(title)}</title>",
        STYLE,
        f"<h1>{html.escape(title)}</h1>",
        *(f"<p>{html.escape(note)}</p>" for note in sampling_notes),
        _outcome_chart(timeline) if figures["lives"] else "<p>No requests.</p>",
        "<h2>By service class</h2>",
        _table(SERVICE_CLASS_HEADER, _service_class_rows(figures)),
        "<h2>Reasons</h2>",
        _table(("final and reason", "lives"), figures["reasons"].items()),
        "<h2>Retry decisions</h2>",
        _table(("verdict", "dispatches"), figures["again"].items()),
        "<h2>By upstream</h2>",
        _table(UPSTREAM_HEADER, _upstream_rows(figures)),
        "<h2>Tenants with the most requests</h2>",
        _table(TENANT_HEADER, _tenant_rows(figures)),
    ]
    return "\n".join(lines) + "\n"


def _service_class_rows(figures: dict[str, Any]) -> list[Row]:
    rows: list[Row] = []
    for name, row in figures["grades"].items():
        outcomes = [row["finals"].get(outcome, 0) for outcome in RequestOutcome]
        rows.append((name, row["lives"], *outcomes, row["tries"], row["p50"], row["p99"]))
    return rows


def _upstream_rows(figures: dict[str, Any]) -> list[Row]:
    rows: list[Row] = []
    for name, row in figures["upstreams"].items():
        outcomes = " ".join(f"{key}={count}" for key, count in sorted(row["outcomes"].items()))
        rows.append((name, row["dispatches"], outcomes, row["p50"], row["p99"]))
    return rows


def _tenant_rows(figures: dict[str, Any]) -> list[Row]:
    return [
        (row["customer"] or "none", row["lives"], row["not_served"], row["too_high_by"])
        for row in figures["customers"]
    ]


def _table(header: Row, rows: Iterable[Row]) -> str:
    body = "".join(f"<tr>{_cells(row, 'td')}</tr>" for row in rows)
    return f"<table><tr>{_cells(header, 'th')}</tr>{body}</table>"


def _cells(row: Row, tag: str) -> str:
    return "".join(f"<{tag}>{html.escape(_cell_text(cell))}</{tag}>" for cell in row)


def _cell_text(cell: object) -> str:
    if cell is None:
        return ""
    return f"{cell:g}" if isinstance(cell, float) else str(cell)


def _outcome_chart(timeline: Timeline) -> str:
    """Draw a bar chart of outcomes over time as SVG."""
    from matplotlib.figure import Figure

    figure = Figure((9, 3), layout="constrained")
    axes = figure.subplots()
    bins = timeline.bins()
    begins_s = [time_bin.begin_s for time_bin in bins]
    bottoms = [0.0] * len(bins)
    width_s = timeline.width_ns / NS_PER_S
    for outcome, colour in OUTCOME_COLOURS.items():
        heights = [time_bin.counts[outcome] / width_s for time_bin in bins]
        if any(heights):
            axes.bar(begins_s, heights, width_s, bottoms, color=colour, label=outcome, align="edge")
            pairs = zip(bottoms, heights, strict=True)
            bottoms = [bottom + height for bottom, height in pairs]
    axes.set(xlabel="seconds", ylabel="requests per second")
    axes.legend(frameon=False, fontsize=8, ncols=3)
    return _to_svg(figure)


def _to_svg(figure: Any) -> str:
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None})
    document = out.getvalue()
    return document[document.index("<svg") :]
