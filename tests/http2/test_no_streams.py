"""A request to an upstream that permits no streams was never sent: it is retried or rejected."""

import pytest
from h2.settings import SettingCodes

from tests.http2.balancers import HTTP2_BOTH_SIDES
from tests.http2.scripted_upstream import ScriptedUpstream
from tests.server.balancers import RunningBalancer

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
