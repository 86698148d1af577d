"""Tests of reading the operator's file and building the extensions that it turns on."""

import tomllib
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from pepperhook import operator_config
from pepperhook.cli import main
from pepperhook.operator_config import schema
from pepperhook.server import config
from tests.programs import write_config
from tests.server.balancers import make_config

EXAMPLE = Path(__file__).parents[2] / "deploy" / "operator.example.toml"
INVALID_FILES = [
    ("version = 3\n", "line 1: version:"),
    ("[customers]\n", "'version' is missing"),
    ("version = 1\n[custommers]\n", "line 2: custommers: is not known; 'customers' is the nearest"),
    (
        "version = 1\n[customers.default]\nper_secnd = 1\n",
        "line 3: customers.default.per_secnd: is not known; 'per_second'",
    ),
    (
        "version = 1\n[customers.default]\nper_second = 0\n",
        "line 3: customers.default.per_second: expected",
    ),
    (
        "version = 1\n[customers.each.nobody]\nper_second = 1\n",
        "customers.each.nobody: the settings know no such",
    ),
    ("version = 1\n[customers]\nof = 'world'\n", "line 3: customers.of:"),
    ("version = \n", "line 1"),
]


@pytest.mark.parametrize("text, message", INVALID_FILES)
def test_check_prints_one_line_for_an_invalid_file_and_exits_with_2(tmp_path, text, message):
    path = tmp_path / "operator.toml"
    path.write_text(text)
    environment = write_config(tmp_path)

    options = ["--config", environment["LB_CONFIG"], "--operator", str(path)]
    result = CliRunner().invoke(main, ["check", *options])

    assert result.exit_code == 2
    assert len(result.stderr.splitlines()) == 1
    assert message in result.stderr


def test_config_error_for_an_unknown_tenant_names_path_and_known_tenants(tmp_path):
    path = tmp_path / "operator.toml"
    path.write_text("version = 1\n[customers.each.nobody]\nper_second = 1\n")

    with pytest.raises(config.ConfigError) as error:
        operator_config.build(str(path), make_config(), None)

    assert str(path) in str(error.value)
    assert "acme" in str(error.value)


def test_example_file_is_valid_and_has_every_table():
    operator_file = operator_config.read(EXAMPLE)

    assert set(tomllib.loads(EXAMPLE.read_text())) == set(operator_file.__struct_encode_fields__)


def test_structs_of_the_schema_are_frozen():
    # Every struct that the schema module defines; msgspec.Struct itself has no fields.
    structs = [
        kind
        for kind in vars(schema).values()
        if isinstance(kind, type) and issubclass(kind, msgspec.Struct) and kind.__struct_fields__
    ]

    assert len(structs) == 12
    assert all(kind.__struct_config__.frozen for kind in structs)
