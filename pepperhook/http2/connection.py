"""The h2 library's connection, changed in five ways, each by its section of RFC 9113.

* A GOAWAY ends no streams that its sender still answers (6.8).
* A frame that is too large is refused by its header (4.2).
* A header block that cannot be decoded has an error code of its own (4.3).
* A wrong content length is an error of its stream alone (8.1.1).
* So is a malformed head, of a request or a response, or malformed trailers (8.1.1).
"""

from collections.abc import Iterable
from typing import Any

import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import hpack
from h2.stream import H2Stream
from hpack.struct import Header, HeaderTuple
from hyperframe.frame import Frame, GoAwayFrame, HeadersFrame, RstStreamFrame

from pepperhook.errors import PepperhookError

LENGTH_FIELD_BYTES = 3  # at the beginning of each frame's header


class HeaderBlockError(PepperhookError, h2.exceptions.ProtocolError):
    """A header block that cannot be decoded (RFC 9113, 4.3)."""

    error_code = h2.errors.ErrorCodes.COMPRESSION_ERROR


class HeaderDecoder(hpack.Decoder):
    """Reports what it cannot decode as HeaderBlockError; the library has PROTOCOL_ERROR for it."""

    def decode(self, data: bytes, raw: bool = False) -> Iterable[HeaderTuple]:
        """Decode a header block. Raises HeaderBlockError."""
        try:
            return super().decode(data, raw)
        except hpack.OversizedHeaderListError:
            raise
        except (hpack.HPACKError, IndexError, TypeError, UnicodeDecodeError) as error:
            raise HeaderBlockError(f"Error decoding header block: {error}") from error


class MalformedHeadError(PepperhookError):
    """A header block that was decoded, but is no head and no trailers of a message."""


class Http2Stream(H2Stream):
    """The state of one stream; overrides private methods by the names of the pinned version."""

    def _initialize_content_length(self, headers: Iterable[Header]) -> None:
        # Against one response of a wrong length ending all others on its connection, as the library
        # has it. Server and client check lengths themselves.
        pass

    def receive_headers(
        self, headers: Iterable[Header], end_stream: bool, header_encoding: bool | str | None
    ) -> tuple[list[Frame], list[h2.events.Event]]:
        """Take a head or trailers. Raises MalformedHeadError, or what the library raises."""
        try:
            return super().receive_headers(headers, end_stream, header_encoding)
        except (h2.exceptions.StreamClosedError, h2.exceptions.StreamIDTooLowError):
            raise
        except (h2.exceptions.ProtocolError, UnicodeDecodeError) as error:
            raise MalformedHeadError(str(error)) from error


class Http2Connection(h2.connection.H2Connection):
    """The state of one connection, on either side.

    Some of its methods override private ones of the library, by the names of the pinned version.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        """Take what the library's connection takes."""
        super().__init__(*args, **options)
        max_header_list_size = self.decoder.max_header_list_size
        self.decoder = HeaderDecoder()
        self.decoder.max_header_list_size = max_header_list_size

    def receive_data(self, data: bytes) -> list[h2.events.Event]:  # type: ignore[override]
        """Take what came from the peer; returns its events. Raises the library's ProtocolError."""
        events = super().receive_data(data)
        # Against 16 MB on each connection: the library looks at a frame's length only when all of
        # the frame is there.
        length = self.incoming_buffer._data[:LENGTH_FIELD_BYTES]
        if (
            len(length) == LENGTH_FIELD_BYTES
            and int.from_bytes(length, "big") > self.max_inbound_frame_size
        ):
            self._terminate_connection(h2.errors.ErrorCodes.FRAME_SIZE_ERROR)
            raise h2.exceptions.FrameTooLargeError("a frame over the size that was told")
        return events

    def send_body_part(self, stream_id: int, rest: memoryview) -> int:
        """Send as much of the rest of a body as one frame and the windows take.

        Returns the number of bytes sent, 0 where there is no window. The last part ends the stream.
        """
        window = self.local_flow_control_window(stream_id)
        size = min(len(rest), window, self.max_outbound_frame_size)
        if size <= 0:
            return 0
        self.send_data(stream_id, bytes(rest[:size]), end_stream=size == len(rest))
        return size

    def _begin_new_stream(
        self, stream_id: int, allowed_ids: h2.connection.AllowedStreamIDs
    ) -> "H2Stream":
        stream = super()._begin_new_stream(stream_id, allowed_ids)
        # The library makes the stream itself, of its own class.
        stream.__class__ = Http2Stream
        return stream

    def _receive_headers_frame(
        self, frame: HeadersFrame
    ) -> tuple[list[Frame], list[h2.events.Event]]:
        # Against one malformed message ending all others on its connection, as the library has it:
        # the header block was decoded, so the state that all streams share is sound.
        try:
            return super()._receive_headers_frame(frame)
        except MalformedHeadError:
            stream = self.streams[frame.stream_id]
            frames = (
                [] if stream.closed else stream.reset_stream(h2.errors.ErrorCodes.PROTOCOL_ERROR)
            )
            event = h2.events.StreamReset(
                stream_id=frame.stream_id,
                error_code=h2.errors.ErrorCodes.PROTOCOL_ERROR,
                remote_reset=False,
            )
            return frames, [event]

    def _receive_rst_stream_frame(
        self, frame: RstStreamFrame
    ) -> tuple[list[Frame], list[h2.events.Event]]:
        # The library says nothing of one for a stream that was closed already, so a flood of them
        # would be free.
        frames, events = super()._receive_rst_stream_frame(frame)
        return frames, events or [
            h2.events.StreamReset(stream_id=frame.stream_id, error_code=frame.error_code)
        ]

    def _receive_goaway_frame(
        self, frame: GoAwayFrame
    ) -> tuple[list[Frame], list[h2.events.Event]]:
        # The library takes a GOAWAY for the end of the connection: it throws away what is still to
        # be sent, and takes any frame that follows for an error.
        event = h2.events.ConnectionTerminated()
        event.error_code = frame.error_code
        event.last_stream_id = frame.last_stream_id
        return [], [event]
