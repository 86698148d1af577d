"""The balancer's side of the control plane: applying, rejecting, storing and restoring versions."""

import asyncio
import threading
from pathlib import Path

from pepperhook import operator_config
from pepperhook.control_plane import last_good
from pepperhook.control_plane.member_registry import MemberState
from pepperhook.control_plane.rollout import RolloutState, Step
from pepperhook.domain import Effect
from pepperhook.key_ring import KeyRing
from pepperhook.rate_limit.extension import RateLimitExtension
from pepperhook.server.extensions import Extensions
from pepperhook.units import MILLISECOND, SECOND
from tests.control_plane.helpers import (
    SECRET,
    RunningControlService,
    begin_rollout,
    control_extension,
    document,
    propose,
    roll_back,
    roll_out_at_once,
    signed_version,
    until,
)
from tests.server.balancers import RunningBalancer, endpoint_rows, make_config
from tests.server.peers import ScriptedPeer, always, make_response

UNREACHABLE = "127.0.0.1:9"


def ready_addresses(balancer):
    return [upstream.address for upstream in balancer.ready_upstreams]


OVERRIDES = document(
    grades={
        "look": {"time_limit_ms": 1500.0, "goal_ms": 900.0},
        "hold": {"effect": "at_most_once"},
    },
    upstreams={"h1": {"drain": True}, "h0": {"weight": 2.0}},
)


async def test_version_is_applied_during_requests_and_survives_changes_of_the_endpoint_list(
    tmp_path,
):
    release = asyncio.Event()

    async def respond_when_released(head, _):
        if b"slow" in head:
            await release.wait()
        return make_response()

    async with (
        ScriptedPeer(respond_when_released) as upstream,
        ScriptedPeer(always(make_response())) as other_upstream,
        RunningControlService(tmp_path / "s") as control_service,
    ):
        control = control_extension(control_service.address)
        addresses = [upstream.address, other_upstream.address]
        async with RunningBalancer(
            addresses, extensions=Extensions([control]), owns_event_loop=False
        ) as balancer:
            await until(lambda: control.stream.connected)
            slow_reader, slow_writer = await balancer.send_request("/look/slow")
            await until(lambda: upstream.requests or other_upstream.requests)

            version = propose(control_service.service, OVERRIDES, reason="new limits")
            roll_out_at_once(control_service.service, version.number)
            await until(lambda: control.applier.running_number == 1)
            await until(lambda: control_service.members["n"].running_version == 1)

            policy = balancer.policy
            assert policy.settings.service_classes[0].time_limit_ns == 1500 * MILLISECOND
            assert policy.settings.service_classes[2].effect == Effect.UNSAFE
            assert ready_addresses(balancer) == [b"h0"]
            assert policy.subset.ring.ready[0].operator_weight == 2.0
            assert await balancer.status() == 200
            release.set()
            assert (await balancer.read_response(slow_reader))[0] == 200
            slow_writer.close()

            # A new endpoint list does not undo the drain.
            listed = endpoint_rows(
                [upstream.address, other_upstream.address, other_upstream.address]
            )
            balancer.app.discovery.apply({"seq": 2, "whole": True, "hosts": listed})
            assert set(ready_addresses(balancer)) == {b"h0", b"h2"}
            await until(lambda: control_service.rollout.state == RolloutState.RUNNING)


async def test_balancer_without_the_service_starts_from_the_last_good_version(tmp_path):
    state = str(tmp_path / "good.json")
    async with (
        ScriptedPeer(always(make_response())) as upstream,
        ScriptedPeer(always(make_response())) as other_upstream,
    ):
        addresses = [upstream.address, other_upstream.address]
        async with RunningControlService(tmp_path / "s") as control_service:
            control = control_extension(control_service.address, last_good_file=state)
            async with RunningBalancer(
                addresses, extensions=Extensions([control]), owns_event_loop=False
            ):
                await until(lambda: control.stream.connected)
                version = propose(control_service.service, OVERRIDES, reason="new limits")
                roll_out_at_once(control_service.service, version.number)
                await until(lambda: control_service.members["n"].running_version == 1)

        restarted = control_extension(UNREACHABLE, last_good_file=state)
        async with RunningBalancer(
            addresses, extensions=Extensions([restarted]), owns_event_loop=False
        ) as balancer:
            assert restarted.applier.running_number == 1
            assert ready_addresses(balancer) == [b"h0"]
            assert await balancer.status() == 200


