"""Idempotency keys across restarts, and while records can't be written."""

import asyncio
import errno
import shutil
import threading

import pytest

from tests.idempotency.balancers import (
    BlockingUpstream,
    make_extension,
    pay,
    running_balancer,
    send_pay,
)
from tests.server.balancers import wait_until
from tests.server.peers import ScriptedPeer, make_response

MAX_ATTEMPTS = 100


@pytest.fixture
def directory(tmp_path):
    return tmp_path / "journal"


async def test_restart_replays_completed_requests_and_fails_running_ones(directory):
    upstream = BlockingUpstream()
    crashed = directory.with_name("crashed")
    async with ScriptedPeer(upstream) as peer:
        async with running_balancer(peer, make_extension(journal=str(directory))) as balancer:
            upstream.release.set()
            assert (await pay(balancer, "ended"))[1] == b"run 1"
            upstream.release.clear()
            open_request = asyncio.ensure_future(pay(balancer, "open"))
            await upstream.wait_for_runs(2)
            # A copy of the directory at this moment is what a crash would leave.
            shutil.copytree(directory, crashed)
            upstream.release.set()
            await open_request

        restarted = make_extension(journal=str(crashed))
        async with running_balancer(peer, restarted) as balancer:
            assert await pay(balancer, "ended") == (200, b"run 1")
            assert await pay(balancer, "open") == (500, b"broken off\n")
            assert (await pay(balancer, "new"))[0] == 200
    assert upstream.runs == 3
    assert restarted.told()["records"] >= 2


async def test_unsafe_requests_are_rejected_while_their_records_cant_be_written(directory):
    extension = make_extension(journal=str(directory))
    journal = extension.journal
    is_full = True

    def sync(_descriptor):
        if is_full:
            raise OSError(errno.ENOSPC, "full")

    journal.segments.sync = sync
    async with (
        ScriptedPeer(lambda *_: make_response()) as peer,
        running_balancer(peer, extension) as balancer,
    ):
        assert (await pay(balancer, "a"))[0] == 503
        assert not peer.requests
        assert (await balancer.request(Idempotency_Key="l"))[0] == 200, (
            "safe requests need no record"
        )

        is_full = False

        for _ in range(MAX_ATTEMPTS):
            written = journal.statistics.records
            status, _ = await pay(balancer, "a")
            if status == 200:
                break
            # Only the record of the rejected request shows that the disk accepts records again.
            await wait_until(lambda written=written: journal.statistics.records > written)
        assert status == 200, "the journal did not resume"
    assert extension.record_failures >= 1


async def test_waiter_runs_when_the_first_client_leaves_before_its_record_is_durable(
    directory,
):
    extension, release = make_extension(journal=str(directory)), threading.Event()
    extension.journal.segments.sync = lambda _descriptor: release.wait(10)
    store = extension.store
    async with (
        ScriptedPeer(lambda *_: make_response()) as peer,
        running_balancer(peer, extension) as balancer,
    ):
        first = await send_pay(balancer, "k")
        await wait_until(lambda: store.running)
        repeat = asyncio.ensure_future(pay(balancer, "k"))
        await wait_until(lambda: len(store.waiters))

        first.abort()
        # The waiter owns the key, pending its own record, long before the first time limit expires.
        while len(store.waiters):
            await asyncio.sleep(0.005)
            assert balancer.app.requests.tasks
            assert not repeat.done()
        release.set()

        assert await repeat == (200, b"done")
    assert len(peer.requests) == 1
