"""Requests that were accepted on an HTTP/2 connection are answered although it ends with an error.

Guards against a connection that is closed, with all requests on it, because some clients cancel
theirs, go on after a GOAWAY, or send a frame with an error.
"""

import asyncio
from contextlib import suppress

import pytest
from h2.errors import ErrorCodes
from hyperframe.frame import HeadersFrame, PingFrame, RstStreamFrame, WindowUpdateFrame

from pepperhook.http2 import server
from pepperhook.http2.abuse_limits import MAX_CREDIT, FrameKind
from pepperhook.operator_config.schema import Http2Table
from pepperhook.server.extensions import Extensions
from tests.http2.balancers import HTTP2_CLIENTS
from tests.http2.frames import END_HEADERS, headers_frame, make_get_headers
from tests.http2.well_behaved_client import WellBehavedClient
from tests.server.balancers import (
    RunningBalancer,
    wait_until,
    with_permissions,
    with_service_classes,
)
from tests.server.peers import ScriptedPeer, header_value, make_response

# With streams = 100, so many clients that leave at once spend the credit.
LEAVING = int(MAX_CREDIT / FrameKind.RESET.cost) + 1
# A refused request and its reset cost their client as much.
TWICE_THE_CREDIT = int(2 * MAX_CREDIT / (FrameKind.REFUSED_REQUEST.cost + FrameKind.RESET.cost)) + 1
WAITING = 10
PEERS = 24
MAY_CANCEL = with_permissions(cancel=True)
TIME_LIMIT_S = 0.4


class Peers:
    """Peers that respond to all requests once ``release`` is set; enough for all in a test."""

    def __init__(self):
        self.release = asyncio.Event()
        self.peers = [ScriptedPeer(self._respond) for _ in range(PEERS)]

    async def _respond(self, *_):
        await self.release.wait()
        return make_response()

    async def listen(self):
        for peer in self.peers:
            await peer.listen()

    def close(self):
        for peer in self.peers:
            peer.close()

    @property
    def addresses(self):
        return [peer.address for peer in self.peers]

    @property
    def last_request_number(self):
        """The number of the last request of the client that has reached a peer."""
        ids = [header_value(head, b"x-request-id") for head, _ in self.requests]
        return max(int(each.rpartition(b"-")[2]) for each in ids)

    @property
    def requests(self):
        return [request for peer in self.peers for request in peer.requests]


class Connected:
    """A balancer with peers, and a client with one connection to it."""

    def __init__(self, extensions=HTTP2_CLIENTS, env=MAY_CANCEL):
        self.peers = Peers()
        self.extensions = extensions
        self.env = env

    async def __aenter__(self):
        await self.peers.listen()
        self.balancer = RunningBalancer(
            self.peers.addresses, extensions=self.extensions, env=self.env
        )
        await self.balancer.__aenter__()
        self.client = WellBehavedClient(self.balancer.port)
        await self.client.__aenter__()
        self.client.send_preface()
        await self.client.read(lambda: self.client.h2.remote_settings.max_concurrent_streams < 1000)
        return self

    async def __aexit__(self, *error):
        self.peers.release.set()
        await self.client.__aexit__(*error)
        await self.balancer.__aexit__(*error)
        self.peers.close()

    @property
    def open_streams(self):
        return self.balancer.app.http_server.server.streams

    @property
    def counters(self):
        return self.balancer.app.counters

    @property
    def last_stream_id(self):
        """The id of the last request that the client has sent."""
        return self.client.h2.highest_outbound_stream_id

    async def accept(self, count):
        """Send requests, and wait until they are accepted; return their streams."""
        before = len(self.open_streams)
        streams = [self.client.request() for _ in range(count)]
        await wait_until(lambda: len(self.open_streams) == before + count)
        return streams

    def leave(self, streams):
        for stream_id in streams:
            self.client.reset(stream_id, ErrorCodes.CANCEL)

    async def read_goaway(self):
        """Wait for a GOAWAY; return its code and the last stream that it names."""
        await self.client.read(lambda: self.client.goaway)
        return self.client.goaway.error_code, self.client.goaway.last_stream_id


async def test_burst_of_clients_that_leave_costs_the_others_no_answer():
    async with Connected() as connected:
        leaving = await connected.accept(LEAVING)
        waiting = await connected.accept(WAITING)

        connected.leave(leaving)

        assert await connected.read_goaway() == (ErrorCodes.ENHANCE_YOUR_CALM, waiting[-1])
        connected.peers.release.set()
        assert await connected.client.answers(waiting) == [200] * WAITING
        await connected.client.read(lambda: False)
        assert connected.client.is_closed
        assert connected.counters["h2 floods"] == 1


