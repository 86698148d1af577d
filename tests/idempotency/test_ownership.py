"""Which member owns a key, and when ownership may move to another member."""

import pytest

from pepperhook.idempotency.ownership import Member, MemberList, Ownership, owner_of
from tests.idempotency.stores import NS_PER_S

FAR_FUTURE = 10**12
WINDOW = NS_PER_S


def member_list(epoch, names, dead=()):
    members = [Member(name, f"127.0.0.1:{port}") for port, name in enumerate(names, 1)]
    return MemberList(version=1, epoch=epoch, members=members, dead=list(dead))


def key_owned_by(*owners):
    """Return a key with these owners, given as pairs of member list and name."""
    keys = (b"%d" % number for number in range(99))
    return next(
        key
        for key in keys
        if all(owner_of(key, members.members).name == name for members, name in owners)
    )


def test_keys_spread_evenly_and_only_those_of_a_removed_member_move():
    keys = [b"%d" % number for number in range(3000)]
    before, after = member_list(1, "abcd"), member_list(2, "abd")

    owners = {key: owner_of(key, before.members).name for key in keys}

    assert all(650 < list(owners.values()).count(name) < 850 for name in "abcd")
    kept = {key: name for key, name in owners.items() if name != "c"}
    assert all(owner_of(key, after.members).name == name for key, name in kept.items())


@pytest.fixture
def old():
    return member_list(1, "abc")


@pytest.fixture
def new():
    return member_list(2, "ab")


def test_list_that_is_not_newer_is_not_applied(old, new):
    ownership = Ownership("a", old, [], 0)

    assert ownership.replace(10, new)
    assert not ownership.replace(11, new)


def test_new_owner_waits_until_the_former_one_is_released_and_then_for_the_window(old, new):
    moved = key_owned_by((old, "c"), (new, "a"))
    unmoved = key_owned_by((old, "a"))
    ownership = Ownership("a", old, [], 0)
    assert ownership.may_accept(0, unmoved, WINDOW)

    ownership.replace(10, new)
    assert ownership.may_accept(11, unmoved, WINDOW)
    assert not ownership.may_accept(FAR_FUTURE, moved, WINDOW), "c may still use the old list"

    ownership.note_epoch(20, "c", 1)
    assert not ownership.may_accept(FAR_FUTURE, moved, WINDOW)

    ownership.note_epoch(30, "c", 2)
    assert not ownership.may_accept(30 + WINDOW - 1, moved, WINDOW)
    assert ownership.may_accept(30 + WINDOW, moved, WINDOW)


def test_previous_lists_are_dropped_one_window_after_all_members_report_the_new_one(old, new):
    ownership = Ownership("a", old, [], 0)
    ownership.replace(10, new)
    ownership.note_epoch(30, "c", 2)
    assert not ownership.settle(FAR_FUTURE, WINDOW), "b has not reported the new list"

    ownership.note_epoch(40, "b", 2)

    assert not ownership.settle(40, WINDOW)
    assert ownership.settle(40 + WINDOW, WINDOW)


def test_key_that_moved_away_and_back_waits_for_the_intermediate_owner():
    first, intermediate = member_list(1, "ab"), member_list(2, "bz")  # without a
    moved = key_owned_by((first, "a"), (intermediate, "b"))
    ownership = Ownership("a", member_list(3, "ab"), [first, intermediate], 0)
    assert not ownership.may_accept(FAR_FUTURE, moved, WINDOW)

    ownership.note_epoch(5, "b", 3)

    assert ownership.may_accept(5 + WINDOW, moved, WINDOW)


def test_former_owner_that_an_operator_declares_dead_is_not_waited_for(old):
    new = member_list(2, "ab", dead=["c"])
    moved = key_owned_by((old, "c"), (new, "a"))

    ownership = Ownership("a", new, [old], 7)

    assert ownership.may_accept(7 + WINDOW, moved, WINDOW)
