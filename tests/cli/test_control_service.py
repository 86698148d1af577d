"""``pepperhook control`` against a service, and the service that it runs."""

import asyncio
import json
import socket

import pytest
from click.testing import CliRunner

from pepperhook.cli import main
from pepperhook.server.extensions import Extensions
from tests.control_plane.helpers import SECRET, RunningControlService, control_extension, until
from tests.world import Peer, Running, answer, loopback


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
        """The output of a command that ends with an exit code."""
        arguments = ["control", *map(str, words), *self.options]
        result = await asyncio.to_thread(CliRunner().invoke, main, arguments)
        assert result.exit_code == exit_code, result.output
        return result.output


@loopback
async def test_operator_plans_proposes_rolls_out_and_rolls_back(tmp_path, keys_file, document_file):
    async with Peer(lambda *_: answer()) as peer, RunningControlService(tmp_path / "s") as served:
        control = control_extension(served.address)
        command = CommandLine(served.address, keys_file)
        async with Running([peer.dial], parts=Extensions([control]), alone=False):
            await until(lambda: control.stream.connected)

            planned = await command.run(0, "plan", document_file)
            assert "grades.look.goal_ms: unset -> 900.0" in planned

            signed = ("--author", "ann", "--reason", "rise")
            assert "version 1, from 0" in await command.run(0, "propose", document_file, *signed)

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


@loopback
async def test_command_that_cannot_be_carried_out_says_why(tmp_path, keys_file):
    misspelt = tmp_path / "bad.toml"
    misspelt.write_text("version = 1\n[grades.look]\ngaol_ms = 900.0\n")
    async with RunningControlService(tmp_path / "s") as served:
        command = CommandLine(served.address, keys_file)

        assert "'goal_ms' is the nearest" in await command.run(2, "plan", misspelt)
        assert "there is no version 9" in await command.run(1, "rollout", "9")
        assert "--steps" in await command.run(2, "rollout", "1", "--steps", "half")
        assert "there is no version 7" in await command.run(1, "show", "7")


@loopback
async def test_machine_readable_output_has_the_keys_of_the_http_interface(
    tmp_path, keys_file, document_file
):
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


def test_unreachable_service_is_named(keys_file):
    options = ["--service", "127.0.0.1:9", "--keys", str(keys_file)]

    assert "127.0.0.1:9" in CliRunner().invoke(main, ["control", "status", *options]).output


def test_file_of_keys_with_a_short_secret_is_bad_input(keys_file):
    keys_file.write_text("k1 short\n")
    options = ["--service", "127.0.0.1:9", "--keys", str(keys_file)]

    assert CliRunner().invoke(main, ["control", "status", *options]).exit_code == 2


def test_new_key_is_a_line_of_a_file_of_keys():
    assert len(CliRunner().invoke(main, ["control", "new-key", "k2"]).output.split()) == 2


def test_serving_at_an_address_in_use_fails(tmp_path, keys_file):
    with socket.socket() as occupied:
        occupied.bind(("127.0.0.1", 0))
        occupied.listen(1)
        listen = f"127.0.0.1:{occupied.getsockname()[1]}"
        options = ["--listen", listen, "--store", str(tmp_path / "s"), "--keys", str(keys_file)]

        result = CliRunner().invoke(main, ["control", "serve", *options])

    assert result.exit_code == 1
    assert "in use" in result.output
