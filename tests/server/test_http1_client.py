"""Requests to upstreams over HTTP/1.1, and reuse of connections."""

import asyncio

import pytest

from pepperhook.server import http1_client
from tests.server.balancers import RunningBalancer, wait_until, with_permissions
from tests.server.peers import (
    ScriptedPeer,
    always,
    header_value,
    make_response,
    read_message,
)


async def test_request_and_response_are_forwarded_byte_for_byte():
    body, response_body = bytes(range(256)) * 8, b"\x00\x1f\x8b unchanged"
    response = make_response(body=response_body, headers=b"Content-Encoding: gzip\r\n")
    target = "/hold/a%2Fb//c;d?q=%41+b&&z='%22&e="
    async with (
        ScriptedPeer(always(response)) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        received = await balancer.request(
            target,
            b"POST",
            body,
            Idempotency_Key="k1",
            X_Request_ID="id1",
            Cookie="a=b",
            Content_Type="x/y",
        )

    assert received == (200, response_body)
    head, sent = peer.requests[0]
    assert head.startswith(b"POST " + target.encode() + b" HTTP/1.1\r\n")
    assert sent == body
    assert header_value(head, b"X-Request-ID") == b"id1"
    assert header_value(head, b"Idempotency-Key") == b"k1"
    assert header_value(head, b"Content-Type") == b"x/y"
    assert header_value(head, b"User-Agent") is None
    assert 1000 < int(header_value(head, b"X-Timeout-Ms")) <= 2000


async def test_each_message_at_the_upstream_is_one_attempt_when_reused_connections_drop():
    # The client library retried a GET by itself.
    responses = iter([make_response()] + [(b"",)] * 50)
    async with (
        ScriptedPeer(lambda *_: next(responses)) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        assert await balancer.status() == 200
        for _ in range(5):
            assert await balancer.status() in (500, 503)
        counters = balancer.counters

    assert len(peer.requests) == counters["attempts started"] >= 6
    assert counters["attempts reset"] == counters["attempts started"] - 1


def test_timeouts_above_five_seconds_are_not_rounded_up():
    assert http1_client.make_timeout(500.1).ceil_threshold > 500.1


async def test_idle_connection_is_closed_before_the_upstream_closes_it():
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], env=with_permissions(keepaliveUs=1000000)) as balancer,
    ):
        assert await balancer.status() == 200 and await balancer.status() == 200
        assert peer.connections == 1

        await wait_until(lambda: peer.closed_connections)

        assert await balancer.status() == 200
        assert peer.connections == 2


async def test_connections_that_the_upstream_has_closed_are_not_reused():
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        requests = [balancer.status("/pay", b"POST", b"1", X_Timeout_Ms="1900") for _ in range(3)]
        assert set(await asyncio.gather(*requests)) == {200}

        for writer in list(peer.writers):
            writer.close()

        # Each connection has received a FIN, but the event loop had no chance to read it.
        assert await balancer.status("/pay", b"POST", b"1") == 200
        assert balancer.counters["attempts reset"] == 0


class UnrequestedBytes(ScriptedPeer):
    """A peer that writes unsolicited bytes after each response."""

    def __init__(self, unrequested):
        super().__init__(None)
        self.unrequested = unrequested
        self.written = asyncio.Event()

    async def respond(self, reader, writer):
        self.requests.append(await read_message(reader))
        writer.write(make_response(body=b"own %d" % len(self.requests)))
        await asyncio.sleep(0.01)
        writer.write(self.unrequested)
        self.written.set()
        return True


@pytest.mark.parametrize(
    "unrequested",
    [
        make_response(body=b"not yours"),
        b"HTTP/1.1 408 X\r\n\r\n",
        b"x",
        make_response() + b"GET",
    ],
)
async def test_unsolicited_bytes_are_not_used_as_the_response_to_the_next_request(unrequested):
    # A client got the response to another client's request, or a part of it.
    async with (
        UnrequestedBytes(unrequested) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        for number in range(1, 6):
            peer.written.clear()
            assert await balancer.request() == (200, b"own %d" % number)
            await peer.written.wait()
            await asyncio.sleep(0.01 * (number % 2))  # read already, or not yet

        assert peer.connections == 5
        assert balancer.counters["attempts started"] == 5


class SecondResponse(ScriptedPeer):
    """A peer with a second response to each request, sent when the test calls write_second."""

    def __init__(self):
        super().__init__(None)
        self.write_second = None

    async def respond(self, reader, writer):
        head, _ = await read_message(reader)
        writer.write(make_response(body=header_value(head, b"X-Request-ID")))
        self.write_second = lambda: writer.write(make_response(body=b"another's"))
        return True


async def test_late_second_response_is_not_used_for_the_next_request(monkeypatch):
    async with SecondResponse() as peer, RunningBalancer([peer.address]) as balancer:
        sleep = asyncio.sleep

        async def sleep_while_it_arrives(duration_s):
            # The second response arrives during the delay between two requests.
            assert 0 < duration_s <= http1_client.REUSE_DELAY_S
            if peer.write_second is not None:
                peer.write_second()
                peer.write_second = None
            await sleep(duration_s)

        def patched_sleep(duration_s):
            is_reuse_delay = 0 < duration_s <= http1_client.REUSE_DELAY_S
            return sleep_while_it_arrives(duration_s) if is_reuse_delay else sleep(duration_s)

        monkeypatch.setattr(http1_client.asyncio, "sleep", patched_sleep)
        monkeypatch.setattr(http1_client, "REUSE_DELAY_S", 0.9)

        for number in range(5):
            received = await balancer.request(X_Request_ID=f"id{number}")
            assert received == (200, b"id%d" % number)

        assert peer.connections == 5
        assert balancer.counters["attempts served"] == 5
