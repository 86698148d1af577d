"""An HTTP/2 client that tests control down to single frames."""

import asyncio
from typing import NamedTuple

import h2.config
import h2.connection
import h2.events
import h2.exceptions
import h2.stream
from hyperframe.frame import Frame

READ_SIZE = 65536


class Response(NamedTuple):
    """The result of a stream; the status is None if it ended without a response."""

    status: int | None
    body: bytes


def serialize(frames):
    """Return frames as bytes; items that are bytes already are not changed."""
    return b"".join(frame.serialize() if isinstance(frame, Frame) else frame for frame in frames)


class ScriptedClient:
    """A client with one connection.

    ``is_raw``: whether the test sends the preface and all frames itself;
    ``replenishes_windows``: whether to send WINDOW_UPDATE for received data.
    """

    def __init__(self, port, is_raw=False, replenishes_windows=True):
        self.port = port
        self.is_raw = is_raw
        self.replenishes_windows = replenishes_windows
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(
                client_side=True,
                header_encoding="utf-8",
                validate_outbound_headers=False,
                normalize_outbound_headers=False,
            )
        )
        self.request_count = 0
        # Results by stream id.
        self.statuses = {}
        self.headers_received = {}
        self.bodies = {}
        self.reset_codes = {}
        self.ended = set()
        self.goaway = None  # the event of the last GOAWAY
        self.is_closed = False

    async def __aenter__(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        if not self.is_raw:
            self.h2.initiate_connection()
            self.flush()
        return self

    async def __aexit__(self, *_):
        self.writer.transport.abort()

    # Sending.

    def flush(self):
        self.writer.write(self.h2.data_to_send())

    def send(self, *frames):
        """Send frames, or bytes, without checks."""
        self.writer.write(serialize(frames))

    def headers(self, path="/look", method="GET", **overrides):
        """Return the headers of a new request; an override of None removes the header."""
        self.request_count += 1
        headers = {
            ":method": method,
            ":scheme": "http",
            ":authority": "service.internal",
            ":path": path,
            "x-request-id": f"h2-{id(self):x}-{self.request_count}",
            "x-timeout-ms": "2000",
            **{name.replace("_", "-"): value for name, value in overrides.items()},
        }
        return [(name, value) for name, value in headers.items() if value is not None]

    def request(self, path="/look", method="GET", body=b"", **headers):
        """Send a request; return its stream id."""
        stream_id = self.h2.get_next_available_stream_id()
        self.h2.send_headers(stream_id, self.headers(path, method, **headers), end_stream=not body)
        if body:
            self.h2.send_data(stream_id, body, end_stream=True)
        self.flush()
        return stream_id

    async def request_with_large_body(self, path, method, body, **headers):
        """Send a request as the windows permit, until a response starts; return its stream id."""
        stream_id = self.h2.get_next_available_stream_id()
        self.h2.send_headers(stream_id, self.headers(path, method, **headers), end_stream=not body)
        self.flush()
        while body:
            await self.read(lambda: self._window(stream_id) > 0 or stream_id in self.statuses)
            size = min(16384, self._window(stream_id))
            if stream_id in self.statuses or not size:
                break
            self.h2.send_data(stream_id, body[:size], end_stream=size >= len(body))
            body = body[size:]
            self.flush()
        return stream_id

    def _window(self, stream_id):
        return self.h2.local_flow_control_window(stream_id)

    def reset(self, stream_id, code):
        self.h2.reset_stream(stream_id, code)
        self.flush()

    def open_window(self, stream_id, size):
        self.h2.increment_flow_control_window(size, stream_id)
        self.flush()

    def expect_response(self, stream_id):
        """Make the library accept a response to a request that the test sends as raw frames."""
        self.h2.initiate_connection()
        self.h2.data_to_send()
        stream = self.h2._begin_new_stream(stream_id, h2.connection.AllowedStreamIDs.ODD)
        stream.state_machine.state = h2.stream.StreamState.HALF_CLOSED_LOCAL
        stream.state_machine.client = True
        stream.state_machine.headers_sent = True
        self.h2.state_machine.state = h2.connection.ConnectionState.CLIENT_OPEN

    # Receiving.

    async def read(self, condition, timeout_s=10):
        """Read until ``condition()`` is true or the connection ends."""
        async with asyncio.timeout(timeout_s):
            while not condition() and not self.is_closed:
                data = await self.reader.read(READ_SIZE)
                try:
                    events = self.h2.receive_data(data) if data else None
                except h2.exceptions.ProtocolError:
                    events = None
                if events is None:
                    self.is_closed = True
                    return
                for event in events:
                    self._handle(event)
                self.flush()

    def _handle(self, event):
        match event:
            case h2.events.ResponseReceived():
                self.headers_received[event.stream_id] = headers = dict(event.headers)
                self.statuses[event.stream_id] = int(headers[":status"])
            case h2.events.DataReceived():
                body = self.bodies.get(event.stream_id, b"")
                self.bodies[event.stream_id] = body + event.data
                if self.replenishes_windows and event.flow_controlled_length:
                    self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            case h2.events.StreamEnded():
                self.ended.add(event.stream_id)
            case h2.events.StreamReset():
                self.reset_codes[event.stream_id] = event.error_code
            case h2.events.ConnectionTerminated():
                self.goaway = event

    async def response(self, stream_id):
        """Wait for the end of a stream; return its Response."""
        await self.read(
            lambda: (
                stream_id in self.ended
                or stream_id in self.reset_codes
                or (self.goaway and self.goaway.error_code)
            )
        )
        return Response(self.statuses.get(stream_id), self.bodies.get(stream_id, b""))

    async def connection_error(self):
        """Wait for the end of the connection; return the error code of its GOAWAY, or None."""
        await self.read(lambda: False)
        return self.goaway.error_code if self.goaway else None

    async def remaining_bytes(self):
        """Return all bytes up to the connection's end, undecoded.

        The library rejects every frame after a GOAWAY.
        """
        received = b""
        while data := await self.reader.read(READ_SIZE):
            received += data
        return received
