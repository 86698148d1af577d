"""EndpointDiscovery: polls and watches, and what it reports to the policy."""

import asyncio

import pytest

from pepperhook.balancer import Balancer
from pepperhook.domain import PollFailure
from pepperhook.policy import endpoints
from pepperhook.server import endpoint_discovery
from tests.server.balancers import (
    RunningBalancer,
    encode_endpoint_list,
    endpoint_list,
    endpoint_rows,
    polling,
    wait_until,
)
from tests.server.peers import ScriptedPeer, always, make_response, request_target

SECOND = 10**9
POLLING = polling(within_us=10**9)
ONE_ENDPOINT = make_response(body=encode_endpoint_list(1, endpoint_rows(["127.0.0.1:9"])))
UNCHANGED = make_response(body=encode_endpoint_list(1, [], whole=False))


class PolicyCalls:
    """Records the failures and confirmations of polls that the policy is notified of."""

    def __init__(self, monkeypatch):
        self.failures = asyncio.Queue()
        self.confirmations = asyncio.Queue()
        plain_failed, plain_confirmed = (
            Balancer.on_endpoint_poll_failed,
            Balancer.on_endpoints_confirmed,
        )

        def failed(policy, now, failure, retry_after_ns):
            self.failures.put_nowait((failure, retry_after_ns))
            plain_failed(policy, now, failure, retry_after_ns)

        def confirmed(policy, at):
            self.confirmations.put_nowait(policy.now - at)
            plain_confirmed(policy, at)

        monkeypatch.setattr(Balancer, "on_endpoint_poll_failed", failed)
        monkeypatch.setattr(Balancer, "on_endpoints_confirmed", confirmed)


