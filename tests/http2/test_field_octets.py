"""Each octet in a field value or name, over all pairings of HTTP/1.1 and HTTP/2.

A message with one octet that is not UTF-8 was reset over HTTP/2, and lost that octet over HTTP/1.1.
A value now goes on as it came, or its request gets one final answer.
"""

import asyncio
import itertools
from contextlib import AsyncExitStack, asynccontextmanager

import pytest
from hyperframe.frame import HeadersFrame

from pepperhook.operator_config.schema import Http2Table
from pepperhook.request_context.context_header import RESULT_HEADER, read_result
from pepperhook.request_context.messages import TierOutcome
from pepperhook.server.extensions import Extensions
from tests.http2.frames import (
    END_HEADERS,
    END_STREAM,
    POST_HEADERS,
    PREFACE,
    SETTINGS,
    data_frame,
    encode_headers,
    headers_frame,
)
from tests.http2.scripted_client import ScriptedClient
from tests.http2.scripted_upstream import ScriptedUpstream
from tests.request_context.tiers import SHARED_KEYS, make_extension
from tests.server.balancers import RunningBalancer
from tests.server.peers import ScriptedPeer, header_value, make_response, request_target

HTTP1, HTTP2 = "http/1.1", "h2"
PAIRINGS = list(itertools.product([HTTP1, HTTP2], repeat=2))
OCTETS = range(256)
AT_ONCE = 4  # requests, as many as an upstream gets that has not answered any
CONTROL_CHARACTERS = {*range(0x20), 0x7F} - {ord("\t")}
PLAIN = b"text/plain"
VALUES = [value.encode() for value in ('n="reçu.txt"', "", "x", "a \t b", "x" * 7000, "ç" * 2000)]

every_pairing = pytest.mark.parametrize("pairing", PAIRINGS, ids=" to ".join)


def value_with(octet):
    return b'text/plain; name="re' + bytes([octet]) + b'u.txt"'


class Http1Client:
    """Sends each request on a connection of its own."""

    def __init__(self, balancer):
        self.balancer = balancer

    def send(self, target, name=None, value=None):
        """Send a request with a header; return a task for status and type of the response."""
        message = self.balancer.make_request("TARGET", b"POST", b"1").replace(b"TARGET", target, 1)
        if name is not None:
            lines = message.split(b"\r\n")
            message = b"\r\n".join(line for line in lines if line[: len(name)].lower() != name)
            message = message.replace(b"\r\n", b"\r\n%b: %b\r\n" % (name, value), 1)
        return asyncio.ensure_future(self._exchange(message))

    async def _exchange(self, message):
        reader, writer = await self.balancer.connect()
        writer.write(message)
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return int(head.split()[1]), header_value(head, b"content-type")


class Http2Client:
    """Sends all requests on one connection, which must not end."""

    def __init__(self, client):
        self.client = client

    def send(self, target, name=None, value=None):
        """Send a request with a header; return a coroutine for status and type of the response."""
        headers = self.client.headers(target, "POST")
        if name is not None:
            headers = [pair for pair in headers if pair[0].encode() != name]
            headers.append((name, value))
        stream_id = self.client.h2.get_next_available_stream_id()
        self.client.h2.send_headers(stream_id, headers)
        self.client.h2.send_data(stream_id, b"1", end_stream=True)
        self.client.flush()
        return self._response(stream_id)

    async def _response(self, stream_id):
        status = (await self.client.response(stream_id)).status
        assert stream_id in self.client.ended, "a whole response"
        assert not self.client.reset_codes and self.client.goaway is None
        content_type = self.client.headers_received[stream_id].get("content-type")
        return status, None if content_type is None else content_type.encode()


class Upstream:
    """Scripts of an upstream that answers the target /pay/N with the N-th of ``types``.

    ``received``: the Content-Type of each request, by N; None without one.
    """

    def __init__(self):
        self.types = [value_with(octet) for octet in OCTETS]
        self.received = {}
        self.runs = 0

    def respond_http1(self, head, _body):
        number = self.run(request_target(head), header_value(head, b"content-type"))
        return make_response(headers=b"Content-Type: %b\r\n" % self.types[number])

    def respond_http2(self, connection, request):
        content_type = request.headers.get("content-type")
        received = None if content_type is None else content_type.encode()
        number = self.run(request.headers[":path"].encode(), received)
        connection.respond(request, content_type=self.types[number])

    def run(self, target, content_type):
        number = int(target.split(b"/")[2])
        self.runs += 1
        self.received[number] = content_type
        return number


