"""Extensions that enable HTTP/2, and a helper to wait for a condition."""

import asyncio

from pepperhook.operator_config.schema import Http2Table
from pepperhook.server.extensions import Extensions

HTTP2_CLIENTS = Extensions(h2=Http2Table())  # to clients only; HTTP/1.1 to upstreams
HTTP2_BOTH_SIDES = Extensions(h2=Http2Table(upstreams="h2"))
POLL_INTERVAL_S = 0.01


async def wait_until(condition):
    """Poll until ``condition()`` is true."""
    while not condition():
        await asyncio.sleep(POLL_INTERVAL_S)
