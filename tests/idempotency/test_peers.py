"""Edge balancers that forward requests to the owner of their key."""

import asyncio
import errno
import os
import shutil

import pytest

from pepperhook.idempotency import member_list_follower
from pepperhook.idempotency.member_list import MemberListHistory
from pepperhook.idempotency.ownership import Knowledge
from pepperhook.idempotency.peers import Peers
from tests.idempotency.balancers import (
    BlockingUpstream,
    make_extension,
    make_log,
    pay,
    running_balancer,
    send_pay,
)
from tests.idempotency.edges import WINDOW_S, Edges
from tests.server.balancers import wait_until
from tests.server.peers import ScriptedPeer, make_response

LONG_WINDOW_S = 300.0
TIME_LIMIT_S = 2.0  # of all service classes
FILE_POLL_S = 0.01


@pytest.fixture
def edges(tmp_path):
    return Edges(tmp_path)


async def test_repeat_at_another_edge_receives_the_owners_result(edges):
    upstream, key = BlockingUpstream(), edges.key_of("e0")
    async with ScriptedPeer(upstream) as peer:
        owner, forwarder = edges.make("e0", peer), edges.make("e1", peer)
        async with owner.balancer as owner_balancer, forwarder.balancer as forwarding_balancer:
            requests = [
                asyncio.ensure_future(pay(balancer, key))
                for balancer in (
                    forwarding_balancer,
                    owner_balancer,
                    forwarding_balancer,
                    owner_balancer,
                )
            ]
            await wait_until(lambda: len(owner.store.waiters) >= 3)

            upstream.release.set()

            assert {await request for request in requests} == {(200, b"run 1")}
            assert (await pay(forwarding_balancer, key, body=b"2"))[0] == 422
            assert len(owner.store.table) == 1
            assert not len(forwarder.store.table)
            assert forwarder.counters.forwarded == 3
    assert upstream.runs == 1


async def test_unsafe_request_is_rejected_and_safe_one_served_while_the_owner_is_down(edges):
    upstream, key = BlockingUpstream(), edges.key_of("e0")
    upstream.release.set()
    async with ScriptedPeer(upstream) as peer:
        owner, forwarder = edges.make("e0", peer), edges.make("e1", peer)
        async with forwarder.balancer as forwarding_balancer:
            assert await pay(forwarding_balancer, key) == (503, b"shed\n")
            assert not upstream.runs
            safe = [
                (await forwarding_balancer.request(Idempotency_Key=f"l{n}"))[0] for n in range(6)
            ]
            assert safe == [200] * 6
            assert forwarder.counters.owner_unreachable >= 2

            async with owner.balancer as owner_balancer:
                assert (await pay(forwarding_balancer, key))[0] == 200
                assert (await pay(owner_balancer, key))[0] == 200
    assert upstream.runs == 7


async def test_owner_notices_that_a_client_has_left_another_edge(edges):
    upstream, key = BlockingUpstream(), edges.key_of("e0")
    async with ScriptedPeer(upstream) as peer:
        owner, forwarder = edges.make("e0", peer), edges.make("e1", peer)
        async with owner.balancer as owner_balancer, forwarder.balancer as forwarding_balancer:
            client = await send_pay(forwarding_balancer, key)
            await upstream.wait_for_runs()

            client.abort()

            await wait_until(lambda: owner_balancer.app.counters["clients left"])
            upstream.release.set()


async def test_key_that_changes_owners_is_rejected_until_a_window_after_the_change(
    edges,
):
    # On a busy machine, a window of 0.4 s can end before the first assertion. The test uses a long
    # one, and moves the clock to end it.
    upstream, key = BlockingUpstream(), edges.key_of("e1")
    upstream.release.set()
    async with ScriptedPeer(upstream) as peer:
        remaining = edges.make("e0", peer, LONG_WINDOW_S)
        removed = edges.make("e1", peer, LONG_WINDOW_S)
        async with remaining.balancer as remaining_balancer:
            async with removed.balancer as removed_balancer:
                assert (await pay(remaining_balancer, key))[1] == b"run 1"
                edges.write_list(2, ["e0"])
                await wait_for_epoch(remaining, 2)
                assert (await pay(remaining_balancer, key))[0] == 503, "e1 still has the entry"
                # e1, which is not in the new list, rejects the file and keeps its list.
                assert removed.ownership.current.epoch == 1
                assert (await pay(removed_balancer, edges.key_of("e0")))[0] == 503, (
                    "an owner accepts nothing of another epoch"
                )

            edges.write_list(3, ["e0"], dead=["e1"])
            await wait_for_epoch(remaining, 3)

            assert (await pay(remaining_balancer, key))[0] == 503
            remaining_balancer.app.runtime.offset += int(LONG_WINDOW_S * 10**9)
            while (await pay(remaining_balancer, key))[0] != 200:
                await asyncio.sleep(0.05)


