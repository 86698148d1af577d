"""Fleet size and index as views change, also in a split network."""

import pytest

from pepperhook.membership.fleet_position import FleetPosition
from pepperhook.membership.settings import NS_PER_S

SETTLE_NS = 10 * NS_PER_S


def make_position(size: int = 10, name: str = "b0") -> FleetPosition:
    """Return the position of a balancer that has no view yet."""
    return FleetPosition(name, size, SETTLE_NS)


def position_in_fleet_of_ten(name: str = "b0") -> FleetPosition:
    """Return the position of a balancer whose view has all ten balancers."""
    position = make_position(10, name)
    position.update(0, names(*range(10)), [])
    return position


def names(*numbers: int) -> list[str]:
    """Return names of balancers."""
    return [f"b{number}" for number in numbers]


def test_the_fleet_grows_at_once_when_a_view_has_more_members():
    position = make_position(3)

    changed = position.update(0, names(*range(5)), [])

    assert changed
    assert (position.count, position.index) == (5, 0)


def test_the_fleet_shrinks_when_a_quorum_has_been_stable():
    position = make_position(3)
    position.update(0, names(*range(5)), [])
    position.update(NS_PER_S, names(0, 1, 2), [])
    assert not position.settle(10 * NS_PER_S)
    assert position.count == 5

    position.update(9 * NS_PER_S, names(0, 1, 2, 3), [])

    assert not position.settle(18 * NS_PER_S)
    assert position.settle(19 * NS_PER_S)
    assert position.count == 4


def test_a_fleet_that_shrank_grows_again_at_once():
    position = make_position(3)
    position.update(0, names(*range(5)), [])
    position.update(NS_PER_S, names(0, 1, 2, 3), [])
    assert position.settle(19 * NS_PER_S)
    assert position.count == 4

    position.update(20 * NS_PER_S, names(*range(7)), [])

    assert (position.count, position.index) == (7, 0)


@pytest.mark.parametrize("present", [range(5), range(3), [0]])
def test_the_position_does_not_change_in_half_of_a_split_network_or_less(present):
    position = position_in_fleet_of_ten()

    changed = position.update(NS_PER_S, names(*present), [])

    assert not changed
    assert not position.settle(1000 * NS_PER_S)
    assert (position.count, position.index) == (10, 0)


def test_the_fleet_shrinks_in_the_larger_part_of_a_split_network():
    position = position_in_fleet_of_ten("b9")

    position.update(NS_PER_S, names(*range(4, 10)), [])

    assert position.settle(20 * NS_PER_S)
    assert (position.count, position.index) == (6, 5)


def test_a_balancer_alone_at_its_start_keeps_the_configured_size():
    position = make_position()

    position.update(0, names(0), [])

    assert not position.settle(1000 * NS_PER_S)
    assert position.count == 10


def test_departed_members_do_not_count_towards_the_quorum():
    position = position_in_fleet_of_ten()

    position.update(NS_PER_S, names(0, 1, 2, 3), names(4, 5, 6))

    # Four of the seven that did not leave are present, which is a quorum.
    assert position.settle(12 * NS_PER_S)
    assert position.count == 4


def test_without_a_quorum_only_departed_members_are_subtracted():
    position = position_in_fleet_of_ten()

    position.update(NS_PER_S, names(0, 1, 2), names(4, 5, 6))

    # Three of the seven that did not leave are present; the rest may be in the other part of a
    # split network.
    assert position.settle(12 * NS_PER_S)
    assert position.count == 7
    assert not position.settle(13 * NS_PER_S)
    assert position.count == 7
