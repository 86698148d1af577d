"""``pepperhook run``, ``check``, ``config show``, ``explain`` and ``completion``."""

import json

import pytest

from tests.cli.commands import actual_output, command_of, expected_outputs, run
from tests.programs import write_config
from tests.server.balancers import ENVIRONMENT


@pytest.fixture
def directory(tmp_path):
    """A directory with valid and invalid files of a balancer and its operator."""
    write_config(tmp_path)
    (tmp_path / "operator.toml").write_text(
        "version = 1\n[customers.default]\nper_second = 9.0\n[gossip]\n"
    )
    (tmp_path / "limits.toml").write_text("version = 1\n[customers.default]\nper_second = 9.0\n")
    (tmp_path / "faulty.toml").write_text("version = 1\n[custommers]\n")
    (tmp_path / "empty.json").write_text("{")
    return tmp_path


@pytest.mark.parametrize("row", expected_outputs("balancer"), ids=command_of)
def test_output_is_that_of_earlier_releases(row, directory):
    assert actual_output(row["command"], directory, env={"LB_NAME": "n9"}) == row


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_prints_a_script_for_the_shell(shell):
    result = run("completion", shell)

    assert result.exit_code == 0
    assert "_PEPPERHOOK_COMPLETE" in result.stdout


@pytest.fixture
def options(tmp_path):
    """Options that name a configuration and an operator's file."""
    replaced = {
        "callers": {"marksRetry": True},
        "prices": {"crossZone": 0.03},
        "reporting": {"how": "probe", "fields": ["outstanding"]},
    }
    environ = write_config(tmp_path, settings=ENVIRONMENT | replaced)
    path = tmp_path / "operator.toml"
    path.write_text("version = 1\n[customers.default]\nper_second = 9.0\n")
    return ["--config", environ["LB_CONFIG"], "--operator", str(path), "--json"]


def test_check_lists_the_enabled_extensions(options):
    result = run("check", *options)

    assert result.exit_code == 0
    assert json.loads(result.stdout)["parts"] == ["quotas"]


def test_check_of_a_missing_file_has_exit_code_2(tmp_path):
    result = run("check", "--config", tmp_path / "none.json")

    assert result.exit_code == 2


def test_show_prints_each_value_in_force_with_its_source(options):
    shown = run("config", "show", *options, env={"LB_NAME": "n9"})

    rows = {row["key"]: row for row in json.loads(shown.stdout)}
    assert (rows["name"]["value"], rows["name"]["from"]) == ("n9", "LB_NAME")
    assert rows["limits.sockets"]["from"] == "default"
    assert rows["listen"]["from"] == options[1]
    assert rows["operator.customers.default.per_second"]["value"] == 9.0
    values = {
        "callers.marksRetry": True,
        "prices.crossZone": 0.03,
        "reporting.fields": ["outstanding"],
        "goal.tail": None,
    }
    assert {key: rows[f"settings.{key}"]["value"] for key in values} == values
    assert rows["settings.goal.tail"]["from"] == "absent"
