"""A balancer stays under its memory limit, and serves good clients, beside misbehaving ones."""

import pytest

from tests.http2.fast_client import fast_client
from tests.programs import write_config
from tests.server.balancer_process import BalancerProcess
from tests.server.balancers import endpoint_list, endpoint_rows
from tests.server.client_crowd import crowd
from tests.server.good_clients import MIN_SERVED_SHARE, send_good_requests
from tests.server.limited_balancer import balancer_with_limit
from tests.server.peers import ScriptedPeer, always, make_response

CROWD = 800  # clients, more than the descriptors allow at once
GOOD_CLIENTS = 4
OBSERVED_S = 5.0  # two message timeouts and a half
LEAST_MEMORY_MB = 32  # of the deployments that the pages name


@pytest.mark.parametrize(
    ("play", "clients", "memory_mb"),
    [
        ("tiny_chunks", CROWD, 192),
        ("tiny_chunks", CROWD, 64),
        ("half_body", CROWD, 192),
        ("half_body", CROWD, 64),
        ("short_fields_head", CROWD, 64),
        ("too_many_fields", CROWD, 64),
        ("large_body", CROWD, 64),
        ("large_chunks", CROWD, 64),
        ("random_bytes", 1, 64),
        ("random_bytes", 50, 64),
        ("malformed_chunks", 50, 64),
        ("http2_half_bodies", 100, 64),
        ("http2_endless_header_block", 200, 64),
    ],
)
async def test_crowd_exceeds_neither_memory_limit_nor_share_of_good_clients(
    tmp_path, play, clients, memory_mb
):
    # A process with its limit in its settings was killed for memory beside hundreds of clients.
    async with balancer_with_limit(tmp_path, memory_mb) as balancer:
        with crowd(balancer.port, play, clients):
            responses = await send_good_requests(balancer, OBSERVED_S, GOOD_CLIENTS)
        peak_mb = balancer.peak_memory_mb()

    assert peak_mb < memory_mb
    assert responses.served_share >= MIN_SERVED_SHARE, responses.refusals


async def test_valid_requests_of_one_client_at_full_speed_leave_others_their_share(tmp_path):
    # One HTTP/2 connection used up the admission of all others.
    async with balancer_with_limit(tmp_path, 64) as balancer:
        with fast_client(balancer.port):
            responses = await send_good_requests(balancer, OBSERVED_S, GOOD_CLIENTS)

    assert responses.served_share >= MIN_SERVED_SHARE, responses.refusals


async def test_least_memory_limit_is_kept_beside_one_client(tmp_path):
    async with balancer_with_limit(tmp_path, LEAST_MEMORY_MB) as balancer:
        assert await balancer.status() == 200

        assert balancer.peak_memory_mb() < LEAST_MEMORY_MB


async def test_limit_below_what_the_program_needs_is_logged_and_the_least_is_served(tmp_path):
    async with ScriptedPeer(always(make_response())) as peer:
        known = endpoint_list(1, endpoint_rows([peer.address]))
        limits = {"memory_mb": LEAST_MEMORY_MB}
        balancer = BalancerProcess(write_config(tmp_path, known=known, limits=limits))
        try:
            await balancer.wait_for_event("memory_limit_too_low")
            await balancer.wait_for_event("started")

            assert await balancer.status() == 200
        finally:
            balancer.process.kill()
            balancer.process.wait()
