"""Rule 3 and service while discovery fails, and upstreams that left pass health checks."""

import asyncio
import contextlib
import time

import pytest

from tests.programs import write_config
from tests.server.balancer_process import BalancerProcess
from tests.server.balancers import ENVIRONMENT
from tests.server.failing_discovery import FailingDiscovery, Upstream
from tests.server.peers import make_response

# The protocol page: a change counts as notified 6 s after discovery had it and could be reached.
NOTIFIED_AFTER_S = 6.0
GRACE_S = 0.3
SLACK_S = 0.05
# The index of a balancer in its fleet determines when it polls, so several are observed.
FLEET_SIZE = 102
INDEXES = range(0, FLEET_SIZE, 17)
UPSTREAMS, LEAVING = 4, 2
ANSWERED_S = 1.0  # for which discovery answers before it fails
OBSERVED_AFTER_S = 9.5  # the end of its failure
REQUEST_INTERVAL_S = 0.1
MIN_SERVED_SHARE = 0.95  # of the requests during an outage in which health checks count


def refuse(after_s, retry_after_s=0):
    """Return a script that answers 503 after a while."""
    headers = b"Retry-After: %d\r\n" % retry_after_s if retry_after_s else b""

    async def script(*_):
        await asyncio.sleep(after_s)
        return make_response(503, headers=headers)

    return script


async def reset(*_):
    return (b"",)


async def never_answer(*_):
    return None


class Observation:
    """What six balancers of a fleet sent while discovery failed and after its return."""

    def __init__(self, upstreams):
        self.upstreams = upstreams
        self.statuses = []  # (time, status) of all requests
        self.failed_at = self.returned_at = None

    def late_sends(self):
        """Return how late, in seconds, requests reached upstreams that had left the list."""
        allowed_until = self.returned_at + NOTIFIED_AFTER_S + GRACE_S + SLACK_S
        served_at = [at for upstream in self.upstreams[:LEAVING] for at in upstream.served_at]
        return [round(at - allowed_until, 2) for at in served_at if at > allowed_until]

    def served_share(self):
        """Return the share of requests that were served while discovery failed."""
        statuses = [
            status for at, status in self.statuses if self.failed_at <= at < self.returned_at
        ]
        return statuses.count(200) / len(statuses)


async def send_requests(balancer, statuses):
    """Send requests one after another until cancelled."""
    while True:
        began_at = time.monotonic()
        statuses.append((began_at, await balancer.status()))
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def start_balancer(directory, discovery, index):
    """Start a balancer of the fleet as a process of its own."""
    directory.mkdir()
    settings = ENVIRONMENT | {
        "discovery": "ask",
        "me": index,
        "groupSize": FLEET_SIZE,
        "safety": {"askWithinUs": 10_000_000, "drainGraceUs": 300_000},
    }
    environment = write_config(directory, discovery=discovery.address, settings=settings)
    balancer = BalancerProcess(environment)
    await balancer.wait_for_event("list_known")
    return balancer


@contextlib.asynccontextmanager
async def running_fleet(directory, discovery):
    """Run some balancers of a fleet."""
    balancers = await asyncio.gather(
        *(start_balancer(directory / str(index), discovery, index) for index in INDEXES)
    )
    try:
        yield balancers
    finally:
        for balancer in balancers:
            balancer.process.terminate()
        await asyncio.gather(*(balancer.read_rest_of_log() for balancer in balancers))


@contextlib.asynccontextmanager
async def running_upstreams():
    """Run upstreams that pass health checks all the time."""
    async with contextlib.AsyncExitStack() as stack:
        yield [await stack.enter_async_context(Upstream()) for _ in range(UPSTREAMS)]


async def observe_outage(directory, fail, outage_s):
    """Let discovery fail, and half of the upstreams leave the list as it begins to fail."""
    async with running_upstreams() as upstreams:
        addresses = [upstream.address for upstream in upstreams]
        async with (
            FailingDiscovery(addresses, silences_watches=fail is never_answer) as discovery,
            running_fleet(directory, discovery) as balancers,
        ):
            observation = Observation(upstreams)
            sending = asyncio.gather(
                *(send_requests(balancer, observation.statuses) for balancer in balancers)
            )
            await asyncio.sleep(ANSWERED_S)
            discovery.begin_to_fail(fail)
            discovery.remove(LEAVING)
            observation.failed_at = time.monotonic()
            await asyncio.sleep(outage_s)
            await discovery.end_failure()
            observation.returned_at = time.monotonic()
            await asyncio.sleep(OBSERVED_AFTER_S)
            sending.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await sending
            return observation


@pytest.mark.parametrize(
    "fail, outage_s, min_served_share",
    [
        pytest.param(refuse(0.0), 13.0, MIN_SERVED_SHARE, id="refuse_at_once"),
        pytest.param(refuse(1.0), 13.0, MIN_SERVED_SHARE, id="refuse_after_1_s"),
        pytest.param(refuse(2.0), 13.0, MIN_SERVED_SHARE, id="refuse_after_2_s"),
        pytest.param(reset, 13.0, MIN_SERVED_SHARE, id="reset_at_once"),
        pytest.param(None, 13.0, MIN_SERVED_SHARE, id="unreachable"),
        # A service that keeps polls is running, and one that says when to poll again is obeyed.
        pytest.param(never_answer, 9.0, 0.0, id="never_answer"),
        pytest.param(refuse(0.0, retry_after_s=20), 9.0, 0.0, id="retry_after"),
    ],
)
async def test_trust_in_health_checks_ends_when_a_change_counts_as_notified(
    tmp_path, fail, outage_s, min_served_share
):
    # A failed poll permitted sends by health checks until the next poll, whenever that came.
    observation = await observe_outage(tmp_path, fail, outage_s)

    assert not observation.late_sends()
    assert observation.served_share() >= min_served_share, "an outage does not end the service"
