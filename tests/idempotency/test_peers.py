"""Edge balancers that forward requests to the owners of their keys."""

import asyncio
import errno
import os
import socket
from dataclasses import dataclass

import pytest

from pepperhook.idempotency import peers
from pepperhook.idempotency.keys import key_digest
from pepperhook.idempotency.member_list import MemberListHistory
from pepperhook.idempotency.ownership import Member, owner_of
from pepperhook.idempotency.peers import Peers
from tests.idempotency.balancers import (
    BlockingUpstream,
    make_extension,
    make_log,
    pay,
    running,
    send_pay,
    until,
)
from tests.world import Peer, answer, loopback

PAY = 1  # the number of the service class
WINDOW_S = 0.4
LONG_WINDOW_S = 300.0
FILE_POLL_S = 0.01


class Edges:
    """Two edge balancers that know of each other."""

    names = ("e0", "e1")

    def __init__(self, directory):
        self.directory = directory
        self.ports = self.free_ports()
        self.path = directory / "peers.toml"
        self.write_list(1, self.names)

    def free_ports(self):
        sockets = [socket.create_server(("127.0.0.1", 0)) for _ in self.names]
        ports = {
            name: held.getsockname()[1] for name, held in zip(self.names, sockets, strict=True)
        }
        for held in sockets:
            held.close()
        return ports

    def write_list(self, epoch, names, dead=()):
        members = "".join(
            f'[[members]]\nname = "{name}"\naddress = "127.0.0.1:{self.ports[name]}"\n'
            for name in names
        )
        self.path.write_text(f"version = 1\nepoch = {epoch}\ndead = {list(dead)}\n{members}")

    def make(self, name, peer, window_s=WINDOW_S):
        """A balancer, not started yet, and its extension."""
        extension = make_extension(
            Peers(str(self.path), name, make_log()),
            window_s={"pay": window_s},
            journal=str(self.directory / name),
        )
        return Edge(running(peer, extension, alone=False), extension)

    def key_of(self, name):
        """A key of /pay that this one owns."""
        members = [Member(member, "") for member in self.names]
        keys = (f"k{number}" for number in range(999))
        return next(
            key for key in keys if owner_of(key_digest(PAY, None, key), members).name == name
        )


@dataclass
class Edge:
    balancer: object
    extension: object

    @property
    def store(self):
        return self.extension.store

    @property
    def ownership(self):
        return self.extension.peers.ownership

    @property
    def counters(self):
        return self.extension.peers.counters


@pytest.fixture
def edges(tmp_path):
    return Edges(tmp_path)


@loopback
async def test_repeat_at_another_edge_receives_the_owners_result(edges):
    upstream, key = BlockingUpstream(), edges.key_of("e0")
    async with Peer(upstream) as peer:
        owner, other = edges.make("e0", peer), edges.make("e1", peer)
        async with owner.balancer as at_owner, other.balancer as at_other:
            requests = [
                asyncio.ensure_future(pay(balancer, key))
                for balancer in (at_other, at_owner, at_other, at_owner)
            ]
            await until(lambda: len(owner.store.waiters) >= 3)

            upstream.release.set()

            assert {await request for request in requests} == {(200, b"run 1")}
            assert (await pay(at_other, key, body=b"2"))[0] == 422
            assert len(owner.store.table) == 1
            assert not len(other.store.table)
            assert other.counters.forwarded == 3
    assert upstream.runs == 1


@loopback
async def test_unsafe_request_is_rejected_and_safe_one_served_while_the_owner_is_away(edges):
    upstream, key = BlockingUpstream(), edges.key_of("e0")
    upstream.release.set()
    async with Peer(upstream) as peer:
        owner, other = edges.make("e0", peer), edges.make("e1", peer)
        async with other.balancer as at_other:
            assert await pay(at_other, key) == (503, b"shed\n")
            assert not upstream.runs
            safe = [(await at_other.ask(Idempotency_Key=f"l{n}"))[0] for n in range(6)]
            assert safe == [200] * 6
            assert other.counters.owner_unreachable >= 2

            async with owner.balancer as at_owner:
                assert (await pay(at_other, key))[0] == 200
                assert (await pay(at_owner, key))[0] == 200
    assert upstream.runs == 7


