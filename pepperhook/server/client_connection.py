"""One client connection over HTTP/1.1: what is received, and what it holds in memory."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

from aiohttp import web
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.web_protocol import _ErrInfo

from pepperhook.server import http1_client
from pepperhook.server.bounded_reads import READ_BYTES, BoundedReads
from pepperhook.server.memory_ledger import CONNECTION_BYTES, MIN_FIELD_LENGTH, message_bytes

if TYPE_CHECKING:
    from pepperhook.server.client_connections import Connections

MESSAGE_TIMEOUT_S = 2  # to receive a whole message; for the first one, from connecting
MAX_HEAD_BYTES = 32 * 1024  # of an incomplete request head
SMALL_READ_BYTES = 1024  # a message that comes whole in so many bytes counts as its connection
MAX_REASON_LENGTH = 200  # characters of a parser's error that are kept
MAX_DISCARDED_BYTES = 256 * 1024  # read and discarded of a closing connection; the rest is unread


class Connection(BoundedReads, web.RequestHandler):  # type: ignore[misc]  # as asyncio.Protocol
    """One HTTP/1.1 connection; notifies ``Connections`` of data before the library handles it."""

    def __init__(self, connections: Connections, waited_s: float, **options: Any) -> None:
        """``waited_s``: how long it may have waited to be accepted; ``options``: aiohttp's."""
        super().__init__(connections, **options)
        self.connections = connections
        self.waited_s = waited_s
        self.is_message_begun = False  # a part of a message was received
        self.answered = False  # at least one response was written
        self.expires_at = self._loop.time() + MESSAGE_TIMEOUT_S  # in the loop's time
        self.received_bytes = 0  # of an incomplete head, or since the connection is closing
        self.is_pipelined = False  # a message arrived before the previous one was answered
        self.requests_before = 0  # value of _request_count at the last response
        self.ending = False  # our side is closed: received data is discarded
        self.content: Any = None  # the library's reader of the body, once the head is complete
        self.field_count = 0  # of a complete head
        self.head_bytes = 0
        self.is_counted = False  # whether the message is in the ledger, beside its connection
        self.is_shed = False  # answered before it was complete, to make room for others

    def data_received(self, data: bytes) -> None:
        """Pass data to the library; refuse pipelining and heads that are too long."""
        if self.ending or self.is_shed:
            self._discard(data)
            return
        # Only once a message: a client that sends byte by byte must not count as recently used.
        if not self.is_message_begun:
            self.is_message_begun = True
            self.connections.data_arrived(self)
        current = self._current_request
        is_early = data and current is not None and current.content.is_eof()
        super().data_received(data)
        self._shorten_parse_errors()
        messages = self._request_count - self.requests_before
        if messages and self.content is None:
            self._measure_head()
        if messages > 1 or is_early:
            # A pipelining client could queue hundreds of messages here. Stop reading, but still
            # answer the request in flight.
            self.is_pipelined = self.is_pipelined or len(self._messages) == messages
            self.close()
        elif not messages:
            self.received_bytes += len(data)
            if self.received_bytes > MAX_HEAD_BYTES:
                self.connections.reject(self, "431 Request Header Fields Too Large")
                return
        if self.is_counted or len(data) > SMALL_READ_BYTES or self.is_unfinished:
            self.is_counted = True
            self.connections.message_grew(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Unregister the connection."""
        super().connection_lost(exc)
        self.content = None  # refers to this connection: only a garbage collection would free both

    def _measure_head(self) -> None:
        """Keep the size of a head that was just completed."""
        message, payload = self._messages[-1]
        if not isinstance(message, _ErrInfo):
            self.content = payload
            self.field_count = len(message.raw_headers)
            self.head_bytes = sum(len(name) + len(value) for name, value in message.raw_headers)

    def _shorten_parse_errors(self) -> None:
        """Keep only the beginning of what the parser reports of unreadable bytes.

        Its message quotes all of them, four times as long. Its traceback refers to itself, by the
        frame that holds the bytes, so that only a rare full garbage collection would free them.
        """
        for number, (message, payload) in enumerate(self._messages):
            if isinstance(message, _ErrInfo):
                reason = message.message[:MAX_REASON_LENGTH]
                message.exc.__traceback__ = None
                short = _ErrInfo(message.status, BadHttpMessage(reason), reason)
                self._messages[number] = (short, payload)

    def _discard(self, data: bytes) -> None:
        self.received_bytes += len(data)
        if self.received_bytes > MAX_DISCARDED_BYTES and self.transport is not None:
            self.transport.pause_reading()  # discarding must not use up a core

    def _make_error_handler(self, err_info: Any) -> Any:
        # The library would log a traceback for each unreadable message, and not count it.
        return partial(self.connections.serve_unreadable, err_info.message)

    # Memory.

    @property
    def is_unfinished(self) -> bool:
        """Whether a message has begun and is not complete."""
        if not self.is_message_begun or self.is_shed or self.ending:
            return False
        if self.content is None:
            return self._request_count == self.requests_before  # else it cannot be read
        return not self.content.is_eof()

    def held_bytes(self) -> int:
        """Return what the connection and its message hold in memory."""
        if not self.is_message_begun:
            return CONNECTION_BYTES + self.unsent_bytes
        if self.content is None:
            fields = min(self.max_headers, self.received_bytes // MIN_FIELD_LENGTH)
            return CONNECTION_BYTES + message_bytes(self.received_bytes, fields, 0)
        head_bytes = message_bytes(self.head_bytes, self.field_count, 0)
        if self.is_shed:
            return CONNECTION_BYTES + head_bytes
        unparsed_bytes = READ_BYTES if self.is_unfinished else 0  # while its reader waits
        body_bytes = message_bytes(0, 0, self.content.total_bytes)
        return CONNECTION_BYTES + head_bytes + unparsed_bytes + body_bytes

    @property
    def unsent_bytes(self) -> int:
        """The bytes that the client has not read yet, as far as this process holds them."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def shed(self) -> None:
        """Answer an unfinished message with 503, and free what was received of it."""
        if self.content is None:
            self.connections.reject(self, "503 Service Unavailable")
        else:
            self.is_shed = True
            self.drop_parser()
            self.connections.receiving.pop(self, None)
            self.content.feed_eof()  # wakes the server, which refuses the request
            self.connections.turns.end_wait(self)

    def message_done(self) -> None:
        """Forget the message that was answered."""
        self.is_message_begun = False
        self.answered = True
        self.is_counted = False
        self.received_bytes = 0
        self.content = None
        self.requests_before = self._request_count  # the library has no public counter

    def drop_parser(self) -> None:
        """Free what is not parsed yet, or an incomplete head; nothing more is parsed."""
        self._parser = None

    def has_unread_data(self) -> bool:
        """Whether the socket holds unread data or an unread end of file (FIN)."""
        return self.transport is not None and http1_client.has_unread_data(self.transport)

    def retire(self) -> None:
        """Close the connection gracefully."""
        self.connections.retire(self)

    def is_client_waiting(self) -> bool:
        """Whether the client has not closed its sending side; finds a close after unread data."""
        return self.transport is not None and not http1_client.is_closed_by_peer(self.transport)
