"""A relay keeps the order of bytes within a connection, also where its delay ends.

What happened: the soak's seed 4 had an upstream read a request without a path over HTTP/2 (``bad
message to an upstream: Header block missing mandatory b':path' header``), 7 ms after the end of a
``net_delay``. What came after the end was written at once, before what was still delayed, so header
blocks came in another order than they were encoded in.
"""

import asyncio
from types import SimpleNamespace

from pepperhook.lab.network import Side

DELAY_S = 0.05


class Written:
    """The other end's transport."""

    def __init__(self):
        self.pieces = []

    def is_closing(self):
        return False

    def write(self, data):
        self.pieces.append(data)


async def test_what_comes_after_a_delay_is_written_behind_what_was_delayed():
    relay = SimpleNamespace(silent=False, deaf=False, mute=False, delay_s=DELAY_S)
    other = SimpleNamespace(transport=Written())
    side = Side(relay, "on", other)
    loop = asyncio.get_running_loop()

    begun = loop.time()
    side.data_received(b"1")
    side.data_received(b"2")
    relay.delay_s = 0.0
    side.data_received(b"3")
    assert other.transport.pieces == []
    while len(other.transport.pieces) < 3:
        await asyncio.sleep(0.001)

    assert other.transport.pieces == [b"1", b"2", b"3"]
    assert loop.time() >= begun + DELAY_S
    side.data_received(b"4")
    assert other.transport.pieces[-1] == b"4"
