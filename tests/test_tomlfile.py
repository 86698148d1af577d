"""Tests that errors in a TOML file are reported in one line with file, line and key."""

from typing import Annotated

import pytest
from msgspec import Meta, Struct

from pepperhook import tomlfile
from pepperhook.errors import PepperhookError
from pepperhook.toml_lines import line_of


class Row(Struct, forbid_unknown_fields=True):
    rate: Annotated[float, Meta(gt=0)]
    burst: float | None = None


class Content(Struct, forbid_unknown_fields=True):
    version: int
    default: Row | None = None
    each: dict[str, Row] = {}
    nested: dict[str, dict[str, Row]] = {}
    rows: list[Row] = []


ERRORS = [
    ("[each]\n", "f.toml: 'version' is missing"),
    ("version = 'x'\n", "f.toml: line 1: version: expected `int`, got `str`"),
    (
        "version = 1\n[default]\nraet = 1\n",
        "f.toml: line 3: default.raet: is not known; 'rate' is the nearest that is",
    ),
    ("version = 1\nxyz = 1\n", "f.toml: line 2: xyz: is not known"),
    ("version = 1\n[default]\n", "f.toml: line 2: default: 'rate' is missing"),
    (
        "version = 1\n[each.good]\nrate = 1\n[each.bad]\nrate = 0\n",
        "f.toml: line 5: each.bad.rate: expected `float` > 0.0",
    ),
    (
        "version = 1\n[each.bad]\nrate = 1\nbrust = 2\n",
        "f.toml: line 4: each.bad.brust: is not known; 'burst' is the nearest that is",
    ),
    (
        "version = 1\n[nested.a.b]\nrate = 1\n[nested.c.d]\nrate = 'x'\n",
        "f.toml: line 5: nested.c.d.rate: expected `float`, got `str`",
    ),
    (
        "version = 1\n[[rows]]\nrate = 1\n[[rows]]\nrate = -1\n",
        "f.toml: line 5: rows[1].rate: expected `float` > 0.0",
    ),
    (
        "version = 1\nrows = [{rate = 1}, {rate = 1, burst = true}]\n",
        "f.toml: line 2: rows[1].burst: expected `float | null`, got `bool`",
    ),
    (
        'version = 1\n[each."a.b"]\nrate = 0\n',
        "f.toml: line 3: each.a.b.rate: expected `float` > 0.0",
    ),
    # A key with dots in a table of tables is not resolved: line and full key are missing.
    (
        'version = 1\n[nested."a.b".c]\nrate = 0\n',
        "f.toml: nested.a.b: expected `float` > 0.0",
    ),
]


@pytest.mark.parametrize("text, message", ERRORS)
def test_error_in_a_file_is_one_line_with_file_line_and_key(text, message):
    with pytest.raises(tomlfile.TomlFileError) as error:
        tomlfile.decode(text, Content, "f.toml")

    assert str(error.value) == message


def test_error_for_invalid_toml_names_the_line():
    with pytest.raises(tomlfile.TomlFileError, match=r"^f\.toml: .*line 1") as error:
        tomlfile.decode("version = \n", Content, "f.toml")

    assert isinstance(error.value, PepperhookError)


def test_error_for_an_unreadable_file_names_its_path(tmp_path):
    binary = tmp_path / "binary.toml"
    binary.write_bytes(b"\xff")

    with pytest.raises(tomlfile.TomlFileError, match="none.toml: No such file or directory$"):
        tomlfile.read(tmp_path / "none.toml", Content)
    with pytest.raises(tomlfile.TomlFileError, match="binary.toml: 'utf-8' codec can't decode"):
        tomlfile.read(binary, Content)


def test_valid_file_is_read_with_defaults(tmp_path):
    path = tmp_path / "good.toml"
    path.write_text("version = 3\n[each.a]\nrate = 2\n")

    assert tomlfile.read(path, Content) == Content(version=3, each={"a": Row(rate=2.0)})


@pytest.mark.parametrize(
    "path, line",
    [
        (["version"], 1),
        (["table"], 2),
        (["table", "key"], 3),
        (["table", "absent"], 2),
        (["list", 0, "key"], 5),
        (["list", 1, "key"], 8),
        (["list", 1, "inner", "key"], 10),
        (["quoted", "inline"], 11),
        (["nowhere"], None),
    ],
)
def test_line_of_a_key_or_else_of_its_innermost_table_is_found(path, line):
    text = (
        "version = 1\n[table]\nkey = 1\n[[list]]\nkey = 1\n\n[[ list ]]  # the second\nkey = 2\n"
        '[list.inner]\nkey = 3\n["quoted"]\n'
    )

    assert line_of(text, path) == line
