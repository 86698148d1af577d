"""Gossip among balancers on loopback, ``pepperhook gossip``, and errors in the operator's file."""

import asyncio
import dataclasses
import json
import logging
import socket

import pytest
from click.testing import CliRunner

from pepperhook import operator_config
from pepperhook.cli import main
from pepperhook.membership import extension as extension_module
from pepperhook.membership.datagram import encode
from pepperhook.membership.extension import Gossip
from pepperhook.membership.messages import MemberRecord, MemberState, Message, MessageType
from pepperhook.operator_config.schema import MembershipTable, SigningKey
from pepperhook.server.extensions import Extensions
from pepperhook.server.structured_logging import Log
from tests.membership.helpers import SECRET, WRONG_KEYS, record, state_of
from tests.programs import free_port
from tests.server.balancers import RunningBalancer, make_config

LOG = Log(logging.getLogger("test"))
POLL_S = 0.01
MAX_POLLS = 2000


def make_extension(number: int, ports: list[int], **settings) -> Gossip:
    """Return the extension of balancer ``number``, with the first two ports as seeds."""
    platform = dataclasses.replace(make_config(), name=f"b{number}", seed=number)
    gossip_settings = MembershipTable(
        listen=f"127.0.0.1:{ports[number]}",
        seeds=[f"127.0.0.1:{ports[0]}", f"127.0.0.1:{ports[1]}"],
        probe_period_ms=100.0,
        suspicion_multiplier=1.0,
        keys=[SigningKey("k1", SECRET)],
        **settings,
    )
    return Gossip(gossip_settings, platform, LOG)


async def wait_until(condition) -> None:
    """Wait until a condition holds; fail the test if it does not hold in time."""
    for _ in range(MAX_POLLS):
        if condition():
            return
        await asyncio.sleep(POLL_S)
    assert condition()


class Fleet:
    """Balancers on loopback that gossip."""

    def __init__(self, size: int, **settings):
        ports = [free_port() for _ in range(size)]
        self.names = [f"b{number}" for number in range(size)]
        self.extensions = [make_extension(number, ports, **settings) for number in range(size)]
        self.running = [
            RunningBalancer(["127.0.0.1:9"], Extensions([extension]), owns_event_loop=False)
            for extension in self.extensions
        ]

    async def __aenter__(self):
        for balancer in self.running:
            await balancer.__aenter__()
        return self

    async def __aexit__(self, *error):
        for balancer in self.running:
            await balancer.__aexit__(*error)

    async def stop(self, number: int) -> Gossip:
        """Stop a balancer; return its extension."""
        balancer = self.running.pop(number)
        await balancer.__aexit__(None)
        self.names.pop(number)
        return self.extensions.pop(number)

    def present(self) -> list[list[str]]:
        """Return the names of the present members, as each balancer sees them."""
        return [extension.protocol.table.present_names() for extension in self.extensions]

    def all_agree(self) -> bool:
        """Return whether each balancer sees all running balancers."""
        return self.present() == [self.names] * len(self.names)


async def test_balancers_find_each_other_and_a_stopped_one_is_marked_as_left():
    async with Fleet(5) as fleet:
        await wait_until(fleet.all_agree)

        stopped = await fleet.stop(2)
        await wait_until(fleet.all_agree)

        states = {state_of(extension.protocol, "b2") for extension in fleet.extensions}
        assert states == {MemberState.LEFT}
        assert stopped.transport.is_closing()


async def test_a_balancer_that_leaves_does_not_report_itself_as_lost(caplog, monkeypatch):
    # It did if a datagram arrived after its announcement, while the socket was still open.
    caplog.set_level(logging.INFO)
    async with Fleet(3) as fleet:
        await wait_until(fleet.all_agree)
        leaving = fleet.extensions[2]

        async def receive_probe(_):
            probe = Message(MessageType.PING, 1, leaving.protocol.table.record_of("b0"), "b2")
            leaving.datagram_received(encode(probe, leaving.keys), ("127.0.0.1", 1))

        monkeypatch.setattr(extension_module, "LEAVE_DELAY_S", 0.0)
        monkeypatch.setattr(extension_module.asyncio, "sleep", receive_probe)
        await leaving.left()
        monkeypatch.undo()

        lost = [record for record in caplog.records if "lost" in str(record.__dict__)]
        assert not lost
        assert leaving.protocol.table.local.state == MemberState.LEFT


