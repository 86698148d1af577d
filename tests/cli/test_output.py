"""Functions that print tables, JSON lines and errors for all commands."""

import click
import pytest
from click.testing import CliRunner

from pepperhook.capture.state_errors import StateRefusedError
from pepperhook.cli import output
from pepperhook.container import UnreadableFileError
from pepperhook.errors import PepperhookError


def run_raising(error):
    @click.command()
    def command():
        raise error

    return CliRunner().invoke(command)


@pytest.mark.parametrize(
    "error_class, exit_code, prefix",
    [
        (output.CommandFailedError, 1, "Error"),
        (output.LabRunFailedError, 1, "pepperhook"),
        (output.InvalidInputError, 2, "pepperhook"),
    ],
)
def test_error_is_one_line_on_standard_error_with_its_exit_code(error_class, exit_code, prefix):
    result = run_raising(error_class("no room"))

    assert issubclass(error_class, PepperhookError)
    assert result.exit_code == exit_code
    assert result.stdout == ""
    assert result.stderr == f"{prefix}: no room\n"


@pytest.mark.parametrize(
    "cause, reported, message",
    [
        (UnreadableFileError("a.rec: is no record"), output.InvalidInputError, "a.rec: is no"),
        (StateRefusedError("another shape"), output.InvalidInputError, "another shape"),
        (OSError(28, "No space left", "a.trc"), output.CommandFailedError, "a.trc: No space left"),
    ],
)
def test_file_error_is_reported_as_invalid_input_or_as_a_failure(cause, reported, message):
    with pytest.raises(reported, match=message) as raised, output.reporting_file_errors():
        raise cause

    assert type(raised.value) is reported
    assert raised.value.__cause__ is cause


def test_exit_with_exits_with_the_given_code():
    with pytest.raises(SystemExit) as raised:
        output.exit_with(output.ExitCode.FAILURE)

    assert raised.value.code == 1


def test_json_is_one_line_and_unsupported_values_need_a_conversion(capsys, tmp_path):
    output.print_json({"path": tmp_path, "share": None}, default=str)

    assert capsys.readouterr().out == f'{{"path": "{tmp_path}", "share": null}}\n'
    with pytest.raises(TypeError):
        output.print_json({"path": tmp_path})


@pytest.mark.parametrize(
    "align_right, lines",
    [
        (False, ["name  count  why", "a     12     late", "edge  3"]),
        (True, ["name  count   why", "a        12  late", "edge      3"]),
    ],
)
def test_columns_of_a_table_are_aligned_without_trailing_spaces(capsys, align_right, lines):
    rows = [("name", "count", "why"), ("a", "12", "late"), ("edge", "3", "")]

    output.print_table(rows, align_right=align_right)

    assert capsys.readouterr().out.splitlines() == lines


def test_values_are_printed_as_pairs_or_as_fields(capsys):
    values = {"file": "a.trc", "lives": 3}

    output.print_pairs(values)
    output.print_fields(values)

    assert capsys.readouterr().out == "file=a.trc  lives=3\nfile: a.trc\nlives: 3\n"
