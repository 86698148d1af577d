"""Many requests over HTTP: one final response for each, and no state left after them."""

import asyncio
import random
from collections import defaultdict

from tests.server.balancers import (
    RunningBalancer,
    endpoint_list,
    endpoint_rows,
    wait_until,
)
from tests.server.peers import ScriptedPeer, header_value, make_response

NOT_PROCESSED = b"X-Not-Processed: 1\r\n"


class ExecutionCount:
    """A script with random responses, which counts the executions of each request."""

    RESPONSES = [make_response()] * 6 + [
        make_response(500),
        make_response(503, headers=NOT_PROCESSED),
        (b"",),
    ]

    def __init__(self, draw):
        self.draw = draw
        self.by_request_id = defaultdict(int)

    async def __call__(self, head, _):
        await asyncio.sleep(self.draw.random() * 0.02)
        response = self.draw.choice(self.RESPONSES)
        content = response[0] if isinstance(response, tuple) else response
        if NOT_PROCESSED not in content:
            self.by_request_id[header_value(head, b"X-Request-ID").decode()] += 1
        return response


async def send_random_request(balancer, draw, request_id):
    """Send a random request; return its path and status, None if the client leaves."""
    path, method = draw.choice([("/look", b"GET"), ("/pay", b"POST"), ("/hold", b"POST")])
    key = {"Idempotency_Key": f"k{request_id}"} if path == "/hold" else {}
    reader, writer = await balancer.send_request(path, method, X_Request_ID=request_id, **key)
    if draw.random() < 0.1:
        writer.close()
        return path, None
    status, _ = await balancer.read_response(reader)
    writer.write_eof()
    assert await reader.read() == b"", "nothing follows the response"
    writer.close()
    return path, status


async def test_random_requests_get_one_response_each_and_no_unsafe_one_is_executed_twice():
    draw = random.Random(4)
    executions = ExecutionCount(draw)

    async def run_client(balancer, number):
        for at in range(25):
            await asyncio.sleep(draw.random() * 0.02)
            request_id = f"{number}-{at}"
            path, status = await send_random_request(balancer, draw, request_id)
            if status is None:
                continue
            executed = executions.by_request_id[request_id]
            assert status in (200, 500, 503)
            assert status != 200 or executed >= 1
            assert path != "/pay" or executed <= 1
            assert path != "/pay" or status != 503 or executed == 0

    async with (
        ScriptedPeer(executions) as first,
        ScriptedPeer(executions) as second,
        ScriptedPeer(executions) as third,
        RunningBalancer([first.address, second.address, third.address]) as balancer,
    ):
        await asyncio.gather(*(run_client(balancer, number) for number in range(12)))
        counters = balancer.counters
        await wait_until(lambda: not balancer.app.requests.tasks)

        assert counters["taken"] >= 250 and counters["clients left"] > 0
        assert counters["taken"] == counters["clients left"] + sum(
            counters[f"responses {kind}"] for kind in ("served", "rejected", "failed")
        )
        received = len(first.requests) + len(second.requests) + len(third.requests)
        assert received <= counters["attempts started"]
        assert counters["attempts started"] > counters["taken"] * 0.8


async def test_requests_of_clients_that_left_are_removed(release):
    async with (
        ScriptedPeer(release.then(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        counters = balancer.counters
        for accepted in range(5):
            _, writer = await balancer.send_request()
            await wait_until(lambda accepted=accepted: counters["taken"] != accepted)
            writer.close()
        _, writer = await balancer.send_request("/pay", b"POST", b"1")
        writer.transport.abort()
        release.set()

        await wait_until(lambda: not balancer.app.requests.tasks)

        assert counters["clients left"] >= 5
        assert counters["responses served"] == 0


TURNS, REQUESTS_PER_TURN = 12, 20


async def test_state_stays_bounded_over_many_new_ids_keys_tenants_and_upstreams():
    draw = random.Random(8)
    valid = make_response(body=b"own")
    responses = [make_response()] * 8 + [make_response(500), b"noise", valid + b"x", (b"",)]
    async with (
        ScriptedPeer(lambda *_: draw.choice(responses)) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        app, connections = balancer.app, balancer.connections
        for turn in range(TURNS):
            rows = endpoint_rows([peer.address] * 4)
            renamed = [row | {"host": f"{row['host']}-{turn}"} for row in rows]
            app.discovery.apply(endpoint_list(turn + 2, renamed))
            for at in range(REQUESTS_PER_TURN):
                await balancer.request(
                    "/hold",
                    b"POST",
                    b"1",
                    X_Request_ID=f"{turn}-{at}",
                    Idempotency_Key=f"{turn}{at}",
                    X_Tenant_Id=f"c{turn}{at}",
                )
            assert len(app.discovery.known) == 4
            assert len(app.upstreams.endpoints) == 4
            assert len(balancer.policy.subset.ring.listed) == 4

        ids = app.ingress.ids
        assert len(ids.known) + len(ids.executed) <= TURNS * REQUESTS_PER_TURN
        await wait_until(
            lambda: not (app.requests.tasks or app.upstreams.closing or connections.count)
        )
        assert not app.runtime.inboxes and not app.upstreams.tasks
        assert not balancer.policy.admission.queue
        assert sum(known.fileno() != -1 for known in app.upstreams.sockets) <= 4
        assert ids.known == {request_id for _, request_id in ids.ended}
        assert len(ids.ended) + len(ids.executed) == TURNS * REQUESTS_PER_TURN
