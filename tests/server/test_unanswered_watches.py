"""Rule 3 while polls of the endpoint list stay unanswered: nothing new to a draining upstream."""

import asyncio
import contextlib
import socket
import time

import pytest

from tests.programs import write_config
from tests.server.balancer_process import BalancerProcess
from tests.server.balancers import ENVIRONMENT, encode_endpoint_list, endpoint_rows
from tests.server.failing_discovery import Upstream
from tests.server.peers import ScriptedPeer, make_response

# The protocol page: a change counts as notified 6 s after discovery had it; grace and slack after.
NOTIFIED_AFTER_S = 6.0
GRACE_S = 0.3
SLACK_S = 0.05
OBSERVED_S = 9.0  # two polls that end after 2.3 s, and their notification time
HOLD_S = 2.3  # longer than the service queues a poll, shorter than the watch waits
QUEUED_S = 1.9  # shorter than the service queues a poll
REQUEST_INTERVAL_S = 0.05
FULL_BACKLOG = 4  # connections that fill a backlog of 0
SETTINGS = ENVIRONMENT | {
    "discovery": "ask",
    "safety": {"askWithinUs": 10_000_000, "drainGraceUs": 300_000},
}


async def hold_and_refuse(*_):
    await asyncio.sleep(HOLD_S)
    return make_response(503)


async def queue_and_refuse(*_):
    await asyncio.sleep(QUEUED_S)
    return make_response(503)


async def hold_and_reset(*_):
    await asyncio.sleep(HOLD_S)
    return (b"",)


async def never_answer(*_):
    return None


class OneListService(ScriptedPeer):
    """A service that answers one poll; all later ones end as ``end_poll`` says."""

    def __init__(self, addresses, end_poll):
        super().__init__(self.respond_to_poll)
        self.addresses = addresses
        self.end_poll = end_poll
        self.answered_at = None

    async def respond_to_poll(self, head, body):
        if self.answered_at is not None:
            return await self.end_poll(head, body)
        self.answered_at = time.monotonic()
        return make_response(body=encode_endpoint_list(1, endpoint_rows(self.addresses)))


async def send_requests(balancer, until):
    """Send requests one after another up to a time; return their statuses."""
    statuses = []
    while time.monotonic() < until:
        statuses.append(await balancer.status())
        await asyncio.sleep(REQUEST_INTERVAL_S)
    return statuses


@contextlib.contextmanager
def full_listener(port):
    """Listen on a port with a full backlog, so that new connections are never established."""
    with contextlib.ExitStack() as sockets:
        listener = sockets.enter_context(socket.socket())
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", port))
        listener.listen(0)
        for _ in range(FULL_BACKLOG):
            waiting = sockets.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(("127.0.0.1", port))
        yield


async def end_process(balancer):
    balancer.process.terminate()
    return await balancer.read_rest_of_log()


async def observe_sends(directory, service, upstream):
    """Return the times of the requests at ``upstream``, from the service's only answer on."""
    environment = write_config(directory, discovery=service.address, settings=SETTINGS)
    balancer = BalancerProcess(environment)
    try:
        await balancer.wait_for_event("list_known")
        statuses = await send_requests(balancer, service.answered_at + OBSERVED_S)
    finally:
        await end_process(balancer)
    assert statuses.count(200) > 10, "the list is used while it is current"
    return [at - service.answered_at for at in upstream.served_at]


@pytest.mark.parametrize("end_poll", [hold_and_refuse, hold_and_reset, never_answer])
async def test_watch_that_ends_without_an_answer_does_not_confirm_the_list(tmp_path, end_poll):
    # A watch that was open for 2.1 s counted as held by the service, and confirmed the list.
    async with (
        Upstream(health_status=503) as upstream,
        OneListService([upstream.address], end_poll) as service,
    ):
        sends = await observe_sends(tmp_path, service, upstream)

    # The upstream begins to drain just after the only answer.
    assert max(sends) <= NOTIFIED_AFTER_S + GRACE_S + SLACK_S
    assert max(sends) > NOTIFIED_AFTER_S - 1, "service goes on as long as the rules allow"


@pytest.mark.parametrize("end_poll", [queue_and_refuse, never_answer])
async def test_draining_upstream_that_passes_health_checks_gets_no_new_requests(tmp_path, end_poll):
    # A passed health check counted as proof that the endpoint list has the upstream as ready.
    async with (
        Upstream() as upstream,
        OneListService([upstream.address], end_poll) as service,
    ):
        sends = await observe_sends(tmp_path, service, upstream)

    assert max(sends) <= NOTIFIED_AFTER_S + GRACE_S + SLACK_S


async def test_poll_whose_connection_is_never_established_does_not_confirm_the_list(tmp_path):
    # The timer of a poll ran from its beginning, whether or not anything had been written.
    def answer_once(*_):
        return make_response(body=encode_endpoint_list(1, endpoint_rows([upstream.address])))

    async with Upstream(health_status=503) as upstream, ScriptedPeer(answer_once) as service:
        port = int(service.address.rpartition(":")[2])
        environment = write_config(tmp_path, discovery=service.address, settings=SETTINGS)
        balancer = BalancerProcess(environment)
        try:
            await balancer.wait_for_event("list_known")
            answered_at = time.monotonic()
            service.close()
            with full_listener(port):
                await send_requests(balancer, answered_at + OBSERVED_S)
        finally:
            log = await end_process(balancer)

    assert "list_failed" in log
    sends = [at - answered_at for at in upstream.served_at]
    assert max(sends) <= NOTIFIED_AFTER_S + GRACE_S + SLACK_S
