"""The soak's clients that send as a balancer begins to leave: what they find, and what not."""

import asyncio
import time

import pytest

from pepperhook.http2.server import ServerConnection
from pepperhook.lab.soak.leaving_clients import RestingClients, begin_http2, frame_types
from tests.http2.balancers import HTTP2_CLIENTS
from tests.server.balancers import RunningBalancer, wait_until

ACCEPT_S = 0.5
WITHIN_S = 5


def drop_idle(balancer):
    """Close idle connections at once, as the injected fault ``resting-dropped`` does."""
    for handler in list(balancer.connections.idle):
        handler.transport.abort()


@pytest.mark.parametrize("drops", [False, True])
async def test_resting_clients_find_a_reset_only_where_connections_are_closed_at_once(drops):
    async with RunningBalancer(["127.0.0.1:9"]) as balancer:
        address = ("127.0.0.1", balancer.port)
        clients = await asyncio.to_thread(RestingClients, address)
        await wait_until(lambda: len(balancer.connections.idle) == len(clients.sockets))
        if drops:
            drop_idle(balancer)

        shutdown = asyncio.ensure_future(balancer.app.http_server.close(ACCEPT_S, WITHIN_S))
        problems = await asyncio.to_thread(lambda: list(clients.send(time.monotonic())))
        clients.close()
        await shutdown

    assert {name for name, _ in problems} == ({"reset on a resting connection"} if drops else set())


@pytest.mark.parametrize("is_told", [True, False])
async def test_connection_that_begins_late_finds_whether_goaway_comes(is_told, monkeypatch):
    if not is_told:
        monkeypatch.setattr(ServerConnection, "_announce_shutdown", lambda _: None)
    async with RunningBalancer(["127.0.0.1:9"], HTTP2_CLIENTS) as balancer:
        shutdown = asyncio.ensure_future(balancer.app.http_server.close(ACCEPT_S, WITHIN_S))
        address, now = ("127.0.0.1", balancer.port), time.monotonic()
        problems = await asyncio.to_thread(lambda: list(begin_http2(address, now)))
        await shutdown

    assert [name for name, _ in problems] == ([] if is_told else ["no GOAWAY"])


def test_types_of_frames_are_those_whose_headers_are_whole():
    settings, goaway = b"\0\0\0\4\0\0\0\0\0", b"\0\0\x08\7\0\0\0\0\0" + b"\0" * 8

    assert frame_types(settings + goaway + settings[:5]) == [4, 7]
