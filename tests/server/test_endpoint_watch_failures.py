"""A drain is noticed however the watch before it has failed."""

import asyncio
import json

import pytest

from pepperhook.policy import endpoints
from pepperhook.server import endpoint_discovery
from pepperhook.units import MILLISECOND
from tests.server.balancers import (
    RunningBalancer,
    encode_endpoint_list,
    endpoint_rows,
    polling,
    wait_until,
    with_permissions,
)
from tests.server.peers import ScriptedPeer, always, make_response

SILENT = [
    b"",
    b'HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n{"seq":',
    b"HTTP/1.1 200 OK\r\nContent-Le",
]
FAILING = [
    make_response(503),
    (b"",),
    (b'HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"seq":',),
    make_response(body=b'{"seq": 5, '),
    make_response(body=b'{"seq": 2, "whole": false, "hosts": [{}]}'),
    make_response(body=b"[]"),
]

# So that each request at an upstream is one of a client.
WITHOUT_HEALTH_CHECKS = polling(within_us=10**9) | {
    "permissions": with_permissions(probes=False)["permissions"]
}


def indent(encoded_rows):
    """Return a list of version 5 with white space, as a service may send it."""
    rows = encoded_rows.replace(b",", b",\n   ")
    return b'{\r\n  "seq": 5,\n\t"whole": true,\n  "hosts":\n' + rows + b"\n}\n"


@pytest.fixture
def short_intervals(monkeypatch):
    """Make the watch time out, and the policy poll again, within 100 ms."""
    monkeypatch.setattr(endpoint_discovery, "WATCH_MARGIN_S", 0.1)
    monkeypatch.setattr(endpoints, "MIN_ROUND", 100 * MILLISECOND)
    # Long enough for the requests of the test; the first retry comes after MIN_ROUND.
    monkeypatch.setattr(endpoints, "NOTIFIED_AFTER", endpoints.POLL_TIMEOUT)
    monkeypatch.setattr(endpoints, "MAX_WATCH_WAIT", 100 * MILLISECOND)
    monkeypatch.setattr(endpoints, "LONGEST_ROUNDS", {})


class FailingWatch(ScriptedPeer):
    """A service whose first watch ends as given; in its next list the first upstream drains."""

    def __init__(self, addresses, ending):
        super().__init__(self.respond_to_poll)
        self.addresses = addresses
        self.ending = ending

    def respond_to_poll(self, *_):
        match len(self.requests):
            case 1:
                return make_response(body=encode_endpoint_list(4, endpoint_rows(self.addresses)))
            case 2:
                return self.end_watch()
            case 3:
                return make_response(body=self.drain_list())
        return None

    def end_watch(self):
        if self.ending not in SILENT:
            return self.ending
        for writer in self.writers:
            writer.write(self.ending)
        return None

    def drain_list(self):
        draining, ready = endpoint_rows(self.addresses)
        return indent(json.dumps([draining | {"health": "draining"}, ready]).encode())


@pytest.mark.usefixtures("short_intervals")
@pytest.mark.parametrize("ending", SILENT + FAILING)
async def test_drain_is_noticed_after_the_watch_has_failed_or_timed_out(ending):
    async with (
        ScriptedPeer(always(make_response())) as first,
        ScriptedPeer(always(make_response())) as second,
        FailingWatch([first.address, second.address], ending) as service,
        RunningBalancer(discovery=service.address, env=WITHOUT_HEALTH_CHECKS) as balancer,
    ):
        await wait_until(lambda: balancer.app.discovery.version == 5)

        assert [upstream.address for upstream in balancer.ready_upstreams] == [b"h1"]
        for _ in range(4):
            assert await balancer.status() == 200
        assert not first.requests
        assert len(second.requests) == 4


async def count_connections_of_a_poll():
    """Return how often the first poll connects to a service that closes all connections."""
    connections = []

    def close_at_once(_, writer):
        connections.append(writer)
        writer.close()

    service = await asyncio.start_server(close_at_once, "127.0.0.1", 0)
    address = f"127.0.0.1:{service.sockets[0].getsockname()[1]}"
    env = polling(within_us=10**9)
    async with service, RunningBalancer(discovery=address, env=env) as balancer:
        await wait_until(lambda: balancer.app.runtime.counters["list failed"] == 1)
        return len(connections)


async def test_poll_connects_at_most_twice_to_a_service_that_closes_all_connections():
    # Each poll opened up to twenty connections: a fleet buried the service that came back.
    assert 1 <= await count_connections_of_a_poll() <= 2


async def test_poll_connects_once_if_no_connection_is_idle():
    # A new connection that the service closes at once is taken for one that was idle.
    assert await count_connections_of_a_poll() == 1


@pytest.mark.usefixtures("short_intervals")
async def test_answer_to_a_watch_that_was_given_up_is_still_applied():
    # A change counts as notified when it is written, also on a watch that has been given up.
    watches = []

    async def script(head, _):
        if b"since" not in head:
            return make_response(body=encode_endpoint_list(1, endpoint_rows(addresses)))
        watches.append(head)
        if len(watches) > 1:
            return None
        await asyncio.sleep(0.5)  # the watch is given up after 0.2 s
        drain = endpoint_rows(addresses, health="draining")[:1]
        return make_response(body=encode_endpoint_list(2, drain, whole=False))

    async with (
        ScriptedPeer(always(make_response())) as draining,
        ScriptedPeer(always(make_response())) as other,
        ScriptedPeer(script) as service,
    ):
        addresses = [draining.address, other.address]
        async with RunningBalancer(
            discovery=service.address, env=WITHOUT_HEALTH_CHECKS
        ) as balancer:
            counters = balancer.app.runtime.counters
            await wait_until(lambda: counters["list failed silent"] >= 1)
            discovery = balancer.app.discovery
            await asyncio.wait_for(wait_until(lambda: discovery.version == 2), 5)
            assert not discovery.known["h0"].is_ready and discovery.known["h1"].is_ready
