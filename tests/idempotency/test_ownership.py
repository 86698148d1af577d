"""Which member owns a key, and when ownership may move to another member."""

import pytest

from pepperhook.idempotency.ownership import (
    Knowledge,
    KnownLists,
    Member,
    MemberList,
    Ownership,
    knowledge_at_start,
    owner_of,
)
from tests.idempotency.fleet_model import Fleet
from tests.idempotency.stores import NS_PER_S

FAR_FUTURE = 10**12
WINDOW = NS_PER_S
FLEETS = 400
FLEET_STEPS = 150


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


def test_former_owner_with_a_later_list_is_not_released(old, new):
    """Guards against a member with an older list taking over keys that a later one gives back."""
    moved = key_owned_by((old, "c"), (new, "a"))
    ownership = Ownership("a", old, [], 0)
    ownership.replace(10, new)

    ownership.note_epoch(20, "c", 3)

    assert not ownership.may_accept(FAR_FUTURE, moved, WINDOW), "c may own it by list 3"
    assert not ownership.settle(FAR_FUTURE, WINDOW)


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


@pytest.mark.parametrize(
    "saved_epochs, was_complete, epoch, knowledge",
    [
        ([], False, 1, Knowledge.COMPLETE),  # a new fleet
        ([], False, 2, Knowledge.UNKNOWN),  # added, or its journal is gone
        ([1], True, 1, Knowledge.COMPLETE),
        ([1], True, 2, Knowledge.COMPLETE),  # nothing lies between
        ([1], True, 3, Knowledge.UNKNOWN),  # missed 2
        ([1], False, 2, Knowledge.UNKNOWN),  # did not know all before, either
    ],
)
def test_knowledge_of_a_member_that_starts(saved_epochs, was_complete, epoch, knowledge):
    """Guards against a member that takes the lists that it happens to know for all there were."""
    saved = KnownLists([member_list(saved, "ab") for saved in saved_epochs], was_complete)

    assert knowledge_at_start(saved, member_list(epoch, "ab")) is knowledge


def test_added_member_learns_the_earlier_lists_and_waits_for_their_owners(old):
    new = member_list(2, "abcd")
    moved = key_owned_by((old, "a"), (new, "d"))
    ownership = Ownership("d", new, [], 0, Knowledge.UNKNOWN)
    assert not ownership.may_accept(FAR_FUTURE, moved, WINDOW)
    assert {member.name for member in ownership.members_to_ask()} == set("abc")

    ownership.note_lists(5, "b", KnownLists([old], is_complete=True))

    assert [earlier.epoch for earlier in ownership.previous] == [1]
    assert not ownership.may_accept(FAR_FUTURE, moved, WINDOW), "a has not reported the new list"
    ownership.note_lists(9, "a", KnownLists([old, new], is_complete=True))
    assert not ownership.may_accept(9 + WINDOW - 1, moved, WINDOW)
    assert ownership.may_accept(9 + WINDOW, moved, WINDOW)


def test_report_of_a_member_that_knows_less_or_another_epoch_does_not_complete_the_knowledge(old):
    ownership = Ownership("d", member_list(3, "abd"), [], 0, Knowledge.UNKNOWN)

    ownership.note_lists(5, "a", KnownLists([old], is_complete=True))
    ownership.note_lists(5, "b", KnownLists([member_list(2, "abc")], is_complete=False))
    ownership.note_epoch(5, "c", 3)

    assert ownership.knowledge is Knowledge.UNKNOWN
    assert [earlier.epoch for earlier in ownership.previous] == [1, 2]
    assert {member.name for member in ownership.members_to_ask()} == set("abc")


def test_lists_that_nobody_knows_matter_until_a_window_after_the_last_report():
    new = member_list(5, "ab")
    key = key_owned_by((new, "b"))
    ownership = Ownership("b", new, [], 0, Knowledge.UNKNOWN)
    assert not ownership.settle(FAR_FUTURE, WINDOW), "a has not reported"

    ownership.note_lists(7, "a", KnownLists([new], is_complete=False))

    assert not ownership.settle(7 + WINDOW - 1, WINDOW)
    assert not ownership.may_accept(7 + WINDOW - 1, key, WINDOW)
    assert ownership.settle(7 + WINDOW, WINDOW)
    assert ownership.may_accept(7 + WINDOW, key, WINDOW)


def test_running_member_that_skips_a_list_keeps_its_keys_and_takes_over_none(old):
    new = member_list(3, "ab")
    kept = key_owned_by((old, "a"), (new, "a"))
    moved = key_owned_by((old, "c"), (new, "a"))
    ownership = Ownership("a", old, [], 0)

    ownership.replace(10, new)
    ownership.note_epoch(11, "c", 3)

    assert ownership.may_accept(12, kept, WINDOW)
    assert not ownership.may_accept(FAR_FUTURE, moved, WINDOW), "list 2 is not known"
    ownership.note_lists(13, "b", KnownLists([old, member_list(2, "ab"), new], is_complete=True))
    ownership.note_epoch(13, "b", 3)
    assert ownership.may_accept(13 + WINDOW, moved, WINDOW)


def test_member_that_was_removed_and_is_listed_again_asks_before_it_accepts_its_keys(old):
    new = member_list(3, "abc")
    kept = key_owned_by((old, "c"), (new, "c"))
    ownership = Ownership("c", old, [], 0)
    ownership.note_removal(2)
    assert ownership.may_accept(5, kept, WINDOW), "others wait for its release"

    ownership.replace(10, new)

    assert not ownership.may_accept(FAR_FUTURE, kept, WINDOW)


def test_member_with_an_outdated_list_at_its_start_waits_for_the_later_one(old, new):
    key = key_owned_by((old, "a"), (new, "a"))
    ownership = Ownership("a", old, [], 0)

    ownership.note_lists(5, "b", KnownLists([old, new], is_complete=True))

    assert not ownership.may_accept(FAR_FUTURE, key, WINDOW)
    ownership.replace(10, new)
    assert ownership.may_accept(10, key, WINDOW)


def test_running_member_that_reads_a_later_list_late_keeps_its_keys(old):
    key = key_owned_by((old, "a"))
    ownership = Ownership("a", old, [], 0)
    ownership.note_epoch(5, "b", 1)

    ownership.note_epoch(20, "b", 2)

    assert ownership.may_accept(20, key, WINDOW), "b waits for the release"


@pytest.mark.parametrize("is_contiguous", [True, False])
def test_no_key_runs_twice_in_a_window_whatever_the_members_missed(is_contiguous):
    """Guards against members that lack lists which others know, in any way, running keys again."""
    for seed in range(FLEETS):
        fleet = Fleet(seed, is_contiguous)

        fleet.play(FLEET_STEPS)

        assert not fleet.run_twice, f"seed {seed}"
        fleet.repair()
        assert fleet.serves_all_keys(), f"seed {seed}"
