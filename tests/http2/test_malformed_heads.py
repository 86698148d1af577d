"""A malformed response head ends its own stream, and no other on the connection.

What happened: an upstream that answered one request with a malformed head (two statuses, a pseudo
header behind others, a name in capitals, Connection) ended the whole connection, as the h2 library
takes any such head for an error of the connection: requests that other clients waited for were
answered 500. RFC 9113, 8.1.1, has it as an error of the stream.
"""

import asyncio

import pytest
from h2.errors import ErrorCodes
from hyperframe.frame import HeadersFrame

from tests.http2.balancers import HTTP2, HTTP2_CLIENTS, until
from tests.http2.frames import END_HEADERS, END_STREAM, GET, PREFACE, SETTINGS, encode
from tests.http2.frames import headers_frame as request_frame
from tests.http2.scripted_client import ScriptedClient
from tests.http2.scripted_upstream import ScriptedUpstream
from tests.world import Peer, Running, answer, loopback

MALFORMED_HEADS = {
    "no status": [("x", "y")],
    "two statuses": [(":status", "200"), (":status", "200")],
    "status behind a header": [("x", "y"), (":status", "200")],
    "capitals": [(":status", "200"), ("Content-Type", "text/plain")],
    "connection header": [(":status", "200"), ("connection", "close")],
    "unknown pseudo header": [(":status", "200"), (":path", "/")],
    "empty name": [(":status", "200"), ("", "y")],
    "white space in a value": [(":status", "200"), ("x", " y")],
    "status of letters": [(":status", "abc")],
    "status of four digits": [(":status", "2000")],
}
MALFORMED_REQUESTS = {
    "two paths": [*GET, (":path", "/look")],
    "no path": [pair for pair in GET if pair[0] != ":path"],
    "capitals": [*GET, ("X-Y", "z")],
    "connection header": [*GET, ("connection", "close")],
    "status": [*GET, (":status", "200")],
}


@pytest.mark.parametrize("name", MALFORMED_HEADS)
@loopback
async def test_malformed_response_head_ends_its_stream_alone(name):
    waiting = []

    def script(connection, request):
        if not waiting:
            waiting.append(request)
            return
        head = encode(*MALFORMED_HEADS[name])
        connection.send(HeadersFrame(request.stream_id, head, flags=[END_HEADERS, END_STREAM]))

    async with (
        ScriptedUpstream(script) as upstream,
        Running([upstream.address], parts=HTTP2) as balancer,
    ):
        first = asyncio.create_task(balancer.ask())
        await until(lambda: waiting)
        assert (await balancer.ask("/pay", b"POST", b"1"))[0] == 500
        upstream.connections[0].answer(waiting[0])

        assert (await first)[0] == 200
        assert len(upstream.connections) == 1
        assert balancer.node.counters["attempts malformed response"] == 1


@loopback
async def test_malformed_trailers_end_their_stream_alone():
    waiting = []

    def script(connection, request):
        if not waiting:
            waiting.append(request)
            return
        connection.answer(request, end_stream=False)
        trailers = encode((":status", "200"))
        connection.send(HeadersFrame(request.stream_id, trailers, flags=[END_HEADERS, END_STREAM]))

    async with (
        ScriptedUpstream(script) as upstream,
        Running([upstream.address], parts=HTTP2) as balancer,
    ):
        first = asyncio.create_task(balancer.ask())
        await until(lambda: waiting)
        assert (await balancer.ask("/pay", b"POST", b"1"))[0] == 500
        upstream.connections[0].answer(waiting[0])

        assert (await first)[0] == 200


@pytest.mark.parametrize("name", MALFORMED_REQUESTS)
@loopback
async def test_malformed_request_head_is_reset_and_the_others_are_answered(name):
    release = asyncio.Event()

    async def script(*_):
        await release.wait()
        return answer()

    async with (
        Peer(script) as peer,
        Running([peer.dial], parts=HTTP2_CLIENTS) as balancer,
        ScriptedClient(balancer.port, is_raw=True) as client,
    ):
        client.expect_response(1)
        client.expect_response(3)
        client.send(PREFACE, SETTINGS, request_frame(1))
        await until(lambda: peer.seen)
        client.send(request_frame(3, MALFORMED_REQUESTS[name]))
        await client.read(lambda: 3 in client.reset_codes)
        release.set()

        assert (await client.response(1)).status == 200
        assert client.reset_codes == {3: ErrorCodes.PROTOCOL_ERROR}
        assert client.goaway is None
