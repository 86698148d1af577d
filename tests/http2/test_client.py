"""Requests to upstreams over HTTP/2: their streams, stream errors and connections."""

import asyncio

from h2.errors import ErrorCodes
from h2.settings import SettingCodes
from hyperframe.frame import DataFrame, GoAwayFrame, HeadersFrame, RstStreamFrame

from pepperhook.server.field_value import FieldValue
from tests.http2.balancers import HTTP2_BOTH_SIDES, HTTP2_CLIENTS
from tests.http2.frames import END_HEADERS, END_STREAM, encode_headers
from tests.http2.scripted_client import ScriptedClient
from tests.http2.scripted_upstream import ScriptedUpstream
from tests.server.balancers import RunningBalancer, endpoint_list, endpoint_rows, wait_until
from tests.server.peers import ScriptedPeer, make_response


async def test_requests_above_a_goaways_last_id_are_sent_again_and_those_up_to_it_are_answered():
    open_requests = []

    def script(connection, request):
        if len(connection.upstream.connections) > 1:
            connection.respond(request, body=b"second")
            return
        open_requests.append(request)
        if len(open_requests) == 3:
            connection.send(GoAwayFrame(0, open_requests[0].stream_id, 0))
            connection.respond(open_requests[0], body=b"first")

    async with (
        ScriptedUpstream(script) as upstream,
        RunningBalancer([upstream.address], extensions=HTTP2_BOTH_SIDES) as balancer,
        ScriptedClient(balancer.port) as client,
    ):
        streams = [client.request("/pay", "POST", b"1") for _ in range(3)]
        responses = sorted([await client.response(stream_id) for stream_id in streams])

    assert responses == [(200, b"first")] + [(200, b"second")] * 2
    assert len(upstream.requests) == 5


async def test_a_reset_or_cancelled_stream_does_not_affect_other_streams_of_its_connection():
    def script(connection, request):
        if request.id == "bad":
            connection.send(RstStreamFrame(request.stream_id, ErrorCodes.INTERNAL_ERROR))
        elif request.id != "unanswered":
            connection.respond(request)

    async with (
        ScriptedUpstream(script) as upstream,
        RunningBalancer([upstream.address], extensions=HTTP2_BOTH_SIDES) as balancer,
        ScriptedClient(balancer.port) as client,
    ):
        unanswered = client.request(x_request_id="unanswered")
        statuses = []
        for request_id in ("n0", "n1", "n2", "n3", "bad", "n5", "n6", "n7", "n8"):
            stream_id = client.request("/pay", "POST", b"1", x_request_id=request_id)
            statuses.append((await client.response(stream_id)).status)
        client.reset(unanswered, ErrorCodes.CANCEL)
        await wait_until(lambda: upstream.reset_codes)

        assert (await client.response(client.request())).status == 200
        assert statuses == [200] * 4 + [500] + [200] * 4
        assert len(upstream.connections) <= 2
        assert upstream.reset_codes == [ErrorCodes.CANCEL]


async def test_a_response_with_a_wrong_length_does_not_affect_others_on_its_connection():
    # Guards against a malformed response that ends other requests on its connection. In a full run
    # of the lab's scenario h2, one request in 1,824 failed for this reason.
    pending_requests = []

    def script(connection, request):
        if request.id != "bad":
            pending_requests.append(request)
            return
        block = encode_headers((":status", "200"), ("content-length", "9"))
        connection.send(
            HeadersFrame(request.stream_id, block, flags=[END_HEADERS]),
            DataFrame(request.stream_id, b"done", flags=[END_STREAM]),
        )
        for pending_request in pending_requests:
            connection.respond(pending_request)

    async with (
        ScriptedUpstream(script) as upstream,
        RunningBalancer([upstream.address], extensions=HTTP2_BOTH_SIDES) as balancer,
        ScriptedClient(balancer.port) as client,
    ):
        good = [client.request("/pay", "POST", b"1") for _ in range(2)]
        await wait_until(lambda: len(pending_requests) == 2)
        bad = client.request("/pay", "POST", b"1", x_request_id="bad")

        statuses = [(await client.response(stream_id)).status for stream_id in (*good, bad)]
        assert statuses == [200, 200, 500]
        assert balancer.app.counters["attempts malformed response"] == 1
        assert len(upstream.connections) == 1


