"""The soak test's clients report only resets and missing GOAWAYs of a draining balancer."""

import asyncio
import time

import pytest

from pepperhook.http2.server import ServerConnection
from pepperhook.lab.soak.leaving_clients import (
    KeepAliveClients,
    frame_types,
    open_http2_during_drain,
)
from tests.http2.balancers import HTTP2_CLIENTS
from tests.server.balancers import RunningBalancer, wait_until

DRAIN_ACCEPT_S = 0.5
DRAIN_TIMEOUT_S = 5


def abort_idle(balancer):
    """Abort idle connections, as the injected fault ``resting-dropped`` does."""
    for handler in list(balancer.connections.idle):
        handler.transport.abort()


@pytest.mark.parametrize("aborts", [False, True])
async def test_keepalive_clients_report_resets_only_if_idle_connections_are_aborted(aborts):
    async with RunningBalancer(["127.0.0.1:9"]) as balancer:
        address = ("127.0.0.1", balancer.port)
        clients = await asyncio.to_thread(KeepAliveClients, address)
        await wait_until(lambda: len(balancer.connections.idle) == len(clients.sockets))
        if aborts:
            abort_idle(balancer)

        shutdown = asyncio.ensure_future(
            balancer.app.http_server.close(DRAIN_ACCEPT_S, DRAIN_TIMEOUT_S)
        )
        problems = await asyncio.to_thread(lambda: list(clients.send(time.monotonic())))
        clients.close()
        await shutdown

    assert {name for name, _ in problems} == (
        {"reset on a resting connection"} if aborts else set()
    )


@pytest.mark.parametrize("sends_goaway", [True, False])
async def test_connection_opened_during_drain_reports_a_missing_goaway(sends_goaway, monkeypatch):
    if not sends_goaway:
        monkeypatch.setattr(ServerConnection, "_announce_shutdown", lambda _: None)
    async with RunningBalancer(["127.0.0.1:9"], HTTP2_CLIENTS) as balancer:
        shutdown = asyncio.ensure_future(
            balancer.app.http_server.close(DRAIN_ACCEPT_S, DRAIN_TIMEOUT_S)
        )
        address, now = ("127.0.0.1", balancer.port), time.monotonic()
        problems = await asyncio.to_thread(lambda: list(open_http2_during_drain(address, now)))
        await shutdown

    assert [name for name, _ in problems] == ([] if sends_goaway else ["no GOAWAY"])


def test_frame_types_ignore_a_frame_with_an_incomplete_header():
    settings, goaway = b"\0\0\0\4\0\0\0\0\0", b"\0\0\x08\7\0\0\0\0\0" + b"\0" * 8

    assert frame_types(settings + goaway + settings[:5]) == [4, 7]
