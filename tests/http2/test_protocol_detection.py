"""Detection of a connection's protocol by its first bytes."""

from tests.http2.balancers import HTTP2_BOTH_SIDES
from tests.http2.frames import PREFACE
from tests.http2.scripted_client import ScriptedClient
from tests.http2.scripted_upstream import ScriptedUpstream
from tests.server.balancers import RunningBalancer

INCOMPLETE_PREFACE = PREFACE[:9]


async def test_both_protocols_are_served_on_one_listener():
    async with (
        ScriptedUpstream() as upstream,
        RunningBalancer([upstream.address], extensions=HTTP2_BOTH_SIDES) as balancer,
        ScriptedClient(balancer.port) as client,
    ):
        assert await client.response(client.request()) == (200, b"done")
        assert await balancer.request() == (200, b"done")


async def test_a_client_that_sends_an_incomplete_preface_is_disconnected_without_a_response():
    async with (
        RunningBalancer(extensions=HTTP2_BOTH_SIDES) as balancer,
        ScriptedClient(balancer.port, is_raw=True) as client,
    ):
        client.send(INCOMPLETE_PREFACE)
        assert await client.remaining_bytes() == b""


async def test_bytes_that_differ_from_the_preface_are_answered_over_http_1():
    async with (
        RunningBalancer(extensions=HTTP2_BOTH_SIDES) as balancer,
        ScriptedClient(balancer.port, is_raw=True) as client,
    ):
        client.send(INCOMPLETE_PREFACE + b"invalid\r\n\r\n")
        assert (await client.remaining_bytes()).startswith(b"HTTP/1.")
