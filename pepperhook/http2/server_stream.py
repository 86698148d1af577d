"""One client's request and its response, on one stream."""

from __future__ import annotations

import asyncio
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING, cast

import h2.exceptions
from h2.errors import ErrorCodes
from multidict import CIMultiDict

from pepperhook.http2.protocol import OutgoingStream
from pepperhook.server.client_connections import MESSAGE_S
from pepperhook.server.http1_client import MAX_BODY_BYTES
from pepperhook.server.ingress import PLAIN_TEXT, RequestRefusedError

if TYPE_CHECKING:
    from h2.events import DataReceived, RequestReceived

    from pepperhook.domain import ServiceClass
    from pepperhook.http2.server import ServerConnection
    from pepperhook.server.messages import Header

WINDOW_TIMEOUT_S = 5  # in which a client opens a window for its response, or goes without
HEALTH_PATH = "/_health"


class ServerStream(OutgoingStream):
    """Collects a message, has it handled by the ingress, and writes the one final response."""

    __slots__ = (
        "connection",
        "headers",
        "method",
        "target",
        "body",
        "service_class",
        "is_complete",
        "is_refused",
        "is_reset",
        "is_answered",
        "deadline",
        "task",
    )

    def __init__(self, connection: ServerConnection, event: RequestReceived) -> None:
        """Read the head of a message."""
        super().__init__(event.stream_id)
        self.connection = connection
        headers: CIMultiDict[str] = CIMultiDict()
        self.headers = headers
        self.method = ""
        self.target = ""
        self.body = bytearray()
        self.service_class: ServiceClass | None = None  # once the head was accepted
        self.is_complete = False  # the whole message has come
        self.is_refused = False  # answered by an error, whatever still comes of the message
        self.is_reset = False  # the client wants no response any more
        self.is_answered = False  # the response was written to its end
        self.deadline = connection.loop.time() + MESSAGE_S  # for the rest of the message
        self.task: asyncio.Task[None] | None = None  # that makes or writes the response
        # The connection has a header encoding, so the library gives text.
        for name, value in cast("list[tuple[str, str]]", event.headers):
            if not name.startswith(":"):
                headers.add(name, value)
            elif name == ":method":
                self.method = value
            elif name == ":path":
                self.target = value

    # The message.

    def begin(self, event: RequestReceived) -> None:
        """Check the head, and respond at once where nothing more is needed."""
        path = self.target.partition("?")[0]
        if path == HEALTH_PATH and self.method == "GET":
            status, text = self.connection.ingress.health()
            self._begin_response(status, [("Content-Type", PLAIN_TEXT)], text.encode())
            return
        try:
            self._check_head(path, is_end_of_stream=event.stream_ended is not None)
        except RequestRefusedError as error:
            self.refuse(error)

    def _check_head(self, path: str, is_end_of_stream: bool) -> None:
        """Find the service class that the head asks for. Raises RequestRefusedError."""
        if self.connection.connections.is_crowded:
            raise RequestRefusedError(HTTPStatus.SERVICE_UNAVAILABLE, "too many connections")
        length = self.headers.get("Content-Length")
        has_body = not is_end_of_stream or bool(length and length != "0")
        self.service_class = self.connection.ingress.service_class(
            self.method, path, self.headers, has_body
        )
        if length is not None and length.isdecimal() and int(length) > MAX_BODY_BYTES:
            raise _body_too_large()

    def add_data(self, event: DataReceived) -> None:
        """Collect a part of the body; one that is too large is refused."""
        if self.is_refused:
            return
        if len(self.body) + len(event.data) > MAX_BODY_BYTES:
            self.body.clear()
            self.refuse(_body_too_large())
            return
        self.body += event.data

    def complete(self) -> None:
        """Begin to serve the request: the whole message has come."""
        self.is_complete = True
        if self.is_refused:
            return
        length = self.headers.get("Content-Length")
        if length is not None and length != str(len(self.body)):
            # RFC 9113, 8.1.1; the library would check only where there is data.
            self.connection.reset_stream(self.stream_id, ErrorCodes.PROTOCOL_ERROR)
            self.connection.remove_stream(self)
        elif self.task is None and self.service_class is not None:
            self.task = self.connection.loop.create_task(self._serve(self.service_class))
            self.task.add_done_callback(self._served)

    def refuse_if_late(self, now: float) -> None:
        """Refuse the message if it has not come whole in time."""
        is_incomplete = not (self.is_complete or self.is_refused or self.task)
        if is_incomplete and self.deadline < now:
            self.refuse(
                RequestRefusedError(
                    HTTPStatus.REQUEST_TIMEOUT, "the rest of the message did not come"
                )
            )

    def refuse(self, error: RequestRefusedError) -> None:
        """Respond before the message is complete; what still comes of it is discarded."""
        self.is_refused = True
        self.connection.ingress.count_refusal(error)
        self._begin_response(error.status, _headers_of(error), _body_of(error))

    def cancel(self) -> None:
        """Give the request up: its client has left, or the connection is over."""
        if self.task is not None:
            self.task.cancel()  # its callback removes the stream
        else:
            self.connection.remove_stream(self)

    # The response.

    async def _serve(self, service_class: ServiceClass) -> None:
        ingress = self.connection.ingress
        try:
            message = ingress.message(
                self.method,
                self.target,
                self.headers,
                bytes(self.body),
                self.connection.client_address,
                self.connection.is_client_waiting,
            )
            request = ingress.request(self.headers, service_class, 0)
            final_response = await ingress.handle(request, message)
        except RequestRefusedError as error:
            ingress.count_refusal(error)
            await self.write_response(error.status, _headers_of(error), _body_of(error))
            return
        status, headers, body = ingress.encode(final_response)
        await self.write_response(status, headers, body)

    def _served(self, task: asyncio.Task[None]) -> None:
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self.connection.log_fault(error)
            self.connection.reset_stream(self.stream_id, ErrorCodes.INTERNAL_ERROR)
        elif self.is_answered:
            # Not for a cancelled request: it would give back twice what its reset had cost.
            self.connection.abuse_budget.request_answered()
        self.connection.remove_stream(self)

    def _begin_response(self, status: int, headers: list[Header], body: bytes) -> None:
        """Write a response that needs no upstream."""
        self.task = self.connection.loop.create_task(self.write_response(status, headers, body))
        self.task.add_done_callback(partial(_remove, self))

    async def write_response(self, status: int, headers: list[Header], body: bytes) -> None:
        """Write the one final response, as the client opens its windows."""
        connection = self.connection
        if connection.is_over or self.is_reset:
            return
        block = [
            (":status", str(status)),
            ("content-length", str(len(body))),
            *((name.lower(), value) for name, value in headers),
        ]
        try:
            connection.h2.send_headers(self.stream_id, block, end_stream=not body)
            await self._write_body(body)
        except TimeoutError:
            connection.counters.add("h2 answers without window")
            connection.reset_stream(self.stream_id, ErrorCodes.CANCEL)
        except h2.exceptions.ProtocolError:
            return  # reset or ended meanwhile
        else:
            self.is_answered = True
        if not self.is_complete and not connection.is_over:
            # The client need not send the rest (RFC 9113, 8.1).
            connection.reset_stream(self.stream_id, ErrorCodes.NO_ERROR)
        connection.flush()

    async def _write_body(self, body: bytes) -> None:
        """Write a response's body. Raises TimeoutError where the client opens no window."""
        connection = self.connection
        rest = memoryview(body)
        while rest:
            sent = connection.h2.send_body_part(self.stream_id, rest)
            if sent:
                rest = rest[sent:]
                connection.flush()
            else:
                self.window_opened = connection.loop.create_future()
                connection.flush()
                async with asyncio.timeout(WINDOW_TIMEOUT_S):
                    await self.window_opened


def _remove(stream: ServerStream, _task: asyncio.Task[None]) -> None:
    stream.connection.remove_stream(stream)


def _headers_of(error: RequestRefusedError) -> list[Header]:
    return [("Content-Type", PLAIN_TEXT), *error.headers.items()]


def _body_of(error: RequestRefusedError) -> bytes:
    return f"{error}\n".encode()


def _body_too_large() -> RequestRefusedError:
    return RequestRefusedError(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"a body of at most {MAX_BODY_BYTES} bytes is wanted"
    )
