"""A balancer that has a part of a core serves good clients beside misbehaving ones."""

from tests.http2.fast_client import fast_client
from tests.server.client_crowd import crowd
from tests.server.good_clients import MIN_SERVED_SHARE, send_good_requests
from tests.server.limited_balancer import balancer_with_limit, quarter_of_a_core

MEMORY_MB = 64
CROWD = 800
GOOD_CLIENTS = 4
OBSERVED_S = 5.0


async def test_valid_requests_of_one_client_at_full_speed_leave_others_their_share(tmp_path):
    async with (
        balancer_with_limit(tmp_path, MEMORY_MB) as balancer,
        quarter_of_a_core(balancer.process),
    ):
        with fast_client(balancer.port):
            responses = await send_good_requests(balancer, OBSERVED_S, GOOD_CLIENTS)

    assert responses.served_share >= MIN_SERVED_SHARE, responses.refusals


async def test_crowd_leaves_good_clients_their_share(tmp_path):
    # Connections of good clients wait in the backlog, behind those of hundreds that come again.
    async with (
        balancer_with_limit(tmp_path, MEMORY_MB) as balancer,
        quarter_of_a_core(balancer.process),
    ):
        with crowd(balancer.port, "half_body", CROWD):
            responses = await send_good_requests(balancer, OBSERVED_S, GOOD_CLIENTS)

    assert responses.served_share >= MIN_SERVED_SHARE, responses.refusals
