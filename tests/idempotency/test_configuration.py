"""The ``[repeats]`` table, and the start of a balancer with a journal."""

import os
import subprocess
import sys

import pytest

from pepperhook import operator_config
from pepperhook.server import config
from tests.idempotency.journals import make_journal
from tests.programs import write_config
from tests.server.balancers import make_config


@pytest.mark.parametrize(
    "table, reason",
    [
        ("entries = 0", "entries"),
        ('require = ["nobody"]', "nobody"),
        ("window_s = { nobody = 1 }", "nobody"),
        ('require = ["look"]\nretriable_s = 0', "window of 0"),
        ('peers = "nowhere.toml"', "nowhere.toml"),
        ("body_kb = 65", "body_kb"),
    ],
)
def test_invalid_table_is_reported_in_one_line_with_its_key(tmp_path, table, reason):
    path = tmp_path / "operator.toml"
    path.write_text(f"version = 1\n[repeats]\n{table}\n")

    with pytest.raises(config.ConfigError) as raised:
        operator_config.build(str(path), make_config(), None)

    assert reason in str(raised.value)
    assert "\n" not in str(raised.value)


@pytest.fixture
def environment(tmp_path):
    """Return the environment of a balancer whose journal another process has open."""
    operator_file = tmp_path / "operator.toml"
    operator_file.write_text(f'version = 1\n[repeats]\njournal = "{tmp_path}/keys"\n')
    journal = make_journal(tmp_path / "keys")
    journal.open()
    yield {**os.environ, **write_config(tmp_path), "LB_OPERATOR": str(operator_file)}
    journal.close()


def run_module(module, *arguments, env):
    command = [sys.executable, "-m", module, *arguments]
    return subprocess.run(command, env=env, capture_output=True, text=True, check=False)


def test_start_fails_while_another_process_has_the_journal_open(environment):
    completed = run_module("pepperhook", env=environment)

    reason = completed.stderr.splitlines()[-1]
    assert completed.returncode == 2
    assert "repeats.journal" in reason
    assert "another process" in reason


def test_configuration_check_succeeds_while_another_process_has_the_journal_open(environment):
    completed = run_module("pepperhook.cli", "check", env=environment)

    assert completed.returncode == 0, completed.stderr
