"""Connections to upstreams: to which instance, how many, and which attempts are not sent."""

import asyncio

import pytest

from pepperhook.domain import Attempt, Outcome, Request, UpstreamState
from pepperhook.server.messages import RequestMessage
from pepperhook.units import SECOND
from tests.server.balancers import (
    RunningBalancer,
    endpoint_list,
    endpoint_rows,
    wait_until,
)
from tests.server.peers import ScriptedPeer, always, make_response


def make_attempt(balancer, request_id="x", time_limit_ns=9 * SECOND, sent_after_ns=0):
    """Return an attempt at the first ready upstream."""
    now = balancer.app.runtime.now()
    service_class = balancer.policy.settings.service_classes[0]
    request = Request(request_id, service_class, None, None, now + time_limit_ns)
    return Attempt(request, balancer.ready_upstreams[0], now + sent_after_ns)


def send(balancer, attempt, timeout_ns, inbox):
    """Send a request to the upstream of the attempt; ``inbox`` gets AttemptEnded."""
    message = RequestMessage("GET", "/", [], b"")
    balancer.app.upstreams.send(attempt, timeout_ns, message, inbox)


async def test_new_upstream_at_the_address_of_a_gone_one_gets_connections_of_its_own():
    # The connection led to the instance that had left the address, and attempts were sent on it.
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        assert await balancer.status() == 200 and await balancer.status() == 200
        assert peer.connections == 1

        [row] = endpoint_rows([peer.address])
        replaced = row | {"host": "h9"}
        for version, row in ((2, replaced), (3, replaced), (4, replaced | {"born_ms": 5})):
            balancer.app.discovery.apply(endpoint_list(version, [row]))
            assert await balancer.status() == 200

        await wait_until(lambda: peer.closed_connections >= 2)
        assert peer.connections == 3


async def test_open_attempt_at_a_replaced_upstream_still_gets_its_response(release):
    async def script(head, _):
        if b"slow" in head:
            await release.wait()
            return make_response(body=b"old")
        return make_response(body=b"new")

    async with ScriptedPeer(script) as peer, RunningBalancer([peer.address]) as balancer:
        reader, writer = await balancer.send_request("/look/slow")
        await wait_until(lambda: peer.requests)
        replaced = endpoint_rows([peer.address])[0] | {"host": "h9"}
        balancer.app.discovery.apply(endpoint_list(2, [replaced]))

        assert await balancer.request() == (200, b"new")
        assert peer.connections == 2
        release.set()
        assert await balancer.read_response(reader) == (200, b"old")

        writer.close()
        listed = balancer.policy.subset.ring.listed
        assert [upstream.address for upstream in listed] == [b"h9"]
        assert not balancer.app.requests.tasks


async def test_attempts_beyond_the_limit_on_connections_are_not_sent():
    async with (
        ScriptedPeer(always(None)) as peer,
        RunningBalancer([peer.address], sockets=64) as balancer,
    ):
        inbox = asyncio.Queue()
        for number in range(30):
            attempt = make_attempt(balancer, str(number), time_limit_ns=SECOND)
            send(balancer, attempt, SECOND // 2, inbox)

        outcomes = [(await inbox.get()).outcome for _ in range(30)]

        # Not "connect failed", which would blame the upstream for a limit of this process.
        assert outcomes.count(Outcome.NOT_SENT) == 30 - 16
        assert outcomes.count(Outcome.TIMED_OUT) == 16 == len(peer.requests)


@pytest.mark.parametrize(
    "state, sent_after_ns",
    [
        (UpstreamState.DRAINING, 0),
        (UpstreamState.GONE, 0),
        pytest.param(None, -SECOND, id="timed out before it was written"),
    ],
)
async def test_attempt_is_not_sent_after_a_list_change_or_its_timeout(state, sent_after_ns):
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        inbox = asyncio.Queue()
        attempt = make_attempt(balancer, sent_after_ns=sent_after_ns)
        send(balancer, attempt, SECOND // 2, inbox)
        attempt.upstream.state = state or attempt.upstream.state

        assert (await inbox.get()).outcome == Outcome.NOT_SENT
        assert not peer.connections


async def test_upstream_is_not_unreachable_when_this_process_has_no_descriptor_left(monkeypatch):
    def fail(*_):
        raise OSError(24, "too many open files")

    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        inbox, attempt = asyncio.Queue(), make_attempt(balancer)
        with monkeypatch.context() as patched:
            patched.setattr("pepperhook.server.upstream_pool.socket.socket", fail)
            send(balancer, attempt, 9 * SECOND, inbox)
            assert (await inbox.get()).outcome == Outcome.NOT_SENT

        assert attempt.upstream.unreachable_since is None
        assert await balancer.status() == 200
