"""Client connections that are closed while data arrives or responses are not read."""

import asyncio
import contextlib
import socket

import pytest

from pepperhook.server import http1_server
from tests.server.balancers import RunningBalancer, open_idle_connection, wait_until
from tests.server.peers import ScriptedPeer, always, make_response


@pytest.mark.parametrize(
    "is_complete", [pytest.param(False, id="half a request"), pytest.param(True, id="request")]
)
async def test_bytes_that_arrive_during_a_close_are_neither_forwarded_nor_answered_by_a_reset(
    is_complete, monkeypatch
):
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        reader, writer, connection = await open_idle_connection(balancer)
        # The bytes arrive just after the balancer has checked for unread data.
        monkeypatch.setattr(connection, "has_unread_data", lambda: False)
        writer.write(balancer.make_request() if is_complete else b"GET /look HTTP/1.1\r\n")

        assert balancer.connections.close_idle(connection)

        assert await reader.read() == b"", "FIN, not a reset"
        writer.write(b"still more" * 100)
        assert balancer.connections.ending
        assert balancer.counters["taken"] == len(peer.requests) == 1
        writer.close()
        await wait_until(lambda: not balancer.connections.count)


async def test_connection_whose_client_never_closes_its_side_is_closed_after_a_timeout():
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        connections = balancer.connections
        reader, writer, connection = await open_idle_connection(balancer)
        connections.close_idle(connection)
        assert await reader.read() == b""
        assert len(connections.ending) == connections.count == 1

        while connections.count:
            with contextlib.suppress(OSError):
                writer.write(b"x")
            await asyncio.sleep(0.01)
        writer.close()


async def test_last_response_of_a_connection_is_sent_completely_while_more_bytes_arrive(
    monkeypatch,
):
    # While the client has not read its response, more of its bytes reach the closing balancer.
    body = b"x" * 30000
    async with (
        ScriptedPeer(always(make_response(body=body))) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        http_server = balancer.app.http_server
        write = http_server._write

        async def write_and_receive_more(request, response):
            await write(request, response)
            writer.write(b"half a li")

        monkeypatch.setattr(http_server, "_write", write_and_receive_more)
        http_server.is_shutting_down = True
        reader, writer = await balancer.send_request()
        writer.transport.pause_reading()
        await wait_until(lambda: balancer.connections.ending)
        await asyncio.sleep(0)
        writer.transport.resume_reading()

        assert await balancer.read_response(reader) == (200, body)
        assert await reader.read() == b""
        writer.close()


async def test_reading_of_a_closing_connection_stops_at_a_limit_of_bytes():
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        connections = balancer.connections
        _, writer, connection = await open_idle_connection(balancer)
        connections.close_idle(connection)
        connections.ending[connection] += 60

        connection.data_received(b"x" * 300000)

        assert not connection.transport.is_reading()
        writer.close()
        connections.abort(connection)


async def test_closing_connections_count_and_the_oldest_of_them_makes_room():
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], sockets=64) as balancer,
    ):
        connections, writers = balancer.connections, []
        for _ in range(60):
            _, writer = await balancer.connect()
            writer.write(b"no HTTP\r\n\r\n")
            writers.append(writer)

        for _ in range(10):
            assert await balancer.status(X_Timeout_Ms="20000") == 200
            assert connections.count <= connections.hard_limit

        for writer in writers:
            writer.close()


def has_no_delay(transport):
    connection_socket = transport.get_extra_info("socket")
    return connection_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


async def test_connections_have_tcp_nodelay():
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        _, writer, connection = await open_idle_connection(balancer)
        [endpoint] = balancer.app.upstreams.endpoints.values()
        to_upstream = [
            protocol
            for protocols in endpoint.client.session.connector._conns.values()
            for protocol, _ in protocols
        ]

        assert has_no_delay(connection.transport)
        assert to_upstream
        assert all(has_no_delay(protocol.transport) for protocol in to_upstream)
        writer.close()


async def test_connection_whose_client_does_not_read_its_response_is_closed(monkeypatch):
    monkeypatch.setattr(http1_server, "RESPONSE_WRITE_TIMEOUT_S", 0.05)
    async with (
        ScriptedPeer(always(make_response(body=b"x" * 65536))) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        connections = balancer.connections
        with socket.socket() as client:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            client.connect(("127.0.0.1", balancer.port))
            await wait_until(lambda: connections.idle)
            [connection] = connections.idle
            server_side = connection.transport.get_extra_info("socket")
            server_side.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
            connection.transport.set_write_buffer_limits(1024)

            client.sendall(balancer.make_request())

            await wait_until(lambda: balancer.counters["answers not read"])
            await wait_until(lambda: not connections.count)
