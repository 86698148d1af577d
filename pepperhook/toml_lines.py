"""Finds the line of a key in a TOML file, for error messages.

The parser of the standard library does not report positions. This module reads headers and keys
line by line, which suffices for hand-written files; it may mistake a line of a multi-line value for
a key.
"""

import re
from collections.abc import Iterator, Sequence

HEADER = re.compile(r"\s*(?P<open>\[\[?)\s*(?P<path>[^\]]+?)\s*\]\]?\s*(?:#.*)?$")
KEY = re.compile(r"""\s*("[^"]*"|'[^']*'|[\w.-]+)\s*=""")
ARRAY_OF_TABLES = "[["

Step = str | int  # a key, or an index in a list
ArrayIndexes = dict[tuple[str, ...], int]  # index of the latest table in an array, by its path


def line_of(text: str, path: Sequence[Step]) -> int | None:
    """Return the number of the line with the key at ``path``, or of its innermost table's header.

    Lines count from 1. Return None if neither is found.
    """
    best_line, best_depth = None, 0
    for number, line_path in _paths_by_line(text):
        if line_path == list(path[: len(line_path)]) and len(line_path) > best_depth:
            best_line, best_depth = number, len(line_path)
    return best_line


def _paths_by_line(text: str) -> Iterator[tuple[int, list[Step]]]:
    """Yield the number of each line with a header or key, and the path of its table or key."""
    table: list[Step] = []
    indexes: ArrayIndexes = {}
    for number, line in enumerate(text.splitlines(), 1):
        header = HEADER.match(line)
        if header and "=" not in header["path"]:
            table = _table_path(header, indexes)
            yield number, table
        elif key := KEY.match(line):
            yield number, [*table, *_split_key(key[1])]


def _table_path(header: re.Match[str], indexes: ArrayIndexes) -> list[Step]:
    """Return the path of a header's table, and count the tables of arrays in ``indexes``."""
    names = _split_key(header["path"])
    if header["open"] == ARRAY_OF_TABLES:
        array = tuple(names)
        indexes[array] = indexes.get(array, -1) + 1
    path: list[Step] = []
    for depth, name in enumerate(names, 1):
        path.append(name)
        index = indexes.get(tuple(names[:depth]))
        if index is not None:
            path.append(index)
    return path


def _split_key(key: str) -> list[str]:
    return [name.strip().strip("\"'") for name in key.split(".")]
