"""Reads hand-written TOML files into msgspec structs.

An error is reported in one line with file, line and key. msgspec's own messages lack the line, the
key within a table whose keys are arbitrary (a dict in the schema), and a suggestion for a misspelt
key; this module adds them.
"""

import difflib
import re
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Any, TypeVar, get_args, get_origin

import msgspec

from pepperhook.errors import PepperhookError
from pepperhook.toml_lines import Step, line_of

# The parts of msgspec's error messages.
LOCATION = re.compile(r" - at `\$(.*)`$")
STEP = re.compile(r"\.([^.\[\]]+)|\[(\d+)\]|\[\.\.\.\]")
UNKNOWN_KEY = re.compile(r"Object contains unknown field `(.*?)`")
MISSING_KEY = re.compile(r"Object missing required field `(.*?)`")

MIN_SIMILARITY = 0.5  # difflib ratio from which a known key is suggested for an unknown one

StructT = TypeVar("StructT")
LocationStep = Step | None  # None: an arbitrary key, which msgspec's messages leave out


class TomlFileError(PepperhookError, ValueError):
    """The file can't be used; the message names the file, the key, and the line if known."""


def read(path: str | Path, struct_type: type[StructT]) -> StructT:
    """Read the file at ``path`` into a ``struct_type``. Raises TomlFileError."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or error
        raise TomlFileError(f"{path}: {reason}") from error
    return decode(text, struct_type, path)


def decode(text: str, struct_type: type[StructT], path: str | Path = "-") -> StructT:
    """Decode TOML text into a ``struct_type``; ``path`` is for messages. Raises TomlFileError."""
    try:
        content = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise TomlFileError(f"{path}: {error}") from error
    return convert(content, struct_type, path, text)


def convert(
    content: dict[str, Any], struct_type: type[StructT], path: str | Path = "-", text: str = ""
) -> StructT:
    """Convert decoded TOML or JSON into a ``struct_type``. Raises TomlFileError.

    ``text`` is the TOML source, in which the line of an error is found.
    """
    try:
        return msgspec.convert(content, struct_type)
    except msgspec.ValidationError as error:
        message = _format_error(str(error), content, struct_type, path, text)
        raise TomlFileError(message) from error


def format_problem(path: str | Path, text: str, steps: Sequence[Step], problem: str) -> str:
    """Return a one-line message for a problem with the key at ``steps``."""
    key = "".join(f"[{step}]" if isinstance(step, int) else f".{step}" for step in steps)
    key = key.lstrip(".")
    line = line_of(text, steps)
    return f"{path}: " + (f"line {line}: " if line else "") + (f"{key}: " if key else "") + problem


def _format_error(
    message: str, content: dict[str, Any], struct_type: type, path: str | Path, text: str
) -> str:
    """Return a one-line message for msgspec's ``message`` about ``content``."""
    problem, location = _split_message(message)
    steps = _steps_before_arbitrary_key(
        _resolve_arbitrary_keys(problem, location, content, struct_type)
    )
    if unknown := UNKNOWN_KEY.match(problem):
        steps.append(unknown[1])
        similar = difflib.get_close_matches(
            unknown[1], _known_keys(struct_type, steps[:-1]), 1, MIN_SIMILARITY
        )
        problem = "is not known" + (f"; {similar[0]!r} is the nearest that is" if similar else "")
    elif missing := MISSING_KEY.match(problem):
        problem = f"{missing[1]!r} is missing"
    return format_problem(path, text, steps, problem[0].lower() + problem[1:])


def _split_message(message: str) -> tuple[str, list[LocationStep]]:
    """Return the problem and its location."""
    location = LOCATION.search(message)
    if location is None:
        return message, []
    return message[: location.start()], _parse_location(location[1])


def _parse_location(location: str) -> list[LocationStep]:
    return [
        name if name else int(index) if index else None for name, index in STEP.findall(location)
    ]


def _steps_before_arbitrary_key(location: list[LocationStep]) -> list[Step]:
    """Return the steps before the first key that msgspec left out."""
    steps: list[Step] = []
    for step in location:
        if step is None:
            break
        steps.append(step)
    return steps


def _resolve_arbitrary_keys(
    problem: str, location: list[LocationStep], content: dict[str, Any], struct_type: type
) -> list[LocationStep]:
    """Return the location with the arbitrary keys that msgspec leaves out, as far as possible.

    A key left out is taken to be the first one that causes the same problem as its table's only
    key.
    """
    if None not in location:
        return location
    steps = _steps_before_arbitrary_key(location)
    table = _value_at(content, steps)
    if not isinstance(table, dict):
        return location
    for key, value in table.items():
        reduced = _with_value_at(content, steps, {key: value})
        if _problem_of(reduced, struct_type) == problem:
            resolved = [*steps, *_parse_location(f".{key}"), *location[len(steps) + 1 :]]
            return _resolve_arbitrary_keys(problem, resolved, content, struct_type)
    return location


def _problem_of(content: Any, struct_type: type) -> str | None:
    """Return the problem that msgspec reports, without its location; None if there is none."""
    try:
        msgspec.convert(content, struct_type)
    except msgspec.ValidationError as error:
        return _split_message(str(error))[0]
    return None


def _value_at(content: Any, steps: list[Step]) -> Any:
    """Return the value at ``steps``; None if there is none, as for a key that contains dots."""
    for step in steps:
        try:
            content = content[step]
        except (KeyError, IndexError, TypeError):
            return None
    return content


def _with_value_at(content: Any, steps: list[Step], value: Any) -> Any:
    """Return a copy of ``content`` with ``value`` at ``steps``."""
    if not steps:
        return value
    step, *rest = steps
    copied = dict(content) if isinstance(content, dict) else list(content)
    copied[step] = _with_value_at(content[step], rest, value)  # type: ignore[index]
    return copied


def _known_keys(annotation: Any, steps: list[Step]) -> list[str]:
    """Return the keys of the struct that the schema has at ``steps``; none if it has no struct."""
    annotation, has_arbitrary_keys = _unwrap(annotation)
    for step in steps:
        if isinstance(step, int):
            continue
        if not has_arbitrary_keys and _is_struct(annotation):
            annotation = _types_by_key(annotation).get(step)
        annotation, has_arbitrary_keys = _unwrap(annotation)
    return list(_types_by_key(annotation)) if _is_struct(annotation) else []


def _unwrap(annotation: Any) -> tuple[Any, bool]:
    """Return the type inside optional, list and dict types, and whether one of them is a dict."""
    has_arbitrary_keys = False
    while get_args(annotation):
        has_arbitrary_keys = has_arbitrary_keys or get_origin(annotation) is dict
        # Without the None of an optional type, and the str of a dict's keys.
        inner = [argument for argument in get_args(annotation) if argument not in (type(None), str)]
        if not inner:
            break
        annotation = inner[-1]
    return annotation, has_arbitrary_keys


def _is_struct(annotation: Any) -> bool:
    return isinstance(annotation, type) and issubclass(annotation, msgspec.Struct)


def _types_by_key(annotation: Any) -> dict[str, Any]:
    return {field.encode_name: field.type for field in msgspec.structs.fields(annotation)}
