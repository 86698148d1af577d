"""Sends HTTP/1.1 requests: each once, with one response or one typed error.

It keeps the library, aiohttp, from retrying requests by itself, and from taking a response as that
to another request.
"""

import asyncio
import select
from collections.abc import Awaitable, Callable
from functools import partial
from math import inf
from typing import Any, TypeVar

import aiohttp
from aiohttp.client_proto import ResponseHandler
from yarl import URL

from pepperhook.server import http1_writer
from pepperhook.server.attempt_errors import (
    AttemptError,
    AttemptTimeoutError,
    ConnectFailedError,
    ConnectionLostError,
    ConnectTimeoutError,
    MalformedResponseError,
    SendForbiddenError,
    SocketLimitError,
    StaleConnectionError,
)
from pepperhook.server.bounded_reads import BoundedReads
from pepperhook.server.messages import Header

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 64 * 1024  # of a response; the library allows 128 fields of 8 KB
MAX_STALE_CONNECTIONS = 20  # tried in a row for one request
REUSE_DELAY_S = (
    0.01  # minimum time from the end of a response to the next request on its connection
)
# The library rounds timeouts above this threshold up, by default above five seconds; then
# timeouts would end late.
CEIL_THRESHOLD_S = 10**9
SWITCHING_PROTOCOLS = 101
MIN_FINAL_STATUS = 200
HEAD_END = b"\r\n\r\n"

Result = TypeVar("Result")

http1_writer.use_head_writer()

# Typed errors for those of the library; the first match counts. ClientResponseError means a
# malformed response on an intact connection; a lost one raises other errors, or sets a cause.
LIBRARY_ERRORS: tuple[tuple[type[Exception], type[AttemptError]], ...] = (
    (aiohttp.ConnectionTimeoutError, ConnectTimeoutError),
    (aiohttp.ClientConnectorError, ConnectFailedError),
    (TimeoutError, AttemptTimeoutError),
    (aiohttp.ClientResponseError, MalformedResponseError),
    (aiohttp.ClientError, ConnectionLostError),
    (OSError, ConnectionLostError),
)


def _attempt_error(error: Exception) -> AttemptError:
    """Return the typed error for an error of the library."""
    cause = error.__cause__
    if isinstance(error, aiohttp.ClientConnectorError) and isinstance(cause, SocketLimitError):
        return SocketLimitError(*cause.args)
    for library_class, error_class in LIBRARY_ERRORS:
        if isinstance(error, library_class):
            return error_class(str(error))
    raise TypeError(f"{type(error).__name__} is not an error of aiohttp") from error


