"""A client of the lab reads the answers to what a GOAWAY leaves open.

What happened: the soak's seed 4 lost a request at a planned restart ("lost: the connection
ended"). The balancer answered it: its upstream served it 5 ms after SIGTERM, ``responses_served``
counted it, and GOAWAY had named its stream. The stand-in's library takes a GOAWAY for the end of
the connection, so the answer was a protocol error to it, and it aborted the connection.
"""

from types import SimpleNamespace

from hyperframe.frame import GoAwayFrame

from pepperhook.lab.wire2 import Link2
from tests.http2.frames import SETTINGS, data_frame
from tests.http2.frames import headers_frame as make_headers_frame


class Transport:
    """A connection that is written to, or aborted."""

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


def test_answer_after_a_goaway_that_leaves_its_stream_open_is_taken():
    answers = []
    link = Link2(SimpleNamespace(links=[]))
    link.connection_made(Transport())
    exchange = SimpleNamespace(answered=lambda *answer: answers.append(answer))
    link.begin(exchange, "GET", "/look", [], b"")

    link.data_received(SETTINGS.serialize() + GoAwayFrame(0, last_stream_id=1).serialize())
    head = make_headers_frame(1, [(":status", "200")], flags=["END_HEADERS"])
    body = data_frame(1, b"done", ["END_STREAM"])
    link.data_received(head.serialize() + body.serialize())

    assert not link.transport.is_aborted
    assert [(status, text) for status, text, _ in answers] == [(200, b"done")]