async def test_balancer_starts_without_a_last_good_file_that_is_damaged(tmp_path):
    state = tmp_path / "good.json"
    state.write_text("{")
    control = control_extension(UNREACHABLE, last_good_file=str(state))
    async with (
        ScriptedPeer(always(make_response())) as upstream,
        RunningBalancer(
            [upstream.address], extensions=Extensions([control]), owns_event_loop=False
        ) as balancer,
    ):
        assert control.applier.running_number == 0
        assert await balancer.status() == 200


async def test_requests_are_served_while_a_version_is_written_to_a_slow_disk(tmp_path, monkeypatch):
    # Writes on the event loop blocked twenty balancers of one machine for 0.1 to 0.7 s each, and
    # they rejected the requests that arrived then.
    write_started = threading.Event()
    write_may_end = threading.Event()

    def slow_fsync(_):
        write_started.set()
        assert write_may_end.wait(5), "the write blocked the event loop"

    async with (
        ScriptedPeer(always(make_response())) as upstream,
        RunningControlService(tmp_path / "s") as control_service,
    ):
        control = control_extension(
            control_service.address, last_good_file=str(tmp_path / "good.json")
        )
        async with RunningBalancer(
            [upstream.address], extensions=Extensions([control]), owns_event_loop=False
        ) as balancer:
            await until(lambda: control.stream.connected)
            content = document(grades={"look": {"goal_ms": 900.0}})
            version = propose(control_service.service, content, reason="slow")
            monkeypatch.setattr(last_good.os, "fsync", slow_fsync)

            roll_out_at_once(control_service.service, version.number)
            await until(write_started.is_set)

            assert control.applier.running_number == 1
            assert await balancer.status() == 200
            assert not write_may_end.is_set()
            write_may_end.set()
        assert Path(tmp_path / "good.json").exists(), "the shutdown did not wait for the write"


async def test_harmful_version_is_rejected_with_a_reason_and_the_last_good_one_stays_in_force(
    tmp_path,
):
    async with (
        ScriptedPeer(always(make_response())) as upstream,
        RunningControlService(tmp_path / "s") as control_service,
    ):
        service = control_service.service
        control = control_extension(control_service.address)
        async with RunningBalancer(
            [upstream.address], extensions=Extensions([control]), owns_event_loop=False
        ) as balancer:
            await until(lambda: control.stream.connected)
            propose(service, document(grades={"look": {"goal_ms": 900.0}}))
            roll_out_at_once(service, 1)
            await until(lambda: control.applier.running_number == 1)
            roll_back(service, "next")
            await until(lambda: control.applier.running_number == 2)

            # Only the balancer can see from its endpoint list that this drains all upstreams.
            control_service.members["n"].upstreams = ()
            propose(service, document(upstreams={"h0": {"drain": True}}))
            roll_out_at_once(service, 3)
            await until(lambda: control_service.rollout.state == RolloutState.PAUSED)

            assert "drains all 1 upstreams" in control_service.rollout.rejections["n"]
            assert control.applier.running_number == 2
            assert await balancer.status() == 200
            assert control.applier.counters.rejected == 1
            assert control_service.members["n"].state == MemberState.REJECTED


