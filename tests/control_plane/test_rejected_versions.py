"""A balancer that rejected a version receives the next ones, on the same stream and on new ones."""

import pytest

from pepperhook.control_plane.rollout import RolloutState
from pepperhook.server.extensions import Extensions
from tests.control_plane.helpers import (
    RunningControlService,
    control_extension,
    document,
    propose,
    roll_back,
    roll_out_at_once,
    until,
)
from tests.server.balancers import RunningBalancer
from tests.server.peers import ScriptedPeer, always, make_response

ROW_COUNTS = [1, 40]  # below and above the size at which a version is sent as a patch


def document_of_rows(count):
    """Return a document with ``count`` rows of upstreams, none of which the balancer knows."""
    return document(
        grades={"look": {"goal_ms": 900.0}},
        upstreams={f"row-{number}": {"weight": 1.5} for number in range(count)},
    )


def draining_document(count):
    """Return ``document_of_rows`` with the balancer's only upstream drained, which it rejects."""
    content = document_of_rows(count)
    content["upstreams"]["h0"] = {"drain": True}
    return content


def complete_rollout(service):
    """Complete the rollout without the requests that it would need as evidence."""
    rollout = service.rollouts.current
    rollout.state = RolloutState.COMPLETED
    service.rollouts.commit(rollout)


async def reject_second_version(service, control, rows):
    """Roll out a version that is applied, then one that the balancer rejects."""
    propose(service, document_of_rows(rows))
    roll_out_at_once(service, 1)
    await until(lambda: control.applier.running_number == 1)
    complete_rollout(service)
    # Only the balancer can see from its endpoint list that the next one drains all upstreams.
    service.registry.members["n"].upstreams = ()
    propose(service, draining_document(rows))
    roll_out_at_once(service, 2)
    await until(lambda: control.applier.counters.rejected == 1)


@pytest.mark.parametrize("rows", ROW_COUNTS)
async def test_a_rollback_reaches_a_balancer_that_rejected_the_version(tmp_path, rows):
    # The service sent the rollback as a patch of the rejected version, on every further stream.
    async with (
        ScriptedPeer(always(make_response())) as upstream,
        RunningControlService(tmp_path / "s") as control_service,
    ):
        service = control_service.service
        control = control_extension(control_service.address)
        async with RunningBalancer(
            [upstream.address], extensions=Extensions([control]), owns_event_loop=False
        ):
            await until(lambda: control.stream.connected)
            await reject_second_version(service, control, rows)

            roll_back(service, "harmful")
            service.streams.changes.notify()

            await until(lambda: control.applier.running_number == 3)
            assert control.applier.rejection is None
            assert control.stream.broken_streams == 0
