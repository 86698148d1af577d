"""Clients that withhold their flow-control windows do not take the streams of other clients."""

from contextlib import AsyncExitStack

import h2.settings
from h2.settings import SettingCodes

from tests.http2.balancers import HTTP2_CLIENTS
from tests.http2.scripted_client import ScriptedClient
from tests.server.balancers import RunningBalancer, wait_until
from tests.server.peers import ScriptedPeer, always, make_response

SOCKETS = 64  # few descriptors, so that few streams are the limit
STREAMS_PER_CONNECTION = 40


class WithholdingClient(ScriptedClient):
    """A client with an initial window of 0 that it never opens."""

    def __init__(self, port):
        super().__init__(port, replenishes_windows=False)
        self.h2.local_settings = h2.settings.Settings(
            client=True, initial_values={SettingCodes.INITIAL_WINDOW_SIZE: 0}
        )


def are_all_waiting(connections):
    """Return whether each stream of the balancer waits for its client's window."""
    return len(connections.streams) == connections.max_streams and all(
        stream.window_opened and not stream.window_opened.done() for stream in connections.streams
    )


async def hold_all_streams(balancer, clients):
    """Open streams with withheld windows until no stream is left; return the clients."""
    connections = balancer.connections
    opened = 0
    withholding = []
    while opened < connections.max_streams:
        client = WithholdingClient(balancer.port)
        await clients.enter_async_context(client)
        withholding.append(client)
        for _ in range(min(STREAMS_PER_CONNECTION, connections.max_streams - opened)):
            client.request()
            opened += 1
    await wait_until(lambda: are_all_waiting(connections))
    return withholding


async def test_other_clients_are_served_while_responses_wait_for_withheld_windows():
    # Streams that waited for their own client's window got everybody else REFUSED_STREAM.
    async with (
        ScriptedPeer(always(make_response(body=b"done"))) as peer,
        RunningBalancer(
            [peer.address], extensions=HTTP2_CLIENTS, sockets=SOCKETS, owns_event_loop=False
        ) as balancer,
        AsyncExitStack() as clients,
    ):
        await hold_all_streams(balancer, clients)

        async with ScriptedClient(balancer.port) as client:
            responses = [await client.response(client.request()) for _ in range(20)]

        assert [response.status for response in responses] == [200] * 20


async def test_windows_of_one_byte_do_not_put_a_response_behind_the_others():
    async with (
        ScriptedPeer(always(make_response(body=b"done"))) as peer,
        RunningBalancer(
            [peer.address], extensions=HTTP2_CLIENTS, sockets=SOCKETS, owns_event_loop=False
        ) as balancer,
        AsyncExitStack() as clients,
    ):
        [first, *_] = await hold_all_streams(balancer, clients)
        order = list(balancer.connections.window_waiters)
        for stream_id in range(1, 2 * STREAMS_PER_CONNECTION, 2):
            first.open_window(stream_id, 1)
        await first.read(lambda: len(first.bodies) == STREAMS_PER_CONNECTION)
        await wait_until(lambda: are_all_waiting(balancer.connections))

        assert list(balancer.connections.window_waiters) == order
        async with ScriptedClient(balancer.port) as client:
            assert (await client.response(client.request())).status == 200
        assert order[0] not in balancer.connections.window_waiters


async def test_without_a_shortage_a_response_waits_for_its_window():
    async with (
        ScriptedPeer(always(make_response(body=b"done"))) as peer,
        RunningBalancer([peer.address], extensions=HTTP2_CLIENTS) as balancer,
        WithholdingClient(balancer.port) as slow,
        ScriptedClient(balancer.port) as client,
    ):
        stream_id = slow.request()
        await wait_until(lambda: balancer.connections.window_waiters)
        assert (await client.response(client.request())).status == 200

        slow.open_window(stream_id, 100)

        assert (await slow.response(stream_id)).body == b"done"
        assert not balancer.connections.window_waiters
