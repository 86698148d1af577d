"""Runs commands in this process, and compares their output with that of earlier releases.

Each file in ``expected/`` lists commands of one group with their exit code and output. ``{tmp}``
stands for a directory of the test. Output that operators' programs read must not change.
"""

import json
import re
import shlex
from pathlib import Path

from click.testing import CliRunner

from pepperhook.cli import main

ROOT = Path(__file__).parents[2]
EXPECTED = Path(__file__).parent / "expected"
# Durations and process ids, which differ between runs.
VARYING_NUMBERS = (
    (r'("took_s": )[0-9.]+', r"\g<1>0"),
    (r" s in [0-9.]+ s, ", " s in 0 s, "),
    (r"(/\.[a-z]+\.trc\.)[0-9]+", r"\g<1>0"),
)


def run(*words, env=None):
    """Return the result of one command."""
    return CliRunner().invoke(main, [str(word) for word in words], env=env)


def expected_outputs(group):
    """Return the rows of one file in ``expected/``."""
    return json.loads((EXPECTED / f"{group}.json").read_text(encoding="utf-8"))


def actual_output(command, directory, env=None):
    """Run the command of a row in ``expected/``; return a row with its actual output."""
    result = run(*shlex.split(command.replace("{tmp}", str(directory))), env=env)
    return {
        "command": command,
        "exit_code": result.exit_code,
        "stdout": without_variation(result.stdout, directory),
        "stderr": without_variation(result.stderr, directory),
    }


def without_variation(text, directory):
    """Replace the parts of an output that differ between runs."""
    text = text.replace(str(directory), "{tmp}")
    for pattern, replacement in VARYING_NUMBERS:
        text = re.sub(pattern, replacement, text)
    return text


def command_of(row):
    """Return the id of the test for a row: its command, shortened."""
    return row["command"].replace("tests/data/stored-0.2/", "")
