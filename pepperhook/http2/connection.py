"""The h2 library's connection, with corrections to follow RFC 9113 and additions.

* A GOAWAY does not end the streams that its sender still answers (6.8).
* An oversized frame is rejected as soon as its length field is received (4.2).
* A header block that cannot be decoded is a COMPRESSION_ERROR (4.3).
* A wrong content-length is a stream error; it does not affect other streams (8.1.1).
* Malformed request or response headers, or malformed trailers, are a stream error as well (8.1.1).
* A request with an octet that no field may have is reported, so that it can be answered (8.2.1).
* RST_STREAM on a closed stream is reported as an event, so that a flood of them can be limited.
* A header block over many frames is limited in bytes while it is received.
* The events of the frames before one with an error are not lost.
* A server can still send responses after an error in what its client has sent (5.4.1).
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, cast

import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import hpack
from h2.frame_buffer import FrameBuffer
from h2.stream import H2Stream
from h2.utilities import HeaderValidationFlags, _reject_illegal_characters
from hpack.struct import Header, HeaderTuple
from hyperframe.frame import Frame, GoAwayFrame, HeadersFrame, RstStreamFrame

from pepperhook.errors import PepperhookError
from pepperhook.server.field_value import decode_octets

LENGTH_FIELD_BYTES = 3  # at the start of each frame header
MAX_HEADER_BLOCK_BYTES = 48 * 1024  # a header list of 32 KB, and one frame more


class HeaderBlockError(PepperhookError, h2.exceptions.ProtocolError):
    """A header block that HPACK cannot decode (RFC 9113, 4.3)."""

    error_code = h2.errors.ErrorCodes.COMPRESSION_ERROR


class HeaderBlockTooLargeError(PepperhookError, h2.exceptions.ProtocolError):
    """A header block that is larger than any that would be accepted."""

    error_code = h2.errors.ErrorCodes.ENHANCE_YOUR_CALM


class HeaderDecoder(hpack.Decoder):
    """Raises HeaderBlockError for an invalid block; the library would send PROTOCOL_ERROR."""

    def decode(self, data: bytes, raw: bool = False) -> Iterable[HeaderTuple]:
        """Decode a header block. Raises HeaderBlockError."""
        try:
            return super().decode(data, raw)
        except hpack.OversizedHeaderListError:
            raise  # the library ends the connection with ENHANCE_YOUR_CALM
        except (hpack.HPACKError, IndexError, TypeError, UnicodeDecodeError) as error:
            raise HeaderBlockError(f"Error decoding header block: {error}") from error


class MalformedHeadError(PepperhookError):
    """Headers or trailers that HPACK decodes but that are malformed (RFC 9113, 8.1.1)."""


class InvalidFieldError(MalformedHeadError):
    """A field name or value with an octet that it must not have (RFC 9113, 8.2.1)."""


@dataclass(kw_only=True)
class InvalidFieldReceived(h2.events.Event):
    """A client's headers or trailers have an invalid field; the stream is still open."""

    stream_id: int
    reason: str


def library_headers(headers: Iterable[Header] | None) -> list[tuple[str, str]]:
    """Return received headers as text of aiohttp, as ``field_value`` describes it."""
    pairs = cast("list[tuple[bytes, bytes]]", headers or [])
    return [(decode_octets(name), decode_octets(value)) for name, value in pairs]


class Http2Stream(H2Stream):
    """The state of one stream; overrides private methods of the pinned h2 version."""

    def _initialize_content_length(self, headers: Iterable[Header]) -> None:
        # The library treats a wrong content-length as a connection error, so one such response
        # would end all streams of its connection. ClientConnection._on_stream_ended and
        # ServerStream.complete check the length instead.
        pass

    def receive_headers(
        self, headers: Iterable[Header], end_stream: bool, header_encoding: bool | str | None
    ) -> tuple[list[Frame], list[h2.events.Event]]:
        """Process headers or trailers. Raises MalformedHeadError or an error of the library."""
        try:
            return super().receive_headers(headers, end_stream, header_encoding)
        except (h2.exceptions.StreamClosedError, h2.exceptions.StreamIDTooLowError):
            raise
        except (h2.exceptions.ProtocolError, UnicodeDecodeError) as error:
            raise MalformedHeadError(str(error)) from error

    def _process_received_headers(
        self,
        headers: Iterable[Header],
        header_validation_flags: HeaderValidationFlags,
        header_encoding: bool | str | None,
    ) -> list[Header]:
        """Check headers. Raises InvalidFieldError or an error of the library."""
        try:
            return super()._process_received_headers(
                headers, header_validation_flags, header_encoding
            )
        except h2.exceptions.ProtocolError:
            _check_fields(headers, header_validation_flags)
            raise


