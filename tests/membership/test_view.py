"""Merging of updates, refutation, and the size limit of the member table."""

from itertools import product

from pepperhook.membership.messages import MemberState
from pepperhook.membership.settings import NS_PER_MS
from tests.membership.helpers import (
    LOCAL,
    assert_consistent,
    lost,
    make_protocol,
    record,
    suspect,
)


def test_updates_are_ordered_by_incarnation_and_then_by_state():
    in_order = [
        record(incarnation=incarnation, state=state)
        for incarnation, state in product((4, 5), MemberState)
    ]

    for known_index, known in enumerate(in_order):
        overriding = [update.overrides(known) for update in in_order]
        assert overriding == [index > known_index for index in range(len(in_order))]


def test_a_suspect_refutes_with_a_higher_incarnation_and_raises_its_health_score():
    protocol = make_protocol()

    protocol.view.merge(0, suspect(LOCAL), "a")

    assert protocol.table.local.incarnation == 6
    assert protocol.counters.refuted == 1
    assert protocol.local_health.score == 1
    assert_consistent(protocol)


def test_an_update_about_the_local_member_with_a_higher_incarnation_is_overridden():
    protocol = make_protocol()

    protocol.view.merge(0, lost(LOCAL, incarnation=9), "a")

    assert protocol.table.local.incarnation == 10


def test_a_lost_member_returns_only_with_a_higher_incarnation():
    protocol = make_protocol("a")
    protocol.view.merge(0, lost("a"), "b")
    assert "a" not in protocol.table.present_names()

    protocol.view.merge(0, record("a"), "b")
    assert "a" not in protocol.table.present_names()

    protocol.view.merge(0, record("a", incarnation=6), "a")
    assert "a" in protocol.table.present_names()
    assert_consistent(protocol)


def test_a_lost_record_of_an_unknown_member_is_not_added():
    protocol = make_protocol()

    protocol.view.merge(0, lost("q"), "b")

    assert "q" not in protocol.table.others
    assert_consistent(protocol)


def test_another_process_of_the_same_name_is_counted_and_overridden_at_a_limited_rate():
    protocol = make_protocol()

    for step in range(100):
        incarnation = protocol.table.local.incarnation + 1
        other = record(LOCAL, address=("127.0.0.1", 9), incarnation=incarnation)
        protocol.view.merge(step * NS_PER_MS, other, "a")

    assert protocol.counters.name_conflicts == 100
    # One override at most: the 100 ms are less than a rejoin interval.
    assert protocol.table.local.incarnation <= 7


def test_members_beyond_the_limit_are_not_added():
    protocol = make_protocol()
    protocol.table.max_members = 50

    for number in range(80):
        protocol.view.merge(0, record(f"n{number}"), "a")

    assert len(protocol.table.others) == 50
    assert_consistent(protocol)
