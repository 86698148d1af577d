"""How long a connection has waited before it was accepted."""

import asyncio
import socket

from pepperhook.server import client_connections
from pepperhook.server.backlog_wait import BacklogWait, waiting_connections
from tests.http2.balancers import HTTP2_CLIENTS
from tests.http2.scripted_client import ScriptedClient
from tests.server.balancers import RunningBalancer, wait_until
from tests.server.peers import ScriptedPeer, always, header_value, make_response

BACKLOG = 8
WAIT_S = 0.3


def test_connection_has_waited_since_it_was_first_seen_among_those_that_wait():
    wait = BacklogWait()
    wait.observe(1.0, 0)
    wait.observe(2.0, 2)
    wait.observe(3.0, 3)
    wait.observe(3.5, 3)

    assert [wait.accept(4.0) for _ in range(4)] == [2.0, 2.0, 1.0, 0.0]


def test_backlog_that_is_never_empty_gives_the_wait_of_those_in_it():
    wait = BacklogWait()
    waits = []
    for second in range(50):
        wait.observe(second, 20)  # ten come and ten are accepted each second
        waits += [wait.accept(second) for _ in range(10)]

    assert waits[:20] == [0.0] * 10 + [1.0] * 10
    assert set(waits[20:]) == {1.0}
    assert len(wait._arrivals) <= 3


def test_connection_that_was_not_seen_to_wait_has_not_waited():
    wait = BacklogWait()
    assert wait.accept(1.0) == 0.0
    wait.observe(2.0, 5)

    assert [wait.accept(3.0) for _ in range(6)] == [1.0] * 5 + [0.0]


def test_connections_that_the_kernel_drops_are_not_taken_for_later_ones():
    wait = BacklogWait()
    wait.observe(1.0, 3)
    wait.observe(2.0, 1)  # two were reset
    wait.observe(3.0, 2)

    assert [wait.accept(4.0) for _ in range(2)] == [3.0, 1.0]


async def test_kernel_tells_how_many_connections_wait():
    with socket.create_server(("127.0.0.1", 0), backlog=BACKLOG) as listener:
        assert waiting_connections(listener, BACKLOG) == 0
        address = listener.getsockname()
        writers = [(await asyncio.open_connection(*address))[1] for _ in range(3)]

        assert waiting_connections(listener, BACKLOG) == 3
        listener.accept()[0].close()
        assert waiting_connections(listener, BACKLOG) == 2
        for writer in writers:
            writer.close()


def test_socket_that_does_not_listen_tells_nothing():
    with socket.socket() as unconnected:
        assert waiting_connections(unconnected, BACKLOG) is None
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
        assert waiting_connections(datagrams, BACKLOG) is None


async def test_deadline_passed_on_is_less_by_the_wait_in_the_backlog(monkeypatch):
    # Beside a crowd a server was told up to 0.7 s more than its client had left.
    monkeypatch.setattr(client_connections, "MAX_ACCEPTS", 1)
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        connections = balancer.connections
        await balancer.status()
        connections.loop.remove_reader(connections.listener)
        opened = [await balancer.send_request(X_Timeout_Ms="2000") for _ in range(2)]
        await wait_until(lambda: waiting_in(connections) == 2)

        connections._accept()
        await asyncio.sleep(WAIT_S)
        connections._accept()

        for reader, writer in opened:
            assert (await balancer.read_response(reader))[0] == 200
            writer.close()
        timeouts_ms = [int(header_value(head, b"X-Timeout-Ms")) for head, _ in peer.requests[1:]]
        assert max(timeouts_ms) > 1900
        assert min(timeouts_ms) <= 2000 - WAIT_S * 1000


async def test_deadline_of_a_first_request_over_http2_is_less_by_the_wait_in_the_backlog(
    monkeypatch,
):
    monkeypatch.setattr(client_connections, "MAX_ACCEPTS", 1)
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], extensions=HTTP2_CLIENTS) as balancer,
    ):
        connections = balancer.connections
        connections.loop.remove_reader(connections.listener)
        _, idle_writer = await balancer.connect()
        async with ScriptedClient(balancer.port) as client:
            stream_id = client.request(x_timeout_ms="2000")
            await wait_until(lambda: waiting_in(connections) == 2)

            connections._accept()
            await asyncio.sleep(WAIT_S)
            connections._accept()

            assert (await client.response(stream_id))[0] == 200
            assert (await client.response(client.request(x_timeout_ms="2000")))[0] == 200
        idle_writer.close()
        first_ms, later_ms = (int(header_value(h, b"X-Timeout-Ms")) for h, _ in peer.requests)
        assert first_ms <= 2000 - WAIT_S * 1000
        assert later_ms > 1900


async def test_request_that_is_sent_after_its_connection_was_accepted_has_not_waited(monkeypatch):
    monkeypatch.setattr(client_connections, "MAX_ACCEPTS", 1)
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        connections = balancer.connections
        connections.loop.remove_reader(connections.listener)
        _, idle_writer = await balancer.connect()
        reader, writer = await balancer.connect()
        await wait_until(lambda: waiting_in(connections) == 2)

        connections._accept()
        await asyncio.sleep(WAIT_S)
        connections._accept()
        writer.write(balancer.make_request(X_Timeout_Ms="2000"))

        assert (await balancer.read_response(reader))[0] == 200
        assert int(header_value(peer.requests[0][0], b"X-Timeout-Ms")) > 1900
        idle_writer.close()
        writer.close()


async def test_connection_that_comes_after_a_rest_has_not_waited():
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        await balancer.status()
        await asyncio.sleep(WAIT_S)
        opened = [await balancer.send_request(X_Timeout_Ms="2000") for _ in range(40)]
        for reader, writer in opened:
            await balancer.read_response(reader)
            writer.close()

        timeouts_ms = [int(header_value(head, b"X-Timeout-Ms")) for head, _ in peer.requests[1:]]
        assert min(timeouts_ms) > 2000 - WAIT_S * 1000


def waiting_in(connections):
    """Return how many connections wait for this server to accept them."""
    return waiting_connections(connections.listener, client_connections.BACKLOG)
