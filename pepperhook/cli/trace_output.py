"""Prints traces as text: statistics, lines and tables."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any

import click

from pepperhook.cli.output import print_table

if TYPE_CHECKING:
    from pepperhook.container import FileMetadata
    from pepperhook.tracing.clock_offsets import Offset
    from pepperhook.tracing.merge import Merged
    from pepperhook.tracing.records import RequestTrace

NS_PER_S = 1e9
NS_PER_MS = 1e6
US_PER_MS = 1000


def format_time(unix_ns: int) -> str:
    """Return a time as ISO 8601 (UTC) with milliseconds."""
    return datetime.fromtimestamp(unix_ns / NS_PER_S, UTC).isoformat(timespec="milliseconds")


def print_merged(path: str, merged: Merged) -> None:
    """Print the counts of a merge, and the clock offset of each balancer."""
    click.echo(
        f"{path}: {merged.lives} lives, {merged.doubled} were there twice, "
        f"{merged.unmatched} calls matched no dispatch, "
        f"{merged.before_their_dispatch} come before theirs"
    )
    for clock in merged.clocks:
        _print_clock(clock)


def _print_clock(clock: Offset) -> None:
    if clock.error is None:
        error = "not known: nothing ties it to the first"
    else:
        error = f"{clock.error / NS_PER_MS:.3f} ms"
    contradiction = ", which contradict each other: it drifted or stepped"
    click.echo(
        f"    {clock.name}: {clock.ahead / NS_PER_MS:+.3f} ms ahead, error at most {error}, "
        f"{clock.pairs} calls{contradiction if clock.contradicts else ''}"
    )


def print_request(metadata: FileMetadata, trace: RequestTrace) -> None:
    """Print one request on a line."""
    answered = "never" if trace.answered < 0 else f"{trace.answered / US_PER_MS:.1f}ms"
    line = (
        f"{format_time(trace.taken)} {metadata.name or '-'} {trace.id} {trace.grade} "
        f"{trace.customer or '-'} {'late' if trace.late else trace.final} {answered} "
        f"tries={len(trace.sent)} {trace.reason}"
    )
    click.echo(line.rstrip())


def print_summary(summary: Mapping[str, Any]) -> None:
    """Print the statistics of a trace as tables; omit tables without rows."""
    line = f"{summary['lives']} lives"
    if summary["lives"]:
        line += f", {format_time(summary['first'])} to {format_time(summary['last'])}"
    click.echo(line)
    _print_figures(*_service_class_table(summary["grades"]))
    _print_figures(("why", "lives"), list(summary["reasons"].items()))
    _print_figures(("again", "dispatches"), list(summary["again"].items()))
    _print_figures(*_upstream_table(summary["upstreams"]))
    _print_figures(*_tenant_table(summary["customers"]))


Table = tuple[Sequence[str], list[tuple[Any, ...]]]


def _service_class_table(service_classes: Mapping[str, Any]) -> Table:
    from pepperhook.tracing.records import RequestOutcome

    header = ("grade", "lives", *RequestOutcome, "tries", "p50", "p99")
    rows = []
    for name, row in service_classes.items():
        outcomes = [row["finals"].get(final, 0) for final in RequestOutcome]
        rows.append((name, row["lives"], *outcomes, row["tries"], row["p50"], row["p99"]))
    return header, rows


def _upstream_table(upstreams: Mapping[str, Any]) -> Table:
    rows = []
    for name, row in upstreams.items():
        outcomes = " ".join(f"{key}={value}" for key, value in sorted(row["outcomes"].items()))
        rows.append((name, row["dispatches"], row["p50"], row["p99"], outcomes))
    return ("upstream", "dispatches", "p50", "p99", "outcomes"), rows


def _tenant_table(tenants: Sequence[Mapping[str, Any]]) -> Table:
    rows: list[tuple[Any, ...]] = [
        (row["customer"] or "none", row["lives"], row["not_served"], row["too_high_by"])
        for row in tenants
    ]
    return ("customer", "lives", "not served in time", "too high by"), rows


def _print_figures(header: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print an empty line and a table, if it has rows."""
    if not rows:
        return
    click.echo()
    cells = [[_cell(value) for value in row] for row in rows]
    print_table([header, *cells], align_right=True)


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    return f"{value:.4g}" if isinstance(value, float) else str(value)
