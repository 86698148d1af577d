"""Clients that send many frames without progress are disconnected, and others are served."""

import asyncio

import pytest
from h2.errors import ErrorCodes
from hyperframe.frame import (
    ContinuationFrame,
    HeadersFrame,
    PingFrame,
    PriorityFrame,
    RstStreamFrame,
    SettingsFrame,
    WindowUpdateFrame,
)

from pepperhook.http2.abuse_limits import MAX_CREDIT, FrameKind
from tests.http2.balancers import HTTP2, HTTP2_CLIENTS, until
from tests.http2.frames import (
    END_HEADERS,
    GET,
    POST,
    PREFACE,
    SETTINGS,
    data_frame,
    get_with_id,
    headers_frame,
)
from tests.http2.scripted_client import ScriptedClient
from tests.http2.scripted_upstream import ScriptedUpstream
from tests.world import Peer, Running, answer, loopback

MAX_ROUNDS = 4000
ROUNDS_AT_ONCE = 50
UNKNOWN_FRAME = b"\0\0\0\x2a\0\0\0\0\0"
HPACK_BOMB = b"\x40\x01a\x7f\x80\x1f" + b"v" * 4095 + b"\xbe" * 8000


# The frames of one round, by its number.


def rapid_reset(number):
    stream_id = 2 * number + 1
    return [
        headers_frame(stream_id, get_with_id(f"f{number}")),
        RstStreamFrame(stream_id, ErrorCodes.CANCEL),
    ]


def ping(number):
    return [PingFrame(0, b"%08d" % number)]


def settings(number):
    return [SettingsFrame(0, settings={SettingsFrame.MAX_CONCURRENT_STREAMS: number + 1})]


def empty_data(number):
    head = [] if number else [headers_frame(headers=POST, flags=[END_HEADERS])]
    return [*head, data_frame(1, b"")]


def priority(number):
    return [PriorityFrame(2 * number + 1)]


def window_update(_number):
    return [WindowUpdateFrame(0, 1)]


def unknown(_number):
    return [UNKNOWN_FRAME]


def continuation(number):
    return [ContinuationFrame(1, b"") if number else headers_frame(flags=())]


def large_headers(number):
    large = ((f"x-{position}", "y" * 900) for position in range(40))
    return [headers_frame(2 * number + 1, [*GET, *large])]


def hpack_bomb(_number):
    return [HeadersFrame(1, HPACK_BOMB, flags=[END_HEADERS])]


FLOODS = [
    rapid_reset,
    ping,
    settings,
    empty_data,
    priority,
    window_update,
    unknown,
    continuation,
    large_headers,
    hpack_bomb,
]


def disconnects(counters):
    return counters["h2 floods"] + counters["h2 protocol errors"]


async def send_until_disconnected(client, flood, counters):
    """Whether the balancer disconnected the client within MAX_ROUNDS."""
    for number in range(MAX_ROUNDS):
        try:
            client.send(*flood(number))
        except ConnectionError:
            return True
        if number % ROUNDS_AT_ONCE == 0:
            await asyncio.sleep(0.001)
            if client.reader.at_eof() or disconnects(counters):
                return True
    return False


@pytest.mark.parametrize("flood", FLOODS)
@loopback
async def test_a_client_that_floods_is_disconnected_and_others_are_served(flood):
    async with (
        Peer(lambda *_: answer()) as peer,
        Running([peer.dial], parts=HTTP2_CLIENTS) as balancer,
    ):
        counters = balancer.node.counters
        async with ScriptedClient(balancer.port, is_raw=True) as client:
            client.send(PREFACE, SETTINGS)
            assert await send_until_disconnected(client, flood, counters)
            assert disconnects(counters) == 1

        assert (await balancer.ask())[0] == 200
        async with ScriptedClient(balancer.port) as client:
            assert (await client.response(client.request())).status == 200
        # No more of the flood reached an upstream than the budget permits.
        assert len(peer.seen) <= MAX_CREDIT / FrameKind.RESET.cost + 4


# A rapid reset that takes its time (CVE-2023-44487): each request is reset only once the balancer
# works on it. Such a client was never disconnected, 1,500 times in 5.7 s with both flood counters
# at 0: each cancelled request counted as answered, which refilled twice what its reset had cost.
# Only a response that was written refills now.

MAX_PACED_RESETS = 400


async def reset_each_request_once_it_runs(client, counters, streams):
    """Whether the balancer disconnected the client within MAX_PACED_RESETS."""
    client.send(PREFACE, SETTINGS)
    for number in range(MAX_PACED_RESETS):
        headers, reset = rapid_reset(number)
        client.send(headers)
        await until(lambda: streams)
        client.send(reset)
        await until(lambda: not streams)
        if counters["h2 floods"]:
            return True
    return False


@loopback
async def test_a_client_that_resets_each_request_once_it_runs_is_disconnected():
    release = asyncio.Event()

    async def answer_when_released(*_):
        await release.wait()
        return answer()

    async with (
        Peer(answer_when_released) as peer,
        Running([peer.dial], parts=HTTP2_CLIENTS) as balancer,
        ScriptedClient(balancer.port, is_raw=True) as client,
    ):
        counters = balancer.node.counters
        streams = balancer.node.http_server.server.streams

        assert await reset_each_request_once_it_runs(client, counters, streams)
        release.set()
        await until(lambda: not balancer.node.requests.tasks)
        assert counters["h2 floods"] == 1


@loopback
async def test_an_upstream_that_resets_closed_streams_over_and_over_is_disconnected():
    def answer_and_reset(connection, request):
        connection.answer(request)
        connection.send(*[RstStreamFrame(request.stream_id, ErrorCodes.CANCEL)] * MAX_PACED_RESETS)

    async with (
        ScriptedUpstream(answer_and_reset) as upstream,
        Running([upstream.address], parts=HTTP2) as balancer,
    ):
        await balancer.ask()
        async with asyncio.timeout(5):
            await until(lambda: balancer.node.counters["h2 floods of upstreams"])
