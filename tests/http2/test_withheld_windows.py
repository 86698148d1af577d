"""Clients that withhold their flow-control windows do not take the streams of other clients."""

from contextlib import AsyncExitStack

import h2.settings
from h2.settings import SettingCodes

from tests.http2.balancers import HTTP2_CLIENTS, wait_until
from tests.http2.scripted_client import ScriptedClient
from tests.server.balancers import RunningBalancer
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


async def hold_all_streams(balancer, clients):
    """Open streams with withheld windows until the balancer has no stream left."""
    connections = balancer.connections
    opened = 0
    while opened < connections.max_streams:
        client = WithholdingClient(balancer.port)
        await clients.enter_async_context(client)
        for _ in range(min(STREAMS_PER_CONNECTION, connections.max_streams - opened)):
            client.request()
            opened += 1
    await wait_until(
        lambda: (
            len(connections.streams) == connections.max_streams
            and all(stream.window_opened for stream in connections.streams)
        )
    )


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
