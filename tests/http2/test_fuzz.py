"""Random sequences of frames, many of them invalid, from clients and upstreams.

The examples are the same in every run.
"""

import asyncio
import itertools
import logging
from contextlib import contextmanager

import h2.exceptions
from hyperframe.frame import (
    ContinuationFrame,
    GoAwayFrame,
    HeadersFrame,
    PingFrame,
    PriorityFrame,
    RstStreamFrame,
    SettingsFrame,
    WindowUpdateFrame,
)
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.conftest import ASYNC_TEST_TIMEOUT_S
from tests.http2.balancers import HTTP2_BOTH_SIDES, HTTP2_CLIENTS
from tests.http2.frames import (
    END_HEADERS,
    END_STREAM,
    PREFACE,
    SETTINGS,
    data_frame,
    encode_headers,
    headers_frame,
    make_get_headers,
)
from tests.http2.scripted_client import ScriptedClient
from tests.http2.scripted_upstream import ScriptedUpstream
from tests.server.balancers import RunningBalancer
from tests.server.peers import ScriptedPeer, make_response

# No deadline and no health checks, so that a busy machine does not fail the test.
FUZZ = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    database=None,
    suppress_health_check=list(HealthCheck),
)
MAX_STREAM_ID = 0x7FFFFFFF
MAX_WINDOW = 2**31 - 1
HEADERS_ONLY = [END_HEADERS]
HEADERS_AND_END = [END_HEADERS, END_STREAM]
REQUEST_STREAM = 9  # placeholder in an upstream's frames for the stream id of the request
STREAM_ID_FIELD = slice(5, 9)  # position in a frame header
CLIENT_COUNT = 4
MAX_FRAMES = 16
REQUEST_COUNT = 12


def well_formed_frames(stream_ids):
    """Return a strategy for well-formed frames on these streams."""
    stream_id = st.sampled_from(stream_ids)
    stream_id_or_connection = st.one_of(st.just(0), stream_id)
    error_code = st.integers(0, 13)
    get_headers = st.integers(0, 9).map(lambda index: make_get_headers(f"z{index}"))
    response_block = st.sampled_from(["100", "200", "500"]).map(
        lambda status: encode_headers((":status", status))
    )
    setting = st.tuples(st.integers(1, 6), st.sampled_from([0, 1, 100, 20000, 2**31]))
    return st.one_of(
        st.builds(
            headers_frame,
            stream_id,
            get_headers,
            st.sampled_from([HEADERS_AND_END, HEADERS_ONLY, []]),
        ),
        st.builds(
            data_frame,
            stream_id,
            st.integers(0, 200).map(bytes),
            st.sampled_from([[END_STREAM], []]),
        ),
        st.builds(RstStreamFrame, stream_id, error_code),
        st.builds(PingFrame, st.just(0), st.just(bytes(8))),
        st.builds(
            WindowUpdateFrame, stream_id_or_connection, st.sampled_from([1, 1000, MAX_WINDOW])
        ),
        setting.map(lambda pair: SettingsFrame(0, settings=dict([pair]))),
        st.builds(ContinuationFrame, stream_id, st.just(bytes(3)), flags=st.just(HEADERS_ONLY)),
        st.builds(PriorityFrame, stream_id),
        st.builds(
            HeadersFrame,
            stream_id,
            response_block,
            flags=st.sampled_from([HEADERS_AND_END, HEADERS_ONLY]),
        ),
        st.builds(GoAwayFrame, st.just(0), stream_id_or_connection, error_code),
    )


def corrupt(frame, position, value):
    """Replace one byte; the position wraps around the length of the frame."""
    position %= len(frame)
    return frame[:position] + bytes([value]) + frame[position + 1 :]


def fuzzed_frames(stream_ids):
    """Return a strategy for frames, some with one byte corrupted, and some random bytes."""
    well_formed = well_formed_frames(stream_ids).map(lambda frame: frame.serialize())
    corrupted = st.builds(corrupt, well_formed, st.integers(0, 300), st.integers(0, 255))
    # Repeated, so that most frames are well-formed.
    return st.one_of(
        well_formed, well_formed, well_formed, corrupted, st.binary(min_size=1, max_size=30)
    )


