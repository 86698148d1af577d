"""Output of commands: JSON lines, tables and errors, and the exit codes."""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from enum import IntEnum
from typing import IO, Any, NoReturn

import click

from pepperhook.errors import PepperhookError


class ExitCode(IntEnum):
    """The exit code of a command, which other programs rely on."""

    SUCCESS = 0
    FAILURE = 1  # the command ran and failed, or the system rejected something
    INVALID_INPUT = 2


class CommandFailedError(PepperhookError, click.ClickException):
    """A command that ran and failed: one line on standard error, exit code 1."""

    exit_code = ExitCode.FAILURE
    prefix = "Error"

    def show(self, file: IO[Any] | None = None) -> None:
        """Print the message as one line after the prefix."""
        click.echo(f"{self.prefix}: {self.format_message()}", file=file or sys.stderr)


class LabRunFailedError(CommandFailedError):
    """A run of the lab that was aborted: one line on standard error, exit code 1."""

    prefix = "pepperhook"


class InvalidInputError(CommandFailedError):
    """Input that cannot be used: one line on standard error, exit code 2."""

    exit_code = ExitCode.INVALID_INPUT
    prefix = "pepperhook"


@contextmanager
def reporting_file_errors() -> Iterator[None]:
    """Report a file that cannot be read as invalid input, and other I/O errors as a failure."""
    from pepperhook.capture.state_errors import StateRefusedError
    from pepperhook.container import UnreadableFileError

    try:
        yield
    except (UnreadableFileError, StateRefusedError) as error:
        raise InvalidInputError(str(error)) from error
    except OSError as error:
        raise CommandFailedError(f"{error.filename}: {error.strerror}") from error


def exit_with(code: ExitCode) -> NoReturn:
    """Exit from the program with an exit code."""
    sys.exit(int(code))


def print_json(content: Any, default: Callable[[Any], Any] | None = None) -> None:
    """Print one line of JSON; ``default`` converts values that JSON does not support."""
    click.echo(json.dumps(content, default=default))


def print_pairs(values: Mapping[str, Any]) -> None:
    """Print ``key=value`` pairs on one line."""
    click.echo("  ".join(f"{key}={value}" for key, value in values.items()))


def print_fields(values: Mapping[str, Any]) -> None:
    """Print ``key: value`` pairs, one per line."""
    for key, value in values.items():
        click.echo(f"{key}: {value}")


def print_table(rows: Sequence[Sequence[str]], *, align_right: bool = False) -> None:
    """Print rows with aligned columns; the first column is always aligned left."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for first, *others in rows:
        cells = [first.ljust(widths[0])]
        for cell, width in zip(others, widths[1:], strict=True):
            cells.append(cell.rjust(width) if align_right else cell.ljust(width))
        click.echo("  ".join(cells).rstrip())
