"""The command that explains one request from the logs of several tiers."""

from collections.abc import Iterable, Iterator
from pathlib import Path

import click

from pepperhook.cli.options import JSON_OPTION
from pepperhook.cli.output import InvalidInputError


@click.command()
@click.argument("request_id", metavar="ID")
@click.argument("logs", nargs=-1, required=True, type=click.Path())
@JSON_OPTION
def explain(request_id: str, logs: tuple[str, ...], as_json: bool) -> None:
    """Show where a request spent its time and retries.

    Reads the log files of balancers of all tiers. ID is the id that the request had at the first
    balancer. The balancers must run with LB_LOG=debug and with a [chain] table in the operator's
    file.
    """
    from pepperhook.request_context import explain as context_explain

    steps = context_explain.read_steps(_lines(logs), request_id)
    if not steps:
        raise InvalidInputError(f"no line with event=chain in these logs has the id {request_id!r}")
    click.echo(context_explain.to_json(steps) if as_json else context_explain.to_text(steps))


def _lines(paths: Iterable[str]) -> Iterator[str]:
    """Yield the lines of all files. Raises InvalidInputError."""
    for path in paths:
        try:
            with Path(path).open(encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as error:
            raise InvalidInputError(f"{path}: {error.strerror}") from error
