"""Peers that send many frames without progress are disconnected; others are served."""

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
from tests.http2.balancers import HTTP2_BOTH_SIDES, HTTP2_CLIENTS
from tests.http2.frames import (
    END_HEADERS,
    GET_HEADERS,
    POST_HEADERS,
    PREFACE,
    SETTINGS,
    data_frame,
    headers_frame,
    make_get_headers,
)
from tests.http2.scripted_client import ScriptedClient
from tests.http2.scripted_upstream import ScriptedUpstream
from tests.server.balancers import RunningBalancer, wait_until
from tests.server.peers import ScriptedPeer, make_response

MAX_ROUNDS = 4000
ROUNDS_PER_BATCH = 50
UNKNOWN_FRAME = b"\0\0\0\x2a\0\0\0\0\0"
# Adds a header with a value of 4,095 bytes to the dynamic table, and refers to it 8,000 times.
HPACK_BOMB = b"\x40\x01a\x7f\x80\x1f" + b"v" * 4095 + b"\xbe" * 8000


# Each function returns the frames of one round of a flood, given its round number.


def rapid_reset(round_number):
    stream_id = 2 * round_number + 1
    return [
        headers_frame(stream_id, make_get_headers(f"f{round_number}")),
        RstStreamFrame(stream_id, ErrorCodes.CANCEL),
    ]


def ping(round_number):
    return [PingFrame(0, b"%08d" % round_number)]


def settings(round_number):
    return [SettingsFrame(0, settings={SettingsFrame.MAX_CONCURRENT_STREAMS: round_number + 1})]


def empty_data(round_number):
    head = [] if round_number else [headers_frame(headers=POST_HEADERS, flags=[END_HEADERS])]
    return [*head, data_frame(1, b"")]


def priority(round_number):
    return [PriorityFrame(2 * round_number + 1)]


def window_update(_round_number):
    return [WindowUpdateFrame(0, 1)]


def unknown(_round_number):
    return [UNKNOWN_FRAME]


def continuation(round_number):
    return [ContinuationFrame(1, b"") if round_number else headers_frame(flags=())]


def large_headers(round_number):
    large = ((f"x-{position}", "y" * 900) for position in range(40))
    return [headers_frame(2 * round_number + 1, [*GET_HEADERS, *large])]


def hpack_bomb(_round_number):
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


def count_disconnects(counters):
    return counters["h2 floods"] + counters["h2 protocol errors"]


async def send_until_disconnected(client, flood, counters):
    """Return whether the balancer disconnected the client within MAX_ROUNDS."""
    for round_number in range(MAX_ROUNDS):
        try:
            client.send(*flood(round_number))
        except ConnectionError:
            return True
        if round_number % ROUNDS_PER_BATCH == 0:
            await asyncio.sleep(0.001)
            if client.reader.at_eof() or count_disconnects(counters):
                return True
    return False


@pytest.mark.parametrize("flood", FLOODS)
async def test_a_flooding_client_is_disconnected_and_others_are_served(flood):
    async with (
        ScriptedPeer(lambda *_: make_response()) as peer,
        RunningBalancer([peer.address], extensions=HTTP2_CLIENTS) as balancer,
    ):
        counters = balancer.app.counters
        async with ScriptedClient(balancer.port, is_raw=True) as client:
            client.send(PREFACE, SETTINGS)
            assert await send_until_disconnected(client, flood, counters)
            assert count_disconnects(counters) == 1

        assert (await balancer.request())[0] == 200
        async with ScriptedClient(balancer.port) as client:
            assert (await client.response(client.request())).status == 200
        # No more requests of the flood reached the upstream than the credit permits; 4 more for the
        # two requests after the flood and for credit refilled over time.
        assert len(peer.requests) <= MAX_CREDIT / FrameKind.RESET.cost + 4


# A slow variant of the rapid reset attack (CVE-2023-44487): the client resets each request only
# after the balancer has begun to process it. A cancelled request must not refill the credit. If it
# counted as answered, it would refill twice the cost of its reset, and the client would never be
# disconnected: 1,500 resets in 5.7 s did not spend the credit.

MAX_RESETS = 400


async def reset_each_request_in_flight(client, counters, streams):
    """Return whether the balancer disconnected the client within MAX_RESETS.

    ``streams``: the set of the server's open streams.
    """
    client.send(PREFACE, SETTINGS)
    for round_number in range(MAX_RESETS):
        headers, reset = rapid_reset(round_number)
        client.send(headers)
        await wait_until(lambda: streams)
        client.send(reset)
        await wait_until(lambda: not streams)
        if counters["h2 floods"]:
            return True
    return False


async def test_a_client_that_resets_each_request_in_flight_is_disconnected():
    release = asyncio.Event()

    async def respond_when_released(*_):
        await release.wait()
        return make_response()

    async with (
        ScriptedPeer(respond_when_released) as peer,
        RunningBalancer([peer.address], extensions=HTTP2_CLIENTS) as balancer,
        ScriptedClient(balancer.port, is_raw=True) as client,
    ):
        counters = balancer.app.counters
        streams = balancer.app.http_server.server.streams

        assert await reset_each_request_in_flight(client, counters, streams)
        release.set()
        await wait_until(lambda: not balancer.app.requests.tasks)
        assert counters["h2 floods"] == 1


async def test_an_upstream_that_repeatedly_resets_closed_streams_is_disconnected():
    def respond_and_reset(connection, request):
        connection.respond(request)
        connection.send(*[RstStreamFrame(request.stream_id, ErrorCodes.CANCEL)] * MAX_RESETS)

    async with (
        ScriptedUpstream(respond_and_reset) as upstream,
        RunningBalancer([upstream.address], extensions=HTTP2_BOTH_SIDES) as balancer,
    ):
        await balancer.request()
        async with asyncio.timeout(5):
            await wait_until(lambda: balancer.app.counters["h2 floods of upstreams"])
