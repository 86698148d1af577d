"""Graceful shutdown: accepted requests are answered, and no others are started."""

import asyncio
import contextlib

import pytest

from pepperhook.operator_config.schema import Http2Table
from pepperhook.server.extensions import Extensions
from tests.http2.well_behaved_client import WellBehavedClient
from tests.server.balancers import (
    RunningBalancer,
    open_idle_connection,
    wait_until,
    with_service_classes,
)
from tests.server.peers import ScriptedPeer, always, header_value, make_response, request_target

DEADLINE_S = 30
LONG_AGO_S = 60
# How long after SIGTERM SIGKILL may come, with any time limit of 3 s or more.
SIGKILL_S = 3.7
LATE_RESPONSE_S = 2.5  # still within the time of a shutdown


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


class EndlessWait:
    """An extension that keeps each request for /hold waiting, as a repeat that waits for a key."""

    async def _wait(self):
        await asyncio.Event().wait()

    def arrived(self, _now, _request, message):
        return asyncio.ensure_future(self._wait()) if message.target == "/hold" else None


async def answer_late_or_never(head, _body):
    await asyncio.sleep(LATE_RESPONSE_S if request_target(head) == b"/look" else DEADLINE_S)
    return make_response()


@pytest.mark.parametrize("begin_before", [True, False], ids=["before", "after"])
async def test_time_limits_longer_than_a_shutdown_may_take_cost_no_response(begin_before):
    """A shutdown gave itself the longest time limit, and SIGKILL found requests unanswered."""
    async with (
        ScriptedPeer(answer_late_or_never) as peer,
        RunningBalancer(
            [peer.address],
            Extensions([EndlessWait()], Http2Table()),
            env=with_service_classes(timeLimitUs=DEADLINE_S * 10**6),
        ) as balancer,
        WellBehavedClient(balancer.port) as client,
    ):
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        shutdown = None if begin_before else asyncio.ensure_future(balancer.app.shut_down())
        await asyncio.sleep(0)
        targets = {b"/look": b"GET", b"/pay": b"POST", b"/hold": b"POST"}
        connections = {}
        for target, method in targets.items():
            connections[target] = await balancer.send_request(
                target.decode(), method, X_Timeout_Ms="30000", Idempotency_Key="k"
            )
        client.send_preface()
        stream_id = client.request("/pay", "POST", b"1", x_timeout_ms="30000")
        await wait_until(lambda: len(balancer.app.requests.tasks) == len(targets) + 1)
        if shutdown is None:
            began_s = loop.time()
            shutdown = asyncio.ensure_future(balancer.app.shut_down())

        async with asyncio.timeout_at(began_s + SIGKILL_S):
            statuses = {
                target: (await balancer.read_response(reader))[0]
                for target, (reader, _) in connections.items()
            }
            http2_statuses = await client.answers([stream_id])
            await shutdown
        assert statuses == {b"/look": 200, b"/pay": 500, b"/hold": 500}
        assert http2_statuses == [500]