async def test_clients_that_leave_one_by_one_cost_the_others_no_answer():
    async with Connected() as connected:
        waiting = await connected.accept(WAITING)
        # The flood must be over before the time limit of the waiting requests, so nothing is read
        # in between, and the balancer's own counter tells the end.
        while not connected.counters["h2 floods"]:
            connected.leave(await connected.accept(1))
            await wait_until(lambda: len(connected.open_streams) == WAITING)

        assert await connected.read_goaway() == (
            ErrorCodes.ENHANCE_YOUR_CALM,
            connected.last_stream_id,
        )
        connected.peers.release.set()

        assert await connected.client.answers(waiting) == [200] * WAITING


async def test_requests_after_the_goaway_are_refused_and_those_before_it_answered():
    async with Connected() as connected:
        leaving = await connected.accept(LEAVING)
        waiting = await connected.accept(WAITING)
        connected.leave(leaving)
        await connected.read_goaway()

        sent_before = connected.client.request_count
        late = [connected.client.request() for _ in range(WAITING)]
        await connected.client.read(lambda: late[-1] in connected.client.reset_codes)

        assert {connected.client.reset_codes[each] for each in late} == {ErrorCodes.REFUSED_STREAM}
        connected.peers.release.set()
        assert await connected.client.answers(waiting) == [200] * WAITING
        assert connected.peers.last_request_number <= sent_before


async def test_client_that_leaves_after_the_goaway_is_noticed():
    # Its attempt is cancelled, and nothing more is sent for it.
    async with Connected() as connected:
        leaving = await connected.accept(LEAVING)
        waiting = await connected.accept(WAITING)
        connected.leave(leaving)
        await connected.read_goaway()
        await wait_until(lambda: len(connected.open_streams) == WAITING)

        connected.leave(waiting[1:])

        await wait_until(lambda: len(connected.open_streams) == 1)
        connected.peers.release.set()
        assert await connected.client.answers(waiting[:1]) == [200]


FLOODS = {
    "pings": [PingFrame(0, b"12345678")],
    "windows": [WindowUpdateFrame(0, 1)],
    "requests": None,  # a new one each time
}


def flood_frames(name, number):
    if FLOODS[name] is not None:
        return FLOODS[name]
    stream_id = 100_001 + 2 * number
    return [
        headers_frame(stream_id, make_get_headers(f"f{number}")),
        RstStreamFrame(stream_id, ErrorCodes.CANCEL),
    ]


@pytest.mark.parametrize("name", FLOODS)
async def test_flood_that_goes_on_is_not_read_and_ends_with_the_last_answer(name):
    settings = with_service_classes(timeLimitUs=int(TIME_LIMIT_S * 10**6))
    async with Connected(env=settings) as connected:
        (waiting,) = await connected.accept(1)
        sent = 0
        parsed = connected.balancer.app.http_server.server.streams
        reading = asyncio.ensure_future(connected.client.read(lambda: False))
        while not reading.done():
            with suppress(ConnectionError):
                for _ in range(50):
                    connected.client.send(*flood_frames(name, sent))
                    sent += 1
            await asyncio.sleep(0.002)

        # Its peer never responds: the request gets its answer at the end of its time limit.
        assert connected.client.statuses[waiting] == 503
        assert connected.client.goaway.error_code == ErrorCodes.ENHANCE_YOUR_CALM
        assert connected.counters["h2 floods"] == 1
        assert len(connected.peers.requests) == 1
        assert not parsed
        # The credit of both stages and what is refilled in the time of the request.
        assert connected.counters["h2 streams refused"] <= MAX_CREDIT


async def test_rapid_reset_without_waiting_requests_ends_the_connection_at_once():
    async with Connected() as connected:
        connected.leave(await connected.accept(LEAVING))

        await connected.client.read(lambda: False)

        assert connected.client.is_closed
        assert connected.client.goaway.error_code == ErrorCodes.ENHANCE_YOUR_CALM


