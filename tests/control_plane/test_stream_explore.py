"""Explores all orders of proposals, streams, reports and faults between service and balancer."""

import msgspec
import pytest

from pepperhook.lab import stream_explore
from pepperhook.lab.stream_explore import Balancer, Explorer, State
from tests.control_plane.test_rejected_versions import EarlierMemberStream

SETTLED = "the balancer runs or has visibly rejected the version that it is to run"


@pytest.mark.parametrize("proposals, faults, at_least", [(3, 1, 1000), (2, 2, 1000)])
def test_from_each_state_the_balancer_reaches_the_version_that_it_is_to_run(
    proposals, faults, at_least
):
    states, violation = stream_explore.explore(
        Explorer(), State(proposals=proposals, faults=faults)
    )

    assert violation is None, violation
    assert states > at_least


class EarlierStream(EarlierMemberStream):
    """The stream of the earlier release, with the attributes that a state has."""

    base_number = sent_number = 0


class EarlierExplorer(Explorer):
    """A balancer of the earlier release, which never asks for a complete version."""

    def stream_request(self, balancer):
        return super().stream_request(
            msgspec.structs.replace(balancer, needs_complete_version=False)
        )


def test_patches_of_a_rejected_version_are_reported_with_the_shortest_sequence():
    _, violation = stream_explore.explore(EarlierExplorer(make_stream=EarlierStream))

    assert violation is not None
    assert violation.rule == "the exchange comes to an end"
    assert any("harmful is proposed" in action for action in violation.actions)


def forget_rejection(balancer):
    """Restart a balancer that keeps the number of a rejected version, but not that it rejected it.

    Such a number is negative in the state.
    """
    kept = -abs(balancer.rejected_number)
    return Balancer(running=balancer.saved, saved=balancer.saved, rejected_number=kept)


class ForgetfulExplorer(Explorer):
    """A balancer that does not need a rejected version again after a restart, nor reports it."""

    def __init__(self):
        super().__init__(restart=forget_rejection)

    def applier(self, balancer):
        known = max(0, balancer.rejected_number)
        return super().applier(msgspec.structs.replace(balancer, rejected_number=known))

    def stream_request(self, balancer):
        request = super().stream_request(balancer)
        kept = -balancer.rejected_number
        return request if kept <= 0 else msgspec.structs.replace(request, processed_number=kept)

    def report(self, state):
        known = max(0, state.balancer.rejected_number)
        shown = msgspec.structs.replace(state.balancer, rejected_number=known)
        after = super().report(msgspec.structs.replace(state, balancer=shown))
        return None if after is None else msgspec.structs.replace(after, balancer=state.balancer)


def test_a_rejection_that_a_restart_forgets_is_reported():
    _, violation = stream_explore.explore(ForgetfulExplorer())

    assert violation is not None
    assert violation.rule == SETTLED
    assert any("harmful is proposed" in action for action in violation.actions)
    assert violation.actions[-1].startswith("the balancer restarts")


def test_a_forged_version_that_does_not_end_its_stream_is_reported(monkeypatch):
    def receive(self, state, data):
        after = original(self, state, data)
        return msgspec.structs.replace(after, stream=state.stream)

    original = Explorer.receive
    monkeypatch.setattr(Explorer, "receive", receive)
    _, violation = stream_explore.explore(Explorer())

    assert violation is not None
    assert violation.actions[-1] == "a version is forged on its way"


def test_numbers_from_the_store_alone_are_reported(monkeypatch):
    monkeypatch.setattr(
        stream_explore.ControlService,
        "_note_running_version",
        lambda _, member, *_number, **_hash: setattr(member, "running_version", 0),
    )
    _, violation = stream_explore.explore(Explorer(), State(proposals=3))

    assert violation is not None
    assert violation.rule == SETTLED
    assert any("store" in action for action in violation.actions)
