"""Clients over HTTP/2 whose connection begins while the balancer shuts down."""

import asyncio

import h2.config
import pytest
from h2.errors import ErrorCodes

from pepperhook.http2.connection import Http2Connection
from tests.http2.balancers import HTTP2_CLIENTS, until
from tests.http2.scripted_client import ScriptedClient
from tests.server.balancers import RunningBalancer, with_service_classes
from tests.server.peers import ScriptedPeer, always, make_response

ACCEPT_S = 0.3
WITHIN_S = 5
REQUEST_INTERVAL_S = 0.05
RESPONSE_S = 0.15


class WellBehavedClient(ScriptedClient):
    """A client that reads the responses that a GOAWAY leaves open, as RFC 9113, 6.8, has it."""

    def __init__(self, port):
        super().__init__(port, is_raw=True)
        self.h2 = Http2Connection(h2.config.H2Configuration(header_encoding="utf-8"))

    def begin(self):
        """Send the preface, which tells the protocol."""
        self.h2.initiate_connection()
        self.flush()

    def unanswered(self, streams):
        """Return those that the balancer neither answered nor declared as never executed."""
        refused = {n for n, code in self.reset_codes.items() if code == ErrorCodes.REFUSED_STREAM}
        last = self.goaway.last_stream_id
        return [n for n in streams if n <= last and n not in self.ended and n not in refused]


async def connect(balancer):
    """Open a connection on which nothing is sent yet."""
    client = WellBehavedClient(balancer.port)
    await client.__aenter__()
    await until(lambda: balancer.connections.idle)
    return client


@pytest.fixture(params=["accepted while it leaves", "preface while it leaves"])
def connects_before(request):
    """Whether the connection is accepted before the shutdown begins; its preface comes later."""
    return request.param == "preface while it leaves"


async def begin_while_it_leaves(balancer, connects_before):
    """Begin the shutdown; return it and a client whose protocol begins after that."""
    client = await connect(balancer) if connects_before else None
    shutdown = asyncio.ensure_future(balancer.app.http_server.close(ACCEPT_S, WITHIN_S))
    await until(lambda: balancer.app.http_server.is_shutting_down)
    if client is None:
        client = await connect(balancer)
    client.begin()
    return shutdown, client


async def test_client_that_begins_while_it_leaves_gets_goaway_and_no_request_is_lost(
    connects_before,
):
    # Against a client that nobody tells to leave, and that loses its last requests at the end.
    async def respond_late(*_):
        await asyncio.sleep(RESPONSE_S)
        return make_response()

    async with (
        ScriptedPeer(respond_late) as peer,
        RunningBalancer([peer.address], HTTP2_CLIENTS) as balancer,
    ):
        shutdown, client = await begin_while_it_leaves(balancer, connects_before)
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


async def test_request_sent_with_the_preface_while_it_leaves_is_answered(connects_before):
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], HTTP2_CLIENTS) as balancer,
    ):
        shutdown, client = await begin_while_it_leaves(balancer, connects_before)
        stream = client.request()

        assert (await client.response(stream)).status == 200
        await client.read(lambda: False)
        assert client.goaway.last_stream_id == stream
        await shutdown


async def test_client_that_goes_on_after_the_final_goaway_is_refused(connects_before, release):
    async with (
        ScriptedPeer(release.then(make_response())) as peer,
        RunningBalancer([peer.address], HTTP2_CLIENTS) as balancer,
    ):
        shutdown, client = await begin_while_it_leaves(balancer, connects_before)
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
    # Against a request whose own deadline lies behind the end of the process.
    settings = with_service_classes(timeLimitUs=600_000)
    async with (
        ScriptedPeer(always(None)) as peer,
        RunningBalancer([peer.address], HTTP2_CLIENTS, env=settings) as balancer,
    ):
        shutdown = asyncio.ensure_future(balancer.app.shut_down(accept_s=0.5))
        await asyncio.sleep(0.47)
        if protocol == "HTTP/2":
            client = await connect(balancer)
            client.begin()
            stream = client.request("/pay", "POST", b"x", x_timeout_ms="600")
            status = (await client.response(stream)).status
        else:
            status = await balancer.status("/pay", b"POST", b"x", X_Timeout_Ms="600")

        assert status == 500
        assert len(peer.requests) == 1
        await shutdown