class ResponseReader(BoundedReads, ResponseHandler):  # type: ignore[misc]  # as asyncio.Protocol
    """Reads exactly one response for each request, within a timeout.

    The library's parser discards a valid response if invalid bytes follow it in the same read, and
    takes a second response as that to the next request. So it is given one head or body at a time,
    and nothing beyond the end of the response.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, read_timeout_s: float | None) -> None:
        """Create the reader of one connection; ``read_timeout_s``: None for no timeout."""
        super().__init__(loop)
        self.read_timeout_s = read_timeout_s
        self.read_timer: asyncio.TimerHandle | None = None
        self.completed_at = 0.0  # end of the last response, in the loop's time
        self.body: Any = None  # the library's reader of the response's body
        # Bytes of the body still to be received; None before the head is read, inf if unknown.
        self.remaining: float | None = 0
        self.head_tail = b""  # last bytes of an incomplete head, which may begin HEAD_END
        self.is_head_begun = False
        self.head_bytes = 0  # received of a head

    def set_response_params(self, **params: Any) -> None:
        """Expect a response: a request is about to be written."""
        self.body = None
        self.remaining = None
        self.head_tail = b""
        self.is_head_begun = False
        self.head_bytes = 0
        super().set_response_params(**params)

    @property
    def is_complete(self) -> bool:
        """Whether the whole response has been read."""
        return self.remaining == 0 or (self.body is not None and self.body.is_eof())

    def data_received(self, data: bytes) -> None:
        """Pass the bytes of the response to the parser; close the connection if others follow."""
        if not data:
            super().data_received(data)  # the library resumes parsing after a pause of reading
        surplus = self._parse(data)
        if self.exception() is not None and self.body is not None and not self.body.is_eof():
            # Otherwise the error would look like a lost connection.
            self.body.set_exception(MalformedResponseError("the body cannot be parsed"))
        if surplus and self.transport is not None:
            # Further bytes belong to no request, and would be mixed up with later responses.
            self.force_close()
            self.transport.close()
        self._update_read_timer()

    def _parse(self, data: bytes) -> bytes:
        """Parse piece by piece; return the bytes after the end of the response."""
        while data and not self.is_complete and self.exception() is None:
            piece = data[: self._piece_size(data)]
            data = data[len(piece) :]
            if self.remaining is not None:
                self.remaining -= len(piece)
            else:
                self.head_bytes += len(piece)
                if self.head_bytes > MAX_HEAD_BYTES:
                    self.set_exception(MalformedResponseError("the head is too long"))
                    break
            self.head_tail = (self.head_tail + piece)[-(len(HEAD_END) - 1) :]
            self.is_head_begun = True
            super().data_received(piece)
            if self.is_complete:
                self.completed_at = self._loop.time()
        return data

    def cancel_request(self) -> None:
        """Expect no response: the request is not written after all."""
        self.body = None
        self.remaining = 0

    def _piece_size(self, data: bytes) -> int:
        """Return the number of bytes up to the end of the head or body being read."""
        if self.remaining is not None:
            return int(min(self.remaining, len(data)))
        end = (self.head_tail + data).find(HEAD_END)
        return len(data) if end < 0 else end + len(HEAD_END) - len(self.head_tail)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Read the length of the body from a head that the parser has completed."""
        message, payload = data
        self.head_tail = b""
        self.is_head_begun = False
        if message.code >= MIN_FINAL_STATUS or message.code == SWITCHING_PROTOCOLS:
            length = message.headers.get("Content-Length")
            self.body = payload
            self.remaining = inf if length is None else int(length)
        super().feed_data(data, size)

    def _update_read_timer(self) -> None:
        """Limit the time for a response that has begun, so that it cannot stall its attempt."""
        is_begun = not self.is_complete and (self.is_head_begun or self.remaining is not None)
        if self.read_timer is None and is_begun and self.read_timeout_s is not None:
            self.read_timer = self._loop.call_later(self.read_timeout_s, self._read_timed_out)
        elif self.read_timer is not None and not is_begun:
            self._cancel_read_timer()

    def _read_timed_out(self) -> None:
        self.read_timer = None
        error = MalformedResponseError("the rest of the response did not arrive")
        if self.body is not None:
            self.body.set_exception(error)
        self.set_exception(error)

    def _cancel_read_timer(self) -> None:
        if self.read_timer is not None:
            self.read_timer.cancel()
            self.read_timer = None

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the timer of a lost connection."""
        self._cancel_read_timer()
        super().connection_lost(exc)


class Connector(aiohttp.TCPConnector):
    """Opens connections that read responses with ResponseReader."""

    def __init__(self, read_timeout_s: float | None, **options: Any) -> None:
        """``options``: those of aiohttp.TCPConnector."""
        super().__init__(use_dns_cache=False, **options)
        self._factory: Any = partial(ResponseReader, self._loop, read_timeout_s)


class Request(aiohttp.ClientRequest):
    """A request that is sent only on a connection without unsolicited data.

    The library takes data that arrived on an idle connection as the response to the next request,
    so one client would get another's response. The check also finds an unread FIN.

    This is the only place that writes to an upstream, so it makes the last check before the first
    byte, ``may_write``: connecting takes time, in which the upstream may have started to drain or
    the client may have left.
    """

    may_write: Callable[[], bool] | None = None

    async def send(self, conn: Any) -> aiohttp.ClientResponse:
        """Write the request. Raises StaleConnectionError or SendForbiddenError before that."""
        # A second response that arrives some milliseconds after the first must not be taken as that
        # to the next request.
        delay_s = conn.protocol.completed_at + REUSE_DELAY_S - self.loop.time()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        if (
            conn.transport is None
            or conn.protocol.should_close
            or conn.protocol.is_head_begun
            or has_unread_data(conn.transport)
        ):
            raise StaleConnectionError("unsolicited data or FIN on the connection")
        if self.may_write is not None and not self.may_write():
            conn.protocol.cancel_request()
            conn.release()  # nothing was written, so it can be reused
            raise SendForbiddenError
        return await super().send(conn)


def _is_ready(transport: Any, events: int) -> bool:
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), events)
    return bool(poll.poll(0))


def has_unread_data(transport: Any) -> bool:
    """Whether the socket holds unread data or an unread end of file (FIN)."""
    return not transport.is_closing() and _is_ready(transport, select.POLLIN)


def is_closed_by_peer(transport: Any) -> bool:
    """Whether the peer has closed its sending side or reset, even if unread data precedes that."""
    return bool(transport.is_closing()) or _is_ready(transport, select.POLLRDHUP)


async def _send_once(
    may_write: Callable[[], bool] | None,
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Keep the library from retrying a GET by itself when a reused connection is lost.

    Such retries would not be counted as attempts. The library retries after the errors caught here,
    so they are replaced by types that it does not know.
    """
    request.may_write = may_write  # type: ignore[attr-defined]  # the session makes a Request
    try:
        return await handler(request)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except aiohttp.ClientConnectionResetError as error:
        # Raised if the transport was already closing before a request without a body, which is
        # written in one piece. With a body, of which a part may have been sent, the library raises
        # another error.
        raise StaleConnectionError(str(error)) from error
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(str(error)) from error


