"""The HTTP/1.1 server: parses messages into requests, and writes final responses."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from pepperhook.server.client_connections import Connections
from pepperhook.server.http1_client import MAX_BODY_BYTES
from pepperhook.server.ingress import PLAIN_TEXT
from pepperhook.server.parsing_turns import SMALL_PART_BYTES
from pepperhook.server.refusal import RequestRefusedError

if TYPE_CHECKING:
    from pepperhook.server.config import Address
    from pepperhook.server.ingress import Ingress
    from pepperhook.server.memory_ledger import MemoryLedger
    from pepperhook.server.messages import RequestMessage
    from pepperhook.server.metrics import Counters
    from pepperhook.server.runtime import Runtime

NO_TIMEOUT_S = 10**6
FINAL_CLOSE_S = 0.1  # for connections that are still open after a graceful shutdown
CLOSE_CHECK_INTERVAL_S = 0.01
# Parsed bytes of a body that wait to be read. The library also derives from it how many chunks may
# wait, here 64: a chunk of two bytes takes 40 times its size.
READ_BUFFER_BYTES = 1024
RESPONSE_WRITE_TIMEOUT_S = 5  # for a client to read its response


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits on the number of client connections."""

    # Above it, the longest idle connections are closed, and each response closes its connection.
    soft: int
    hard: int  # at it, new connections wait to be accepted


