"""Malformed headers or trailers of a message end its own stream, but not the connection.

The h2 library treats malformed headers (two statuses, a pseudo-header after regular headers, an
upper-case name, Connection) as a connection error. One such response then ended the whole
connection, and requests of other clients on it failed with 500. RFC 9113, 8.1.1, defines it as a
stream error, before which a server may send a response: a request gets one if only an octet in a
field name or value is invalid.
"""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest
from h2.errors import ErrorCodes
from hyperframe.frame import HeadersFrame

from tests.http2.balancers import HTTP2_BOTH_SIDES, HTTP2_CLIENTS
from tests.http2.frames import (
    END_HEADERS,
    END_STREAM,
    GET_HEADERS,
    POST_HEADERS,
    PREFACE,
    SETTINGS,
    data_frame,
    encode_headers,
    headers_frame,
)
from tests.http2.scripted_client import ScriptedClient
from tests.http2.scripted_upstream import ScriptedUpstream
from tests.server.balancers import RunningBalancer, wait_until
from tests.server.peers import ScriptedPeer, make_response

MALFORMED_RESPONSES = {
    "no status": [("x", "y")],
    "two statuses": [(":status", "200"), (":status", "200")],
    "status after a header": [("x", "y"), (":status", "200")],
    "upper-case name": [(":status", "200"), ("Content-Type", "text/plain")],
    "connection header": [(":status", "200"), ("connection", "close")],
    "request pseudo-header": [(":status", "200"), (":path", "/")],
    "empty name": [(":status", "200"), ("", "y")],
    "leading space in a value": [(":status", "200"), ("x", " y")],
    "non-numeric status": [(":status", "abc")],
    "four-digit status": [(":status", "2000")],
}
MALFORMED_REQUESTS = {
    "repeated path": [*GET_HEADERS, (":path", "/look")],
    "no path": [pair for pair in GET_HEADERS if pair[0] != ":path"],
    "connection header": [*GET_HEADERS, ("connection", "close")],
    "status": [*GET_HEADERS, (":status", "200")],
}
INVALID_FIELDS = {
    "upper-case name": ("X-Y", "z"),
    "Latin-1 letter in a name": (b"x-\xe7", "z"),
    "blank in a name": ("x y", "z"),
    "zero in a value": ("x-y", "a\0b"),
    "line end in a value": ("x-y", "a\r\nb: c"),
    "blank after a value": ("x-y", "a "),
    "tab before a value": ("x-y", "\ta"),
}


@pytest.mark.parametrize("name", MALFORMED_RESPONSES)
async def test_malformed_response_headers_end_only_their_own_stream(name):
    pending_requests = []

    def script(connection, request):
        if not pending_requests:
            pending_requests.append(request)
            return
        head = encode_headers(*MALFORMED_RESPONSES[name])
        connection.send(HeadersFrame(request.stream_id, head, flags=[END_HEADERS, END_STREAM]))

    async with (
        ScriptedUpstream(script) as upstream,
        RunningBalancer([upstream.address], extensions=HTTP2_BOTH_SIDES) as balancer,
    ):
        first = asyncio.create_task(balancer.request())
        await wait_until(lambda: pending_requests)
        assert (await balancer.request("/pay", b"POST", b"1"))[0] == 500
        upstream.connections[0].respond(pending_requests[0])

        assert (await first)[0] == 200
        assert len(upstream.connections) == 1
        assert balancer.app.counters["attempts malformed response"] == 1


async def test_malformed_response_trailers_end_only_their_own_stream():
    pending_requests = []

    def script(connection, request):
        if not pending_requests:
            pending_requests.append(request)
            return
        connection.respond(request, end_stream=False)
        trailers = encode_headers((":status", "200"))
        connection.send(HeadersFrame(request.stream_id, trailers, flags=[END_HEADERS, END_STREAM]))

    async with (
        ScriptedUpstream(script) as upstream,
        RunningBalancer([upstream.address], extensions=HTTP2_BOTH_SIDES) as balancer,
    ):
        first = asyncio.create_task(balancer.request())
        await wait_until(lambda: pending_requests)
        assert (await balancer.request("/pay", b"POST", b"1"))[0] == 500
        upstream.connections[0].respond(pending_requests[0])

        assert (await first)[0] == 200


@dataclass
class Setup:
    """A balancer with one upstream and one client.

    The client's request on stream 1 is open until ``release`` is set.
    """

    balancer: RunningBalancer
    peer: ScriptedPeer
    client: ScriptedClient
    release: asyncio.Event


