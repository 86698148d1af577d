"""The extension for idempotency keys in one balancer on loopback."""

import asyncio

import pytest

from pepperhook.idempotency.entries import Verdict
from tests.idempotency.balancers import (
    BlockingUpstream,
    make_extension,
    pay,
    running_balancer,
    send_pay,
)
from tests.server.balancers import wait_until
from tests.server.peers import ScriptedPeer, make_response

FAILED = (500, b"broken off\n")
NOT_STORED = b"was fulfilled before; the answer was too large to be kept\n"


async def test_repeat_receives_the_result_while_the_first_request_runs_and_afterwards():
    upstream, extension = BlockingUpstream(), make_extension()
    async with ScriptedPeer(upstream) as peer, running_balancer(peer, extension) as balancer:
        first = asyncio.ensure_future(pay(balancer))
        await upstream.wait_for_runs()
        repeat = asyncio.ensure_future(pay(balancer, key='"k1"'))
        await wait_until(lambda: len(extension.store.waiters))

        upstream.release.set()

        assert await first == (200, b"run 1")
        assert await repeat == (200, b"run 1")
        assert await pay(balancer) == (200, b"run 1")
    assert upstream.runs == 1
    assert extension.store.counts[Verdict.REPLAY] == 2


async def test_key_with_another_body_is_refused_and_another_key_runs():
    upstream = BlockingUpstream()
    upstream.release.set()
    async with ScriptedPeer(upstream) as peer, running_balancer(peer, make_extension()) as balancer:
        assert (await pay(balancer)) == (200, b"run 1")

        other_body = await pay(balancer, body=b"2")
        other_key = await pay(balancer, key="k2")

    assert other_body == (422, b"Idempotency-Key: was used for something else\n")
    assert other_key == (200, b"run 2")
    assert upstream.runs == 2


async def test_key_that_is_too_long_is_refused():
    async with (
        ScriptedPeer(lambda *_: make_response()) as peer,
        running_balancer(peer, make_extension()) as balancer,
    ):
        # 10 KB may be refused by the server or by the extension.
        assert (await pay(balancer, key="x" * 10_000))[0] == 400
        assert await pay(balancer, key="x" * 300) == (
            400,
            b"Idempotency-Key: at most 256 characters are wanted\n",
        )
    assert not peer.requests


async def test_request_without_a_required_key_is_refused():
    extension = make_extension(require=["pay"])
    async with (
        ScriptedPeer(lambda *_: make_response()) as peer,
        running_balancer(peer, extension) as balancer,
    ):
        assert (await balancer.request("/pay", b"POST", b"1"))[0] == 400
        assert (await pay(balancer))[0] == 200
        assert (await balancer.request())[0] == 200


async def test_repeat_receives_the_response_after_the_first_client_has_left():
    upstream, extension = BlockingUpstream(), make_extension()
    async with ScriptedPeer(upstream) as peer, running_balancer(peer, extension) as balancer:
        first = await send_pay(balancer, "k", "/hold")
        await upstream.wait_for_runs()
        repeat = asyncio.ensure_future(pay(balancer, "k", "/hold"))
        await wait_until(lambda: len(extension.store.waiters))

        first.abort()
        await wait_until(lambda: balancer.app.counters["clients left"])
        upstream.release.set()

        assert await repeat == (200, b"run 1")
    assert upstream.runs == 1
    assert peer.connections == 1


async def test_keyed_request_is_cancelled_only_when_all_clients_have_left():
    upstream, extension = BlockingUpstream(), make_extension()
    async with ScriptedPeer(upstream) as peer, running_balancer(peer, extension) as balancer:
        await leave_one_by_one(balancer, upstream, extension, "/hold")

        await wait_until(lambda: balancer.app.counters["attempts cancelled"])

        assert await pay(balancer, "k", "/hold") == FAILED
        upstream.release.set()
    assert upstream.runs == 1


