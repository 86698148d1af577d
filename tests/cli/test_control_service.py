"""``pepperhook control`` with a running control service."""

import asyncio
import json
import socket

import pytest
from click.testing import CliRunner

from pepperhook.cli import main
from pepperhook.server.extensions import Extensions
from tests.control_plane.helpers import SECRET, RunningControlService, control_extension, until
from tests.server.balancers import RunningBalancer
from tests.server.peers import ScriptedPeer, always, make_response


@pytest.fixture
def keys_file(tmp_path):
    path = tmp_path / "keys"
    path.write_text(f"# of the installation\nk1 {SECRET}\n")
    return path


@pytest.fixture
def document_file(tmp_path):
    path = tmp_path / "doc.toml"
    path.write_text("version = 1\n[grades.look]\ngoal_ms = 900.0\n")
    return path


class CommandLine:
    """Runs commands of ``pepperhook control`` against one service."""

    def __init__(self, address, keys_file):
        self.options = ["--service", address, "--keys", str(keys_file)]

    async def run(self, exit_code, *words):
        """Run a command, check its exit code and return its output."""
        arguments = ["control", *map(str, words), *self.options]
        result = await asyncio.to_thread(CliRunner().invoke, main, arguments)
        assert result.exit_code == exit_code, result.output
        return result.output


async def test_operator_plans_proposes_rolls_out_and_rolls_back(tmp_path, keys_file, document_file):
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningControlService(tmp_path / "s") as served,
    ):
        control = control_extension(served.address)
        command = CommandLine(served.address, keys_file)
        async with RunningBalancer([peer.address], Extensions([control]), owns_event_loop=False):
            await until(lambda: control.stream.connected)

            planned = await command.run(0, "plan", document_file)
            assert "grades.look.goal_ms: unset -> 900.0" in planned

            authorship = ("--author", "ann", "--reason", "rise")
            assert "version 1, from 0" in await command.run(
                0, "propose", document_file, *authorship
            )

            steps = ("--author", "ann", "--steps", "100%:0")
            assert "of version 1 by ann: going" in await command.run(0, "rollout", "1", *steps)
            await until(lambda: control.applier.running_number == 1)
            await until(lambda: served.members["n"].running_version == 1)

            assert "applied" in await command.run(0, "status")
            assert "1 from 0 by ann: rise" in await command.run(0, "versions")
            shown = json.loads(await command.run(0, "show", "1"))
            assert shown["grades"]["look"]["goal_ms"] == 900.0

            assert "held" in await command.run(0, "hold", "--reason", "wait")
            assert "going" in await command.run(0, "resume")
            assert "back to 2" in await command.run(0, "back", "--reason", "no")
            await until(lambda: control.applier.running_number == 2)

            outdated = ("propose", document_file, "--parent", "1")
            assert "not the newest" in await command.run(1, *outdated)


async def test_command_that_fails_prints_the_reason(tmp_path, keys_file):
    misspelt = tmp_path / "bad.toml"
    misspelt.write_text("version = 1\n[grades.look]\ngaol_ms = 900.0\n")
    async with RunningControlService(tmp_path / "s") as served:
        command = CommandLine(served.address, keys_file)

        assert "'goal_ms' is the nearest" in await command.run(2, "plan", misspelt)
        assert "there is no version 9" in await command.run(1, "rollout", "9")
        assert "--steps" in await command.run(2, "rollout", "1", "--steps", "half")
        assert "there is no version 7" in await command.run(1, "show", "7")


async def test_json_output_has_the_keys_of_the_http_api(tmp_path, keys_file, document_file):
    async with RunningControlService(tmp_path / "s") as served:
        command = CommandLine(served.address, keys_file)

        plan = json.loads(await command.run(0, "plan", document_file, "--json"))
        version = json.loads(await command.run(0, "propose", document_file, "--json"))
        rollout = json.loads(await command.run(0, "rollout", "1", "--json"))
        status = json.loads(await command.run(0, "status", "--json"))

    assert plan == {
        "parent": 0,
        "differences": [["grades.look.goal_ms", None, 900.0]],
        "refusals": [],
        "stands": [],
    }
    assert list(version) == [
        "number",
        "parent",
        "author",
        "reason",
        "made_ms",
        "document",
        "forced",
        "hash",
        "key",
        "mac",
    ]
    assert list(rollout) == [
        "number",
        "version",
        "before",
        "steps",
        "patience_s",
        "author",
        "state",
        "step",
        "begun",
        "why",
        "changed",
        "unchanged",
        "base",
        "back_to",
        "entered",
        "refused",
    ]
    assert rollout["changed"] == {"good": 0, "bad": 0}
    assert list(status) == ["rollout", "members", "gone", "epochs", "counts"]
    counters = ["streams", "versions_sent", "bytes_sent", "denied", "beats"]
    assert list(status["counts"]) == counters


def test_address_of_an_unreachable_service_is_printed(keys_file):
    options = ["--service", "127.0.0.1:9", "--keys", str(keys_file)]

    assert "127.0.0.1:9" in CliRunner().invoke(main, ["control", "status", *options]).output


def test_key_file_with_a_short_secret_is_invalid_input(keys_file):
    keys_file.write_text("k1 short\n")
    options = ["--service", "127.0.0.1:9", "--keys", str(keys_file)]

    assert CliRunner().invoke(main, ["control", "status", *options]).exit_code == 2


def test_new_key_prints_an_id_and_a_secret():
    assert len(CliRunner().invoke(main, ["control", "new-key", "k2"]).output.split()) == 2


def test_service_cannot_listen_at_an_address_in_use(tmp_path, keys_file):
    with socket.socket() as occupied:
        occupied.bind(("127.0.0.1", 0))
        occupied.listen(1)
        listen = f"127.0.0.1:{occupied.getsockname()[1]}"
        options = ["--listen", listen, "--store", str(tmp_path / "s"), "--keys", str(keys_file)]

        result = CliRunner().invoke(main, ["control", "serve", *options])

    assert result.exit_code == 1
    assert "in use" in result.output
