"""Events while the connection of an attempt is being established, which the test delays."""

import asyncio

import pytest

from pepperhook.operator_config.schema import Http2Table
from pepperhook.policy import retry_budget
from pepperhook.server import http1_client
from pepperhook.server.extensions import Extensions
from tests.http2.scripted_client import ScriptedClient
from tests.http2.scripted_upstream import ScriptedUpstream
from tests.server.balancers import (
    RunningBalancer,
    endpoint_list,
    endpoint_rows,
    wait_until,
    with_permissions,
    with_service_classes,
)
from tests.server.peers import ScriptedPeer, always, make_response

HTTP2_CANCEL = 8


class DelayedConnections:
    """Delays connections to upstreams until ``released`` is set; ``requested``: one was started."""

    def __init__(self, balancer):
        self.requested, self.released = asyncio.Event(), asyncio.Event()
        for endpoint in balancer.app.upstreams.endpoints.values():
            connector = endpoint.client.session.connector
            connector.connect = self.delay(connector.connect)

    def delay(self, connect):
        async def delayed_connect(*arguments, **named):
            self.requested.set()
            await self.released.wait()
            return await connect(*arguments, **named)

        return delayed_connect


def change_state(balancer, upstream_id, state):
    """Report a change of one upstream in the endpoint list."""
    for upstream, endpoint in balancer.app.upstreams.endpoints.items():
        if upstream.address.decode() == upstream_id:
            [row] = endpoint_rows([endpoint.address], host=upstream_id, health=state)
    balancer.app.discovery.apply(endpoint_list(2, [row], whole=False))


async def release_and_finish(balancer, delayed):
    """Let the connections be established, and wait for the end of all requests."""
    delayed.released.set()
    await wait_until(lambda: not balancer.app.requests.tasks)


async def test_attempt_that_connects_is_not_written_to_the_process_that_took_its_address():
    # The guard allows sends for a grace after a change, but not to another process.
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], env=with_permissions(maxDispatches=1)) as balancer,
    ):
        delayed = DelayedConnections(balancer)
        response = asyncio.ensure_future(balancer.status("/pay", b"POST", b"1"))
        await delayed.requested.wait()

        [row] = endpoint_rows([peer.address], host="h9", born_ms=5)
        balancer.app.discovery.apply(endpoint_list(2, [row], whole=False))
        await release_and_finish(balancer, delayed)

        assert await response == 200  # by an attempt at the process that is there now
        assert balancer.counters["endpoints gone before the first byte"] == 1
        assert len(peer.requests) == 1


@pytest.mark.parametrize("state", ["draining", "gone"])
async def test_request_is_served_by_another_upstream_if_the_selected_one_leaves(state):
    # Its request was sent as late as connecting took, although the list had changed since.
    async with (
        ScriptedPeer(always(make_response())) as first,
        ScriptedPeer(always(make_response())) as second,
        RunningBalancer(
            [first.address, second.address], env=with_permissions(maxDispatches=1)
        ) as balancer,
    ):
        delayed = DelayedConnections(balancer)
        response = asyncio.ensure_future(balancer.status("/pay", b"POST", b"1"))
        await delayed.requested.wait()
        [attempt] = balancer.app.upstreams.tasks
        selected = attempt.upstream.address.decode()

        change_state(balancer, selected, state)
        delayed.released.set()

        assert await response == 200
        removed, other = (first, second) if selected == "h0" else (second, first)
        assert not removed.requests and len(other.requests) == 1
        # The unsent attempt counts neither against the retry budget nor against maxDispatches.
        budget = balancer.policy.retry_budget
        assert balancer.counters["attempts not sent"] == 1
        assert (budget.B, budget.f) == (retry_budget.B0, 0.0)


@pytest.mark.parametrize(
    "path, method, body, service_class",
    [
        ("/look", b"GET", b"", {}),
        pytest.param("/look", b"GET", b"", {"lateEarnings": 0.5}, id="never cancelled once sent"),
        ("/pay", b"POST", b"1", {}),
    ],
)
async def test_request_is_never_written_if_its_client_leaves(path, method, body, service_class):
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], env=with_service_classes(**service_class)) as balancer,
    ):
        delayed = DelayedConnections(balancer)
        _, writer = await balancer.send_request(path, method, body)
        await delayed.requested.wait()
        [request] = balancer.app.runtime.inboxes

        writer.close()
        await wait_until(lambda: request.finished)
        await release_and_finish(balancer, delayed)

        assert await balancer.status() == 200
        assert len(peer.requests) == 1
        assert balancer.counters["clients left"] == 1
        assert balancer.counters["attempts started"] == 2


@pytest.mark.parametrize("resets", [False, True])
async def test_request_is_never_written_if_its_client_has_left_but_the_close_is_unread(resets):
    # A request was forwarded although its client had left, as the close was not read yet.
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        delayed = DelayedConnections(balancer)
        _, writer = await balancer.send_request()
        await delayed.requested.wait()
        [connection] = balancer.connections.busy
        connection.transport.pause_reading()

        if resets:
            writer.transport.abort()
        else:
            writer.close()
        await wait_until(lambda: http1_client.is_closed_by_peer(connection.transport))
        await release_and_finish(balancer, delayed)

        assert not peer.requests
        assert balancer.counters["clients gone before the first byte"] == 1
        connection.transport.resume_reading()


async def test_request_is_never_written_if_its_client_sends_more_bytes_and_closes_its_side():
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        delayed = DelayedConnections(balancer)
        _, writer = await balancer.send_request()
        await delayed.requested.wait()
        [request] = balancer.app.runtime.inboxes

        writer.write(b"unsolicited")
        writer.write_eof()
        await wait_until(lambda: request.finished)
        await release_and_finish(balancer, delayed)

        assert await balancer.status() == 200
        assert len(peer.requests) == 1
        writer.close()


async def test_request_of_a_reset_http2_stream_is_never_written():
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], Extensions(h2=Http2Table())) as balancer,
        ScriptedClient(balancer.port) as client,
    ):
        delayed = DelayedConnections(balancer)
        stream_id = client.request("/pay", "POST", b"1")
        await delayed.requested.wait()
        [request] = balancer.app.runtime.inboxes

        client.reset(stream_id, HTTP2_CANCEL)
        await wait_until(lambda: request.finished)
        await release_and_finish(balancer, delayed)

        assert await client.response(client.request()) == (200, b"done")
        assert len(peer.requests) == 1


async def test_upstream_that_drains_while_an_http2_connection_is_acquired_gets_no_stream():
    async with (
        ScriptedUpstream() as upstream,
        RunningBalancer([upstream.address], Extensions(h2=Http2Table(upstreams="h2"))) as balancer,
    ):
        [endpoint] = balancer.app.upstreams.endpoints.values()
        acquire = endpoint.client.acquire_connection
        acquired, released = asyncio.Event(), asyncio.Event()

        async def acquire_and_wait(deadline):
            connection = await acquire(deadline)
            acquired.set()
            await released.wait()
            return connection

        endpoint.client.acquire_connection = acquire_and_wait
        response = asyncio.ensure_future(
            balancer.status("/pay", b"POST", b"1", X_Timeout_Ms="1000")
        )
        await acquired.wait()

        change_state(balancer, "h0", "draining")
        released.set()

        assert await response == 503
        assert not upstream.requests
        assert balancer.counters["attempts not sent"] == 1
