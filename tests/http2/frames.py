"""Headers and frames for the HTTP/2 tests; well-formed unless a test changes them."""

import hpack
from hyperframe.frame import DataFrame, HeadersFrame, SettingsFrame

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
SETTINGS = SettingsFrame(0)
END_HEADERS = "END_HEADERS"
END_STREAM = "END_STREAM"
# The paths are service classes of tests.server.balancers.ENVIRONMENT: look is idempotent, pay is
# at most once, and hold is deduplicated by its idempotency key.
GET_HEADERS = [
    (":method", "GET"),
    (":scheme", "http"),
    (":authority", "s"),
    (":path", "/look"),
    ("x-request-id", "r1"),
    ("x-timeout-ms", "2000"),
]
POST_HEADERS = [
    (":method", "POST"),
    (":scheme", "http"),
    (":authority", "s"),
    (":path", "/pay"),
    ("x-request-id", "p1"),
]


def encode_headers(*headers):
    """Return a header block of these pairs."""
    return hpack.Encoder().encode(headers)


def make_get_headers(request_id):
    """Return GET_HEADERS with another request id."""
    return [(name, request_id if name == "x-request-id" else value) for name, value in GET_HEADERS]


def headers_frame(stream_id=1, headers=GET_HEADERS, flags=(END_HEADERS, END_STREAM)):
    return HeadersFrame(stream_id, encode_headers(*headers), flags=list(flags))


def data_frame(stream_id, body, flags=()):
    return DataFrame(stream_id, body, flags=list(flags))
