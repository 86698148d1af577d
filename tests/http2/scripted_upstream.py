"""An HTTP/2 upstream that tests control down to single frames."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass

import h2.config
import h2.connection
import h2.events
import h2.exceptions
import h2.settings

from tests.http2.scripted_client import READ_SIZE, serialize


@dataclass
class ReceivedRequest:
    """A request; complete when the script is called with it."""

    stream_id: int
    headers: dict
    body: bytes = b""

    @property
    def id(self):
        return self.headers["x-request-id"]


class ScriptedUpstream:
    """An upstream on loopback.

    ``script(connection, request)``, a function or coroutine function, is called for each request.
    The default script responds with status 200.
    """

    def __init__(self, script=None, settings=None):
        self.script = script or respond_ok
        self.settings = settings
        self.requests = []
        self.connections = []
        self.reset_codes = []
        self.pings = 0
        self.tasks = set()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *_):
        self.server.close()
        for connection in self.connections:
            connection.abort()
        for task in self.tasks:
            task.cancel()

    async def _serve(self, reader, writer):
        connection = UpstreamConnection(self, reader, writer)
        self.connections.append(connection)
        try:
            with suppress(ConnectionError, h2.exceptions.ProtocolError):
                await connection.run()
        finally:
            writer.close()

    def run_script(self, connection, request):
        self.requests.append(request)
        result = self.script(connection, request)
        if asyncio.iscoroutine(result):
            task = asyncio.get_running_loop().create_task(result)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)


class UpstreamConnection:
    """One connection from a balancer."""

    def __init__(self, upstream, reader, writer):
        self.upstream = upstream
        self.reader = reader
        self.writer = writer
        self.ignores_input = False  # whether to read data without processing it
        self.replenishes_windows = True  # if False, bodies are dropped as well
        self.open_requests = 0  # maintained only by scripts that need it
        self.h2 = h2.connection.H2Connection(
            h2.config.H2Configuration(
                client_side=False, header_encoding="utf-8", validate_outbound_headers=False
            )
        )
        self.requests = {}  # by stream id

    async def run(self):
        if self.upstream.settings:
            self.h2.local_settings = h2.settings.Settings(
                client=False, initial_values=self.upstream.settings
            )
        self.h2.initiate_connection()
        self.flush()
        while data := await self.reader.read(READ_SIZE):
            if self.ignores_input:
                continue
            for event in self.h2.receive_data(data):
                self._handle(event)
            self.flush()

    def _handle(self, event):
        match event:
            case h2.events.RequestReceived():
                request = ReceivedRequest(event.stream_id, dict(event.headers))
                self.requests[event.stream_id] = request
            case h2.events.DataReceived() if self.replenishes_windows:
                if event.stream_id in self.requests:
                    self.requests[event.stream_id].body += event.data
                    self.h2.acknowledge_received_data(event.flow_controlled_length, event.stream_id)
            case h2.events.StreamEnded():
                self.upstream.run_script(self, self.requests[event.stream_id])
            case h2.events.StreamReset():
                self.upstream.reset_codes.append(event.error_code)
            case h2.events.PingReceived():
                self.upstream.pings += 1

    def respond(self, request, status=200, body=b"done", end_stream=True, **headers):
        """Send a response; the stream stays open if ``end_stream`` is False."""
        head = [
            (":status", str(status)),
            *((name.replace("_", "-"), value) for name, value in headers.items()),
        ]
        self.h2.send_headers(request.stream_id, head, end_stream=end_stream and not body)
        if body:
            self.h2.send_data(request.stream_id, body, end_stream=end_stream)
        self.flush()

    def flush(self):
        if not self.writer.is_closing():
            self.writer.write(self.h2.data_to_send())

    def send(self, *frames):
        """Send frames, or bytes, without checks."""
        self.writer.write(serialize(frames))

    def close(self):
        self.writer.close()

    def abort(self):
        self.writer.transport.abort()


def respond_ok(connection, request):
    """Script that responds to each request with status 200."""
    connection.respond(request)


def never_respond(_connection, _request):
    """Script that sends no response."""
