"""The relays of the lab's network."""

import asyncio

from pepperhook.lab.network import Network, Relay

CONNECT_TIMEOUT_S = 0.3


async def echo_one_byte(reader, writer):
    writer.write(await reader.read(1))
    writer.close()


async def try_to_connect(address):
    """Return the writer of a new connection, or None if it times out."""
    try:
        connecting = asyncio.open_connection(*address)
        _, writer = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
    except TimeoutError:
        return None
    return writer


async def test_connections_time_out_while_a_relay_is_blocked_and_succeed_after_it_is_reopened():
    server = await asyncio.start_server(echo_one_byte, "127.0.0.1", 0)
    relay = Relay(Network(None, None), server.sockets[0].getsockname()[:2])
    await relay.open(("127.0.0.1", 0))
    relay.address = relay.server.sockets[0].getsockname()[:2]

    relay.block()
    # A first connection may still fit into the backlog; the next ones get no answer to their SYN.
    writers = [await try_to_connect(relay.address) for _ in range(3)]
    assert None in writers
    for writer in filter(None, writers):
        writer.close()

    await relay.reopen()
    reader, writer = await asyncio.open_connection(*relay.address)
    writer.write(b"x")
    assert await reader.read(1) == b"x"

    writer.close()
    relay.server.close()
    server.close()
