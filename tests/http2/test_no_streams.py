"""A request to an upstream that permits no streams was never sent: it is retried or rejected."""

import asyncio

import pytest
from h2.settings import SettingCodes
from hyperframe.frame import SettingsFrame

from pepperhook.http2.client import MAX_CONNECTIONS
from pepperhook.server.attempt_errors import NoFreeStreamError
from tests.http2.balancers import HTTP2_BOTH_SIDES
from tests.http2.scripted_upstream import ScriptedUpstream, never_respond
from tests.server.balancers import RunningBalancer, wait_until

NO_STREAMS = {SettingCodes.MAX_CONCURRENT_STREAMS: 0}


@pytest.mark.parametrize("path, method", [("/look", b"GET"), ("/pay", b"POST")])
async def test_requests_are_served_by_another_upstream(path, method):
    # A request waited for a stream until its time limit, and failed although nothing was sent.
    async with (
        ScriptedUpstream(settings=NO_STREAMS) as closed,
        ScriptedUpstream() as upstream,
        RunningBalancer(
            [closed.address, upstream.address], extensions=HTTP2_BOTH_SIDES
        ) as balancer,
    ):
        statuses = [await balancer.status(path, method) for _ in range(10)]

        assert statuses == [200] * 10
        assert not closed.requests


async def test_a_request_is_rejected_if_no_upstream_permits_a_stream():
    async with (
        ScriptedUpstream(settings=NO_STREAMS) as closed,
        RunningBalancer([closed.address], extensions=HTTP2_BOTH_SIDES) as balancer,
    ):
        assert await balancer.status("/pay", b"POST") == 503


async def test_a_request_is_rejected_if_an_upstream_permits_no_streams_any_more():
    def respond_and_close(connection, request):
        connection.respond(request)
        connection.send(SettingsFrame(0, settings=NO_STREAMS))

    async with (
        ScriptedUpstream(respond_and_close) as upstream,
        RunningBalancer([upstream.address], extensions=HTTP2_BOTH_SIDES) as balancer,
    ):
        assert await balancer.status("/pay", b"POST") == 200
        [endpoint] = balancer.app.upstreams.endpoints.values()
        [connection] = endpoint.client.connections
        await wait_until(lambda: connection.stream_limit.max_streams == 0)

        assert await balancer.status("/pay", b"POST") == 503
        assert len(upstream.requests) == 1


async def test_a_request_is_rejected_if_all_streams_stay_in_use():
    async with (
        ScriptedUpstream(never_respond, {SettingCodes.MAX_CONCURRENT_STREAMS: 1}) as upstream,
        RunningBalancer([upstream.address], extensions=HTTP2_BOTH_SIDES) as balancer,
    ):
        await balancer.status("/look", x_timeout_ms="50")  # opens the upstream's first connection
        [endpoint] = balancer.app.upstreams.endpoints.values()
        requests = [
            asyncio.create_task(endpoint.client.request("GET", "/look", [], b"", 30))
            for _ in range(MAX_CONNECTIONS)
        ]
        await wait_until(
            lambda: (
                sum(len(each.exchanges) for each in endpoint.client.connections) == len(requests)
            )
        )

        with pytest.raises(NoFreeStreamError):
            await endpoint.client.request("GET", "/look", [], b"", 2)
        for request in requests:
            request.cancel()
        await asyncio.gather(*requests, return_exceptions=True)
