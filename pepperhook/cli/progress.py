"""Shows the progress of long commands on standard error."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

import click

if TYPE_CHECKING:
    from rich.console import Console

# Called with the current step, and the completed fraction of the whole (0 to 1).
ProgressCallback = Callable[[str, float], None]


@contextmanager
def show_progress(quiet: bool = False) -> Iterator[ProgressCallback]:
    """Show a progress bar, or without a terminal print a line for each new step."""
    if quiet:
        yield _ignore
        return
    from rich.console import Console

    console = Console(stderr=True)
    if console.is_terminal:
        with _progress_bar(console) as update:
            yield update
    else:
        yield _line_printer()


def _ignore(_step: str, _completed: float) -> None:
    """Show nothing."""


def _line_printer() -> ProgressCallback:
    printed_step: str | None = None

    def update(step: str, completed: float) -> None:
        nonlocal printed_step
        if step != printed_step:
            printed_step = step
            click.echo(f"{completed:4.0%} {step}", err=True)

    return update


@contextmanager
def _progress_bar(console: Console) -> Iterator[ProgressCallback]:
    from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

    with Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        TextColumn("{task.percentage:3.0f}%"),
        TimeElapsedColumn(),
        console=console,
    ) as bar:
        task = bar.add_task("", total=1.0)
        yield lambda step, completed: bar.update(task, description=step, completed=completed)
