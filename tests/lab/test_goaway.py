"""A stand-in client reads the responses to streams that a GOAWAY leaves open.

Regression (soak, seed 4): a request was lost at a planned restart ("lost: the connection ended"),
though the balancer answered it: the upstream served it 5 ms after SIGTERM, ``responses_served``
counted it, and its stream was within the GOAWAY's last stream id. The h2 library takes a GOAWAY as
the end of the connection, so it treated the response as a protocol error, and the client aborted
the connection.
"""

from types import SimpleNamespace

from hyperframe.frame import GoAwayFrame

from pepperhook.lab.http2 import Http2PoolConnection
from tests.http2.frames import SETTINGS, data_frame
from tests.http2.frames import headers_frame as make_headers_frame


class Transport:
    """A transport that records whether it was aborted."""

    def __init__(self):
        self.is_aborted = False

    def get_extra_info(self, _):
        return SimpleNamespace(setsockopt=lambda *_: None)

    def is_closing(self):
        return self.is_aborted

    def write(self, data):
        pass

    def abort(self):
        self.is_aborted = True


def test_response_on_a_stream_that_a_goaway_leaves_open_is_accepted():
    responses = []
    connection = Http2PoolConnection(SimpleNamespace(connections=[]))
    connection.connection_made(Transport())
    exchange = SimpleNamespace(on_response=lambda *response: responses.append(response))
    connection.start_stream(exchange, "GET", "/look", [], b"")

    connection.data_received(SETTINGS.serialize() + GoAwayFrame(0, last_stream_id=1).serialize())
    head = make_headers_frame(1, [(":status", "200")], flags=["END_HEADERS"])
    body = data_frame(1, b"done", ["END_STREAM"])
    connection.data_received(head.serialize() + body.serialize())

    assert not connection.transport.is_aborted
    assert [(status, text) for status, text, _ in responses] == [(200, b"done")]