@loopback
async def test_owner_notices_that_a_client_has_left_another_edge(edges):
    upstream, key = BlockingUpstream(), edges.key_of("e0")
    async with Peer(upstream) as peer:
        owner, other = edges.make("e0", peer), edges.make("e1", peer)
        async with owner.balancer as at_owner, other.balancer as at_other:
            client = await send_pay(at_other, key)
            await upstream.until_runs()

            client.abort()

            await until(lambda: at_owner.node.counters["clients left"])
            upstream.release.set()


@loopback
async def test_key_that_changes_owners_is_rejected_until_the_window_after_the_change_is_over(
    edges,
):
    # The window is over when the test says so: one of 0.4 s once was before its first assertion, on
    # a busy machine.
    upstream, key = BlockingUpstream(), edges.key_of("e1")
    upstream.release.set()
    async with Peer(upstream) as peer:
        stays = edges.make("e0", peer, LONG_WINDOW_S)
        leaves = edges.make("e1", peer, LONG_WINDOW_S)
        async with stays.balancer as at_stays:
            async with leaves.balancer as at_leaves:
                assert (await pay(at_stays, key))[1] == b"run 1"
                edges.write_list(2, ["e0"])
                await until_epoch(stays, 2)
                assert (await pay(at_stays, key))[0] == 503, "e1 still remembers it"
                # The one that is no member any more rejects the file, and keeps its list.
                assert leaves.ownership.current.epoch == 1
                assert (await pay(at_leaves, edges.key_of("e0")))[0] == 503, (
                    "an owner accepts nothing of another epoch"
                )

            edges.write_list(3, ["e0"], dead=["e1"])
            await until_epoch(stays, 3)

            assert (await pay(at_stays, key))[0] == 503
            at_stays.node.runtime.offset += int(LONG_WINDOW_S * 10**9)
            while (await pay(at_stays, key))[0] != 200:
                await asyncio.sleep(0.05)


@loopback
async def test_faulty_member_list_leaves_the_old_one_in_force(edges):
    upstream, key = BlockingUpstream(), edges.key_of("e0")
    upstream.release.set()
    async with Peer(upstream) as peer:
        edge = edges.make("e0", peer)
        async with edge.balancer as balancer:
            stamp = edge.extension.peers.file.stamp

            edges.path.write_text("version = 1\nepoch = 4\n")
            await until(lambda: edge.extension.peers.file.stamp != stamp, FILE_POLL_S)

            assert edge.ownership.current.epoch == 1
            assert (await pay(balancer, key))[0] == 200


async def until_epoch(edge, epoch):
    await until(lambda: edge.ownership.current.epoch == epoch, FILE_POLL_S)


async def test_full_disk_does_not_end_the_watcher_of_the_member_list(tmp_path, monkeypatch):
    """Where the disk took no history of lists, the watcher ended by an OSError.

    The member then followed no list any more, and went on with owners that others had replaced.
    """

    def refuse(*_):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    monkeypatch.setattr(peers, "POLL_INTERVAL_S", FILE_POLL_S)
    edges = Edges(tmp_path)
    followed = Peers(str(edges.path), "e0", make_log())
    extension = make_extension(
        followed, window_s={"pay": WINDOW_S}, journal=str(tmp_path / "journal")
    )
    async with (
        Peer(lambda *_: answer()) as peer,
        running(peer, extension, alone=False),
    ):
        monkeypatch.setattr(MemberListHistory, "save", refuse)
        for epoch in (2, 3):
            edges.write_list(epoch, edges.names)
            await until(lambda epoch=epoch: followed.ownership.current.epoch == epoch)