def _check_fields(headers: Iterable[Header], flags: HeaderValidationFlags) -> None:
    """Raise InvalidFieldError if a field has an octet that it must not have."""
    try:
        for _header in _reject_illegal_characters(headers, flags):
            pass
    except h2.exceptions.ProtocolError as error:
        raise InvalidFieldError("a header has a character that is not permitted") from error


@dataclass(frozen=True, slots=True)
class ReceivedEvents:
    """The events of received data, and the error that ended its processing, if there was one."""

    events: list[h2.events.Event]
    error: h2.exceptions.ProtocolError | UnicodeDecodeError | None = None


class Http2Connection(h2.connection.H2Connection):
    """The protocol state of one connection, on the client or the server side.

    Overrides private methods of the pinned h2 version.
    """

    _events: list[h2.events.Event]  # of the data that is being processed

    def __init__(self, *args: Any, **options: Any) -> None:
        """Accept the arguments of the library's connection."""
        super().__init__(*args, **options)
        max_header_list_size = self.decoder.max_header_list_size
        self._events = []
        self.decoder = HeaderDecoder()
        self.decoder.max_header_list_size = max_header_list_size

    def receive(self, data: bytes) -> ReceivedEvents:
        """Process data from the peer; after an error, return the events of the frames before it."""
        self._events = []
        try:
            return ReceivedEvents(self.receive_data(data))
        except (h2.exceptions.ProtocolError, UnicodeDecodeError) as error:
            return ReceivedEvents(self._events, error)

    def _receive_frame(self, frame: Frame) -> list[h2.events.Event]:
        events = super()._receive_frame(frame)
        self._events += events
        return events

    def receive_data(self, data: bytes) -> list[h2.events.Event]:  # type: ignore[override]
        """Process data from the peer and return its events. Raises h2's ProtocolError."""
        events = super().receive_data(data)
        # The library checks the length of a frame only when the whole frame has arrived, so a peer
        # could make it buffer 16 MB per connection.
        length_field = self.incoming_buffer._data[:LENGTH_FIELD_BYTES]
        if (
            len(length_field) == LENGTH_FIELD_BYTES
            and int.from_bytes(length_field, "big") > self.max_inbound_frame_size
        ):
            self._terminate_connection(h2.errors.ErrorCodes.FRAME_SIZE_ERROR)
            raise h2.exceptions.FrameTooLargeError("frame exceeds the announced maximum frame size")
        self._check_header_block()
        return events

    def discard_input(self) -> None:
        """Free what was received of an incomplete frame or header block; nothing more may come."""
        self.incoming_buffer = FrameBuffer(server=not self.config.client_side)

    @property
    def header_block_bytes(self) -> int:
        """The bytes received of a header block that is not complete; 0 if there is none."""
        return sum(len(frame.data) for frame in self.incoming_buffer._headers_buffer)

    @property
    def unparsed_bytes(self) -> int:
        """The bytes received of an incomplete frame or header block."""
        return len(self.incoming_buffer._data) + self.header_block_bytes

    def release(self) -> None:
        """Free a closed connection at once; it processes no more frames.

        The library's table of its own methods is a reference cycle, which only a rare full garbage
        collection would free, with all that was received.
        """
        self._frame_dispatch_table.clear()

    def _check_header_block(self) -> None:
        # The library limits the frames of a header block to 64, which is 1 MB a connection.
        if self.header_block_bytes > MAX_HEADER_BLOCK_BYTES:
            self._terminate_connection(h2.errors.ErrorCodes.ENHANCE_YOUR_CALM)
            raise HeaderBlockTooLargeError(f"header block over {MAX_HEADER_BLOCK_BYTES} bytes")

    def send_body_part(self, stream_id: int, remaining: memoryview) -> int:
        """Send as much of a body's remaining bytes as one frame and the windows permit.

        Returns the number of bytes sent, 0 if a window is exhausted. The last part ends the stream.
        """
        window = self.local_flow_control_window(stream_id)
        size = min(len(remaining), window, self.max_outbound_frame_size)
        if size <= 0:
            return 0
        self.send_data(stream_id, bytes(remaining[:size]), end_stream=size == len(remaining))
        return size

    def _begin_new_stream(
        self, stream_id: int, allowed_ids: h2.connection.AllowedStreamIDs
    ) -> "H2Stream":
        stream = super()._begin_new_stream(stream_id, allowed_ids)
        # The library has no option for the class of its streams.
        stream.__class__ = Http2Stream
        return stream

    def _receive_headers_frame(
        self, frame: HeadersFrame
    ) -> tuple[list[Frame], list[h2.events.Event]]:
        # The library treats malformed headers as a connection error, which would end all streams of
        # the connection. The header block was decoded, so the HPACK state that all streams share is
        # intact and a stream error is enough.
        try:
            return super()._receive_headers_frame(frame)
        except MalformedHeadError as error:
            return self._handle_malformed_head(frame, error)

    def _handle_malformed_head(
        self, frame: HeadersFrame, _error: MalformedHeadError
    ) -> tuple[list[Frame], list[h2.events.Event]]:
        """Reset the stream of a malformed message."""
        stream = self.streams[frame.stream_id]
        frames = [] if stream.closed else stream.reset_stream(h2.errors.ErrorCodes.PROTOCOL_ERROR)
        event = h2.events.StreamReset(
            stream_id=frame.stream_id,
            error_code=h2.errors.ErrorCodes.PROTOCOL_ERROR,
            remote_reset=False,
        )
        return frames, [event]

    def _receive_rst_stream_frame(
        self, frame: RstStreamFrame
    ) -> tuple[list[Frame], list[h2.events.Event]]:
        # The library reports no event for RST_STREAM on a closed stream, so a flood of them would
        # not be charged to the peer.
        frames, events = super()._receive_rst_stream_frame(frame)
        return frames, events or [
            h2.events.StreamReset(stream_id=frame.stream_id, error_code=frame.error_code)
        ]

    def _receive_goaway_frame(
        self, frame: GoAwayFrame
    ) -> tuple[list[Frame], list[h2.events.Event]]:
        # The library treats a GOAWAY as the end of the connection: it discards unsent data and
        # rejects every frame that follows.
        event = h2.events.ConnectionTerminated()
        event.error_code = frame.error_code
        event.last_stream_id = frame.last_stream_id
        return [], [event]