@asynccontextmanager
async def beside_an_open_request():
    """Run a Setup; the client expects responses on the streams 1 and 3."""
    release = asyncio.Event()

    async def script(*_):
        await release.wait()
        return make_response()

    async with (
        ScriptedPeer(script) as peer,
        RunningBalancer([peer.address], extensions=HTTP2_CLIENTS) as balancer,
        ScriptedClient(balancer.port, is_raw=True) as client,
    ):
        client.expect_response(1)
        client.expect_response(3)
        client.send(PREFACE, SETTINGS, headers_frame(1))
        await wait_until(lambda: peer.requests)
        yield Setup(balancer, peer, client, release)


@pytest.mark.parametrize("name", MALFORMED_REQUESTS)
async def test_request_with_malformed_headers_is_reset_and_others_are_answered(name):
    async with beside_an_open_request() as setup:
        client = setup.client
        client.send(headers_frame(3, MALFORMED_REQUESTS[name]))
        await client.read(lambda: 3 in client.reset_codes)
        setup.release.set()

        assert (await client.response(1)).status == 200
        assert client.reset_codes == {3: ErrorCodes.PROTOCOL_ERROR}
        assert client.goaway is None


@pytest.mark.parametrize("name", INVALID_FIELDS)
@pytest.mark.parametrize("is_trailer", [False, True])
async def test_request_with_an_invalid_field_is_refused_and_others_are_answered(name, is_trailer):
    # Guards against a reset in place of the one final answer.
    async with beside_an_open_request() as setup:
        client = setup.client
        if is_trailer:
            client.send(
                headers_frame(3, POST_HEADERS, [END_HEADERS]),
                data_frame(3, b"1"),
                headers_frame(3, [INVALID_FIELDS[name]]),
            )
        else:
            client.send(headers_frame(3, [*GET_HEADERS, INVALID_FIELDS[name]]))
        refused = await client.response(3)
        setup.release.set()

        assert refused == (400, b"a header has a character that is not permitted\n")
        assert (await client.response(1)).status == 200
        assert client.ended == {1, 3}
        assert not client.reset_codes and client.goaway is None
        assert len(setup.peer.requests) == 1
        assert setup.balancer.counters["not taken 400"] == 1


async def test_request_with_an_invalid_field_and_without_its_end_is_refused_once():
    async with (
        ScriptedPeer(lambda *_: make_response()) as peer,
        RunningBalancer([peer.address], extensions=HTTP2_CLIENTS) as balancer,
        ScriptedClient(balancer.port, is_raw=True) as client,
    ):
        client.expect_response(1)
        client.expect_response(3)
        headers = [*POST_HEADERS, INVALID_FIELDS["zero in a value"]]
        client.send(PREFACE, SETTINGS, headers_frame(1, headers, [END_HEADERS]))
        assert (await client.response(1)).status == 400
        client.send(data_frame(1, b"1", [END_STREAM]), headers_frame(3))
        assert (await client.response(3)).status == 200

        assert client.ended == {1, 3}
        assert client.goaway is None
        assert len(peer.requests) == 1
        assert balancer.counters["not taken 400"] == 1


@pytest.mark.parametrize("length", ["1a", "-1", "\u0661", ""])
async def test_request_whose_length_is_no_number_is_refused(length):
    async with (
        ScriptedPeer(lambda *_: make_response()) as peer,
        RunningBalancer([peer.address], extensions=HTTP2_CLIENTS) as balancer,
        ScriptedClient(balancer.port) as client,
    ):
        stream_id = client.request("/pay", "POST", b"1", content_length=length)

        assert (await client.response(stream_id)).status == 400
        assert stream_id in client.ended
        assert not peer.requests


async def test_request_that_a_defect_ends_is_answered_as_failed(monkeypatch):
    # Guards against a reset in place of the one final answer.
    async with (
        ScriptedPeer(lambda *_: make_response()) as peer,
        RunningBalancer([peer.address], extensions=HTTP2_CLIENTS) as balancer,
        ScriptedClient(balancer.port) as client,
    ):
        monkeypatch.setattr(balancer.app.requests, "begin", None)
        stream_id = client.request("/pay", "POST", b"1")

        assert await client.response(stream_id) == (500, b"broken off\n")
        assert stream_id in client.ended
        assert not client.reset_codes and client.goaway is None
