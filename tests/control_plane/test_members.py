"""Leases of members, and a balancer's fleet position from membership views."""

import pytest

from pepperhook.control_plane.fleet_position import STABLE_VIEW_NS, FleetPosition
from pepperhook.control_plane.member_registry import MemberRegistry
from pepperhook.units import MILLISECOND, SECOND


@pytest.fixture
def registry():
    """A thousand members in two tiers, with leases of three seconds granted at time 0."""
    registry = MemberRegistry(3 * SECOND)
    for number in range(1000):
        assert registry.renew_lease(0, f"m{number}", number % 2)
    return registry


def test_member_is_removed_when_its_lease_expires(registry):
    assert registry.epochs == {0: 500, 1: 500}
    assert len(registry.names(0)) == 500
    assert not registry.expire(3 * SECOND - 1)
    for number in range(0, 1000, 2):
        assert registry.renew_lease(2 * SECOND, f"m{number}", 0)

    expired = registry.expire(3 * SECOND)

    assert len(expired) == 500
    assert registry.names(1) == []
    assert registry.epochs[1] == 1000


def test_heartbeats_above_the_limit_do_not_renew_a_lease(registry):
    accepted = [
        registry.renew_lease(4 * SECOND + n * MILLISECOND, "m0", 0) is not None for n in range(100)
    ]

    assert accepted[0]
    assert accepted.count(True) <= 6
    assert registry.renew_lease(9 * SECOND, "m0", 0) is not None


def test_fleet_size_is_raised_at_once():
    position = FleetPosition("b", 3)

    assert not position.update(0, 1, ["a", "c"]), "the balancer is not in the view"
    assert position.count == 3
    assert position.update(0, 2, ["a", "b", "c", "d", "e"])
    assert (position.index, position.count) == (1, 5)


def test_fleet_size_is_lowered_only_after_a_stable_view():
    position = FleetPosition("b", 3)
    position.update(0, 2, ["a", "b", "c", "d", "e"])

    assert position.update(SECOND, 3, ["b"])
    assert (position.index, position.count) == (0, 5)
    assert not position.update(SECOND, 3, ["a", "b"]), "the epoch is not newer"
    assert not position.lower_if_stable(SECOND + STABLE_VIEW_NS - 1)
    assert position.count == 5
    assert position.lower_if_stable(SECOND + STABLE_VIEW_NS)
    assert position.count == 1
    assert not position.lower_if_stable(10 * SECOND + STABLE_VIEW_NS)
