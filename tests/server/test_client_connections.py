"""Client connections: limits, clients that send too slowly or too much, and accepting."""

import asyncio
import contextlib
import errno

from tests.server.balancers import RunningBalancer, wait_until, with_service_classes
from tests.server.peers import ScriptedPeer, always, header_value, make_response

INCOMPLETE_HEADS = [b"", b"GET /look HT", b"GET /look HTTP/1.1\r\nA: b\r\n"]


async def send_incomplete(balancer, beginning, keeps_sending):
    """Send an incomplete request, and read until the balancer closes the connection.

    A client that receives nothing for a while returns, and leaves its connection open.
    """
    reader, writer = await balancer.connect()
    writer.write(beginning)
    timeout_s = 0.05 if keeps_sending else 30
    with contextlib.suppress(asyncio.TimeoutError):
        with contextlib.suppress(OSError):
            while not reader.at_eof():
                if keeps_sending and not writer.is_closing():
                    writer.write(b"more: of this\r\n")
                    await asyncio.sleep(0.02)
                received = await asyncio.wait_for(reader.read(4096), timeout_s)
                assert not received or received.split()[1] in (b"408", b"503")
        writer.close()


async def test_connections_with_incomplete_requests_are_closed_and_others_served():
    # Hundreds of connections with incomplete requests stayed open for minutes and used up memory.
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], sockets=128) as balancer,
    ):
        half_a_body = balancer.make_request("/pay", b"POST", b"12345")[:-3]
        beginnings = [*INCOMPLETE_HEADS, half_a_body]
        clients = [
            asyncio.ensure_future(
                send_incomplete(balancer, beginnings[number % 4], number % 8 == 2)
            )
            for number in range(120)
        ]

        for _ in range(20):
            assert await balancer.status() in (200, 503)
        await asyncio.gather(*clients)
        connections = balancer.connections
        await wait_until(lambda: not connections.idle and not connections.busy)

        assert len(peer.requests) >= 10


async def test_refused_request_with_more_to_send_is_answered_and_not_read_to_its_end():
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        for path, length in (
            ("/pay", "60000000"),
            ("/nowhere", "60000000"),
            ("/nowhere", "1000"),
        ):
            reader, writer = await balancer.send_request(path, b"POST", Content_Length=length)
            writer.write(b"x" * 9000000)
            assert (await balancer.read_response(reader))[0] in (400, 404, 413)
            assert await reader.read() == b""
            writer.close()

        reader, writer = await balancer.send_request("/look", X_Long="y" * 8000)
        assert (await balancer.read_response(reader))[0] == 200
        headers = b"".join(b"A%d: %s\r\n" % (number, b"z" * 1000) for number in range(90))
        writer.write(b"GET /look HTTP/1.1\r\n" + headers)
        with contextlib.suppress(OSError):
            assert (await reader.read()).startswith(b"HTTP/1.1 431 ")
        writer.close()

        assert balancer.counters["not taken"] >= 4
        assert await balancer.status() == 200


async def test_requests_pipelined_behind_the_first_are_not_read():
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        reader, writer = await balancer.send_request()
        writer.write(b"".join(balancer.make_request() for _ in range(400)))

        responses = await reader.read()

        assert responses.count(b"HTTP/1.1 ") <= 2
        assert len(peer.requests) <= 2
        writer.close()
        assert await balancer.status() == 200


async def test_refused_connections_do_not_use_up_the_connection_limit():
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        connections, writers = balancer.connections, []
        connections.soft_limit, connections.hard_limit = 2, 3

        # None of the refused clients closes its own side.
        for _ in range(6):
            reader, writer = await balancer.connect()
            writers.append(writer)
            writer.write(b"no HTTP\r\n\r\n")
            assert (await balancer.read_response(reader))[0] == 400
            assert await reader.read() == b""
            assert not connections.busy and connections.count <= 3
            assert await balancer.status() == 200

        for writer in writers:
            writer.close()


async def test_incomplete_message_is_neither_accepted_nor_forwarded():
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        message = balancer.make_request("/pay", b"POST", b"12345")
        for length in (10, 60, len(message) - 1):
            _, writer = await balancer.connect()
            writer.write(message[:length])
            await asyncio.sleep(0.02)
            writer.close()

        assert await balancer.status() == 200
        assert balancer.counters["taken"] == 1
        assert len(peer.requests) == 1


async def test_connections_are_bounded_and_requests_still_answered():
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], sockets=64) as balancer,
    ):
        connections, opened = balancer.connections, []
        for _ in range(100):
            opened.append(await balancer.connect())
        assert await balancer.status() == 200
        assert len(connections.connections) <= 24

        incomplete = balancer.make_request("/pay", b"POST", b"12345")[:-1]
        for number in range(18):
            opened.append(await balancer.connect())
            opened[-1][1].write(incomplete)
            await wait_until(lambda number=number: len(connections.busy) > number)
        assert await balancer.status() == 200
        assert len(connections.connections) <= 24

        for _, writer in opened:
            writer.close()
        await wait_until(lambda: not connections.busy)
        assert await balancer.status() == 200
        assert len(peer.requests) == 3


async def test_requests_in_flight_are_bounded_and_others_refused():
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], sockets=64) as balancer,
    ):
        # The policy would reject some of so many real ones before the limit is reached.
        in_flight = {object() for _ in range(18)}
        balancer.connections.busy |= in_flight

        assert await balancer.status() == 503
        assert header_value(balancer.response_head, b"Connection") == b"close"

        balancer.connections.busy -= in_flight
        assert await balancer.status() == 200
        assert len(peer.requests) == 1


async def test_requests_that_arrive_byte_by_byte_do_not_prevent_others_from_being_served():
    # Lateness is subtracted from time limits; this one is long enough for a busy machine.
    env = with_service_classes(timeLimitUs=60000000)
    is_done = asyncio.Event()

    async def send_slowly(balancer):
        with contextlib.suppress(OSError):
            _, writer = await balancer.connect()
            for at in range(5000):
                if is_done.is_set() or writer.is_closing():
                    break
                writer.write(b"GET /look HTTP/1.1\r\nA: "[at : at + 1] or b"x")
                await asyncio.sleep(0.02)
            writer.close()

    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], sockets=64, env=env) as balancer,
    ):
        clients = [asyncio.ensure_future(send_slowly(balancer)) for _ in range(60)]
        for _ in range(5):
            assert await balancer.status(X_Timeout_Ms="60000") == 200
        is_done.set()
        await asyncio.gather(*clients)


class WithoutDescriptors:
    """A listener whose first calls of accept fail because no descriptor is left."""

    def __init__(self, listener, failures):
        self.listener = listener
        self.failures = failures
        self.calls = 0

    def __getattr__(self, name):
        return getattr(self.listener, name)

    def accept(self):
        self.calls += 1
        if self.calls <= self.failures:
            raise OSError(errno.EMFILE, "none left")
        return self.listener.accept()


async def test_connections_are_accepted_again_after_the_system_had_no_descriptor_left():
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        listener = balancer.connections.listener
        failing = balancer.connections.listener = WithoutDescriptors(listener, failures=3)

        assert await balancer.status() == 200
        assert failing.calls >= 4

        balancer.connections.listener = listener
        assert await balancer.status() == 200
