"""A relay keeps the order of bytes within a connection, even when its delay ends.

Regression (soak, seed 4): 7 ms after the end of a ``net_delay`` an upstream read an HTTP/2 request
without a path (``bad message to an upstream: Header block missing mandatory b':path' header``).
Data that arrived after the end overtook delayed data, so header blocks arrived out of order.
"""

import asyncio
from types import SimpleNamespace

from pepperhook.lab.network import RelaySide

DELAY_S = 0.05


class RecordingTransport:
    """The other side's transport; records what is written."""

    def __init__(self):
        self.pieces = []

    def is_closing(self):
        return False

    def write(self, data):
        self.pieces.append(data)


async def test_data_after_the_end_of_a_delay_is_written_after_delayed_data():
    relay = SimpleNamespace(
        drops_all=False, drops_to_target=False, drops_to_caller=False, delay_s=DELAY_S
    )
    other = SimpleNamespace(transport=RecordingTransport())
    side = RelaySide(relay, "to_target", other)
    loop = asyncio.get_running_loop()

    started_at = loop.time()
    side.data_received(b"1")
    side.data_received(b"2")
    relay.delay_s = 0.0
    side.data_received(b"3")
    assert other.transport.pieces == []
    while len(other.transport.pieces) < 3:
        await asyncio.sleep(0.001)

    assert other.transport.pieces == [b"1", b"2", b"3"]
    assert loop.time() >= started_at + DELAY_S
    side.data_received(b"4")
    assert other.transport.pieces[-1] == b"4"