async def test_added_member_rejects_keys_that_another_member_ran_before(edges):
    """Guards against a member that is added, and knows no earlier list, running sales again."""
    upstream, key, kept_key = BlockingUpstream(), edges.key_of("e1"), edges.key_of("e0")
    upstream.release.set()
    edges.write_list(1, ["e0"])
    async with ScriptedPeer(upstream) as peer:
        first = edges.make("e0", peer, LONG_WINDOW_S)
        async with first.balancer as first_balancer:
            assert await pay(first_balancer, key) == (200, b"run 1")
            edges.write_list(2, edges.names)
            await wait_for_epoch(first, 2)
            added = edges.make("e1", peer, LONG_WINDOW_S)
            async with added.balancer as added_balancer:
                assert (await pay(added_balancer, key))[0] == 503, "e0 has the entry"
                assert (await pay(first_balancer, key))[0] == 503, "it is e1's key now"
                assert await pay(added_balancer, kept_key) == (200, b"run 2")
                assert await pay(first_balancer, kept_key) == (200, b"run 2")
                await wait_until(lambda: added.ownership.previous)
                assert (await pay(added_balancer, key))[0] == 503, "its window is not over"
                assert upstream.runs == 2

                added_balancer.app.runtime.offset += int((LONG_WINDOW_S + TIME_LIMIT_S) * 10**9)
                assert (await pay(added_balancer, key))[0] == 200


async def test_added_member_takes_over_no_key_while_nobody_tells_it_the_earlier_lists(edges):
    upstream, key = BlockingUpstream(), edges.key_of("e1")
    upstream.release.set()
    edges.write_list(1, ["e0"])
    async with ScriptedPeer(upstream) as peer:
        first = edges.make("e0", peer, LONG_WINDOW_S)
        async with first.balancer as first_balancer:
            assert await pay(first_balancer, key) == (200, b"run 1")
        edges.write_list(2, edges.names)
        async with edges.make("e1", peer, LONG_WINDOW_S).balancer as added_balancer:
            added_balancer.app.runtime.offset += int(2 * LONG_WINDOW_S * 10**9)
            assert (await pay(added_balancer, key))[0] == 503, "e0 does not run"
            assert (await added_balancer.request(Idempotency_Key="look"))[0] == 200
    assert upstream.runs == 2, "the sale, and a safe request"


async def test_key_that_still_ran_as_it_changed_owners_is_rejected_for_its_whole_window(edges):
    """Guards against a new owner that counts the window from the former one's release alone."""
    upstream, key = BlockingUpstream(), edges.key_of("e1")
    edges.write_list(1, ["e0"])
    async with ScriptedPeer(upstream) as peer:
        first = edges.make("e0", peer, LONG_WINDOW_S)
        async with first.balancer as first_balancer:
            request = asyncio.ensure_future(pay(first_balancer, key))
            await upstream.wait_for_runs()
            edges.write_list(2, edges.names)
            await wait_for_epoch(first, 2)
            added = edges.make("e1", peer, LONG_WINDOW_S)
            async with added.balancer as added_balancer:
                await wait_until(lambda: not added.ownership.missing_reports)
                upstream.release.set()
                assert (await request)[0] == 200

                added_balancer.app.runtime.offset += int(LONG_WINDOW_S * 10**9)
                assert (await pay(added_balancer, key))[0] == 503, "it ended after the release"
                added_balancer.app.runtime.offset += int(TIME_LIMIT_S * 10**9)
                assert (await pay(added_balancer, key))[0] == 200


async def test_member_that_missed_a_list_learns_it_from_the_others(edges):
    """Guards against a member that was down during a change taking its old keys for its own."""
    upstream, key = BlockingUpstream(), edges.key_of("e1")
    upstream.release.set()
    async with ScriptedPeer(upstream) as peer:
        staying = edges.make("e0", peer, WINDOW_S)
        async with staying.balancer as staying_balancer:
            async with edges.make("e1", peer, WINDOW_S).balancer:
                pass
            edges.write_list(2, ["e0"], dead=["e1"])
            await wait_for_epoch(staying, 2)
            while (await pay(staying_balancer, key))[0] != 200:  # until the window is over
                await asyncio.sleep(0.05)
            edges.write_list(3, edges.names)
            await wait_for_epoch(staying, 3)

            back = edges.make("e1", peer, LONG_WINDOW_S)
            async with back.balancer as back_balancer:
                assert (await pay(back_balancer, key))[0] == 503, "e0 has the entry"
                await wait_until(lambda: back.ownership.knowledge is Knowledge.COMPLETE)
                assert [earlier.epoch for earlier in back.ownership.previous] == [1, 2]
                assert (await pay(back_balancer, key))[0] == 503, "e0 has the entry"
    assert upstream.runs == 1


