"""Clients that send valid requests, and what they get beside a misbehaving crowd."""

import asyncio
from dataclasses import dataclass, field

REQUEST_INTERVAL_S = 0.1
RESPONSE_TIMEOUT_S = 3  # longer than the time limit of the service class


@dataclass
class Responses:
    """What clients got that sent one valid request each."""

    statuses: list[int | None] = field(default_factory=list)  # None: no response in time
    latencies_s: list[float] = field(default_factory=list)

    @property
    def served_share(self):
        """The share of requests that were answered with status 200."""
        return self.statuses.count(200) / len(self.statuses)

    @property
    def median_latency_s(self):
        """The median time to a response, or to the timeout."""
        return sorted(self.latencies_s)[len(self.latencies_s) // 2]


async def send_good_requests(balancer, duration_s):
    """Send valid requests, each on a new connection; return what the clients got."""
    responses = Responses()
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + duration_s
    while loop.time() < ends_at:
        started_at = loop.time()
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                status = await balancer.status()
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            status = None
        responses.statuses.append(status)
        responses.latencies_s.append(loop.time() - started_at)
        await asyncio.sleep(REQUEST_INTERVAL_S)
    return responses
