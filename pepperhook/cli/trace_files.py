"""The commands that write files from traces: cut, merge, strip, export, report and make."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from pepperhook.cli import trace_output
from pepperhook.cli.files import replacing_file, write_file
from pepperhook.cli.options import FILES_ARGUMENT, JSON_OPTION
from pepperhook.cli.output import (
    ExitCode,
    InvalidInputError,
    exit_with,
    print_json,
    reporting_file_errors,
)
from pepperhook.cli.progress import show_progress
from pepperhook.cli.trace_filters import filter_options, matching

if TYPE_CHECKING:
    from pepperhook.tracing.filter import TraceFilter

OUT_OPTION = click.option(
    "-o", "--out", required=True, type=click.Path(dir_okay=False), help="The file to write."
)
ALL_SAMPLED = 1.0


@click.command()
@FILES_ARGUMENT
@filter_options
@OUT_OPTION
@JSON_OPTION
def cut(files: tuple[str, ...], out: str, as_json: bool, trace_filter: TraceFilter) -> None:
    """Write the requests that match to one file."""
    from pepperhook.tracing import cut as cut_module

    with reporting_file_errors(), show_progress(as_json) as update:
        count = cut_module.cut(files, out, trace_filter, update)
    _print_written(out, count, as_json)


def _print_written(path: str, count: int, as_json: bool) -> None:
    if as_json:
        print_json({"out": path, "lives": count})
    else:
        click.echo(f"{path}: {count} lives")


@click.command()
@FILES_ARGUMENT
@OUT_OPTION
@JSON_OPTION
def merge(files: tuple[str, ...], out: str, as_json: bool) -> None:
    """Join the traces of several balancers.

    Corrects their clocks, and drops duplicates. The clock offsets are estimated from requests that
    one balancer sent to another; traces of the lower tiers need `parent` to be set.
    """
    import msgspec

    from pepperhook.tracing import merge as merge_module

    with reporting_file_errors(), show_progress(as_json) as update:
        merged = merge_module.merge(files, out, update)
    if as_json:
        print_json({"out": out, **msgspec.to_builtins(merged)})
    else:
        trace_output.print_merged(out, merged)


@click.command()
@FILES_ARGUMENT
@click.option(
    "--key-file",
    required=True,
    type=click.Path(dir_okay=False),
    help="A file with a key of at least 16 bytes; use the same key for files that belong together.",
)
@click.option(
    "-o",
    "--out",
    "folder",
    required=True,
    type=click.Path(file_okay=False),
    help="The folder for the files.",
)
@JSON_OPTION
def strip(files: tuple[str, ...], key_file: str, folder: str, as_json: bool) -> None:
    """Write copies of traces with pseudonyms.

    Replaces tenants and ids by keyed pseudonyms. All counts stay the same.
    """
    from pepperhook.tracing import strip as strip_module

    try:
        key = Path(key_file).read_bytes().strip()
    except OSError as error:
        raise InvalidInputError(f"--key-file: {key_file}: {error.strerror}") from error
    with reporting_file_errors(), show_progress(as_json) as update:
        try:
            written = strip_module.strip(files, folder, key, update)
        except ValueError as error:
            raise InvalidInputError(str(error)) from error
    for path, count in written:
        _print_written(path, count, as_json)


@click.command()
@FILES_ARGUMENT
@filter_options
@click.option(
    "--format",
    "format_name",
    required=True,
    type=click.Choice(["jsonl", "csv", "parquet", "otlp"]),
    help="JSON lines, CSV, Parquet (needs pyarrow), or the JSON of OpenTelemetry.",
)
@click.option(
    "-o",
    "--out",
    type=click.Path(dir_okay=False),
    help="The file to write. Default: standard output, but not for Parquet.",
)
def export(
    files: tuple[str, ...], format_name: str, out: str | None, trace_filter: TraceFilter
) -> None:
    """Write requests in a format for other programs."""
    from pepperhook.tracing import export as formats

    if format_name == "parquet" and not out:
        raise InvalidInputError("--out: Parquet can't be written to standard output")
    write_text = {
        "jsonl": formats.write_json_lines,
        "csv": formats.write_csv,
        "otlp": formats.write_opentelemetry,
    }
    with reporting_file_errors():
        rows = matching(files, trace_filter)
        if not out:
            write_text[format_name](rows, sys.stdout)
            return
        with replacing_file(out) as temporary:
            if format_name == "parquet":
                count = _write_parquet(rows, temporary)
            else:
                with temporary.open("w", encoding="utf-8", newline="") as file:
                    count = write_text[format_name](rows, file)
    click.echo(f"{out}: {count} lives")


def _write_parquet(rows: Iterator[Any], path: Path) -> int:
    """Return the number of rows written. Raises InvalidInputError without pyarrow."""
    from pepperhook.tracing import export as formats
    from pepperhook.tracing.errors import ParquetUnavailableError

    try:
        return formats.write_parquet(rows, path)
    except ParquetUnavailableError as error:
        raise InvalidInputError(str(error)) from error


@click.command()
@FILES_ARGUMENT
@filter_options
@OUT_OPTION
@click.option("--title", default="Trace", show_default=True, help="The title of the page.")
def report(files: tuple[str, ...], out: str, title: str, trace_filter: TraceFilter) -> None:
    """Write an HTML page of traces.

    The page has the statistics, the reasons, and the outcomes of requests over time.
    """
    from pepperhook.tracing.report_page import report_page
    from pepperhook.tracing.summary import Summary
    from pepperhook.tracing.timeline import Timeline

    collected = Summary()
    timeline = Timeline()
    sample_fractions: set[float] = set()
    with reporting_file_errors():
        for metadata, request in matching(files, trace_filter):
            collected.add(request)
            timeline.add(request)
            if metadata.extra.get("share") is not None:
                sample_fractions.add(metadata.extra["share"])
    note = _sample_note(len(files), sample_fractions)
    with reporting_file_errors():
        write_file(out, report_page(title, collected, timeline, [note]))
    click.echo(f"{out}: {collected.total.requests} lives")


def _sample_note(file_count: int, sample_fractions: set[float]) -> str:
    """Return a note on the sampled fraction of requests that were served in time."""
    note = f"{file_count} files."
    if sample_fractions - {ALL_SAMPLED}:
        fractions = ", ".join(map(str, sorted(sample_fractions)))
        note += (
            f" Of the requests served in time, a sample is traced ({fractions}); all that were "
            "shed, broken off or late are."
        )
    return note


@click.command()
@FILES_ARGUMENT
@OUT_OPTION
@click.option(
    "--parent",
    metavar="REGEX",
    help="A regular expression with one group, which matches the parent's id in a request's id.",
)
@JSON_OPTION
def make(files: tuple[str, ...], out: str, parent: str | None, as_json: bool) -> None:
    """Make a trace from captures.

    Replays the captures, and traces all requests. Exit code 1 if a result differs from the one in
    the capture.
    """
    import msgspec

    from pepperhook.operator_config.schema import check_parent_pattern
    from pepperhook.tracing import retrace

    if parent is not None:
        try:
            check_parent_pattern(parent)
        except ValueError as error:
            text = str(error).replace("trace.parent", "--parent")
            raise InvalidInputError(text) from error
    with reporting_file_errors(), show_progress(as_json) as update:
        result = retrace.trace_captures(files, out, parent, update)
    if as_json:
        print_json(msgspec.to_builtins(result))
    else:
        difference = f"; DIFFERENT from what was captured at call {result.differs_at}"
        counts = f"{out}: {result.lives} lives of {result.calls} calls"
        click.echo(counts + (difference if result.differs_at else ""))
    exit_with(ExitCode.FAILURE if result.differs_at else ExitCode.SUCCESS)
