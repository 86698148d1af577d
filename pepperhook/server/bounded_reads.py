"""Limits how many bytes are read from a socket at once.

The event loop reads up to 256 KB at once otherwise, before any limit on a message is checked; on
hundreds of connections that alone exceeds a balancer's memory limit.
"""

import asyncio
from collections.abc import Callable

READ_BYTES = 16 * 1024

# Shared by all connections: a read is passed on before the event loop begins the next one.
_buffer = memoryview(bytearray(READ_BYTES))


class BoundedReads(asyncio.BufferedProtocol):
    """Passes at most READ_BYTES at once to ``data_received``, which the class beside it defines."""

    data_received: Callable[[bytes], None]

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002
        """Return the buffer for the next read; ``sizehint`` is not used."""
        return _buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on the first ``nbytes`` of the buffer."""
        self.data_received(bytes(_buffer[:nbytes]))