async def test_forged_and_outdated_versions_are_not_applied():
    control = control_extension(UNREACHABLE)
    applier = control.applier
    async with (
        ScriptedPeer(always(make_response())) as upstream,
        RunningBalancer(
            [upstream.address], extensions=Extensions([control]), owns_event_loop=False
        ),
    ):
        applier.receive(signed_version(5, document(grades={"look": {"goal_ms": 800.0}})))
        assert applier.running_number == 5

        for version in (
            signed_version(6, keys=KeyRing([("k1", "a secret of another installation")])),
            signed_version(5),
            signed_version(4),
            signed_version(7, keys=KeyRing([("k7", SECRET)])),
        ):
            assert not applier.receive(version)

        assert applier.running_number == 5
        assert (applier.counters.forged, applier.counters.outdated) == (2, 2)


async def test_rejection_of_an_invalid_document_names_the_faulty_key():
    control = control_extension(UNREACHABLE)
    async with (
        ScriptedPeer(always(make_response())) as upstream,
        RunningBalancer(
            [upstream.address], extensions=Extensions([control]), owns_event_loop=False
        ),
    ):
        invalid = document(grades={"look": {"nonsense": 1}})

        assert not control.applier.receive(signed_version(8, invalid))

        assert control.applier.running_number == 0
        assert "nonsense" in control.applier.rejection.reason


async def test_member_that_accepts_a_version_without_applying_it_pauses_the_rollout(tmp_path):
    async with (
        ScriptedPeer(always(make_response())) as upstream,
        RunningControlService(tmp_path / "s") as control_service,
    ):
        control = control_extension(control_service.address)
        control.applier.apply = lambda *_: None
        async with RunningBalancer(
            [upstream.address], extensions=Extensions([control]), owns_event_loop=False
        ):
            await until(lambda: "n" in control_service.members)
            propose(control_service.service, document())

            begin_rollout(control_service.service, 1, [Step(1.0, 0.0)], patience_s=0.2)
            await until(lambda: control_service.rollout.state == RolloutState.PAUSED)

            assert "n did not apply it" in control_service.rollout.reason
            assert control_service.service.member_statuses()["n"].running_version == 0


async def test_document_changes_rate_limits_and_a_rollback_restores_the_configured_ones(tmp_path):
    limits = operator_config.schema.RateLimitTable(
        default=operator_config.schema.TenantLimit(per_second=1.0, burst=1.0)
    )
    rate_limits = RateLimitExtension(limits, make_config())
    async with (
        ScriptedPeer(always(make_response())) as upstream,
        RunningControlService(tmp_path / "s") as control_service,
    ):
        control = control_extension(
            control_service.address, extensions=[("customers", rate_limits)]
        )
        extensions = Extensions([rate_limits, control])
        async with RunningBalancer(
            [upstream.address], extensions=extensions, owns_event_loop=False
        ) as balancer:

            async def statuses():
                return [await balancer.status(X_Tenant_Id="acme") for _ in range(3)]

            await until(lambda: control.stream.connected)
            assert await statuses() == [200, 503, 503]

            higher = {"customers": {"default": {"per_second": 1000.0}}}
            propose(control_service.service, document(parts=higher))
            roll_out_at_once(control_service.service, 1)
            await until(lambda: control.applier.running_number == 1)
            assert await statuses() == [200] * 3

            roll_back(control_service.service, "enough")
            control_service.service.streams.changes.notify()
            await until(lambda: control.applier.running_number == 2)
            assert rate_limits.limiter.buckets[0].token_interval_ns == SECOND


async def test_membership_view_sets_the_fleet_position_of_the_balancer(tmp_path):
    async with (
        ScriptedPeer(always(make_response())) as upstream,
        RunningControlService(tmp_path / "s") as control_service,
    ):
        control = control_extension(control_service.address, sets_fleet_position=True)
        async with RunningBalancer(
            [upstream.address], extensions=Extensions([control]), owns_event_loop=False
        ) as balancer:
            await until(lambda: control.position.view == ("n",))

            control_service.service.connect("a", 0)

            await until(lambda: balancer.policy.fleet_size == 2)
            assert balancer.policy.index == 1
