"""The rollout's state machine: admission of members, ends of steps, pauses and rollbacks."""

import itertools
import random

import msgspec
import pytest

from pepperhook.control_plane.rollout import Rollout, RolloutState, Step
from pepperhook.control_plane.rollout_statistics import RequestCounts, difference_interval
from pepperhook.units import SECOND

OLD, NEW = 4, 5  # versions
NAMES = [f"b{n}" for n in range(8)]
ALL_RUN_NEW = dict.fromkeys(NAMES, NEW)


def new_rollout(**fields):
    defaults = {
        "number": 1,
        "version": NEW,
        "previous_version": OLD,
        "steps": [Step(0.25, 10), Step(1.0, 10)],
        "patience_s": 20,
        "author": "ann",
    }
    return Rollout(**{**defaults, **fields})


def advanced_rollout(updated, baseline, seconds, applied=True):
    """Return a rollout after ``seconds``.

    ``updated`` and ``baseline`` are (succeeded, failed) requests by the new and the old version;
    ``applied`` says whether admitted members run the new version.
    """
    rollout = new_rollout()
    rollout.admit(NAMES)
    running = {name: rollout.desired_version(name) if applied else OLD for name in NAMES}
    rollout.count_requests(NEW, *updated)
    rollout.count_requests(OLD, *baseline)
    rollout.advance(int(seconds * SECOND), running, NAMES)
    return rollout


def test_members_of_a_smaller_share_stay_admitted_in_a_larger_one():
    admitted = set()
    rollout = new_rollout(steps=[Step(share, 0) for share in (0.01, 0.25, 0.5, 0.75, 1.0)])
    for number, step in enumerate(rollout.steps):
        rollout.step = number

        rollout.admit(NAMES)

        current = {name for name in NAMES if rollout.desired_version(name) == NEW}
        assert admitted <= current
        assert len(current) == max(1, round(step.share * 8))
        admitted = current


def test_joining_member_does_not_displace_an_admitted_one():
    rollout = new_rollout(steps=[Step(0.5, 0)])
    for count in range(1, 9):
        before = set(rollout.admitted)

        rollout.admit(NAMES[:count])

        assert before <= set(rollout.admitted)
        assert len(rollout.admitted) == max(1, round(count / 2))


class CountingList(list):
    """A list that counts its searches."""

    searches = 0

    def __contains__(self, name):
        CountingList.searches += 1
        return super().__contains__(name)


def test_admission_of_a_thousand_members_does_not_search_the_list_for_each():
    # Searching the list for each name took ten seconds, in which the service did not respond.
    names = CountingList(f"m{number:04}" for number in range(1000))
    rollout = new_rollout(steps=[Step(0.5, 1.0), Step(1.0, 0.0)], patience_s=1)

    assert rollout.admit(names)
    assert len(rollout.admitted) == 500
    assert CountingList.searches < 10
    assert not rollout.admit(names)

    rollout.step = 1
    first_half = list(rollout.admitted)
    assert rollout.admit(names)
    assert rollout.admitted[:500] == first_half
    assert sorted(rollout.admitted) == sorted(names)


def test_step_ends_after_its_duration_if_the_new_version_is_not_worse():
    assert advanced_rollout((990, 10), (2970, 30), 11).step == 1
    assert advanced_rollout((990, 10), (2970, 30), 9).step == 0, "a step ends before its duration"
    assert advanced_rollout((300, 200), (900, 600), 11).step == 1, (
        "equal failure shares keep a step from ending"
    )


def test_significantly_worse_version_is_rolled_back_at_once():
    rollout = advanced_rollout((900, 100), (2970, 30), 2)

    assert (rollout.state, rollout.step) == (RolloutState.ROLLED_BACK, 0)


def test_step_without_evidence_is_paused_after_the_patience():
    assert advanced_rollout((50, 10), (2970, 30), 11).state == RolloutState.RUNNING

    paused = advanced_rollout((50, 10), (2970, 30), 31)

    assert paused.state == RolloutState.PAUSED
    assert "not enough seen, 60 operations" in paused.reason


def test_member_that_does_not_apply_the_version_pauses_the_rollout_after_the_patience():
    paused = advanced_rollout((990, 10), (2970, 30), 31, applied=False)

    assert paused.state == RolloutState.PAUSED
    assert "did not apply it" in paused.reason


def test_last_step_is_compared_with_the_baseline_of_the_step_before():
    rollout = advanced_rollout((990, 10), (2970, 30), 11)

    rollout.count_requests(NEW, 800, 200)

    assert rollout.advance(12 * SECOND, ALL_RUN_NEW, NAMES)
    assert rollout.state == RolloutState.ROLLED_BACK