class Http2ServerConnection(Http2Connection):
    """The server's side of a connection.

    An error in what the client has sent ends only the receiving, so that the requests before it can
    be answered. The library would neither send nor receive any more, and would send a GOAWAY, which
    the caller sends instead: it has to name the last request that was accepted.
    """

    def _receive_frame(self, frame: Frame) -> list[h2.events.Event]:
        state = self.state_machine.state
        try:
            return super()._receive_frame(frame)
        except (h2.exceptions.ProtocolError, UnicodeDecodeError):
            self.state_machine.state = state  # the library may have set it to CLOSED
            raise

    def _terminate_connection(self, error_code: h2.errors.ErrorCodes) -> None:
        """Do nothing; the error that is raised next ends the receiving."""

    def _handle_malformed_head(
        self, frame: HeadersFrame, error: MalformedHeadError
    ) -> tuple[list[Frame], list[h2.events.Event]]:
        """Report a request with an invalid field, as it gets a response; reset others."""
        if not isinstance(error, InvalidFieldError) or self.streams[frame.stream_id].closed:
            return super()._handle_malformed_head(frame, error)
        events: list[h2.events.Event] = [
            InvalidFieldReceived(stream_id=frame.stream_id, reason=str(error))
        ]
        if "END_STREAM" in frame.flags:
            events.append(h2.events.StreamEnded(stream_id=frame.stream_id))
        return [], events
