"""Request contexts passed through tiers of balancers on loopback."""

import asyncio

from pepperhook.request_context.retry_allowance import MIN_CAPACITY
from pepperhook.server.extensions import Extensions
from tests.request_context.contexts import make_context
from tests.request_context.tiers import Tier, make_extension, signed
from tests.server.balancers import RunningBalancer, wait_until
from tests.server.peers import ScriptedPeer, make_response


async def test_three_tiers_carry_time_retries_and_priority_and_receive_results():
    async with (
        Tier(make_extension("z"), status=500) as last,
        Tier(make_extension("m"), last) as middle,
        Tier(make_extension("e", entry=True), middle) as edge,
    ):
        status, _ = await edge.balancer.request(X_Request_ID="op1", X_Timeout_Ms="700")
        contexts = [tier.first_context() for tier in (edge, middle, last)]

    assert status == 503
    assert [context.request_id for context in contexts] == ["op1"] * 3
    assert [context.depth for context in contexts] == [1, 2, 3]
    assert [context.priority_weight for context in contexts] == [1.0] * 3
    assert 700 > contexts[0].remaining_ms > contexts[2].remaining_ms > 500
    assert len(contexts[2].hops) == 3
    assert edge.calls + middle.calls + last.calls <= 3 + contexts[0].retries
    assert not edge.extension.policy.rejected_values
    assert edge.extension.policy.reporting_upstreams
    assert not last.extension.policy.reporting_upstreams


async def test_middle_tier_that_shuts_down_ends_its_open_requests():
    async with (
        Tier(make_extension("z")) as last,
        Tier(make_extension("m"), last) as middle,
        Tier(make_extension("e", entry=True), middle) as edge,
    ):
        release = asyncio.Event()
        respond_at_once = last.peer.script

        async def respond_once_released(head, body):
            await release.wait()
            return await respond_at_once(head, body)

        last.peer.script = respond_once_released
        response = asyncio.ensure_future(edge.balancer.request(X_Timeout_Ms="1500"))
        await wait_until(lambda: middle.extension.in_flight)

        shutdown = asyncio.ensure_future(middle.balancer.app.http_server.close(0.05, 5))
        await asyncio.sleep(0.1)
        release.set()

        assert (await response)[0] == 200
        await shutdown
        # The next request finds no middle tier: it gets a response, and its retries are returned.
        assert (await edge.balancer.request(X_Timeout_Ms="300"))[0] in (500, 503)
        await wait_until(lambda: not edge.extension.in_flight)
        assert edge.extension.policy.entry_budget.tokens > MIN_CAPACITY - 2


async def test_cycle_through_two_balancers_ends_after_one_pass():
    async with (
        Tier(make_extension("b")) as second,
        Tier(make_extension("a"), second) as first,
    ):
        second.below = first

        status, _ = await first.balancer.request(X_Timeout_Ms="900")

    assert status == 503
    assert (first.calls, second.calls) == (1, 1)
    counters = first.balancer.counters
    assert counters["chain loops"] == 1
    assert counters["attempts started"] == 1


async def test_lower_tier_rejects_requests_with_the_lowest_priority_in_their_context_first():
    release = asyncio.Event()

    async def respond(_head, _body):
        await release.wait()
        return make_response()

    extensions = Extensions([make_extension("m")])
    async with (
        ScriptedPeer(respond) as peer,
        RunningBalancer([peer.address], extensions) as balancer,
    ):

        def send_request(number, weight):
            request_id = f"w{number}"
            context = make_context(request_id, remaining_ms=1900, retries=0, priority_weight=weight)
            response = balancer.request(Pepperhook_Chain=signed(context), X_Request_ID=request_id)
            return asyncio.ensure_future(response)

        first = [send_request(number, 1.0) for number in range(3)]
        await wait_until(lambda: len(peer.requests) == 3)
        # No upstream has capacity now. Beyond two queued requests, the lowest priority is rejected.
        low = [send_request(number, 1.0) for number in range(10, 12)]
        await wait_until(lambda: len(balancer.policy.admission.queue) == 2)
        high = [send_request(number, 50.0) for number in range(20, 22)]

        assert [(await response)[0] for response in low] == [503, 503]
        assert not any(response.done() for response in high)
        release.set()
        assert [(await response)[0] for response in first + high] == [200] * 5
