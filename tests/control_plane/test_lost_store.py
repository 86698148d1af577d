"""A service whose store was lost or restored numbers its versions above those that members run."""

import pytest

from pepperhook.control_plane.history import HistoryStore
from pepperhook.control_plane.member_registry import MemberState
from pepperhook.control_plane.messages import Heartbeat, Rejection
from pepperhook.control_plane.service import ControlService
from pepperhook.control_plane.version_catalog import ChangeRejectedError
from pepperhook.server.extensions import Extensions
from tests.control_plane.helpers import (
    KEYS,
    RunningControlService,
    control_extension,
    document,
    propose,
    roll_out_at_once,
    signed_version,
    until,
)
from tests.server.balancers import RunningBalancer
from tests.server.peers import ScriptedPeer, always, make_response


def objective(milliseconds):
    return document(grades={"look": {"goal_ms": milliseconds}})


def heartbeat(running, version_hash="", rejection=None):
    return Heartbeat(
        name="n", tier=0, running_version=running, running_hash=version_hash, rejection=rejection
    )


@pytest.fixture
def service(tmp_path):
    service = ControlService(HistoryStore(tmp_path / "new"), KEYS)
    yield service
    service.store.close()


async def test_the_next_version_of_a_new_store_reaches_a_balancer_that_runs_a_higher_one(tmp_path):
    # It was numbered 1, and the balancer ignored it as outdated.
    async with ScriptedPeer(always(make_response())) as upstream:
        async with RunningControlService(tmp_path / "old") as control_service:
            control = control_extension(control_service.address)
            balancer = RunningBalancer(
                [upstream.address], extensions=Extensions([control]), owns_event_loop=False
            )
            await balancer.__aenter__()
            await until(lambda: control.stream.connected)
            for number in (1, 2, 3):
                control.applier.receive(signed_version(number, objective(900.0 - number)))
            assert control.applier.running_number == 3

        async with RunningControlService(tmp_path / "new", port=control_service.port) as renewed:
            service = renewed.service
            await until(lambda: service.registry.foreign_versions() == {"n": 3})
            version = propose(service, objective(800.0))
            roll_out_at_once(service, version.number)

            await until(lambda: control.applier.running_number == version.number)
            assert version.number == 4
            assert control.applier.counters.outdated == 0
            await until(lambda: renewed.members["n"].state == MemberState.APPLIED)
            assert service.registry.foreign_versions() == {}
        await balancer.__aexit__(None)


def test_a_rollout_of_a_number_that_a_member_would_ignore_is_refused(service):
    proposed = propose(service, objective(800.0))
    service.receive_heartbeat(heartbeat(running=3))

    with pytest.raises(ChangeRejectedError, match="member n runs version 3, .*propose version 1"):
        roll_out_at_once(service, proposed.number)

    again = propose(service, objective(800.0))
    assert again.number == 4
    roll_out_at_once(service, again.number)


def test_a_version_is_numbered_above_those_that_members_rejected(service):
    service.receive_heartbeat(heartbeat(running=0, rejection=Rejection(6, "harmful")))

    assert propose(service, objective(800.0)).number == 7


def test_another_version_of_the_same_number_does_not_count_as_applied(service):
    service.connect("n", 0)
    version = propose(service, objective(800.0))
    roll_out_at_once(service, version.number)

    service.receive_heartbeat(heartbeat(version.number, signed_version(1).hash))
    assert service.registry.members["n"].state == MemberState.PENDING
    assert service.registry.foreign_versions() == {"n": 1}
    assert "not in this store" in service.member_statuses()["n"].reason

    service.receive_heartbeat(heartbeat(version.number, version.hash))
    assert service.registry.members["n"].state == MemberState.APPLIED