class Http1Server:
    """The listener for clients; also for HTTP/2 if that is enabled."""

    def __init__(
        self,
        runtime: Runtime,
        counters: Counters,
        ingress: Ingress,
        listen: Address,
        limits: ConnectionLimits,
        ledger: MemoryLedger,
    ) -> None:
        """Prepare to listen on ``listen``; ``open`` starts to."""
        self.runtime = runtime
        self.counters = counters
        self.ingress = ingress
        self.listen = listen
        self.is_shutting_down = False
        self.address: Address | None = None  # the bound address
        # Connections has its own timeouts, as aiohttp's do not limit the time for a head or a body.
        self.server = Connections(
            self._serve,
            self._serve_unreadable,
            counters,
            limits.soft,
            limits.hard,
            self._make_request,
            ledger,
            ingress.log,
            access_log=None,
            keepalive_timeout=NO_TIMEOUT_S,
            lingering_time=0,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
        )

    def enable_http2(self, max_streams: int) -> None:
        """Detect the protocol of each new connection from now on."""
        # Imported only if it is enabled.
        from pepperhook.http2.protocol_detection import ProtocolDetector
        from pepperhook.http2.request_turns import RequestTurns
        from pepperhook.http2.server import ServerConnection

        request_turns = RequestTurns(self.runtime.loop)

        def make_http2(waited_s: float) -> ServerConnection:
            return ServerConnection(
                self.server,
                self.ingress,
                self.counters,
                max_streams,
                request_turns,
                waited_s,
                is_shutting_down=lambda: self.is_shutting_down,
            )

        def make_detector(make_http1: Any, waited_s: float) -> ProtocolDetector:
            return ProtocolDetector(self.server, make_http1, partial(make_http2, waited_s))

        self.server.detect_protocol = make_detector

    def _make_request(
        self, message: Any, payload: Any, protocol: Any, writer: Any, task: Any
    ) -> web.BaseRequest:
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            self.runtime.loop,
            client_max_size=MAX_BODY_BYTES,
        )

    def open(self) -> None:
        """Start to listen."""
        self.address = self.server.listen(self.listen)

    async def _serve(
        self, request: Any, refusal: RequestRefusedError | None = None
    ) -> web.StreamResponse:
        connection = request.protocol
        self.server.request_begun(connection, is_complete=request.content.is_eof())
        try:
            response = self._refuse(refusal) if refusal else await self._handle(request)
            if self.is_shutting_down or self.server.is_full_without_unused:
                response.force_close()
            if refusal or connection.is_pipelined or not request.content.is_eof():
                response.force_close()
            # Written here, so that the connection does not count as idle before that.
            with suppress(ConnectionError):
                await self._write(request, response)
            if not response.keep_alive:
                await self.server.retire_and_wait(connection)
            return response
        finally:
            self.server.request_done(connection)

    async def _write(self, request: Any, response: web.Response) -> None:
        try:
            async with asyncio.timeout(RESPONSE_WRITE_TIMEOUT_S):
                await response.prepare(request)
                await response.write_eof()
        except TimeoutError:
            # A client that does not read must not hold its connection and its response forever.
            self.counters.add("answers not read")
            if request.transport is not None:
                request.transport.abort()

    async def _serve_unreadable(self, text: str, request: Any) -> web.StreamResponse:
        reason = text.partition("\n")[0].strip(" :") or "no HTTP"
        return await self._serve(request, RequestRefusedError(HTTPStatus.BAD_REQUEST, reason))

    async def _handle(self, request: Any) -> web.Response:
        own_page = self.ingress.own_page(request.method, request.path)
        if own_page is not None:
            return _plain_response(*own_page)
        try:
            return await self._forward(request)
        except RequestRefusedError as error:
            return self._refuse(error)

    async def _forward(self, request: Any) -> web.Response:
        self.server.check_busy()
        if request.protocol.is_pipelined:
            raise RequestRefusedError(
                HTTPStatus.BAD_REQUEST, "one message at a time is wanted on a connection"
            )
        headers = request.headers
        is_origin_form = request.raw_path.startswith("/")
        service_class = self.ingress.service_class(
            request.method,
            request.raw_path if is_origin_form else request.rel_url.raw_path,
            headers,
            bool(request.content_length or "Transfer-Encoding" in headers),
        )
        if headers.get("Transfer-Encoding", "chunked").lower() != "chunked":
            raise RequestRefusedError(
                HTTPStatus.BAD_REQUEST, "Transfer-Encoding: only chunked is known here"
            )
        message = await self._read_message(request)
        self.server.message_received(request.protocol)
        if self.server.ledger.is_exceeded:
            raise RequestRefusedError(HTTPStatus.SERVICE_UNAVAILABLE, "too little memory")
        waited_s = request.protocol.waited_s
        request.protocol.waited_s = 0
        accepted = self.ingress.request(headers, service_class, waited_s)
        final_response = await self.ingress.handle(accepted, message)
        status, response_headers, body = self.ingress.encode(final_response)
        response = web.Response(status=status, body=body)
        for name, value in response_headers:
            response.headers.add(name, value.to_library())
        return response

    def _refuse(self, error: RequestRefusedError) -> web.Response:
        self.ingress.count_refusal(error)
        response = _plain_response(error.status, f"{error}\n")
        response.headers.update(error.headers)
        response.force_close()
        return response

    async def _read_message(self, request: Any) -> RequestMessage:
        """Read the whole message. Raises RequestRefusedError if it times out or is malformed."""
        body = await self._read_body(request)
        target = request.raw_path
        if not target.startswith("/"):
            target = request.rel_url.raw_path_qs  # without the authority
        return self.ingress.message(
            request.method,
            target,
            request.headers,
            body,
            request.remote,
            request.protocol.is_client_waiting,
        )

    async def _read_body(self, request: Any) -> bytes:
        try:
            if (request.content_length or 0) > MAX_BODY_BYTES:
                raise web.HTTPRequestEntityTooLarge(MAX_BODY_BYTES, request.content_length)
            if request.headers.get("Expect", "").lower() == "100-continue":
                await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                request.writer.output_size = 0
            async with asyncio.timeout_at(request.protocol.expires_at):
                body = await self._read_parts(request)
        except web.HTTPRequestEntityTooLarge as error:
            raise RequestRefusedError(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f"a body of at most {MAX_BODY_BYTES} bytes is wanted",
            ) from error
        except TimeoutError as error:
            raise RequestRefusedError(
                HTTPStatus.REQUEST_TIMEOUT, "the rest of the message did not come"
            ) from error
        except (web.RequestPayloadError, HttpProcessingError) as error:
            # The library keeps this error, and its traceback would keep the body.
            error.__traceback__ = None
            raise RequestRefusedError(HTTPStatus.BAD_REQUEST, "the body can't be read") from error
        return body

    async def _read_parts(self, request: Any) -> bytes:
        body = bytearray()
        small_reads = 0
        while (part := await request.content.readany()) and not request.protocol.is_shed:
            body += part
            if len(body) > MAX_BODY_BYTES:
                raise web.HTTPRequestEntityTooLarge(MAX_BODY_BYTES, len(body))
            small_reads += len(part) < SMALL_PART_BYTES
            await self.server.turns.wait(request.protocol, small_reads)
        if request.protocol.is_shed:
            raise RequestRefusedError(HTTPStatus.SERVICE_UNAVAILABLE, "too many requests at once")
        return bytes(body)

    async def close(self, accept_s: float, within_s: float) -> None:
        """Accept for another ``accept_s``, answer accepted requests, then close all connections.

        ``within_s``: for the answers, after ``accept_s``.
        """
        self.is_shutting_down = True
        self.ingress.begin_shutdown(accept_s + within_s)
        self.server.go_away()
        await asyncio.sleep(accept_s)
        loop = self.runtime.loop
        deadline = loop.time() + within_s
        while (not self.server.stop() or self.server.count) and loop.time() < deadline:
            self.server.close_idle_connections()
            await asyncio.sleep(CLOSE_CHECK_INTERVAL_S)
        # Incomplete messages, and clients that do not read their response, get no more time.
        self.server.stop(at_once=True)
        await self.server.shutdown(FINAL_CLOSE_S)


def _plain_response(status: int, text: str) -> web.Response:
    headers = {"Content-Type": PLAIN_TEXT.to_library()}
    return web.Response(status=status, body=text.encode(), headers=headers)