@asynccontextmanager
async def running(client_protocol, upstream_protocol):
    """Run a balancer with one upstream; yield the client and the upstream's script."""
    upstream = Upstream()
    if upstream_protocol == HTTP1:
        server = ScriptedPeer(upstream.respond_http1)
    else:
        server = ScriptedUpstream(upstream.respond_http2)
    has_http2 = HTTP2 in (client_protocol, upstream_protocol)
    extensions = Extensions(h2=Http2Table(upstreams=upstream_protocol) if has_http2 else None)
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(server)
        balancer = RunningBalancer([server.address], extensions=extensions)
        await stack.enter_async_context(balancer)
        if client_protocol == HTTP1:
            yield Http1Client(balancer), upstream
        else:
            client = await stack.enter_async_context(ScriptedClient(balancer.port))
            yield Http2Client(client), upstream


async def answers_to(send, arguments):
    """Send a request for each tuple of arguments, some at once; return the answers in order."""
    answers = []
    for begin in range(0, len(arguments), AT_ONCE):
        sent = [send(*each) for each in arguments[begin : begin + AT_ONCE]]
        answers += [await answer for answer in sent]
    return answers


@every_pairing
async def test_each_octet_of_a_responses_type_is_forwarded_or_the_request_fails(pairing):
    async with running(*pairing) as (client, upstream):
        answers = await answers_to(client.send, [(b"/pay/%d" % octet,) for octet in OCTETS])

    for octet, answer in enumerate(answers):
        if octet in CONTROL_CHARACTERS or (octet >= 0x80 and pairing[0] == HTTP2):
            assert answer == (500, b"text/plain; charset=utf-8"), octet
        else:
            assert answer == (200, value_with(octet)), octet
    assert upstream.runs == len(OCTETS), "no unsafe request ran twice"


@every_pairing
async def test_each_octet_of_a_requests_type_is_forwarded_or_the_request_refused(pairing):
    async with running(*pairing) as (client, upstream):
        upstream.types = [PLAIN] * len(OCTETS)
        arguments = [(b"/pay/%d" % octet, b"content-type", value_with(octet)) for octet in OCTETS]
        answers = await answers_to(client.send, arguments)

    for octet, (status, _) in enumerate(answers):
        if octet in CONTROL_CHARACTERS or (octet >= 0x80 and HTTP2 in pairing):
            assert (status, octet in upstream.received) == (400, False), octet
        else:
            assert (status, upstream.received[octet]) == (200, value_with(octet)), octet


@every_pairing
async def test_empty_long_and_utf8_values_are_forwarded_both_ways(pairing):
    async with running(*pairing) as (client, upstream):
        upstream.types = VALUES
        arguments = [
            (b"/pay/%d" % number, b"content-type", value) for number, value in enumerate(VALUES)
        ]
        answers = await answers_to(client.send, arguments)

    assert answers == [(200, value) for value in VALUES]
    assert upstream.received == dict(enumerate(VALUES))


@every_pairing
@pytest.mark.parametrize("name", [b"x-request-id", b"idempotency-key", b"x-tenant-id", b"x-note"])
async def test_each_octet_of_any_header_gets_one_final_answer(pairing, name):
    # Guards against a reset for a header that is not even forwarded.
    is_forwarded = name in (b"x-request-id", b"idempotency-key")
    async with running(*pairing) as (client, upstream):
        upstream.types = [PLAIN] * len(OCTETS)
        arguments = [
            (b"/pay/%d" % octet, name, b"%d-%b-" % (octet, bytes([octet]))) for octet in OCTETS
        ]
        answers = await answers_to(client.send, arguments)

    for octet, (status, _) in enumerate(answers):
        if octet in b"\0\r\n" or (octet in CONTROL_CHARACTERS and is_forwarded):
            assert status == 400, octet
        elif octet not in CONTROL_CHARACTERS:
            must_be_ascii = name == b"x-request-id"
            is_refused = octet >= 0x80 and is_forwarded and (HTTP2 in pairing or must_be_ascii)
            assert status == (400 if is_refused else 200), octet
        else:
            assert status in (200, 400), octet