async def retry_stale_connections(
    exchange: Callable[[], Awaitable[Result]], max_connections: int = MAX_STALE_CONNECTIONS
) -> Result:
    """Run ``exchange`` until its connection is not stale, on up to ``max_connections``.

    Nothing is sent on stale ones.
    """
    for _ in range(max_connections):
        try:
            return await exchange()
        except StaleConnectionError:
            continue
    raise StaleConnectionError(f"{max_connections} connections in a row were stale")


def make_session(read_timeout_s: float | None = None, **connections: Any) -> aiohttp.ClientSession:
    """Create a session that sends requests unchanged.

    It adds no redirects, cookies, proxies, decompression, quoting or headers.

    ``read_timeout_s``: how long a response may take from its first byte to its last.
    """
    return aiohttp.ClientSession(
        connector=Connector(read_timeout_s, **connections),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trust_env=False,
        requote_redirect_url=False,
        middlewares=(partial(_send_once, None),),
        request_class=Request,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
    )


def make_timeout(total_s: float, connect_s: float | None = None) -> aiohttp.ClientTimeout:
    """Return timeouts, in seconds, that the library does not round up."""
    return aiohttp.ClientTimeout(total=total_s, connect=connect_s, ceil_threshold=CEIL_THRESHOLD_S)


def _has_known_end(response: aiohttp.ClientResponse) -> bool:
    """Whether the end of the response can be determined, by Content-Length or chunks."""
    return response.content_length is not None or (
        "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    )


async def read_body(response: aiohttp.ClientResponse, max_bytes: int = MAX_BODY_BYTES) -> bytes:
    """Read the whole body. Raises MalformedResponseError above ``max_bytes``."""
    # The connection of a partly read response is closed, not reused.
    if (response.content_length or 0) > max_bytes:
        raise MalformedResponseError(f"over {max_bytes} bytes")
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            raise MalformedResponseError(f"over {max_bytes} bytes")
    return bytes(body)


async def exchange(
    session: aiohttp.ClientSession,
    method: str,
    url: URL | str,
    read: Callable[[aiohttp.ClientResponse], Awaitable[Result]],
    **options: Any,
) -> Result:
    """Send one request and return the result of ``read(response)``. Raises AttemptError.

    All requests are sent here, so this converts the errors of the library to typed ones.
    """
    try:
        async with session.request(method, url, allow_redirects=False, **options) as response:
            return await read(response)
    except AttemptError:
        raise
    except (aiohttp.ClientError, OSError) as error:
        raise _attempt_error(error) from error


async def _read_response(response: aiohttp.ClientResponse) -> tuple[int, Any, bytes]:
    body = await read_body(response)
    if response.status == MIN_FINAL_STATUS and not _has_known_end(response):
        raise MalformedResponseError("the response has neither a Content-Length nor chunks")
    return response.status, response.headers, body


class Http1Client:
    """The connections to one server; they are not shared with other servers."""

    def __init__(
        self, address: str, connect_timeout_s: float, session: aiohttp.ClientSession
    ) -> None:
        """Take over ``session``, which must be used for ``address`` only."""
        self.address = address
        self.connect_timeout_s = connect_timeout_s
        self.session = session

    async def request(
        self,
        method: str,
        target: str,
        headers: list[Header],
        body: bytes,
        timeout_s: float,
        may_write: Callable[[], bool] | None = None,
    ) -> tuple[int, Any, bytes]:
        """Send one request; return status, headers and body of the response. Raises AttemptError.

        ``may_write`` is called just before the first byte; SendForbiddenError if it returns False.
        """
        return await exchange(
            self.session,
            method,
            URL(f"http://{self.address}{target}", encoded=True),
            _read_response,
            headers=[(name, value.to_library()) for name, value in headers],
            data=body or None,
            timeout=make_timeout(timeout_s, self.connect_timeout_s),
            middlewares=(partial(_send_once, may_write),),
        )

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()
