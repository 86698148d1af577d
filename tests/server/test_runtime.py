"""Runtime: faults of the policy, attempts that nobody sends, and lateness of the process."""

import asyncio
import time

from pepperhook.domain import Outcome, Request
from pepperhook.units import MILLISECOND, SECOND
from tests.server.balancers import RunningBalancer, wait_until
from tests.server.peers import ScriptedPeer, always, header_value, make_response


async def test_fault_of_the_policy_fails_one_request_and_the_balancer_continues(monkeypatch):
    def fail(*_):
        raise ZeroDivisionError("injected")

    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        with monkeypatch.context() as patched:
            patched.setattr(balancer.policy.capacity, "allows", fail)
            assert await balancer.status(X_Timeout_Ms="200") in (500, 503)

        assert balancer.counters["faults of the module"] >= 1
        assert await balancer.status() == 200


async def test_attempt_of_a_request_without_a_lifecycle_is_reported_as_not_sent():
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        runtime = balancer.app.runtime
        service_class = balancer.policy.settings.service_classes[0]
        request = Request("x", service_class, None, None, runtime.now() + SECOND)

        runtime.call_policy(balancer.policy.accept, request)
        await wait_until(lambda: request.attempts[0].outcome is not None)

        assert request.attempts[0].outcome == Outcome.NOT_SENT
        assert not peer.requests


async def test_lateness_of_the_process_is_subtracted_from_the_time_limit():
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], measures_lateness=True) as balancer,
    ):
        assert await balancer.status() == 200
        runtime = balancer.app.runtime

        runtime.worst_lateness = (600 * MILLISECOND, runtime.now() + SECOND // 5)
        assert await balancer.status(X_Timeout_Ms="1500") == 503
        assert len(peer.requests) == 1
        assert balancer.counters["too late"] == 1

        for lateness_ns, max_ms in ((200 * MILLISECOND, 1000), (0, 1500)):
            runtime.worst_lateness = (lateness_ns, runtime.now() + SECOND // 10)
            assert await balancer.status(X_Timeout_Ms="1500") == 200
            head, _ = peer.requests[-1]
            assert max_ms - 400 < int(header_value(head, b"X-Timeout-Ms")) < max_ms


async def test_request_that_waited_during_a_stall_is_rejected_and_later_ones_are_served():
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], measures_lateness=True) as balancer,
    ):
        assert await balancer.status() == 200
        reader, writer = await balancer.send_request(X_Timeout_Ms="900")
        await asyncio.sleep(0)

        time.sleep(0.6)

        assert (await balancer.read_response(reader))[0] == 503
        writer.close()
        while await balancer.status(X_Timeout_Ms="900") != 200:
            await asyncio.sleep(0.05)
        assert len(peer.requests) == 2
