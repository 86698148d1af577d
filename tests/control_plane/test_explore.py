"""Explores all orders of messages, crashes and losses in a small rollout of the real service."""

import types

import msgspec
import pytest

from pepperhook.control_plane import rollout
from pepperhook.control_plane.service import ControlService
from pepperhook.lab import explore


@pytest.mark.parametrize("case", explore.CASES, ids=lambda case: case.name)
def test_no_order_of_messages_crashes_and_losses_breaks_the_rules_of_a_rollout(case):
    states, violation = explore.explore(
        explore.Explorer(msgspec.structs.replace(case, max_seconds=2))
    )

    assert violation is None, violation
    assert states > 1000


def set_without_storing(self, changed):
    self.current = changed


def make_service_that_does_not_store(*arguments, **options):
    service = ControlService(*arguments, **options)
    service.rollouts.commit = types.MethodType(set_without_storing, service.rollouts)
    return service


def test_rollout_state_that_is_used_but_not_stored_is_reported_with_the_shortest_sequence():
    # Enough seconds for a step to end: only then is there a new state to store.
    case = msgspec.structs.replace(explore.CASES[0], max_seconds=3)

    _, violation = explore.explore(explore.Explorer(case, make_service_that_does_not_store))

    assert violation is not None
    assert "in memory alone" in violation.rule
    assert violation.actions[-1] == "a second passes"


def test_version_that_members_receive_before_they_are_admitted_is_reported(monkeypatch):
    monkeypatch.setattr(rollout, "MIN_REQUESTS", 1)
    monkeypatch.setattr(rollout.Rollout, "desired_version", lambda self, _: self.version)

    _, violation = explore.explore(explore.Explorer(explore.CASES[1]))

    assert violation is not None
    assert "written down as one that is in" in violation.rule
    assert len(violation.actions) == 1
