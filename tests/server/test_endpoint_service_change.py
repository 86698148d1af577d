"""A reload of a configuration that names another discovery service."""

import asyncio
import dataclasses

from pepperhook import __main__ as program
from pepperhook.server import endpoint_discovery
from tests.server.balancers import (
    ENVIRONMENT,
    RunningBalancer,
    encode_endpoint_list,
    endpoint_rows,
    make_config,
    polling,
    wait_until,
)
from tests.server.peers import ScriptedPeer, always, make_response, request_target

RARELY_POLLING = polling(within_us=10**9)


def list_response(version, addresses):
    """Return the response with a whole list."""
    return make_response(body=encode_endpoint_list(version, endpoint_rows(addresses)))


def fail(*_, **__):
    raise RuntimeError("unexpected")


def is_watch(head):
    return b"since" in request_target(head)


class ReplacedService(ScriptedPeer):
    """A service whose watch returns a newer list after the reload has replaced the service."""

    def __init__(self, addresses):
        super().__init__(self.respond_to_poll)
        self.addresses = addresses

    async def respond_to_poll(self, head, _):
        if not is_watch(head):
            return list_response(90, self.addresses)
        await asyncio.sleep(0.2)
        return list_response(91, self.addresses[1:])


class FailingOnce(ScriptedPeer):
    """A service that fails the first poll, and then returns a list of version 4."""

    def __init__(self, addresses):
        super().__init__(self.respond_to_poll)
        self.addresses = addresses

    def respond_to_poll(self, head, _):
        if len(self.requests) == 1:
            return make_response(503)
        return None if is_watch(head) else list_response(4, self.addresses)

    def targets(self):
        return [request_target(head) for head, _ in self.requests]


async def test_new_service_is_polled_at_once_for_its_whole_list():
    async with (
        ScriptedPeer(always(make_response())) as first,
        ScriptedPeer(always(make_response())) as second,
        ReplacedService([first.address, second.address]) as old_service,
        FailingOnce([first.address]) as new_service,
        RunningBalancer(discovery=old_service.address, env=RARELY_POLLING) as balancer,
    ):
        discovery = balancer.app.discovery
        await wait_until(lambda: discovery.version == 90)
        balancer.app.reload(make_config(discovery=old_service.address, env=RARELY_POLLING))
        assert discovery.version == 90, "a reload that names the same service changes nothing"

        balancer.app.reload(make_config(discovery=new_service.address, env=RARELY_POLLING))
        assert await balancer.status() == 200, "the old list is in force"
        await wait_until(lambda: len(new_service.requests) >= 3)

        # Without the reload, the policy would poll again half a minute after a failure.
        targets = new_service.targets()
        assert targets[:2] == [b"/catalog/members"] * 2
        assert targets[2].startswith(b"/catalog/members?since=4&")
        await wait_until(lambda: not old_service.writers and not discovery.closing)
        assert discovery.version == 4
        assert [upstream.address for upstream in balancer.ready_upstreams] == [b"h0"]
        assert balancer.policy.endpoints.is_watching
        assert set(discovery.tasks) == {endpoint_discovery.PollKind.WATCH}


async def test_only_the_new_services_list_is_used_after_a_reload_during_a_silent_watch():
    def old_script(head, _):
        return None if is_watch(head) else list_response(7, [second.address])

    def new_script(head, _):
        if len(new_service.requests) == 2:
            return make_response(503)
        return None if is_watch(head) else list_response(1, [first.address])

    async with (
        ScriptedPeer(always(make_response())) as first,
        ScriptedPeer(always(make_response())) as second,
        ScriptedPeer(old_script) as old_service,
        ScriptedPeer(new_script) as new_service,
        RunningBalancer(
            discovery=old_service.address, env=ENVIRONMENT | {"discovery": "ask"}
        ) as balancer,
    ):
        await wait_until(lambda: len(old_service.requests) >= 2)
        balancer.app.reload(
            make_config(discovery=new_service.address, env=ENVIRONMENT | {"discovery": "ask"})
        )
        await wait_until(lambda: balancer.app.discovery.version == 1)

        assert await balancer.status() == 200
        assert len(first.requests) == 1 and not second.requests
        await wait_until(lambda: not old_service.writers)


async def test_old_list_is_in_force_until_the_new_service_is_available():
    is_up = asyncio.Event()

    def script(head, _):
        if not is_up.is_set():
            return (b"",)
        return None if is_watch(head) else list_response(1, [second.address])

    async with (
        ScriptedPeer(always(make_response(body=b"1"))) as first,
        ScriptedPeer(always(make_response(body=b"2"))) as second,
        ScriptedPeer(script) as new_service,
        RunningBalancer([first.address], discovery="127.0.0.1:9", env=RARELY_POLLING) as balancer,
    ):
        balancer.app.reload(make_config(discovery=new_service.address, env=RARELY_POLLING))
        while len(new_service.requests) < 2:
            assert await balancer.request() == (200, b"1")

        is_up.set()
        while balancer.ready_upstreams[0].address != b"h0" or (
            (await balancer.request())[1] != b"2"
        ):
            await asyncio.sleep(0.01)
        assert balancer.policy.endpoints.is_watching


async def test_old_service_is_kept_if_the_change_to_a_new_one_fails(monkeypatch):
    # A reload that failed halfway would end the old polls without starting new ones.
    async with ScriptedPeer(always(list_response(1, ["127.0.0.1:9"]))) as service:
        balancer = RunningBalancer(discovery=service.address, env=RARELY_POLLING)
        async with balancer:
            await wait_until(lambda: balancer.app.discovery.ready)
            discovery = balancer.app.discovery
            state_before = (
                discovery.url,
                discovery.session,
                discovery.version,
                dict(discovery.tasks),
            )
            replaced = dataclasses.replace(balancer.app.config, discovery=("127.0.0.1", 9))
            monkeypatch.setattr(program.config, "read", lambda *_, **__: replaced)
            monkeypatch.setattr(endpoint_discovery.http1_client, "make_session", fail)

            program.reload(balancer.app, balancer.app.log)

            state_after = discovery.url, discovery.session, discovery.version, dict(discovery.tasks)
            assert state_after == state_before
            assert not any(task.cancelling() for task in discovery.tasks.values())
