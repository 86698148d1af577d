"""Requests of a connection with many streams wait for turns, until their deadline at most."""

import asyncio

from pepperhook.http2.request_turns import FREE_STREAMS, RequestTurns
from pepperhook.server import turns as turns_module
from tests.http2.balancers import HTTP2_CLIENTS
from tests.http2.scripted_client import ScriptedClient
from tests.server.balancers import RunningBalancer
from tests.server.peers import ScriptedPeer, always, make_response

TIMEOUT_MS = 100
MANY_STREAMS = 20


async def test_few_streams_do_not_wait(monkeypatch):
    monkeypatch.setattr(turns_module, "TURNS_PER_ITERATION", 0)
    turns = RequestTurns(asyncio.get_running_loop())

    await turns.wait("connection", range(FREE_STREAMS), deadline_s=0)

    assert not turns.waiting


async def test_request_whose_deadline_passes_before_its_turn_is_rejected_and_not_sent(monkeypatch):
    # A request that is given up is answered, not parked.
    monkeypatch.setattr(turns_module, "TURNS_PER_ITERATION", 0)
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], extensions=HTTP2_CLIENTS) as balancer,
        ScriptedClient(balancer.port) as client,
    ):
        streams = [
            client.request("/pay", "POST", b"x", x_timeout_ms=str(TIMEOUT_MS))
            for _ in range(MANY_STREAMS)
        ]
        responses = [await client.response(stream_id) for stream_id in streams]

        assert [status for status, _ in responses] == [503] * MANY_STREAMS
        assert not peer.requests
        assert not balancer.app.http_server.server.streams


async def test_request_whose_client_leaves_before_its_turn_is_not_sent(monkeypatch):
    monkeypatch.setattr(turns_module, "TURNS_PER_ITERATION", 0)
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], extensions=HTTP2_CLIENTS) as balancer,
        ScriptedClient(balancer.port) as client,
    ):
        for _ in range(MANY_STREAMS):
            client.request("/pay", "POST", b"x")
        connections = balancer.connections
        while len(connections.streams) < MANY_STREAMS:
            await asyncio.sleep(0)

        client.writer.close()
        while connections.streams:
            await asyncio.sleep(0)

        assert not peer.requests
        assert not balancer.counters["taken"]
