"""Latency objectives over HTTP, with an upstream that never responds."""

from tests.server.balancers import RunningBalancer, with_permissions, with_service_classes
from tests.server.peers import ScriptedPeer, always

CANCELLING = with_permissions(cancel=True)["permissions"]


def environment(objective_us, **more):
    return with_service_classes(goalTimeUs=objective_us) | {"permissions": CANCELLING} | more


async def test_request_is_rejected_and_its_attempt_cancelled_at_the_objective():
    async with (
        ScriptedPeer(always(None)) as peer,
        RunningBalancer([peer.address], env=environment(300000)) as balancer,
    ):
        assert await balancer.status() == 503

        assert balancer.counters["responses rejected"] == 1
        assert balancer.counters["attempts cancelled"] == 1 == len(peer.requests)


async def test_marked_retry_adds_a_sample_to_client_waits():
    env = environment(500000, goal={"tail": 0.3}, callers={"marksRetry": True})
    async with (
        ScriptedPeer(always(None)) as peer,
        RunningBalancer([peer.address], env=env) as balancer,
    ):
        completion = balancer.policy.completion
        assert await balancer.status() == 503
        assert completion.given_up.weight == 1 and not completion.client_waits.weight

        assert await balancer.status(X_Retried="1") == 503

        assert completion.client_waits.weight == 1
        assert len(peer.requests) <= 2
