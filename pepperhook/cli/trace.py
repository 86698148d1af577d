"""The commands that show traces; those that write files are in ``trace_files``."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import click

from pepperhook.cli import trace_files, trace_output
from pepperhook.cli.files import write_file
from pepperhook.cli.options import FILES_ARGUMENT, JSON_OPTION
from pepperhook.cli.output import (
    CommandFailedError,
    ExitCode,
    exit_with,
    print_json,
    print_pairs,
    reporting_file_errors,
)
from pepperhook.cli.trace_filters import filter_options, matching

if TYPE_CHECKING:
    from pepperhook.tracing.filter import TraceFilter


@click.group()
def trace() -> None:
    """Inspect traces of requests.

    A trace shows why requests were rejected, failed or were late. In the output, a life is the
    record of one request, and a dispatch or a try is an attempt.
    """


@trace.command()
@FILES_ARGUMENT
@JSON_OPTION
def info(files: tuple[str, ...], as_json: bool) -> None:
    """Show what traces contain.

    For each file: the balancer, the time, the number of requests, and what was lost.
    """
    for path in files:
        with reporting_file_errors():
            description = _describe(path)
        if as_json:
            print_json(description)
        else:
            print_pairs(description)


def _describe(path: str) -> dict[str, Any]:
    """Return a description of a trace. Raises UnreadableFileError."""
    import msgspec

    from pepperhook.tracing.reader import open_trace_file, read_traces

    with open_trace_file(path) as reader:
        is_indexed = reader.index() is not None
        count = 0
        first = last = None
        for request in read_traces(reader):
            count += 1
            first = request.taken if first is None else min(first, request.taken)
            last = request.taken if last is None else max(last, request.taken)
        return {
            "file": path,
            **msgspec.to_builtins(reader.metadata),
            "lives": count,
            "bytes": reader.size,
            "indexed": is_indexed,
            "first": None if first is None else trace_output.format_time(first),
            "last": None if last is None else trace_output.format_time(last),
            "lost": msgspec.to_builtins(reader.skipped),
        }


@trace.command()
@FILES_ARGUMENT
@filter_options
@click.option(
    "--customers-told",
    "max_tenants",
    default=10,
    show_default=True,
    type=click.IntRange(0, 1000),
    help="How many tenants to list: those with the most requests.",
)
@JSON_OPTION
def summary(
    files: tuple[str, ...], as_json: bool, max_tenants: int, trace_filter: TraceFilter
) -> None:
    """Print statistics of traces.

    Counts requests by service class, upstream, tenant and reason.
    """
    from pepperhook.tracing.summary import Summary

    collected = Summary()
    with reporting_file_errors():
        for _, request in matching(files, trace_filter):
            collected.add(request)
    figures = collected.to_dict(max_tenants)
    if as_json:
        print_json(figures)
    else:
        trace_output.print_summary(figures)


@trace.command()
@FILES_ARGUMENT
@filter_options
@click.option(
    "--most",
    "limit",
    default=1000,
    show_default=True,
    type=click.IntRange(1),
    help="The maximum number of requests to print.",
)
@JSON_OPTION
def grep(files: tuple[str, ...], as_json: bool, limit: int, trace_filter: TraceFilter) -> None:
    """Print the requests that match, one per line.

    Exit code 1 if there is none.
    """
    from pepperhook.tracing.export import to_dict

    count = 0
    with reporting_file_errors():
        for metadata, request in matching(files, trace_filter):
            if count >= limit:
                click.echo(
                    f"more than {limit} requests match; raise --most to print more", err=True
                )
                break
            count += 1
            if as_json:
                print_json(to_dict(metadata, request))
            else:
                trace_output.print_request(metadata, request)
    exit_with(ExitCode.SUCCESS if count else ExitCode.FAILURE)


@trace.command()
@click.argument("request_id", metavar="ID")
@FILES_ARGUMENT
@click.option(
    "--svg", type=click.Path(dir_okay=False), help="Also write an SVG picture to this file."
)
@JSON_OPTION
def show(request_id: str, files: tuple[str, ...], svg: str | None, as_json: bool) -> None:
    """Show one request across all tiers.

    Shows each wait, attempt and reason. ID is the id at the first balancer; FILES are the traces
    of all tiers. Exit code 1 if no file contains the request.
    """
    from pepperhook.tracing.export import to_dict
    from pepperhook.tracing.reader import find_descendants
    from pepperhook.tracing.request_tree import build_tree
    from pepperhook.tracing.waterfall import waterfall_lines
    from pepperhook.tracing.waterfall_svg import waterfall_svg

    with reporting_file_errors():
        rows = build_tree(find_descendants(files, request_id))
    if not rows:
        raise CommandFailedError(
            f"{request_id}: is in none of {len(files)} files; of requests served in time, only a "
            "sample is traced"
        )
    if svg:
        with reporting_file_errors():
            write_file(svg, waterfall_svg(rows))
    if as_json:
        for depth, metadata, request in rows:
            print_json({"depth": depth, **to_dict(metadata, request)})
        return
    for line in waterfall_lines(rows):
        click.echo(line)


for _command in (
    trace_files.cut,
    trace_files.export,
    trace_files.make,
    trace_files.merge,
    trace_files.report,
    trace_files.strip,
):
    trace.add_command(_command)