@pytest.mark.parametrize(
    "response, failure, retry_after_ns",
    [
        (make_response(503), PollFailure.REFUSED, 0),
        (make_response(503, headers=b"Retry-After: 1.5\r\n"), PollFailure.REFUSED, 3 * SECOND // 2),
        (make_response(503, headers=b"Retry-After: soon\r\n"), PollFailure.REFUSED, 0),
        (make_response(503, headers=b"Retry-After: -4\r\n"), PollFailure.REFUSED, 0),
        (make_response(503, headers=b"Retry-After: 9999\r\n"), PollFailure.REFUSED, 60 * SECOND),
        (make_response(body=b"[]"), PollFailure.REFUSED, 0),
        ((b"",), PollFailure.INTERRUPTED, 0),
        (None, PollFailure.SILENT, 0),
    ],
)
async def test_policy_is_notified_of_the_kind_of_a_failed_poll(
    response, failure, retry_after_ns, monkeypatch
):
    monkeypatch.setattr(endpoint_discovery, "FETCH_TIMEOUT_S", 0.2)
    calls = PolicyCalls(monkeypatch)
    async with (
        ScriptedPeer(always(response)) as service,
        RunningBalancer(discovery=service.address, env=POLLING),
    ):
        assert await calls.failures.get() == (failure, retry_after_ns)


async def test_service_that_refuses_connections_is_unreachable(monkeypatch):
    calls = PolicyCalls(monkeypatch)
    async with ScriptedPeer(always(make_response())) as closed:
        pass
    async with RunningBalancer(discovery=closed.address, env=POLLING):
        assert (await calls.failures.get())[0] is PollFailure.UNREACHABLE


@pytest.mark.parametrize("response", [make_response(503), (b"",)])
async def test_poll_that_fails_after_longer_than_it_can_be_queued_was_held(response, monkeypatch):
    monkeypatch.setattr(endpoint_discovery, "MAX_QUEUE_TIME_NS", 0)
    calls = PolicyCalls(monkeypatch)
    async with (
        ScriptedPeer(always(response)) as service,
        RunningBalancer(discovery=service.address, env=POLLING),
    ):
        assert await calls.failures.get() == (PollFailure.HELD, 0)


async def test_answer_confirms_the_list_as_of_its_poll(monkeypatch, release):
    calls = PolicyCalls(monkeypatch)

    async def script(head, _):
        if b"since" not in head:
            await asyncio.sleep(0.05)
            return ONE_ENDPOINT
        await release.wait()
        return UNCHANGED

    async with (
        ScriptedPeer(script) as service,
        RunningBalancer(discovery=service.address, env=POLLING),
    ):
        assert await calls.confirmations.get() >= SECOND // 20, "the whole list"
        await wait_until(lambda: len(service.requests) == 2)
        began_at = asyncio.get_running_loop().time()
        await asyncio.sleep(0.05)
        release.set()
        assert await calls.confirmations.get() >= SECOND // 20, "no changes, before the wait's end"
        assert asyncio.get_running_loop().time() >= began_at + 0.05
        assert calls.failures.empty()


async def test_answer_without_changes_after_the_whole_wait_confirms_the_list_as_of_its_end(
    monkeypatch,
):
    calls = PolicyCalls(monkeypatch)

    async def script(head, _):
        if b"since" not in head:
            return ONE_ENDPOINT
        wait_ms = int(request_target(head).rpartition(b"=")[2])
        await asyncio.sleep(wait_ms / 1000)
        return UNCHANGED

    async with (
        ScriptedPeer(script) as service,
        RunningBalancer(discovery=service.address, env=polling(within_us=1_000_000)),
    ):
        await calls.confirmations.get()
        assert await calls.confirmations.get() < SECOND // 4, "the poll waited for half a second"


async def test_first_poll_of_a_watch_asks_for_an_answer_at_once(monkeypatch):
    # A retried watch confirmed the list only at the end of its wait, when it was stale.
    monkeypatch.setattr(endpoints, "MIN_ROUND", SECOND // 10)
    waits_ms = []

    def script(head, _):
        if b"since" not in head:
            return ONE_ENDPOINT
        waits_ms.append(int(request_target(head).rpartition(b"=")[2]))
        return make_response(503) if len(waits_ms) == 1 else UNCHANGED

    async with (
        ScriptedPeer(script) as service,
        RunningBalancer(discovery=service.address, env=polling(within_us=1_000_000)),
    ):
        await wait_until(lambda: len(waits_ms) >= 3)
    assert waits_ms[:3] == [500, 1, 500]


async def test_wait_is_halved_after_an_answer_that_confirms_an_old_list():
    waits_ms = []

    async def script(head, _):
        if b"since" not in head:
            return ONE_ENDPOINT
        waits_ms.append(int(request_target(head).rpartition(b"=")[2]))
        if len(waits_ms) > 1:
            return None
        await asyncio.sleep(0.3)
        change = endpoint_rows(["127.0.0.1:9", "127.0.0.1:9"])[1:]
        return make_response(body=encode_endpoint_list(2, change, whole=False))

    async with (
        ScriptedPeer(script) as service,
        RunningBalancer(discovery=service.address, env=polling(within_us=1_000_000)),
    ):
        await wait_until(lambda: len(waits_ms) == 2)
    assert waits_ms == [500, 250]


async def test_long_poll_without_an_answer_does_not_confirm_the_list(monkeypatch):
    # A watch that was open for 2.1 s counted as held by the service, and confirmed the list.
    monkeypatch.setattr(endpoint_discovery, "WATCH_MARGIN_S", 0.05)
    calls = PolicyCalls(monkeypatch)

    def script(head, _):
        if b"since" in head:
            return None
        return ONE_ENDPOINT

    async with (
        ScriptedPeer(script) as service,
        RunningBalancer(discovery=service.address, env=polling(within_us=1_000_000)),
    ):
        await calls.confirmations.get()
        assert await calls.failures.get() == (PollFailure.SILENT, 0)
        assert calls.confirmations.empty()


async def test_balancer_polls_at_its_start_only_if_it_has_no_list(
    monkeypatch,
):
    monkeypatch.setattr(endpoints, "MIN_ROUND", 10**6 * SECOND)
    monkeypatch.setattr(endpoints, "NOTIFIED_AFTER", 10**6 * SECOND)

    async with (
        ScriptedPeer(always(ONE_ENDPOINT)) as service,
        RunningBalancer(discovery=service.address, env=POLLING),
    ):
        await wait_until(lambda: service.requests)

    async with (
        ScriptedPeer(always(ONE_ENDPOINT)) as service,
        RunningBalancer(["127.0.0.1:9"], discovery=service.address, env=POLLING) as balancer,
    ):
        assert balancer.app.discovery.ready and not balancer.app.discovery.tasks
        assert balancer.known["hosts"] == endpoint_rows(["127.0.0.1:9"])
        assert not service.requests


async def test_balancer_is_healthy_once_it_has_a_list_and_the_watch_resumes_after_failures():
    targets, is_failing = [], False

    async def script(head, _):
        targets.append(request_target(head))
        if is_failing:
            return make_response(503)
        if b"since" not in targets[-1]:
            return make_response(body=encode_endpoint_list(4, endpoint_rows([peer.address])))
        await asyncio.sleep(0.01)
        return make_response(body=encode_endpoint_list(5, [], whole=False))

    async with (
        ScriptedPeer(always(make_response())) as peer,
        ScriptedPeer(script) as service,
        RunningBalancer(discovery=service.address, env=polling(within_us=800000)) as balancer,
    ):
        discovery = balancer.app.discovery
        assert await balancer.status("/_health") == 503
        await wait_until(lambda: discovery.ready)
        assert await balancer.status("/_health") == 200
        assert await balancer.status() == 200

        await wait_until(lambda: len(targets) >= 5)
        assert targets[0] == b"/catalog/members"
        assert targets[1].startswith(b"/catalog/members?since=4&timeout_ms=")
        assert targets[3].startswith(b"/catalog/members?since=5&")

        is_failing = True
        await wait_until(lambda: balancer.counters["list failed"] >= 2)
        is_failing = False
        await wait_until(lambda: discovery.version == 5 and balancer.policy.endpoints.is_watching)
        assert await balancer.status() == 200


@pytest.mark.parametrize(
    "malformed",
    [
        None,
        [],
        {},
        {"seq": 2},
        {"seq": "2", "hosts": []},
        {"seq": 2, "whole": True, "hosts": [7]},
        endpoint_list(2, endpoint_rows(["127.0.0.1:9"], born_ms="x")),
        endpoint_list(2, [7, *endpoint_rows(["127.0.0.1:9"], health="odd")]),
    ],
)
async def test_malformed_list_changes_nothing(malformed):
    async with RunningBalancer(["127.0.0.1:9"]) as balancer:
        with pytest.raises(ValueError):
            balancer.app.discovery.apply(malformed)

        assert balancer.app.discovery.version == 1
        assert [upstream.address for upstream in balancer.ready_upstreams] == [b"h0"]


async def test_changes_are_applied_to_the_list_and_a_whole_one_replaces_it():
    def ready():
        return {upstream.address for upstream in balancer.ready_upstreams}

    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        discovery = balancer.app.discovery
        second = endpoint_rows([peer.address, peer.address])[1:]
        discovery.apply(endpoint_list(2, second, whole=False))
        assert ready() == {b"h0", b"h1"}

        draining = endpoint_rows([peer.address], health="draining")
        discovery.apply(endpoint_list(3, draining, whole=False))
        assert ready() == {b"h1"}
        assert len(discovery.known) == 2

        gone = endpoint_rows([peer.address], health="gone")
        discovery.apply(endpoint_list(4, gone, whole=False))
        assert set(discovery.known) == {"h1"}
        assert len(balancer.app.upstreams.endpoints) == 1

        discovery.apply(endpoint_list(5, endpoint_rows([peer.address])))
        assert set(discovery.known) == {"h0"}
        assert await balancer.status() == 200


async def test_changes_of_a_restarted_service_are_not_applied_to_a_list_of_a_higher_version():
    targets = []

    def script(head, _):
        targets.append(request_target(head))
        if len(targets) == 1:
            rows = endpoint_rows([peer.address, peer.address])
            return make_response(body=encode_endpoint_list(50, rows))
        if len(targets) == 2:
            # It counts versions from one again, so its changes do not refer to the current list.
            gone = endpoint_rows([peer.address], health="gone")
            return make_response(body=encode_endpoint_list(3, gone, whole=False))
        if len(targets) == 3:
            return make_response(body=encode_endpoint_list(4, endpoint_rows([peer.address])))
        return None

    async with (
        ScriptedPeer(always(make_response())) as peer,
        ScriptedPeer(script) as service,
        RunningBalancer(discovery=service.address, env=polling(within_us=800000)) as balancer,
    ):
        await wait_until(lambda: len(targets) >= 4)
        assert targets[2] == b"/catalog/members", "the whole list is fetched"
        assert balancer.app.discovery.version == 4
        assert await balancer.status() == 200

        # A whole list is applied even if its version is lower.
        rows = endpoint_rows([peer.address, peer.address])
        balancer.app.discovery.apply(endpoint_list(2, rows))
        assert len(balancer.ready_upstreams) == 2
        assert balancer.app.discovery.version == 2


@pytest.mark.parametrize(
    "is_slow, failure", [(True, PollFailure.OVERLOADED), (False, PollFailure.REFUSED)]
)
async def test_refusal_by_a_service_that_was_slow_to_answer_is_taken_for_overload(
    is_slow, failure, monkeypatch
):
    monkeypatch.setattr(endpoint_discovery, "SLOW_ANSWER_NS", SECOND // 4)
    calls = PolicyCalls(monkeypatch)

    async def script(head, _):
        if b"since" in head:
            return make_response(503)
        await asyncio.sleep(0.5 * is_slow)
        return ONE_ENDPOINT

    async with (
        ScriptedPeer(script) as service,
        RunningBalancer(discovery=service.address, env=POLLING),
    ):
        assert (await calls.failures.get())[0] is failure


async def test_wait_for_a_change_does_not_make_a_service_slow(monkeypatch):
    monkeypatch.setattr(endpoint_discovery, "SLOW_ANSWER_NS", SECOND // 4)
    calls = PolicyCalls(monkeypatch)
    waits = []

    async def script(head, _):
        if b"since" not in head:
            return ONE_ENDPOINT
        waits.append(head)
        if len(waits) > 1:
            return make_response(503)
        await asyncio.sleep(0.4)
        change = endpoint_rows(["127.0.0.1:9", "127.0.0.1:9"])[1:]
        return make_response(body=encode_endpoint_list(2, change, whole=False))

    async with (
        ScriptedPeer(script) as service,
        RunningBalancer(discovery=service.address, env=polling(within_us=1_000_000)),
    ):
        assert (await calls.failures.get())[0] is PollFailure.REFUSED


async def test_slow_answer_counts_only_for_a_while(monkeypatch):
    monkeypatch.setattr(endpoint_discovery, "SLOW_ANSWER_NS", 0)
    monkeypatch.setattr(endpoint_discovery, "SLOW_ANSWER_VALID_NS", 0)
    calls = PolicyCalls(monkeypatch)

    def script(head, _):
        return make_response(503) if b"since" in head else ONE_ENDPOINT

    async with (
        ScriptedPeer(script) as service,
        RunningBalancer(discovery=service.address, env=POLLING),
    ):
        assert (await calls.failures.get())[0] is PollFailure.REFUSED