def test_resumed_rollout_restarts_its_step():
    rollout = advanced_rollout((50, 10), (2970, 30), 31)

    rollout.resume(40 * SECOND, "fixed")

    assert rollout.state == RolloutState.RUNNING
    assert rollout.step_started_ns == 40 * SECOND
    assert not rollout.updated.total


def test_99_percent_interval_of_the_difference_contains_the_published_95_percent_interval():
    # Newcombe (1998), table II, example (a): of 56/70 and 48/80 the 95% bounds by method 10 are
    # 0.0524 and 0.3339. The 99% bounds lie outside them.
    low, high = difference_interval(RequestCounts(14, 56), RequestCounts(32, 48))

    assert 0.0 < low < 0.0524
    assert 0.3339 < high < 0.4


def random_counts(generator, total, failure_share):
    failed = sum(generator.random() < failure_share for _ in range(total))
    return total - failed, failed


@pytest.mark.parametrize("seed", range(4))
def test_equal_version_is_rarely_rolled_back_and_a_worse_one_mostly_is(seed):
    generator = random.Random(seed)
    wrongly_rolled_back = 0
    rightly_rolled_back = 0
    for _ in range(150):
        for worse in (False, True):
            rollout = new_rollout()
            for _ in range(60):
                failure_share = 0.02 + (0.05 if worse else 0)
                rollout.count_requests(NEW, *random_counts(generator, 20, failure_share))
                rollout.count_requests(OLD, *random_counts(generator, 60, 0.02))
                rollout.advance(1, {}, NAMES)
            rolled_back = rollout.state == RolloutState.ROLLED_BACK
            wrongly_rolled_back += not worse and rolled_back
            rightly_rolled_back += worse and rolled_back
    # Each rollout is judged sixty times, with a tolerance of half a percent.
    assert wrongly_rolled_back <= 6
    assert rightly_rolled_back >= 120


class RolloutModel:
    """A rollout with three members; its state is stored as by the service."""

    names = ("a", "b", "c")

    def __init__(self):
        self.rollout = new_rollout(steps=[Step(0.4, 1), Step(1.0, 1)], patience_s=2)
        self.rollout.admit(self.names)
        self.stored = msgspec.json.encode(self.rollout)
        self.running = dict.fromkeys(self.names, OLD)
        self.ever_desired = {name: {OLD} for name in self.names}
        self.final_state = None
        self.now = 0

    def perform(self, event):
        self.now += SECOND
        before = self.rollout.state
        action, _, name = event.partition(" ")
        getattr(self, action)(*([name] if name else []))
        if self.rollout.state != before or action == "tick":
            self.stored = msgspec.json.encode(self.rollout)

    def tick(self):
        self.rollout.advance(self.now, self.running, self.names)

    def apply(self, name):
        self.running[name] = self.rollout.desired_version(name)

    def reject(self, name):
        if self.rollout.desired_version(name) == NEW:
            self.rollout.reject(name, "why")
            assert self.rollout.state != RolloutState.RUNNING

    def crash(self):
        self.rollout = msgspec.json.decode(self.stored, type=Rollout)

    def succeed(self):
        self.rollout.count_requests(NEW, 400, 0)
        self.rollout.count_requests(OLD, 400, 0)

    def fail(self):
        self.rollout.count_requests(NEW, 200, 200)
        self.rollout.count_requests(OLD, 400, 0)

    def pause(self):
        self.rollout.pause("held")

    def resume(self):
        self.rollout.resume(self.now, "")

    def roll_back(self):
        self.rollout.roll_back("")

    def check(self):
        rollout = self.rollout
        for name in self.names:
            self.ever_desired[name].add(rollout.desired_version(name))
            assert self.running[name] in self.ever_desired[name]
        if self.final_state is not None:
            assert rollout.state == self.final_state
        if rollout.state in (RolloutState.ROLLED_BACK, RolloutState.COMPLETED):
            self.final_state = rollout.state
            resulting = OLD if rollout.state == RolloutState.ROLLED_BACK else NEW
            assert {rollout.desired_version(name) for name in self.names} == {resulting}


def test_rollout_invariants_hold_in_every_order_of_five_events():
    """Members only run versions that the service chose for them, and a final state never changes.

    The events are reports of members, their requests, a crash of the service, which restarts with
    the stored state, and actions of an operator.
    """
    events = (
        "tick",
        "apply a",
        "apply b",
        "reject c",
        "crash",
        "succeed",
        "fail",
        "pause",
        "resume",
        "roll_back",
    )
    checked = 0
    for order in itertools.product(events, repeat=5):
        model = RolloutModel()
        for event in order:
            model.perform(event)
            model.check()
            checked += 1
    assert checked == 5 * 10**5