async def test_the_policy_receives_the_fleet_position_found_by_gossip():
    async with Fleet(3, sets_fleet_position=True) as fleet:
        await wait_until(
            lambda: [extension.position.index for extension in fleet.extensions] == [0, 1, 2]
        )

        policies = [balancer.app.runtime.policy for balancer in fleet.running]

        await wait_until(
            lambda: (
                [(policy.index, policy.fleet_size) for policy in policies]
                == [(0, 3), (1, 3), (2, 3)]
            )
        )


async def test_forged_datagrams_and_floods_change_nothing_and_are_counted():
    forged = Message(
        MessageType.PING,
        1,
        record("b0"),
        "b1",
        None,
        [MemberRecord("b2", ("127.0.0.1", 9), 0, 10**15, MemberState.LEFT)],
    )
    # Empty, truncated, without the magic bytes, and with an unknown key id.
    malformed = [b"", b"PG1", b"noise" * 100, b"PG1\xff" + b"x" * 300]
    async with Fleet(3) as fleet:
        await wait_until(fleet.all_agree)
        target = fleet.extensions[1]

        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for data in [encode(forged, WRONG_KEYS), *malformed]:
                sock.sendto(data, target.listen)
            await wait_until(lambda: target.counters.rejected >= 4)
            for _ in range(400):
                sock.sendto(b"PG1 datagram of a flood", target.listen)
                await asyncio.sleep(0)
            await wait_until(lambda: target.counters.rate_limited >= 100)

        assert fleet.all_agree()


async def test_host_names_of_seeds_are_resolved_without_blocking_the_event_loop(monkeypatch):
    monkeypatch.setattr(extension_module, "RESOLVE_INTERVAL_S", 0.05)
    ports = [free_port(), free_port()]
    first, second = (make_extension(number, ports) for number in range(2))
    resolved_hosts = []

    async def getaddrinfo(host, port, **_):
        resolved_hosts.append(host)
        if len(resolved_hosts) < 3:
            raise socket.gaierror("not known yet")
        return [(socket.AF_INET, socket.SOCK_DGRAM, 0, "", ("127.0.0.1", port))]

    second.protocol.seeds.clear()
    second.named_seeds = [("first.example", ports[0])]
    monkeypatch.setattr(asyncio.get_running_loop(), "getaddrinfo", getaddrinfo)
    async with (
        RunningBalancer(["127.0.0.1:9"], Extensions([first]), owns_event_loop=False),
        RunningBalancer(["127.0.0.1:9"], Extensions([second]), owns_event_loop=False),
    ):
        await wait_until(lambda: second.protocol.table.present_names() == ["b0", "b1"])

    assert resolved_hosts == ["first.example"] * 3


@pytest.mark.parametrize("host", ["no such host", "a" * 64, "\ud7ff.example"])
def test_an_invalid_listen_host_is_rejected_with_the_key_of_the_setting(host):
    table = MembershipTable(
        listen=f"{host}:7946", seeds=["127.0.0.1:1"], keys=[SigningKey("k1", SECRET)]
    )

    with pytest.raises(ValueError, match="gossip.listen"):
        Gossip(table, make_config(), LOG)


async def test_a_balancer_whose_port_is_in_use_serves_with_the_fleet_size_of_its_settings():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as occupying:
        occupying.bind(("127.0.0.1", 0))
        extension = make_extension(0, [occupying.getsockname()[1], 1], sets_fleet_position=True)

        async with RunningBalancer(
            ["127.0.0.1:9"], Extensions([extension]), owns_event_loop=False
        ) as balancer:
            await wait_until(lambda: extension.socket_task.done())

            assert extension.transport is None
            assert balancer.app.runtime.policy.fleet_size == 1
            assert extension.told()["datagrams_out"] == 0


