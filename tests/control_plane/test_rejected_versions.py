"""A balancer that rejected a version receives the next ones, on the same stream and on new ones."""

import pytest

from pepperhook.control_plane import version_streams
from pepperhook.control_plane.frames import FrameReader, MissingBaseError, encode_version
from pepperhook.control_plane.member_stream import VersionToSend
from pepperhook.control_plane.rollout import RolloutState
from pepperhook.control_plane.stream_request import read_stream_request
from pepperhook.server.extensions import Extensions
from tests.control_plane.helpers import (
    RunningControlService,
    control_extension,
    document,
    propose,
    roll_back,
    roll_out_at_once,
    signed_version,
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


class EarlierMemberStream:
    """Decides as the earlier release: each version is a patch of the one processed before.

    It read only the number of the last version that a balancer had applied or rejected.
    """

    def __init__(self, opened, _has_version):
        self.processed_number = opened.processed_number

    def next_version(self, desired_number, _running_number):
        if desired_number in (self.processed_number, 0):
            return None
        base_number, self.processed_number = self.processed_number, desired_number
        return VersionToSend(desired_number, base_number)


async def test_a_rollback_of_an_earlier_service_reaches_the_balancer_by_a_complete_version(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(version_streams, "MemberStream", EarlierMemberStream)
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
            await reject_second_version(service, control, rows=40)

            roll_back(service, "harmful")
            service.streams.changes.notify()

            await until(lambda: control.applier.running_number == 3)
            assert control.stream.broken_streams == 1


async def test_an_earlier_balancer_gets_complete_versions_when_it_opens_a_stream(tmp_path):
    # It reports the version that it rejected as the one that it has, and no base.
    async with RunningControlService(tmp_path / "s") as control_service:
        service = control_service.service
        propose(service, document_of_rows(40))
        propose(service, draining_document(40))
        propose(service, document_of_rows(40))
        service.connect("n", 0)
        roll_out_at_once(service, 3)
        frames = []

        async def write(data):
            frames.append(data)
            if len(frames) == 2:
                raise ConnectionResetError

        with pytest.raises(ConnectionResetError):
            await service.streams.feed(write, read_stream_request({"name": "n", "have": "2"}))

        [version] = FrameReader(lambda _: None).feed(frames[0])
        assert version.number == 3


async def test_a_patch_of_another_version_with_the_number_of_the_base_is_refused():
    # After the loss of its store, a service numbers versions that members have other ones of.
    ours, theirs = signed_version(1, document_of_rows(40)), signed_version(1, draining_document(39))
    patch = b"".join(encode_version(signed_version(2, draining_document(40)), theirs))

    with pytest.raises(MissingBaseError, match="patch of another version 1"):
        FrameReader({1: ours}.get).feed(patch)
