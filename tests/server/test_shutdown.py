"""Graceful shutdown: accepted requests are answered, and no others are started."""

import asyncio
import contextlib

import pytest

from tests.server.balancers import RunningBalancer, open_idle_connection, wait_until
from tests.server.peers import ScriptedPeer, always, header_value, make_response

DEADLINE_S = 30
LONG_AGO_S = 60


def begin_shutdown(balancer, accept_s=0):
    """Begin to shut down; connections are accepted for another ``accept_s``."""
    return asyncio.ensure_future(balancer.app.http_server.close(accept_s, DEADLINE_S))


def says_close(balancer):
    """Whether the last response has ``Connection: close``."""
    return header_value(balancer.response_head, b"Connection") == b"close"


async def test_accepted_requests_are_answered_and_their_connections_closed(release):
    async with (
        ScriptedPeer(release.then(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        idle_reader, _idle_writer = await balancer.connect()
        open_requests = [await balancer.send_request() for _ in range(2)]
        await wait_until(lambda: len(peer.requests) >= 2)

        shutdown = begin_shutdown(balancer, accept_s=0.2)
        await asyncio.sleep(0)
        open_requests.append(await balancer.send_request())
        assert await idle_reader.read() == b""
        assert not shutdown.done()

        release.set()
        for reader, writer in open_requests:
            assert (await balancer.read_response(reader))[0] == 200
            assert says_close(balancer)
            assert await reader.read() == b""
            writer.close()
        await shutdown
        with pytest.raises(OSError):
            await balancer.connect()


class Client:
    """Sends requests on one connection after another, and counts the responses."""

    def __init__(self, balancer):
        self.balancer = balancer
        self.responses = 0
        self.connects = True

    async def run(self):
        while self.connects:
            reader, writer = await self.balancer.connect()
            await self._send_until_closed(reader, writer)
            writer.close()

    async def _send_until_closed(self, reader, writer):
        on_this_connection = 0
        while True:
            try:
                writer.write(self.balancer.make_request())
                status, _ = await self.balancer.read_response(reader)
            except (OSError, asyncio.IncompleteReadError) as error:
                # A reused connection may be closed before its request is read, but never a new
                # one, and never within a response.
                assert on_this_connection and not getattr(error, "partial", b"")
                return
            assert status in (200, 503)
            self.responses += 1
            on_this_connection += 1
            if says_close(self.balancer):
                return
            await asyncio.sleep(0.01)


async def test_no_response_is_lost_in_a_shutdown_under_load():
    async def script(*_):
        await asyncio.sleep(0.02)
        return make_response()

    async with ScriptedPeer(script) as peer, RunningBalancer([peer.address]) as balancer:
        clients = [Client(balancer) for _ in range(8)]
        running = [asyncio.ensure_future(client.run()) for client in clients]
        await wait_until(lambda: sum(client.responses for client in clients) >= 40)

        shutdown = begin_shutdown(balancer, accept_s=1)
        await asyncio.sleep(0.1)
        for client in clients:
            client.connects = False  # as when clients are directed to other balancers
        await asyncio.gather(shutdown, *running)

        responses = sum(client.responses for client in clients)
        assert balancer.counters["taken"] == responses


async def test_half_read_request_is_answered_when_it_is_complete():
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        connections = balancer.connections
        message = balancer.make_request("/pay", b"POST", b"12345")
        idle_reader, idle_writer, _ = await open_idle_connection(balancer)
        reader, writer = await balancer.connect()
        writer.write(message[:30])
        await wait_until(lambda: any(each.is_message_begun for each in connections.idle))
        [half_read] = [each for each in connections.idle if each.is_message_begun]
        # Idle for longer than MIN_IDLE_S, so that they may be closed.
        for connection in connections.idle:
            connections.idle[connection] -= LONG_AGO_S
        half_read.expires_at += LONG_AGO_S

        shutdown = begin_shutdown(balancer)
        assert await idle_reader.read() == b""
        idle_writer.close()
        writer.write(message[30:])

        assert (await balancer.read_response(reader))[0] == 200
        assert says_close(balancer)
        assert await reader.read() == b""
        writer.close()
        await shutdown
        assert len(peer.requests) == 2


async def test_connections_in_the_backlog_are_answered():
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        connections, waiting = balancer.connections, []
        # As on a core that is too busy to accept them.
        connections.loop.remove_reader(connections.listener)
        for _ in range(40):
            waiting.append(await balancer.send_request(X_Timeout_Ms="20000"))

        shutdown = begin_shutdown(balancer)

        statuses = {(await balancer.read_response(reader))[0] for reader, _ in waiting}
        assert statuses <= {200, 503}
        assert 200 in statuses
        for _, writer in waiting:
            writer.close()
        await shutdown


async def test_requests_read_after_the_close_of_a_connection_are_not_forwarded():
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        reader, writer, connection = await open_idle_connection(balancer)
        balancer.connections.idle[connection] -= LONG_AGO_S

        shutdown = begin_shutdown(balancer)
        assert await reader.read() == b""
        with contextlib.suppress(OSError):
            for _ in range(20):
                writer.write(balancer.make_request())
                await asyncio.sleep(0.005)
        writer.close()
        await shutdown

        assert balancer.counters["taken"] == len(peer.requests) == 1