class TestGossipCommand:
    """``pepperhook gossip``."""

    @pytest.fixture
    def keys_path(self, tmp_path):
        """The path of a file with the installation's keys."""
        path = tmp_path / "keys"
        path.write_text(f"k1 {SECRET}\n")
        return str(path)

    @staticmethod
    def run(address, keys_path, *options):
        """Run the command."""
        return CliRunner().invoke(main, ["gossip", address, "--keys", keys_path, *options])

    async def run_off_the_event_loop(self, fleet, keys_path, *options):
        """Run the command in a thread, as the fleet needs the event loop."""
        address = "{}:{}".format(*fleet.extensions[0].listen)
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(None, lambda: self.run(address, keys_path, *options))

    async def test_prints_the_members_with_their_running_versions_as_json(self, keys_path):
        async with Fleet(3) as fleet:
            await wait_until(fleet.all_agree)
            fleet.extensions[2].config_version = lambda: 7
            table = fleet.extensions[0].protocol.table
            await wait_until(lambda: table.record_of("b2").config_version == 7)

            result = await self.run_off_the_event_loop(fleet, keys_path, "--json")

        assert result.exit_code == 0
        output = json.loads(result.stdout)
        members = {member["name"]: member for member in output["members"]}
        states = {name: member["state"] for name, member in members.items()}
        assert states == {"b0": "alive", "b1": "alive", "b2": "alive"}
        assert members["b2"]["version"] == 7
        assert output["by"] == "b0"

    async def test_prints_a_summary_and_does_not_become_a_member(self, keys_path):
        async with Fleet(3) as fleet:
            await wait_until(fleet.all_agree)

            result = await self.run_off_the_event_loop(fleet, keys_path)

            assert result.exit_code == 0
            assert "3 there of 3 known, as b0 sees it" in result.stdout
            assert fleet.all_agree()

    def test_fails_with_one_line_if_no_member_answers(self, keys_path):
        result = self.run(f"127.0.0.1:{free_port()}", keys_path)

        assert result.exit_code == 1
        assert "no answer" in result.stderr
        assert result.stderr.count("\n") == 1

    def test_rejects_an_address_without_a_port(self, keys_path):
        assert self.run("host-without-port", keys_path).exit_code == 2  # a usage error


class TestOperatorFile:
    """Errors in the operator's file are reported with their key."""

    KEYS = 'keys = [{ id = "k1", secret = "a long secret of the installation" }]\n'
    LISTEN = "[gossip]\nlisten = '127.0.0.1:1'\n"
    CONTROL = "[control]\naddress = '127.0.0.1:1'\nplace = true\n"

    @pytest.mark.parametrize(
        ("text", "reported"),
        [
            pytest.param("[gossip]\nseeds = ['a:1']\n" + KEYS, "listen", id="listen is missing"),
            pytest.param(
                LISTEN + "seeds = ['a:1', 'b:x']\n" + KEYS,
                "gossip.seeds[1]",
                id="seed with an invalid port",
            ),
            pytest.param(LISTEN + "seeds = []\n" + KEYS, "seeds", id="seeds is empty"),
            pytest.param(
                LISTEN + "seeds = ['a:1']\nplace = true\n" + KEYS + CONTROL + KEYS,
                "gossip.place: control.place is on, too",
                id="position set by gossip and control",
            ),
        ],
    )
    def test_an_error_is_reported_with_its_key(self, tmp_path, text, reported):
        path = tmp_path / "operator.toml"
        path.write_text("version = 1\n" + text)

        with pytest.raises(ValueError) as caught:
            operator_config.build(str(path), make_config(), LOG)

        assert reported in str(caught.value)