@contextmanager
def no_faults_logged():
    """Check that no log line contains "fault" or a traceback."""
    lines = []

    class Collector(logging.Handler):
        def emit(self, record):
            lines.append(self.format(record))

    collector = Collector()
    logging.getLogger().addHandler(collector)
    try:
        yield
    finally:
        logging.getLogger().removeHandler(collector)
    assert not [line for line in lines if "fault" in line or "Traceback" in line]


# The bytes of each frame, where to split them into two writes, and whether to pause between them.
CLIENT_FRAMES = st.lists(
    st.tuples(fuzzed_frames([1, 3, 5, 7, 2, MAX_STREAM_ID]), st.integers(0, 60), st.booleans()),
    min_size=1,
    max_size=MAX_FRAMES,
)


async def send_frames(port, frames):
    async with ScriptedClient(port, is_raw=True) as client:
        client.send(PREFACE, SETTINGS)
        for frame, split_at, is_paused in frames:
            client.send(frame[:split_at])
            if is_paused:
                await asyncio.sleep(0.0005)
            client.send(frame[split_at:])
        await asyncio.sleep(0.002)


def run_with_timeout(coroutine):
    """Run a coroutine in an event loop; tests with ``@given`` can't be coroutine functions."""
    asyncio.run(asyncio.wait_for(coroutine, ASYNC_TEST_TIMEOUT_S))


@FUZZ
@given(st.lists(CLIENT_FRAMES, min_size=1, max_size=CLIENT_COUNT))
def test_fuzzed_clients_cause_no_logged_fault_and_leave_no_stream_or_request_open(connections):
    async def send_and_check():
        async with (
            ScriptedPeer(lambda *_: make_response()) as peer,
            RunningBalancer([peer.address], extensions=HTTP2_CLIENTS) as balancer,
        ):
            for frames in connections:
                await send_frames(balancer.port, frames)
            assert (await balancer.request())[0] == 200
            app = balancer.app
            while app.http_server.server.streams or app.requests.tasks:
                await asyncio.sleep(0.005)

    with no_faults_logged():
        run_with_timeout(send_and_check())


def set_stream_id(frame, request):
    """Replace the placeholder REQUEST_STREAM by the request's stream id."""
    if frame[STREAM_ID_FIELD] != REQUEST_STREAM.to_bytes(4, "big"):
        return frame
    return frame[:5] + request.stream_id.to_bytes(4, "big") + frame[9:]


# For each request: the frames that the upstream sends, and whether a response follows them.
UPSTREAM_REPLIES = st.lists(
    st.tuples(st.lists(fuzzed_frames([REQUEST_STREAM] * 3 + [1, 2]), max_size=4), st.booleans()),
    min_size=1,
    max_size=8,
)


def reply_script(replies):
    next_reply = itertools.cycle(replies)

    def script(connection, request):
        frames, is_answered = next(next_reply)
        connection.send(*(set_stream_id(frame, request) for frame in frames))
        if is_answered:
            try:
                connection.respond(request)
            except h2.exceptions.ProtocolError:
                connection.close()

    return script


@FUZZ
@given(UPSTREAM_REPLIES)
def test_fuzzed_upstreams_cause_no_logged_fault_and_each_request_gets_one_response(replies):
    async def send_and_check():
        async with (
            ScriptedUpstream(reply_script(replies)) as upstream,
            RunningBalancer([upstream.address], extensions=HTTP2_BOTH_SIDES) as balancer,
            ScriptedClient(balancer.port) as client,
        ):
            streams = []
            for index in range(REQUEST_COUNT):
                path, method, body = ("/pay", "POST", b"1") if index % 2 else ("/look", "GET", b"")
                streams.append(client.request(path, method, body, x_timeout_ms="120"))
            statuses = [(await client.response(stream_id)).status for stream_id in streams]

            assert set(statuses) <= {200, 500, 503}
            assert len(client.ended) == REQUEST_COUNT

    with no_faults_logged():
        run_with_timeout(send_and_check())
