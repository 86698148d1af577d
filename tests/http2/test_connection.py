"""Http2Connection's corrections to the library, and sending of bodies in parts.

Its handling of malformed headers is tested in test_malformed_heads.
"""

import gc
import weakref

import h2.config
import h2.exceptions
import pytest
from h2.errors import ErrorCodes
from h2.events import ConnectionTerminated, ResponseReceived, StreamEnded
from h2.settings import SettingCodes
from hyperframe.frame import (
    ContinuationFrame,
    DataFrame,
    GoAwayFrame,
    HeadersFrame,
    SettingsFrame,
)

from pepperhook.errors import PepperhookError
from pepperhook.http2.connection import (
    MAX_HEADER_BLOCK_BYTES,
    HeaderBlockError,
    HeaderBlockTooLargeError,
    Http2Connection,
)
from tests.http2.frames import END_HEADERS, END_STREAM, GET_HEADERS, encode_headers

STREAM_ID = 1


def make_client(initial_window=65535):
    """Return a client connection with one open request, after SETTINGS from the peer."""
    connection = Http2Connection(
        h2.config.H2Configuration(client_side=True, header_encoding="utf-8")
    )
    connection.initiate_connection()
    settings = {SettingCodes.INITIAL_WINDOW_SIZE: initial_window}
    connection.receive_data(SettingsFrame(0, settings=settings).serialize())
    connection.send_headers(STREAM_ID, GET_HEADERS)
    connection.data_to_send()
    return connection


def serialize_response(*headers, body):
    return (
        HeadersFrame(STREAM_ID, encode_headers(*headers), flags=[END_HEADERS]).serialize()
        + DataFrame(STREAM_ID, body, flags=[END_STREAM]).serialize()
    )


def test_a_goaway_keeps_streams_open_that_its_sender_still_answers():
    connection = make_client()
    goaway = GoAwayFrame(0, STREAM_ID, ErrorCodes.NO_ERROR).serialize()

    [event] = connection.receive_data(goaway)
    assert isinstance(event, ConnectionTerminated)
    assert (event.error_code, event.last_stream_id) == (ErrorCodes.NO_ERROR, STREAM_ID)

    events = connection.receive_data(serialize_response((":status", "200"), body=b"done"))
    assert {type(event) for event in events} >= {ResponseReceived, StreamEnded}


def test_an_oversized_frame_is_rejected_as_soon_as_its_length_field_is_received():
    connection = make_client()
    with pytest.raises(h2.exceptions.FrameTooLargeError):
        connection.receive_data(b"\xff\xff\xff")
    last_frame = connection.data_to_send()
    assert int.from_bytes(last_frame[-4:], "big") == ErrorCodes.FRAME_SIZE_ERROR


def test_a_header_block_that_cannot_be_decoded_is_a_compression_error():
    connection = make_client()
    frame = HeadersFrame(STREAM_ID, b"\xff" * 8, flags=[END_HEADERS])
    with pytest.raises(HeaderBlockError) as raised:
        connection.receive_data(frame.serialize())
    assert isinstance(raised.value, PepperhookError)
    assert raised.value.error_code == ErrorCodes.COMPRESSION_ERROR


def test_a_response_with_a_wrong_content_length_is_received_without_an_error():
    connection = make_client()
    events = connection.receive_data(
        serialize_response((":status", "200"), ("content-length", "9"), body=b"done")
    )
    assert {type(event) for event in events} >= {ResponseReceived, StreamEnded}


def test_a_body_is_sent_in_parts_of_at_most_a_frame():
    connection = make_client()
    remaining = memoryview(b"x" * 20000)

    sent = connection.send_body_part(STREAM_ID, remaining)
    assert sent == connection.max_outbound_frame_size
    assert connection.send_body_part(STREAM_ID, remaining[sent:]) == 20000 - sent
    with pytest.raises(h2.exceptions.ProtocolError):  # the last part has ended the stream
        connection.send_data(STREAM_ID, b"more")


def test_a_body_is_sent_as_far_as_the_window_permits():
    connection = make_client(initial_window=10)
    remaining = memoryview(b"x" * 12)

    assert connection.send_body_part(STREAM_ID, remaining) == 10
    assert connection.send_body_part(STREAM_ID, remaining[10:]) == 0


def test_header_block_that_never_ends_is_limited_in_bytes():
    # A connection could hold 64 frames of it, 1 MB, that no limit on heads was applied to.
    connection = make_client()
    connection.receive_data(HeadersFrame(STREAM_ID, b"x").serialize())
    frame = ContinuationFrame(STREAM_ID, b"x" * 16_000).serialize()

    for _ in range(MAX_HEADER_BLOCK_BYTES // 16_000):
        connection.receive_data(frame)
    with pytest.raises(HeaderBlockTooLargeError):
        connection.receive_data(frame)

    sent = connection.data_to_send()
    assert int(ErrorCodes.ENHANCE_YOUR_CALM).to_bytes(4, "big") in sent


def test_unparsed_bytes_are_those_of_the_incomplete_frame_and_header_block():
    connection = make_client()
    connection.receive_data(HeadersFrame(STREAM_ID, b"x" * 100).serialize())
    assert connection.header_block_bytes == connection.unparsed_bytes == 100

    connection.receive_data(ContinuationFrame(STREAM_ID, b"x" * 50).serialize()[:-10])
    assert connection.unparsed_bytes == 100 + 9 + 40


def test_released_connection_is_freed_without_a_garbage_collection():
    connection = make_client()
    reference = weakref.ref(connection)
    gc.disable()
    try:
        connection.release()
        del connection
        assert reference() is None
    finally:
        gc.enable()