@every_pairing
async def test_each_octet_of_a_name_gets_one_final_answer(pairing):
    async with running(*pairing) as (client, upstream):
        upstream.types = [PLAIN] * len(OCTETS)
        arguments = [(b"/pay/%d" % octet, b"x" + bytes([octet]), b"v") for octet in OCTETS]
        answers = await answers_to(client.send, arguments)

    for octet, (status, _) in enumerate(answers):
        assert status in (200, 400), octet
        if octet <= 0x20 or octet >= 0x7F:
            assert status == 400, octet
        elif bytes([octet]).islower():
            assert status == 200, octet


@every_pairing
async def test_each_octet_of_a_target_gets_one_final_answer(pairing):
    # Guards against a request line that a blank in a target over HTTP/2 would change.
    async with running(*pairing) as (client, upstream):
        upstream.types = [PLAIN] * len(OCTETS)
        arguments = [(b"/pay/%d/a%bb" % (octet, bytes([octet])),) for octet in OCTETS]
        answers = await answers_to(client.send, arguments)

    for octet, (status, _) in enumerate(answers):
        assert status == (200 if 0x20 < octet < 0x7F else 400), octet


async def test_trailers_with_octets_beyond_utf8_do_not_matter_over_http2():
    def respond(connection, request):
        connection.respond(request, end_stream=False)
        trailers = encode_headers(("x-note", b"re\xe7u"))
        connection.send(HeadersFrame(request.stream_id, trailers, flags=[END_HEADERS, END_STREAM]))

    extensions = Extensions(h2=Http2Table(upstreams=HTTP2))
    async with (
        ScriptedUpstream(respond) as upstream,
        RunningBalancer([upstream.address], extensions=extensions) as balancer,
        ScriptedClient(balancer.port, is_raw=True) as client,
    ):
        client.expect_response(1)
        client.send(
            PREFACE,
            SETTINGS,
            headers_frame(1, POST_HEADERS, [END_HEADERS]),
            data_frame(1, b"1"),
            headers_frame(1, [("x-note", b"re\xe7u")]),
        )

        assert await client.response(1) == (200, b"done")
        assert not client.reset_codes


async def test_trailers_with_octets_beyond_utf8_do_not_matter_over_http1():
    chunks = b"1\r\n1\r\n0\r\nX-Note: re\xe7u\r\n\r\n"
    response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks
    async with (
        ScriptedPeer(lambda *_: response) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        reader, writer = await balancer.connect()
        message = balancer.make_request(
            "/pay", b"POST", Content_Length=None, Transfer_Encoding="chunked"
        )
        writer.write(message + chunks)

        assert await balancer.read_response(reader) == (200, b"1")
        writer.close()


async def test_tier_above_is_notified_that_an_answer_beyond_utf8_has_failed():
    """The result of the request context said "served" on an answer of 500."""
    upstream = Upstream()
    extensions = Extensions([make_extension("b")], Http2Table(upstreams=HTTP1))
    async with (
        ScriptedPeer(upstream.respond_http1) as server,
        RunningBalancer([server.address], extensions) as balancer,
        ScriptedClient(balancer.port) as client,
    ):
        outcomes = {ord("x"): TierOutcome.SERVED, 0xE7: TierOutcome.FAILED}
        for octet, outcome in outcomes.items():
            stream_id = client.request(b"/pay/%d" % octet, "POST", b"1")
            await client.response(stream_id)
            result = client.headers_received[stream_id][RESULT_HEADER.lower()]
            assert read_result(result, SHARED_KEYS, False).outcome is outcome
        assert upstream.runs == len(outcomes)
        assert balancer.counters["responses served"] == 1
        assert balancer.counters["responses failed"] == 1