ERRORS = {
    "frame of a wrong size": (b"\0\0\3\6\0\0\0\0\0abc", ErrorCodes.FRAME_SIZE_ERROR),
    "frame over the announced size": (
        b"\x40\1\0\0\0\0\0\0\1",
        ErrorCodes.FRAME_SIZE_ERROR,
    ),
    "header block": (
        HeadersFrame(1001, b"\xff" * 8, flags=[END_HEADERS]).serialize(),
        ErrorCodes.COMPRESSION_ERROR,
    ),
    "stream id": (headers_frame(2).serialize(), ErrorCodes.PROTOCOL_ERROR),
    "window": (WindowUpdateFrame(0, 2**31 - 1).serialize(), ErrorCodes.FLOW_CONTROL_ERROR),
    "pushed request": (
        b"\0\0\5\5\4\0\0\0\1\0\0\0\2\x82",
        ErrorCodes.PROTOCOL_ERROR,
    ),
}


@pytest.mark.parametrize("name", ERRORS)
async def test_frame_with_an_error_costs_the_requests_before_it_no_answer(name):
    async with Connected() as connected:
        frame, code = ERRORS[name]
        waiting = await connected.accept(WAITING)

        # A request in the same read as the error is accepted as well, as its frame is without one.
        waiting.append(connected.client.request())
        connected.client.send(frame)

        assert await connected.read_goaway() == (code, waiting[-1])
        connected.peers.release.set()
        assert await connected.client.answers(waiting) == [200] * (WAITING + 1)
        assert connected.counters["h2 protocol errors"] == 1


async def test_request_whose_rest_cannot_be_read_any_more_is_declared_as_never_executed():
    async with Connected() as connected:
        frame, code = ERRORS["frame of a wrong size"]
        (waiting,) = await connected.accept(1)
        half = connected.client.h2.get_next_available_stream_id()
        connected.client.h2.send_headers(half, connected.client.headers("/pay", "POST"))
        connected.client.flush()
        await wait_until(lambda: len(connected.open_streams) == 2)

        connected.client.send(frame)

        assert (await connected.read_goaway())[0] == code
        await connected.client.read(lambda: half in connected.client.reset_codes)
        assert connected.client.reset_codes == {half: ErrorCodes.REFUSED_STREAM}
        connected.peers.release.set()
        assert await connected.client.answers([waiting]) == [200]
        assert len(connected.peers.requests) == 1


async def test_upload_that_has_begun_before_a_burst_can_be_completed():
    async with Connected() as connected:
        leaving = await connected.accept(LEAVING)
        upload = connected.client.h2.get_next_available_stream_id()
        connected.client.h2.send_headers(upload, connected.client.headers("/pay", "POST"))
        connected.client.flush()
        await wait_until(lambda: len(connected.open_streams) == LEAVING + 1)
        connected.leave(leaving)
        await connected.read_goaway()

        connected.client.h2.send_data(upload, b"x", end_stream=True)
        connected.client.flush()
        connected.peers.release.set()

        assert await connected.client.answers([upload]) == [200]


async def test_requests_within_the_limit_are_answered_if_a_client_sends_more_at_once():
    four_streams = Extensions(h2=Http2Table(streams=4))
    async with Connected(four_streams) as connected:
        first = connected.client.h2.get_next_available_stream_id()
        streams = [first + 2 * number for number in range(7)]
        for _ in streams[:4]:
            connected.client.request()
        connected.client.send(
            *(headers_frame(each, make_get_headers(f"m{each}")) for each in streams[4:])
        )

        assert (await connected.read_goaway())[1] == streams[3]
        connected.peers.release.set()
        assert await connected.client.answers(streams[:4]) == [200] * 4


async def test_requests_sent_on_after_the_goaway_of_a_shutdown_cost_those_before_no_answer():
    async with Connected() as connected:
        waiting = await connected.accept(WAITING)
        shutdown = asyncio.ensure_future(connected.balancer.app.http_server.close(0, 5))
        await connected.read_goaway()
        late = [connected.client.request() for _ in range(TWICE_THE_CREDIT)]
        connected.leave(late)
        await wait_until(lambda: connected.counters["h2 floods"])

        connected.peers.release.set()

        assert await connected.client.answers(waiting) == [200] * WAITING
        assert not set(late) & set(connected.client.statuses)
        await shutdown


async def test_connection_that_drains_is_closed_when_the_time_for_all_answers_is_over(monkeypatch):
    for name in ("MESSAGE_TIMEOUT_S", "WINDOW_TIMEOUT_S"):
        monkeypatch.setattr(server, name, 0)
    async with Connected() as connected:
        await connected.accept(1)
        connected.balancer.app.ingress.max_time_limit_s = 0.1
        connected.client.send(ERRORS["frame of a wrong size"][0])

        await connected.client.read(lambda: False, timeout_s=1)

        assert connected.client.is_closed
        assert not connected.client.statuses
        assert not connected.open_streams