async def test_a_silent_connection_is_closed_after_a_ping_and_an_idle_one_gets_no_ping():
    def script(connection, request):
        if len(connection.upstream.connections) == 1 and len(connection.upstream.requests) > 1:
            connection.ignores_input = True
        else:
            connection.respond(request)

    async with (
        ScriptedUpstream(script) as upstream,
        RunningBalancer([upstream.address], extensions=HTTP2_BOTH_SIDES) as balancer,
    ):
        assert (await balancer.request())[0] == 200
        await asyncio.sleep(1.3)  # longer than PING_AFTER_SILENCE_S
        assert upstream.pings == 0

        loop = asyncio.get_running_loop()
        started_at = loop.time()
        status, _ = await balancer.request(
            "/pay", b"POST", b"1", X_Timeout_Ms="60000", X_Request_ID="silent"
        )
        # The attempt ends when the PING times out or at the service class's time limit of 2 s,
        # whichever is first; 30 s is far below the client's timeout. The next request uses a new
        # connection.
        assert status == 500 and loop.time() - started_at < 30
        # The failure made the upstream an outlier, so requests are sent to it only at random.
        while (await balancer.request())[0] != 200:
            await asyncio.sleep(0.1)
        assert len(upstream.connections) == 2


async def test_a_draining_upstream_completes_its_streams_and_gets_no_new_ones():
    release = asyncio.Event()

    async def script(connection, request):
        await release.wait()
        connection.respond(request)

    async with (
        ScriptedUpstream(script) as upstream,
        RunningBalancer([upstream.address], extensions=HTTP2_BOTH_SIDES) as balancer,
        ScriptedClient(balancer.port) as client,
    ):
        first = client.request()
        await wait_until(lambda: upstream.requests)
        draining = endpoint_rows([upstream.address], health="draining")
        balancer.app.discovery.apply(endpoint_list(2, draining))

        later = client.request(x_timeout_ms="300")
        assert (await client.response(later)).status == 503
        assert len(upstream.requests) == 1
        release.set()
        assert (await client.response(first)).status == 200


async def test_a_protocol_in_the_endpoint_list_takes_precedence_over_the_default():
    async with (
        ScriptedUpstream() as http2_upstream,
        ScriptedPeer(lambda *_: make_response(body=b"HTTP/1.1")) as http1_upstream,
        RunningBalancer(extensions=HTTP2_CLIENTS) as balancer,
    ):
        endpoints = endpoint_rows([http2_upstream.address, http1_upstream.address])
        endpoints[0]["protocol"] = "h2"
        balancer.app.discovery.apply(endpoint_list(1, endpoints))

        assert {(await balancer.request())[1] for _ in range(40)} == {b"done", b"HTTP/1.1"}
    assert http2_upstream.requests and http1_upstream.requests


async def test_an_upstreams_stream_limit_is_respected_and_further_requests_wait():
    max_open = 0

    async def script(connection, request):
        nonlocal max_open
        connection.open_requests += 1
        max_open = max(max_open, connection.open_requests)
        await asyncio.sleep(0.02)
        connection.open_requests -= 1
        connection.respond(request)

    async with (
        ScriptedUpstream(script, {SettingCodes.MAX_CONCURRENT_STREAMS: 2}) as upstream,
        RunningBalancer([upstream.address], extensions=HTTP2_BOTH_SIDES) as balancer,
    ):
        assert (await balancer.request())[0] == 200
        [endpoint] = balancer.app.upstreams.endpoints.values()
        requests = [
            endpoint.client.request(
                "GET", "/look", [("x-request-id", FieldValue.ascii(f"w{n}"))], b"", 5
            )
            for n in range(30)
        ]
        statuses = [status for status, _, _ in await asyncio.gather(*requests)]

        assert statuses == [200] * 30
        assert max_open <= 2
        assert len(upstream.connections) <= 4  # MAX_CONNECTIONS
        assert not any(connection.exchanges for connection in endpoint.client.connections)
        assert not endpoint.client.waiters


async def test_an_exhausted_window_of_an_upstream_blocks_only_its_own_stream():
    async with (
        ScriptedUpstream(settings={SettingCodes.INITIAL_WINDOW_SIZE: 10}) as upstream,
        RunningBalancer([upstream.address], extensions=HTTP2_BOTH_SIDES) as balancer,
        ScriptedClient(balancer.port) as client,
    ):
        assert (await client.response(client.request())).status == 200
        upstream.connections[0].replenishes_windows = False

        blocked = client.request("/pay", "POST", b"x" * 100, x_timeout_ms="500")
        assert (await client.response(client.request())).status == 200
        # 500: the attempt timed out. 503 would be right as well: the request was never completely
        # written, so it was provably not executed.
        assert (await client.response(blocked)).status in (500, 503)
        assert len(upstream.requests) == 2
