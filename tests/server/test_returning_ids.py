"""Rule 2 for an id that comes again after its client has left."""

import asyncio

import pytest

from tests.programs import write_config
from tests.server.balancer_process import BalancerProcess
from tests.server.balancers import endpoint_list, endpoint_rows, wait_until, with_service_classes
from tests.server.peers import ScriptedPeer, make_response, request_target

TIME_LIMIT_S = 0.5
LEAVES_AFTER_S = 0.1  # once its request is at the upstream


@pytest.mark.parametrize("leaves", ["reset", "end of file"])
async def test_unsafe_request_of_a_client_that_left_never_runs_again(tmp_path, leaves):
    # An id was forgotten after the longest time limit, and ran a second time.
    async def run_slowly(head, _):
        if request_target(head) != b"/ping":
            await asyncio.sleep(LEAVES_AFTER_S)
        return make_response()

    async with ScriptedPeer(run_slowly) as upstream:
        known = endpoint_list(1, endpoint_rows([upstream.address]))
        settings = with_service_classes(timeLimitUs=int(TIME_LIMIT_S * 1e6))
        balancer = BalancerProcess(write_config(tmp_path, known=known, settings=settings))
        try:
            await balancer.wait_for_event("started")
            _, writer = await balancer.send_request("/pay", b"POST", b"1", X_Request_ID="one")
            await wait_until(lambda: _runs(upstream))
            if leaves == "reset":
                writer.transport.abort()
            else:
                writer.close()
            await asyncio.sleep(4 * TIME_LIMIT_S)

            assert await balancer.status("/pay", b"POST", b"1", X_Request_ID="one") == 409
            assert await balancer.status("/pay", b"POST", b"1", X_Request_ID="two") == 200
        finally:
            balancer.process.kill()
            balancer.process.wait()

    assert _runs(upstream) == 2


def _runs(upstream):
    return sum(request_target(head) == b"/pay" for head, _ in upstream.requests)
