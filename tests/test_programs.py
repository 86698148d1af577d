"""Ports for the programs that tests start."""

import asyncio
import socket

import pytest

from tests.programs import free_port


async def test_server_can_listen_on_a_free_port_and_be_started_again():
    port = free_port()
    for _ in range(2):
        server = await asyncio.start_server(lambda _, writer: writer.close(), "127.0.0.1", port)
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.close()
        await writer.wait_closed()
        server.close()
        await server.wait_closed()


def test_free_port_is_in_use_until_its_server_listens():
    # Of sixteen balancers that were started together one found its address in use.
    port = free_port()

    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(("127.0.0.1", port))


def test_connection_to_a_free_port_is_refused():
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", free_port()))