async def test_member_added_to_one_that_ran_without_a_list_rejects_the_keys_of_that_time(edges):
    """Guards against a first list that gives away keys which one member ran without any."""
    upstream, key = BlockingUpstream(), edges.key_of("e1")
    upstream.release.set()
    async with ScriptedPeer(upstream) as peer:
        alone = make_extension(window_s={"pay": LONG_WINDOW_S}, journal=str(edges.directory / "e0"))
        async with running_balancer(peer, alone, owns_event_loop=False) as balancer:
            assert await pay(balancer, key) == (200, b"run 1")
        async with (
            edges.make("e0", peer, LONG_WINDOW_S).balancer as first_balancer,
            edges.make("e1", peer, LONG_WINDOW_S).balancer as added_balancer,
        ):
            assert (await pay(added_balancer, key))[0] == 503, "e0 has the entry"
            assert (await pay(first_balancer, key))[0] == 503, "it is e1's key now"
            assert (await pay(added_balancer, edges.key_of("e0")))[0] == 200
    assert upstream.runs == 2


async def test_member_that_starts_with_an_outdated_list_accepts_no_key(edges):
    """Guards against a member that others declared dead starting with the list before that."""
    upstream, key = BlockingUpstream(), edges.key_of("e1")
    upstream.release.set()
    outdated = shutil.copy(edges.path, edges.path.with_suffix(".outdated"))
    async with ScriptedPeer(upstream) as peer:
        staying = edges.make("e0", peer)
        async with staying.balancer as staying_balancer:
            edges.write_list(2, ["e0"], dead=["e1"])
            await wait_for_epoch(staying, 2)
            while (await pay(staying_balancer, key))[0] != 200:  # until the window is over
                await asyncio.sleep(0.05)

            back = edges.make("e1", peer, path=outdated)
            async with back.balancer as back_balancer:
                assert (await pay(back_balancer, key))[0] == 503, "e0 has list 2 and the entry"
                assert back.ownership.is_outdated
                assert (await back_balancer.request(Idempotency_Key="look"))[0] == 200
    assert upstream.runs == 2, "the sale, and a safe request"


async def test_members_of_a_new_fleet_serve_at_once(edges):
    upstream = BlockingUpstream()
    upstream.release.set()
    async with ScriptedPeer(upstream) as peer:
        for name in edges.names:
            edge = edges.make(name, peer)
            async with edge.balancer as balancer:  # the other one does not run
                assert (await pay(balancer, edges.key_of(name)))[0] == 200


async def test_invalid_member_list_leaves_the_old_one_in_effect(edges):
    upstream, key = BlockingUpstream(), edges.key_of("e0")
    upstream.release.set()
    async with ScriptedPeer(upstream) as peer:
        edge = edges.make("e0", peer)
        async with edge.balancer as balancer:
            stamp = edge.extension.peers.lists.file.stamp

            edges.path.write_text("version = 1\nepoch = 4\n")
            await wait_until(lambda: edge.extension.peers.lists.file.stamp != stamp, FILE_POLL_S)

            assert edge.ownership.current.epoch == 1
            assert (await pay(balancer, key))[0] == 200


async def wait_for_epoch(edge, epoch):
    await wait_until(lambda: edge.ownership.current.epoch == epoch, FILE_POLL_S)


async def test_full_disk_does_not_end_the_watcher_of_the_member_list(tmp_path, monkeypatch):
    """Guards against an OSError, raised while saving the history of lists, ending the watcher.

    The member then applied no new list, and kept using owners that other members had replaced.
    """

    def fail_to_save(*_):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    monkeypatch.setattr(member_list_follower, "POLL_INTERVAL_S", FILE_POLL_S)
    edges = Edges(tmp_path)
    members = Peers(str(edges.path), "e0", make_log())
    extension = make_extension(
        members, window_s={"pay": WINDOW_S}, journal=str(tmp_path / "journal")
    )
    async with (
        ScriptedPeer(lambda *_: make_response()) as peer,
        running_balancer(peer, extension, owns_event_loop=False),
    ):
        monkeypatch.setattr(MemberListHistory, "save", fail_to_save)
        for epoch in (2, 3):
            edges.write_list(epoch, edges.names)
            await wait_until(lambda epoch=epoch: members.ownership.current.epoch == epoch)
