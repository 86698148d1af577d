"""One client request and its response, on one HTTP/2 stream."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING

import h2.exceptions
from h2.errors import ErrorCodes
from multidict import CIMultiDict

from pepperhook.http2.protocol import OutgoingStream
from pepperhook.server.client_connection import MESSAGE_TIMEOUT_S
from pepperhook.server.field_value import FieldValue
from pepperhook.server.http1_client import MAX_BODY_BYTES
from pepperhook.server.ingress import PLAIN_TEXT
from pepperhook.server.memory_ledger import STREAM_BYTES, message_bytes
from pepperhook.server.messages import FinalResponse, ResponseKind
from pepperhook.server.refusal import RequestRefusedError

if TYPE_CHECKING:
    from h2.events import DataReceived, RequestReceived

    from pepperhook.domain import Request, ServiceClass
    from pepperhook.http2.server import ServerConnection
    from pepperhook.server.messages import Header

WINDOW_TIMEOUT_S = 5  # maximum wait for the client to open a window for its response


class ServerStream(OutgoingStream):
    """Receives a request, passes it to the ingress, and writes the one final response."""

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
        "is_response_begun",
        "is_answered",
        "deadline",
        "task",
        "waited_s",
    )

    def __init__(
        self, connection: ServerConnection, stream_id: int, headers: Iterable[tuple[str, str]]
    ) -> None:
        """Read the headers of the request; ``headers``: text of the library, as in aiohttp."""
        super().__init__(stream_id)
        self.connection = connection
        self.waited_s = connection.waited_s
        self.headers: CIMultiDict[str] = CIMultiDict()
        self.method = ""
        self.target = ""
        self.body = bytearray()
        self.service_class: ServiceClass | None = None  # set once the headers are accepted
        self.is_complete = False  # the whole request was received
        self.is_refused = False  # answered with an error; the rest of the request is discarded
        self.is_reset = False  # by the client, or for a stream error
        self.is_response_begun = False  # its headers were written
        self.is_answered = False  # the whole response was written
        # By when the whole request must be received, in the event loop's time.
        self.deadline = connection.loop.time() + MESSAGE_TIMEOUT_S
        # Serves the request, or writes a response of the balancer itself.
        self.task: asyncio.Task[None] | None = None
        for name, value in headers:
            if not name.startswith(":"):
                self.headers.add(name, value)
            elif name == ":method":
                self.method = value
            elif name == ":path":
                self.target = value

    # The request.

    def handle_headers(self, event: RequestReceived) -> None:
        """Check the headers; respond immediately to a health check or an invalid request."""
        path = self.target.partition("?")[0]
        own_page = self.connection.ingress.own_page(self.method, path)
        if own_page is not None:
            status, text = own_page
            self._start_own_response(status, [("Content-Type", PLAIN_TEXT)], text.encode())
            return
        try:
            self._check_head(path, is_end_of_stream=event.stream_ended is not None)
        except RequestRefusedError as error:
            self.refuse(error)

    def _check_head(self, path: str, is_end_of_stream: bool) -> None:
        """Check the headers and set the service class. Raises RequestRefusedError."""
        self.connection.connections.check_busy()
        length = self.headers.get("Content-Length")
        if length is not None and not (length.isascii() and length.isdecimal()):
            raise RequestRefusedError(
                HTTPStatus.BAD_REQUEST, "Content-Length: a whole number is wanted"
            )
        has_body = not is_end_of_stream or bool(length and length != "0")
        self.service_class = self.connection.ingress.service_class(
            self.method, path, self.headers, has_body
        )
        if length is not None and int(length) > MAX_BODY_BYTES:
            raise _body_too_large_error()

    def handle_invalid_field(self, reason: str) -> None:
        """Refuse a request whose headers or trailers have an invalid field."""
        if self.task is None:
            self.refuse(RequestRefusedError(HTTPStatus.BAD_REQUEST, reason))

    def add_data(self, event: DataReceived) -> None:
        """Append a part of the body, and refuse the request if the body is too large."""
        if self.is_refused:
            return
        if len(self.body) + len(event.data) > MAX_BODY_BYTES:
            self.refuse(_body_too_large_error())
            return
        self.body += event.data
        self.connection.connections.message_grew(self)

    @property
    def is_unfinished(self) -> bool:
        """Whether the request is not complete."""
        return not (self.is_complete or self.is_refused)

    def held_bytes(self) -> int:
        """Return what the request holds in memory."""
        head = sum(len(name) + len(value) for name, value in self.headers.items())
        return STREAM_BYTES + message_bytes(head, len(self.headers), len(self.body))

    def shed(self) -> None:
        """Refuse the unfinished request, and free what was received of it."""
        self.refuse(
            RequestRefusedError(HTTPStatus.SERVICE_UNAVAILABLE, "too many requests at once")
        )

    def complete(self) -> None:
        """Start to serve the request, which was received completely."""
        self.is_complete = True
        if self.is_refused:
            return
        self.connection.connections.message_grew(self)
        length = self.headers.get("Content-Length")
        if length is not None and length != str(len(self.body)):
            # RFC 9113, 8.1.1. The library would check this only for a request with DATA frames.
            self.connection.reset_stream(self.stream_id, ErrorCodes.PROTOCOL_ERROR)
            self.connection.remove_stream(self)
        elif self.task is None and self.service_class is not None:
            self.task = self.connection.loop.create_task(self._serve(self.service_class))
            self.task.add_done_callback(self._on_serve_done)

    def refuse_if_late(self, now: float) -> None:
        """Refuse the request if it was not completely received by its deadline."""
        is_incomplete = not (self.is_complete or self.is_refused or self.task)
        if is_incomplete and self.deadline < now:
            self.refuse(
                RequestRefusedError(
                    HTTPStatus.REQUEST_TIMEOUT, "the rest of the message did not come"
                )
            )

    def refuse(self, error: RequestRefusedError) -> None:
        """Respond with an error, and discard what is still received of the request."""
        self.is_refused = True
        self.body.clear()
        self.connection.ingress.count_refusal(error)
        self._start_own_response(error.status, _error_headers(error), _error_body(error))

    def cancel(self) -> None:
        """Cancel the request: its stream was reset, or the connection is closing or lost."""
        if self.task is not None:
            self.task.cancel()  # the task's callback removes the stream
        else:
            self.connection.remove_stream(self)

    # The response.

    async def _serve(self, service_class: ServiceClass) -> None:
        ingress = self.connection.ingress
        try:
            if self.connection.connections.ledger.is_exceeded:
                raise RequestRefusedError(HTTPStatus.SERVICE_UNAVAILABLE, "too little memory")
            message = ingress.message(
                self.method,
                self.target,
                self.headers,
                bytes(self.body),
                self.connection.client_address,
                self.connection.is_client_waiting,
            )
            message.client_reads_utf8_only = True
            request = ingress.request(
                self.headers, service_class, self.waited_s, self.connection.number
            )
            await self._wait_for_turn(request)
            final_response = await ingress.handle(request, message)
        except RequestRefusedError as error:
            ingress.count_refusal(error)
            await self.write_response(error.status, _error_headers(error), _error_body(error))
            return
        await self.write_response(*ingress.encode(final_response))

    async def _wait_for_turn(self, request: Request) -> None:
        connection = self.connection
        deadline_s = connection.ingress.runtime.loop_time(request.deadline)
        await connection.request_turns.wait(connection, connection.streams, deadline_s)

    def _on_serve_done(self, task: asyncio.Task[None]) -> None:
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._handle_fault(error)
            return
        if self.is_answered:
            # A cancelled request does not refill the credit: the refill is twice the cost of its
            # reset.
            self.connection.abuse_budget.request_answered()
        self.connection.remove_stream(self)

    def _handle_fault(self, error: BaseException) -> None:
        """Answer a request that a defect has ended as failed, since it may have run."""
        self.connection.log_fault(error)
        if self.is_response_begun:
            self.connection.reset_stream(self.stream_id, ErrorCodes.INTERNAL_ERROR)
            self.connection.remove_stream(self)
            return
        failed = FinalResponse(ResponseKind.FAILED)
        self._start_own_response(*self.connection.ingress.encode(failed))

    def _start_own_response(self, status: int, headers: list[Header], body: bytes) -> None:
        """Start a task that writes a response of the balancer itself: health check or error."""
        self.task = self.connection.loop.create_task(self.write_response(status, headers, body))
        self.task.add_done_callback(partial(_remove_stream, self))

    async def write_response(self, status: int, headers: list[Header], body: bytes) -> None:
        """Write the one final response as the client's flow-control windows permit."""
        connection = self.connection
        if connection.is_closed or self.is_reset:
            return
        head: list[tuple[str, str | bytes]] = [
            (":status", str(status)),
            ("content-length", str(len(body))),
            *((name.lower(), value.octets) for name, value in headers),
        ]
        try:
            connection.h2.send_headers(self.stream_id, head, end_stream=not body)
            self.is_response_begun = True
            await self._write_body(body)
        except TimeoutError:
            # Counts responses given up because the client opened no window in time.
            connection.counters.add("h2 answers without window")
            connection.reset_stream(self.stream_id, ErrorCodes.CANCEL)
        except h2.exceptions.ProtocolError:
            return  # the stream was reset or ended in the meantime
        else:
            self.is_answered = True
        if not self.is_complete and not connection.is_closed:
            # Tells the client not to send the rest of its request (RFC 9113, 8.1).
            connection.reset_stream(self.stream_id, ErrorCodes.NO_ERROR)
        connection.flush()

    async def _write_body(self, body: bytes) -> None:
        """Write the body.

        Raises TimeoutError if the client opens no window in WINDOW_TIMEOUT_S, or if another request
        needs the stream in the meantime.
        """
        connection = self.connection
        window_waiters = connection.connections.window_waiters
        remaining = memoryview(body)
        try:
            while remaining:
                sent = connection.h2.send_body_part(self.stream_id, remaining)
                if sent:
                    remaining = remaining[sent:]
                    connection.flush()
                else:
                    # Keeps its place: a small window is no reason to go behind other responses.
                    window_waiters.setdefault(self)
                    await self._wait_for_window()
        finally:
            window_waiters.pop(self, None)

    async def _wait_for_window(self) -> None:
        self.window_opened = self.connection.loop.create_future()
        self.connection.flush()
        async with asyncio.timeout(WINDOW_TIMEOUT_S):
            await self.window_opened

    def give_up(self) -> bool:
        """Give up a response that waits for its client's window; return whether it did wait."""
        if self.window_opened is None or self.window_opened.done():
            return False
        self.window_opened.set_exception(TimeoutError("another request needs the stream"))
        connections = self.connection.connections
        connections.window_waiters.pop(self, None)
        connections.streams.discard(self)
        return True


def _remove_stream(stream: ServerStream, _task: asyncio.Task[None]) -> None:
    stream.connection.remove_stream(stream)


def _error_headers(error: RequestRefusedError) -> list[Header]:
    own_headers = [(name, FieldValue.ascii(text)) for name, text in error.headers.items()]
    return [("Content-Type", PLAIN_TEXT), *own_headers]


def _error_body(error: RequestRefusedError) -> bytes:
    return f"{error}\n".encode()


def _body_too_large_error() -> RequestRefusedError:
    return RequestRefusedError(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"a body of at most {MAX_BODY_BYTES} bytes is wanted"
    )
