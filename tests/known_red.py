"""Reads KNOWN-RED.txt, the list of tests that fail for a known fault with an open issue.

Each line is an entry with four fields in this order:

    test: TEST | command: COMMAND with its seed | seen: OBSERVED FAILURE | issue 47

TEST is a pytest test with all its cases, one case of it (``tests/x.py::test_y[case]``), ``scenario
NAME`` for an acceptance scenario, or ``soak SEED`` for a run of ``pepperhook lab soak``.

``python -m tests.known_red TEST`` prints the entry of a test. Exit code 0: listed, 1: not listed,
2: an entry is malformed or names no existing test.
"""

import ast
import re
import sys
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
PATH = ROOT / "KNOWN-RED.txt"
SCENARIO = "scenario "
SOAK = "soak "
ENTRY = re.compile(
    r"test: (?P<test>[^|]*[^|\s]) \| command: (?P<command>[^|]*[^|\s]) "
    r"\| seen: (?P<seen>[^|]*[^|\s]) \| issue (?P<issue>\d+)"
)
PYTEST_ID = re.compile(r"(?P<file>tests/[\w/]+\.py)::(?P<name>\w+)(?P<case>\[.+\])?")


class MalformedEntryError(ValueError):
    """An entry is malformed, listed twice or names no existing test. The message is one line."""


@dataclass(frozen=True)
class Entry:
    """One known failure."""

    test: str
    command: str
    seen: str
    issue: str

    def __str__(self) -> str:
        return f"{self.test}: {self.seen} (issue {self.issue}; {self.command})"

    def covers(self, node_id: str) -> bool:
        """Whether this entry lists the pytest test ``node_id``, itself or with all its cases."""
        return node_id == self.test or node_id.partition("[")[0] == self.test


def parse(text: str) -> list[Entry]:
    """Return the entries of a list. Raises MalformedEntryError."""
    entries = [_parse_line(line) for line in text.splitlines() if line.strip()]
    for entry in entries:
        if [listed.test for listed in entries].count(entry.test) > 1:
            raise MalformedEntryError(f"KNOWN-RED.txt: {entry.test}: listed twice")
    return entries


def _parse_line(line: str) -> Entry:
    match = ENTRY.fullmatch(line)
    if match is None:
        raise MalformedEntryError(
            "KNOWN-RED.txt: expected 'test: ... | command: ... | seen: ... | issue N', "
            f"got {line!r:.80}"
        )
    return Entry(**match.groupdict())


def check(entry: Entry, scenarios: tuple[str, ...], root: Path = ROOT) -> None:
    """Raise MalformedEntryError unless the entry names an existing test or scenario, or a seed."""
    if entry.test.startswith(SCENARIO):
        exists = entry.test.removeprefix(SCENARIO) in scenarios
    elif entry.test.startswith(SOAK):
        exists = entry.test.removeprefix(SOAK).isdecimal()
    else:
        match = PYTEST_ID.fullmatch(entry.test)
        exists = match is not None and match["name"] in _functions(root / match["file"])
    if not exists:
        raise MalformedEntryError(f"KNOWN-RED.txt: no such test: {entry.test}")


def _functions(path: Path) -> set[str]:
    """Return the names of a file's top-level functions; empty if the file does not exist."""
    if not path.is_file():
        return set()
    tree = ast.parse(path.read_text(encoding="utf-8"))
    function_types = (ast.FunctionDef, ast.AsyncFunctionDef)
    return {node.name for node in tree.body if isinstance(node, function_types)}


def load(path: Path = PATH) -> list[Entry]:
    """Read the list and check every entry. Raises MalformedEntryError."""
    from pepperhook.lab.proofs import PROOFS

    entries = parse(path.read_text(encoding="utf-8"))
    for entry in entries:
        check(entry, tuple(PROOFS))
    return entries


def main(arguments: list[str]) -> int:
    """Print the entry of the test that the arguments name, and return the exit code."""
    try:
        entries = load()
    except MalformedEntryError as error:
        print(error, file=sys.stderr)
        return 2
    matches = [entry for entry in entries if entry.test == " ".join(arguments)]
    for entry in matches:
        print(f"known red: {entry}")
    return 0 if matches else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
