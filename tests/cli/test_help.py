"""The output of ``--help`` for every command."""

import click
import pytest

from pepperhook.cli import main
from tests.cli.commands import run

MAX_COLUMNS = 80
COMMAND_COUNT = 42


def walk(command, path=()):
    """Yield a command and all its subcommands, each after the words that name it."""
    yield path, command
    for name, subcommand in getattr(command, "commands", {}).items():
        yield from walk(subcommand, (*path, name))


COMMANDS = list(walk(main))
NAMES = [" ".join(path) or "pepperhook" for path, _ in COMMANDS]


def test_walk_yields_the_expected_number_of_groups_and_commands():
    groups = [command for _, command in COMMANDS if isinstance(command, click.Group)]

    assert len(groups) == 6
    assert len(COMMANDS) - len(groups) == COMMAND_COUNT


@pytest.mark.parametrize("path, command", COMMANDS, ids=NAMES)
def test_help_fits_a_terminal_and_describes_every_option(path, command):
    result = run(*path, "--help")

    assert result.exit_code == 0
    assert max(map(len, result.stdout.splitlines())) <= MAX_COLUMNS
    options = [param for param in command.params if isinstance(param, click.Option)]
    assert [option.name for option in options if not option.help] == []


@pytest.mark.parametrize("path, command", COMMANDS, ids=NAMES)
def test_help_starts_with_a_summary_that_fits_the_list_of_commands(path, command):
    summary = command.get_short_help_str(limit=MAX_COLUMNS)

    assert summary.endswith(".")
    assert not summary.endswith("...")
    for line in run(*path, "--help").stdout.partition("\nCommands:\n")[2].splitlines():
        assert not line.endswith("...")
