"""HTTP/2 clients that send their preface while the balancer shuts down."""

import asyncio

import pytest
from h2.errors import ErrorCodes

from tests.http2.balancers import HTTP2_CLIENTS
from tests.http2.well_behaved_client import WellBehavedClient
from tests.server.balancers import RunningBalancer, wait_until, with_service_classes
from tests.server.peers import ScriptedPeer, always, make_response

ACCEPT_S = 0.3  # how long the balancer accepts connections after the shutdown has started
CLOSE_TIMEOUT_S = 5  # how long it waits after that before it closes connections by force
REQUEST_INTERVAL_S = 0.05
RESPONSE_DELAY_S = 0.15


async def connect(balancer):
    """Open a connection without sending anything."""
    client = WellBehavedClient(balancer.port)
    await client.__aenter__()
    await wait_until(lambda: balancer.connections.idle)
    return client


@pytest.fixture(params=["connected during shutdown", "preface sent during shutdown"])
def connects_before_shutdown(request):
    """Whether the client connects before the shutdown; its preface is always sent during it."""
    return request.param == "preface sent during shutdown"


async def send_preface_during_shutdown(balancer, connects_before_shutdown):
    """Start the shutdown; return its future and a client that sent its preface after that."""
    client = await connect(balancer) if connects_before_shutdown else None
    shutdown = asyncio.ensure_future(balancer.app.http_server.close(ACCEPT_S, CLOSE_TIMEOUT_S))
    await wait_until(lambda: balancer.app.http_server.is_shutting_down)
    if client is None:
        client = await connect(balancer)
    client.send_preface()
    return shutdown, client


async def test_client_that_sends_its_preface_during_shutdown_gets_goaway_and_loses_no_request(
    connects_before_shutdown,
):
    # Guards against a connection that gets no GOAWAY: its client keeps sending, and loses its last
    # requests when the process ends.
    async def respond_after_delay(*_):
        await asyncio.sleep(RESPONSE_DELAY_S)
        return make_response()

    async with (
        ScriptedPeer(respond_after_delay) as peer,
        RunningBalancer([peer.address], HTTP2_CLIENTS) as balancer,
    ):
        shutdown, client = await send_preface_during_shutdown(balancer, connects_before_shutdown)
        streams = [client.request()]
        reading = asyncio.ensure_future(client.read(lambda: False))
        while client.goaway is None and not shutdown.done():
            await asyncio.sleep(REQUEST_INTERVAL_S)
            streams.append(client.request())
        assert client.goaway is not None
        await reading

        assert client.unanswered(streams) == []
        assert client.statuses[streams[0]] == 200
        await shutdown


async def test_request_sent_with_the_preface_during_shutdown_is_answered(connects_before_shutdown):
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], HTTP2_CLIENTS) as balancer,
    ):
        shutdown, client = await send_preface_during_shutdown(balancer, connects_before_shutdown)
        stream_id = client.request()

        assert (await client.response(stream_id)).status == 200
        await client.read(lambda: False)
        assert client.goaway.last_stream_id == stream_id
        await shutdown


async def test_request_after_the_final_goaway_is_refused(connects_before_shutdown, release):
    async with (
        ScriptedPeer(release.then(make_response())) as peer,
        RunningBalancer([peer.address], HTTP2_CLIENTS) as balancer,
    ):
        shutdown, client = await send_preface_during_shutdown(balancer, connects_before_shutdown)
        accepted = client.request()
        await client.read(lambda: client.goaway and client.goaway.last_stream_id == accepted)
        late = client.request()
        await client.read(lambda: late in client.reset_codes)

        assert client.reset_codes[late] == ErrorCodes.REFUSED_STREAM
        release.set()
        assert (await client.response(accepted)).status == 200
        await shutdown
        assert len(peer.requests) == 1


@pytest.mark.parametrize("protocol", ["HTTP/1.1", "HTTP/2"])
async def test_request_accepted_late_in_a_shutdown_is_answered_before_the_process_ends(protocol):
    # Guards against a request that is cut off because its own deadline is later than the end of the
    # shutdown, which lasts for the longest time limit (600 ms) and a margin.
    settings = with_service_classes(timeLimitUs=600_000)
    async with (
        ScriptedPeer(always(None)) as peer,
        RunningBalancer([peer.address], HTTP2_CLIENTS, env=settings) as balancer,
    ):
        shutdown = asyncio.ensure_future(balancer.app.shut_down(accept_s=0.5))
        await asyncio.sleep(0.47)  # just before the balancer stops accepting
        if protocol == "HTTP/2":
            client = await connect(balancer)
            client.send_preface()
            stream_id = client.request("/pay", "POST", b"x", x_timeout_ms="600")
            status = (await client.response(stream_id)).status
        else:
            status = await balancer.status("/pay", b"POST", b"x", X_Timeout_Ms="600")

        assert status == 500
        assert len(peer.requests) == 1
        await shutdown
