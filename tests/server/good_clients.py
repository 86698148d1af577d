"""Clients that send valid requests, and what they get beside a misbehaving crowd."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

OK = 200
MIN_SERVED_SHARE = 0.9  # docs/client-limits.md: of good clients beside misbehaving ones
REQUEST_INTERVAL_S = 0.1
RESPONSE_TIMEOUT_S = 3  # longer than the time limit of the service class


@dataclass
class Responses:
    """What clients got that sent one valid request each."""

    statuses: list[int | None] = field(default_factory=list)  # None: no response in time
    latencies_s: list[float] = field(default_factory=list)
    refusals: Counter[bytes] = field(default_factory=Counter)  # bodies of other responses

    @property
    def served_share(self):
        """The share of requests that were answered with status 200."""
        return self.statuses.count(OK) / len(self.statuses)

    @property
    def median_latency_s(self):
        """The median time to a response, or to the timeout."""
        return sorted(self.latencies_s)[len(self.latencies_s) // 2]


async def send_good_requests(balancer, duration_s, clients=1):
    """Send valid requests, each on a new connection; return what the clients got."""
    responses = Responses()
    await asyncio.gather(
        *(_send_one_after_another(balancer, duration_s, responses) for _ in range(clients))
    )
    return responses


async def _send_one_after_another(balancer, duration_s, responses):
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + duration_s
    while loop.time() < ends_at:
        started_at = loop.time()
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                status, body = await balancer.request()
            if status != OK:
                responses.refusals[body] += 1
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            status = None
        responses.statuses.append(status)
        responses.latencies_s.append(loop.time() - started_at)
        await asyncio.sleep(REQUEST_INTERVAL_S)
