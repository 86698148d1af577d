"""The options with which commands select requests of a trace."""

from __future__ import annotations

import functools
from collections.abc import Callable, Iterable, Iterator
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any

import click

from pepperhook.cli.output import InvalidInputError

if TYPE_CHECKING:
    from pepperhook.tracing.filter import TraceFilter
    from pepperhook.tracing.records import SourcedTrace

NS_PER_S = 1e9
OUTCOMES = ("fulfilled", "late", "shed", "broken off", "left", "open")
OPTIONS = (
    click.option(
        "--from",
        "begin",
        metavar="TIME",
        help="Accepted at or after this time: Unix seconds or ISO 8601 (UTC by default).",
    ),
    click.option("--to", "end", metavar="TIME", help="Accepted before this time."),
    click.option("--grade", "grades", multiple=True, help="Of this service class; repeatable."),
    click.option("--customer", "customers", multiple=True, help="Of this tenant; repeatable."),
    click.option(
        "--outcome",
        "outcomes",
        multiple=True,
        type=click.Choice(OUTCOMES),
        help="With this outcome; repeatable. shed: rejected; broken off: failed; left: the client "
        "left; open: not yet ended.",
    ),
    click.option(
        "--upstream", "upstreams", multiple=True, help="Sent to this upstream; repeatable."
    ),
    click.option("--reason", default="", help="With this text in the reason."),
    click.option("--id", "ids", multiple=True, help="With this id; repeatable."),
)


def filter_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options to a command, which gets them as one parameter ``trace_filter``."""

    @functools.wraps(command)
    def with_filter(*args: Any, begin: str | None, end: str | None, **options: Any) -> None:
        from pepperhook.tracing.filter import TraceFilter

        names = ("grades", "customers", "outcomes", "upstreams", "ids")
        trace_filter = TraceFilter(
            begin=parse_time(begin, "from"),
            end=parse_time(end, "to"),
            reason=options.pop("reason"),
            **{name: frozenset(options.pop(name)) for name in names},
        )
        command(*args, trace_filter=trace_filter, **options)

    decorated: Callable[..., None] = with_filter
    for option in reversed(OPTIONS):
        decorated = option(decorated)
    return decorated


def parse_time(text: str | None, option: str) -> int | None:
    """Parse Unix seconds or ISO 8601; return Unix nanoseconds. Raises InvalidInputError."""
    if text is None:
        return None
    try:
        return int(float(text) * NS_PER_S)
    except ValueError:
        pass
    try:
        time = datetime.fromisoformat(text)
    except ValueError as error:
        raise InvalidInputError(
            f"--{option}: seconds of Unix time or a time like 2026-05-01T18:30:00 is expected, "
            f"not {text!r:.40}"
        ) from error
    zoned_time = time if time.tzinfo else time.replace(tzinfo=UTC)
    return int(zoned_time.timestamp() * NS_PER_S)


def matching(paths: Iterable[str], trace_filter: TraceFilter) -> Iterator[SourcedTrace]:
    """Yield the matching requests of all files, each with the metadata of its file."""
    from pepperhook.tracing.reader import read_files

    return read_files(paths, trace_filter)
