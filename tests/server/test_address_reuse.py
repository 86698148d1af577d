"""A new process at the address of one that has gone is not taken for the old one."""

import asyncio
import time

import pytest

from tests.programs import write_config
from tests.server.balancer_process import BalancerProcess
from tests.server.balancers import ENVIRONMENT, encode_endpoint_list, endpoint_rows
from tests.server.peers import ScriptedPeer, make_response, request_target

OBSERVED_S = 1.0
REQUESTS_AT_ONCE = 4
RECOVERY_US = 10_000_000
START_CAPACITY = 0.1
SETTINGS = ENVIRONMENT | {
    "discovery": "ask",
    "safety": {
        "askWithinUs": 10_000_000,
        "drainGraceUs": 300_000,
        "startCapacity": START_CAPACITY,
        "warmWithinUs": RECOVERY_US,
    },
}


class ListService(ScriptedPeer):
    """Answers the first poll with a list, and those after ``publish`` with a second one."""

    def __init__(self, lists):
        super().__init__(self.answer)
        self.lists = lists
        self.published = asyncio.Event()
        self.applied = asyncio.Event()  # the balancer polls for what comes after the second list

    async def answer(self, head, _):
        if b"since=" not in head:
            return make_response(body=self.lists[0])
        if b"since=2" in head:
            self.applied.set()
            return None
        await self.published.wait()
        return make_response(body=self.lists[1])


@pytest.mark.parametrize("whole", [True, False], ids=["whole list", "changes"])
async def test_new_process_at_a_listed_address_replaces_the_one_before(tmp_path, whole):
    # Both were sent to as if they were two processes: the warm one's share went to the cold one.
    async def serve(*_):
        return make_response()

    async with ScriptedPeer(serve) as first, ScriptedPeer(serve) as second:
        rows = endpoint_rows([first.address, second.address])
        started_ms = int(time.time() * 1000)
        new_row = {**rows[0], "host": "h9", "born_ms": started_ms}
        lists = [
            encode_endpoint_list(1, rows),
            encode_endpoint_list(2, [*rows, new_row] if whole else [new_row], whole),
        ]
        async with ListService(lists) as service:
            environment = write_config(tmp_path, discovery=service.address, settings=SETTINGS)
            balancer = BalancerProcess(environment)
            try:
                await balancer.wait_for_event("list_known")
                for _ in range(20):
                    assert await balancer.status() == 200
                service.published.set()
                await service.applied.wait()
                served = await count_served(balancer, first, second)
            finally:
                balancer.process.kill()
                balancer.process.wait()

    at_new_process, elsewhere = served
    assert elsewhere > 0
    # The terms' budget of an upstream in slow start, of less than 30 calls.
    allowed = START_CAPACITY * (at_new_process + elsewhere) / 2
    assert at_new_process <= allowed + 3 * allowed**0.5 + 3


async def count_served(balancer, first, second):
    """Send requests for a while; return how many reached each upstream."""
    before = count_requests(first), count_requests(second)
    ends_at = time.monotonic() + OBSERVED_S
    while time.monotonic() < ends_at:
        await asyncio.gather(*(balancer.status() for _ in range(REQUESTS_AT_ONCE)))
    return count_requests(first) - before[0], count_requests(second) - before[1]


def count_requests(upstream):
    """Return how many requests reached an upstream, without health checks."""
    return sum(request_target(head) == b"/look" for head, _ in upstream.requests)