async def test_unsafe_request_continues_after_all_clients_left_and_a_repeat_receives_its_result():
    upstream, extension = BlockingUpstream(), make_extension()
    async with ScriptedPeer(upstream) as peer, running_balancer(peer, extension) as balancer:
        await leave_one_by_one(balancer, upstream, extension, "/pay")

        upstream.release.set()

        assert await pay(balancer, "k", "/pay") == (200, b"run 1")
    assert upstream.runs == 1


async def leave_one_by_one(balancer, upstream, extension, path):
    """Let a first client and a waiting one leave; nothing is cancelled before the second leaves."""
    first = await send_pay(balancer, "k", path)
    await upstream.wait_for_runs()
    waiter = await send_pay(balancer, "k", path)
    await wait_until(lambda: len(extension.store.waiters))
    first.abort()
    await asyncio.sleep(0.05)
    assert not balancer.app.counters["attempts cancelled"]
    waiter.abort()
    await wait_until(lambda: not len(extension.store.waiters))


class RejectsFirst:
    """A script that rejects the first request once ``reject`` is set, and serves later ones."""

    def __init__(self):
        self.reject = asyncio.Event()
        self.runs = 0

    async def __call__(self, _head, _body):
        self.runs += 1
        if self.runs == 1:
            await self.reject.wait()
            return make_response(503, headers=b"X-Not-Processed: 1\r\n")
        await asyncio.sleep(0.05)
        return make_response(body=b"second")


async def test_request_that_never_ran_is_handed_over_to_a_waiter_within_its_time_limit():
    upstream, extension = RejectsFirst(), make_extension()
    async with ScriptedPeer(upstream) as peer, running_balancer(peer, extension) as balancer:
        first = asyncio.ensure_future(pay(balancer, X_Timeout_Ms="150"))
        await wait_until(lambda: upstream.runs)
        waiters = [asyncio.ensure_future(pay(balancer)) for _ in range(3)]
        short_waiter = asyncio.ensure_future(pay(balancer, X_Timeout_Ms="100"))
        await wait_until(lambda: len(extension.store.waiters) >= 4)
        assert (await short_waiter)[0] == 500, "its time limit expired while the first may run"

        upstream.reject.set()

        assert (await first)[0] == 503
        assert {await waiter for waiter in waiters} == {(200, b"second")}
    assert upstream.runs == 2


async def test_request_whose_time_limit_expired_is_not_run_again():
    upstream = BlockingUpstream()
    async with ScriptedPeer(upstream) as peer, running_balancer(peer, make_extension()) as balancer:
        first = asyncio.ensure_future(pay(balancer, X_Timeout_Ms="150"))
        await upstream.wait_for_runs()

        assert (await pay(balancer))[0] == 500
        assert (await first)[0] == 500
        assert (await pay(balancer))[0] == 500

        upstream.release.set()
    assert upstream.runs == 1


async def test_full_store_rejects_with_retry_after_and_sends_nothing_to_an_upstream():
    extension = make_extension(entries=2)
    async with (
        ScriptedPeer(lambda *_: make_response()) as peer,
        running_balancer(peer, extension) as balancer,
    ):
        statuses = [(await pay(balancer, f"k{n}"))[0] for n in range(3)]
        assert statuses == [200, 503, 503]
        assert b"Retry-After: 0.9" in balancer.response_head

        without_key, _ = await balancer.request("/pay", b"POST", b"1")

        assert without_key == 200, "without a key nothing is stored"
    assert len(peer.requests) == 2


@pytest.mark.parametrize("body_kb, expected", [(0, (409, NOT_STORED)), (64, (200, b"done"))])
async def test_response_is_replayed_only_if_it_was_stored(body_kb, expected):
    extension = make_extension(body_kb=body_kb)
    async with (
        ScriptedPeer(lambda *_: make_response()) as peer,
        running_balancer(peer, extension) as balancer,
    ):
        assert await pay(balancer) == (200, b"done")

        assert await pay(balancer) == expected

    assert len(peer.requests) == 1
