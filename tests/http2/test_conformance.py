"""The server's reactions to frames of a client, by section of RFC 9113."""

from dataclasses import dataclass
from http import HTTPStatus
from typing import NamedTuple

import pytest
from h2.errors import ErrorCodes
from hyperframe.frame import (
    ContinuationFrame,
    HeadersFrame,
    PingFrame,
    PriorityFrame,
    PushPromiseFrame,
    RstStreamFrame,
    WindowUpdateFrame,
)

from tests.http2.balancers import HTTP2_CLIENTS
from tests.http2.frames import (
    END_HEADERS,
    END_STREAM,
    GET_HEADERS,
    POST_HEADERS,
    PREFACE,
    SETTINGS,
    data_frame,
    encode_headers,
    headers_frame,
)
from tests.http2.scripted_client import ScriptedClient
from tests.server.balancers import RunningBalancer
from tests.server.peers import ScriptedPeer, make_response

STREAM_ID = 1  # of the request whose response is checked
READ_TIMEOUT_S = 5


async def read_error(client):
    """Wait for RST_STREAM, GOAWAY or the connection's end; return the GOAWAY's code or None."""
    await client.read(lambda: client.reset_codes or client.goaway, READ_TIMEOUT_S)
    return client.goaway.error_code if client.goaway else None


@dataclass
class Answered:
    """Expects a response with status 200."""

    async def check(self, client):
        assert (await client.response(STREAM_ID)).status == 200


@dataclass
class GoAway:
    """Expects a connection error with this code."""

    code: ErrorCodes

    async def check(self, client):
        assert await read_error(client) == self.code


@dataclass
class RequestError:
    """Expects a stream error, or a connection error instead (5.4.1)."""

    code: ErrorCodes | None = None  # None: any code

    async def check(self, client):
        connection_code = await read_error(client)
        assert client.reset_codes or connection_code
        assert self.code in (None, connection_code, *client.reset_codes.values())


@dataclass
class Refused:
    """Expects one whole response with status 400, which closes the stream, and no error."""

    async def check(self, client):
        assert (await client.response(STREAM_ID)).status == HTTPStatus.BAD_REQUEST
        assert STREAM_ID in client.ended
        assert not client.reset_codes and client.goaway is None


@dataclass
class ConnectionEnd:
    """Expects the connection to end, with or without GOAWAY."""

    async def check(self, client):
        await read_error(client)
        assert client.goaway or client.is_closed


class Case(NamedTuple):
    """The frames that a client sends after its preface and SETTINGS, and the expected reaction."""

    section: str
    condition: str
    frames: list
    expected: Answered | Refused | GoAway | RequestError | ConnectionEnd


ANSWERED = Answered()
REFUSED = Refused()
CONNECTION_PROTOCOL_ERROR = GoAway(ErrorCodes.PROTOCOL_ERROR)
CONNECTION_FLOW_CONTROL_ERROR = GoAway(ErrorCodes.FLOW_CONTROL_ERROR)
CONNECTION_FRAME_SIZE_ERROR = GoAway(ErrorCodes.FRAME_SIZE_ERROR)
REQUEST_PROTOCOL_ERROR = RequestError(ErrorCodes.PROTOCOL_ERROR)


def without(name):
    """Return GET_HEADERS without the header of this name."""
    return [pair for pair in GET_HEADERS if pair[0] != name]


# Raw frames in bytes: length (3 bytes), type, flags, stream id (4 bytes), payload.
CASES = [
    Case("3.4", "the preface is followed by SETTINGS", [headers_frame()], ANSWERED),
    Case(
        "4.1",
        "a frame of unknown type is ignored",
        [b"\0\0\4\x2a\0\0\0\0\0abcd", headers_frame()],
        ANSWERED,
    ),
    Case(
        "4.1", "the reserved bit is ignored", [b"\0\0\0\4\0\x80\0\0\0", headers_frame()], ANSWERED
    ),
    Case(
        "4.2",
        "a frame over the announced size",
        [b"\0\x40\1\0\0\0\0\0\1" + b"x" * 16385],
        CONNECTION_FRAME_SIZE_ERROR,
    ),
    Case("4.2", "PING of a wrong size", [b"\0\0\3\6\0\0\0\0\0abc"], CONNECTION_FRAME_SIZE_ERROR),
    Case(
        "4.2", "SETTINGS of a wrong size", [b"\0\0\5\4\0\0\0\0\0abcde"], CONNECTION_FRAME_SIZE_ERROR
    ),
    Case(
        "4.2",
        "WINDOW_UPDATE of a wrong size",
        [b"\0\0\3\x08\0\0\0\0\0abc"],
        CONNECTION_FRAME_SIZE_ERROR,
    ),
    Case(
        "4.3",
        "a header block that cannot be decoded",
        [HeadersFrame(1, b"\xff" * 8, flags=[END_HEADERS])],
        GoAway(ErrorCodes.COMPRESSION_ERROR),
    ),
    Case(
        "4.3",
        "a frame between HEADERS and CONTINUATION",
        [headers_frame(flags=()), PingFrame(0, b"12345678")],
        CONNECTION_PROTOCOL_ERROR,
    ),
    Case("5.1", "DATA on an idle stream", [data_frame(1, b"x")], CONNECTION_PROTOCOL_ERROR),
    Case("5.1", "RST_STREAM on an idle stream", [RstStreamFrame(5, 8)], CONNECTION_PROTOCOL_ERROR),
    Case(
        "5.1",
        "WINDOW_UPDATE on an idle stream",
        [WindowUpdateFrame(5, 9)],
        CONNECTION_PROTOCOL_ERROR,
    ),
    Case(
        "5.1",
        "CONTINUATION on an idle stream",
        [ContinuationFrame(1, b"", flags=[END_HEADERS])],
        CONNECTION_PROTOCOL_ERROR,
    ),
    Case(
        "5.1",
        "DATA after END_STREAM",
        [headers_frame(), data_frame(1, b"x", [END_STREAM])],
        RequestError(),
    ),
    Case("5.1", "HEADERS after END_STREAM", [headers_frame(), headers_frame()], RequestError()),
    Case("5.1.1", "an even stream id of a client", [headers_frame(2)], CONNECTION_PROTOCOL_ERROR),
    Case(
        "5.1.1",
        "a stream id lower than the previous one",
        [headers_frame(5), headers_frame(3)],
        CONNECTION_PROTOCOL_ERROR,
    ),
    Case("5.1.1", "HEADERS on stream zero", [b"\0\0\1\1\5\0\0\0\0\x82"], CONNECTION_PROTOCOL_ERROR),
    Case(
        "RFC 7540, 5.3.1",
        "a stream that depends on itself",
        [PriorityFrame(1, depends_on=1)],
        CONNECTION_PROTOCOL_ERROR,
    ),
    Case(
        "5.5",
        "an unknown frame inside a header block",
        [headers_frame(flags=()), b"\0\0\0\x2a\0\0\0\0\1"],
        CONNECTION_PROTOCOL_ERROR,
    ),
    Case("6.1", "DATA on stream zero", [b"\0\0\1\0\0\0\0\0\0x"], CONNECTION_PROTOCOL_ERROR),
    Case(
        "6.1",
        "padding as long as the frame",
        [headers_frame(headers=POST_HEADERS, flags=[END_HEADERS]), b"\0\0\2\0\x08\0\0\0\1\x05x"],
        CONNECTION_PROTOCOL_ERROR,
    ),
    Case(
        "6.1",
        "padded DATA is accepted",
        [
            headers_frame(headers=POST_HEADERS, flags=[END_HEADERS]),
            b"\0\0\5\0\x09\0\0\0\1\x02hi\0\0",
        ],
        ANSWERED,
    ),
    Case(
        "6.2",
        "HEADERS with padding too long",
        [b"\0\0\2\1\x0c\0\0\0\1\x09\x82"],
        CONNECTION_PROTOCOL_ERROR,
    ),
    Case(
        "6.2",
        "HEADERS with CONTINUATION",
        [
            HeadersFrame(1, encode_headers(*GET_HEADERS)[:9], flags=[END_STREAM]),
            ContinuationFrame(1, encode_headers(*GET_HEADERS)[9:], flags=[END_HEADERS]),
        ],
        ANSWERED,
    ),
    Case(
        "6.3",
        "PRIORITY on stream zero",
        [b"\0\0\5\2\0\0\0\0\0\0\0\0\0\0"],
        CONNECTION_PROTOCOL_ERROR,
    ),
    Case(
        "6.3",
        "PRIORITY of a wrong size",
        [headers_frame(flags=[END_HEADERS]), b"\0\0\4\2\0\0\0\0\1abcd"],
        CONNECTION_FRAME_SIZE_ERROR,
    ),
    Case(
        "6.4",
        "RST_STREAM on stream zero",
        [b"\0\0\4\3\0\0\0\0\0\0\0\0\0"],
        CONNECTION_PROTOCOL_ERROR,
    ),
    Case(
        "6.4",
        "RST_STREAM of a wrong size",
        [headers_frame(flags=[END_HEADERS]), b"\0\0\3\3\0\0\0\0\1abc"],
        CONNECTION_FRAME_SIZE_ERROR,
    ),
    Case("6.5", "SETTINGS on a stream", [b"\0\0\0\4\0\0\0\0\1"], CONNECTION_PROTOCOL_ERROR),
    # RFC 9113 requires FRAME_SIZE_ERROR here; the library sends PROTOCOL_ERROR.
    Case(
        "6.5",
        "SETTINGS ACK with a payload",
        [b"\0\0\6\4\1\0\0\0\0\0\1\0\0\0\0"],
        CONNECTION_PROTOCOL_ERROR,
    ),
    Case(
        "6.5.2",
        "ENABLE_PUSH other than 0 or 1",
        [b"\0\0\6\4\0\0\0\0\0\0\2\0\0\0\2"],
        CONNECTION_PROTOCOL_ERROR,
    ),
    Case(
        "6.5.2",
        "INITIAL_WINDOW_SIZE over 2^31-1",
        [b"\0\0\6\4\0\0\0\0\0\0\4\x80\0\0\0"],
        CONNECTION_FLOW_CONTROL_ERROR,
    ),
    Case(
        "6.5.2",
        "MAX_FRAME_SIZE under 2^14",
        [b"\0\0\6\4\0\0\0\0\0\0\5\0\0\0\1"],
        CONNECTION_PROTOCOL_ERROR,
    ),
    Case(
        "6.5.2",
        "an unknown setting is ignored",
        [b"\0\0\6\4\0\0\0\0\0\xff\xff\0\0\0\1", headers_frame()],
        ANSWERED,
    ),
    Case(
        "6.6",
        "PUSH_PROMISE by a client",
        [PushPromiseFrame(1, 2, encode_headers(*GET_HEADERS), flags=[END_HEADERS])],
        CONNECTION_PROTOCOL_ERROR,
    ),
    Case("6.7", "PING on a stream", [b"\0\0\x08\6\0\0\0\0\x01abcdefgh"], CONNECTION_PROTOCOL_ERROR),
    Case(
        "6.8",
        "GOAWAY on a stream",
        [b"\0\0\x08\7\0\0\0\0\1\0\0\0\0\0\0\0\0"],
        CONNECTION_PROTOCOL_ERROR,
    ),
    Case(
        "6.9",
        "WINDOW_UPDATE of zero on a stream",
        [headers_frame(headers=POST_HEADERS, flags=[END_HEADERS]), b"\0\0\4\x08\0\0\0\0\1\0\0\0\0"],
        REQUEST_PROTOCOL_ERROR,
    ),
    Case(
        "6.9",
        "WINDOW_UPDATE of zero on the connection",
        [b"\0\0\4\x08\0\0\0\0\0\0\0\0\0"],
        CONNECTION_PROTOCOL_ERROR,
    ),
    Case(
        "6.9.1",
        "a connection's window over 2^31-1",
        [WindowUpdateFrame(0, 2**31 - 1), WindowUpdateFrame(0, 2**31 - 1)],
        CONNECTION_FLOW_CONTROL_ERROR,
    ),
    Case(
        "6.9.1",
        "a stream's window over 2^31-1",
        [headers_frame(headers=POST_HEADERS, flags=[END_HEADERS]), WindowUpdateFrame(1, 2**31 - 1)],
        RequestError(ErrorCodes.FLOW_CONTROL_ERROR),
    ),
    Case(
        "6.10",
        "CONTINUATION on stream zero",
        [headers_frame(flags=()), b"\0\0\0\x09\4\0\0\0\0"],
        CONNECTION_PROTOCOL_ERROR,
    ),
    Case(
        "6.10",
        "CONTINUATION after END_HEADERS",
        [headers_frame(flags=[END_HEADERS]), ContinuationFrame(1, b"")],
        CONNECTION_PROTOCOL_ERROR,
    ),
    Case(
        "8.1",
        "trailers without END_STREAM",
        [
            headers_frame(headers=POST_HEADERS, flags=[END_HEADERS]),
            headers_frame(headers=[("x", "y")], flags=[END_HEADERS]),
        ],
        REQUEST_PROTOCOL_ERROR,
    ),
    Case(
        "8.1",
        "trailers end a message",
        [
            headers_frame(headers=POST_HEADERS, flags=[END_HEADERS]),
            data_frame(1, b"{}"),
            headers_frame(headers=[("x", "y")]),
        ],
        ANSWERED,
    ),
    Case(
        "8.1.1",
        "content-length larger than the data",
        [
            headers_frame(headers=[*POST_HEADERS, ("content-length", "9")], flags=[END_HEADERS]),
            data_frame(1, b"{}", [END_STREAM]),
        ],
        REQUEST_PROTOCOL_ERROR,
    ),
    Case(
        "8.1.1",
        "content-length smaller than the data",
        [
            headers_frame(headers=[*POST_HEADERS, ("content-length", "1")], flags=[END_HEADERS]),
            data_frame(1, b"{}", [END_STREAM]),
        ],
        REQUEST_PROTOCOL_ERROR,
    ),
    Case(
        "8.1.1",
        "content-length without data",
        [headers_frame(headers=[*POST_HEADERS, ("content-length", "9")])],
        REQUEST_PROTOCOL_ERROR,
    ),
    Case(
        "8.2.1",
        "an upper-case header name",
        [headers_frame(headers=[*GET_HEADERS, ("X-Upper", "y")])],
        REFUSED,
    ),
    Case(
        "8.2.1",
        "trailing space in a header value",
        [headers_frame(headers=[*GET_HEADERS, ("x-y", "a ")])],
        REFUSED,
    ),
    Case(
        "8.2.1",
        "CRLF in a header value",
        [headers_frame(headers=[*GET_HEADERS, ("x-y", "a\r\nb")])],
        REFUSED,
    ),
    Case(
        "8.2.2",
        "the connection header",
        [headers_frame(headers=[*GET_HEADERS, ("connection", "close")])],
        REQUEST_PROTOCOL_ERROR,
    ),
    Case(
        "8.2.2",
        "the transfer-encoding header",
        [headers_frame(headers=[*GET_HEADERS, ("transfer-encoding", "chunked")])],
        REQUEST_PROTOCOL_ERROR,
    ),
    Case(
        "8.2.2",
        "the keep-alive header",
        [headers_frame(headers=[*GET_HEADERS, ("keep-alive", "1")])],
        REQUEST_PROTOCOL_ERROR,
    ),
    Case(
        "8.2.2",
        "te other than trailers",
        [headers_frame(headers=[*GET_HEADERS, ("te", "gzip")])],
        REQUEST_PROTOCOL_ERROR,
    ),
    Case(
        "8.2.2",
        "te: trailers",
        [headers_frame(headers=[*GET_HEADERS, ("te", "trailers")])],
        ANSWERED,
    ),
    Case(
        "8.3",
        "an unknown pseudo-header",
        [headers_frame(headers=[*GET_HEADERS[:4], (":news", "1"), *GET_HEADERS[4:]])],
        REQUEST_PROTOCOL_ERROR,
    ),
    Case(
        "8.3",
        "a pseudo-header after regular headers",
        [headers_frame(headers=[*GET_HEADERS[1:], GET_HEADERS[0]])],
        REQUEST_PROTOCOL_ERROR,
    ),
    Case(
        "8.3",
        "a pseudo-header in trailers",
        [
            headers_frame(headers=POST_HEADERS, flags=[END_HEADERS]),
            headers_frame(headers=[(":path", "/")]),
        ],
        REQUEST_PROTOCOL_ERROR,
    ),
    Case(
        "8.3",
        "a repeated pseudo-header",
        [headers_frame(headers=[GET_HEADERS[0], *GET_HEADERS])],
        REQUEST_PROTOCOL_ERROR,
    ),
    Case(
        "8.3",
        ":status in a request",
        [headers_frame(headers=[(":status", "200"), *GET_HEADERS])],
        REQUEST_PROTOCOL_ERROR,
    ),
    Case(
        "8.3.1", "no :method", [headers_frame(headers=without(":method"))], REQUEST_PROTOCOL_ERROR
    ),
    Case("8.3.1", "no :path", [headers_frame(headers=without(":path"))], REQUEST_PROTOCOL_ERROR),
    Case(
        "8.3.1", "no :scheme", [headers_frame(headers=without(":scheme"))], REQUEST_PROTOCOL_ERROR
    ),
    Case(
        "8.3.1",
        "an empty :path",
        [
            headers_frame(
                headers=[
                    (":path", "") if name == ":path" else (name, value)
                    for name, value in GET_HEADERS
                ]
            )
        ],
        REQUEST_PROTOCOL_ERROR,
    ),
    Case(
        "4.2",
        "HTTP/1.1 after the preface",
        [b"GET /look HTTP/1.1\r\nHost: x\r\n\r\n" * 3],
        ConnectionEnd(),
    ),
]


@pytest.mark.parametrize("case", CASES, ids=[f"{case.section} {case.condition}" for case in CASES])
async def test_frames_get_the_expected_reaction_and_other_clients_are_served(case):
    async with (
        ScriptedPeer(lambda *_: make_response()) as peer,
        RunningBalancer([peer.address], extensions=HTTP2_CLIENTS) as balancer,
    ):
        async with ScriptedClient(balancer.port, is_raw=True) as client:
            client.expect_response(STREAM_ID)
            client.send(PREFACE, SETTINGS, *case.frames)
            await case.expected.check(client)

        assert (await balancer.request())[0] == 200
