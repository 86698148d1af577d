"""Timelines: which instance each fault applies to, and what the endpoint list shows."""

import itertools
import random

import pytest

from pepperhook.lab.instances import LIFECYCLE_FAULTS, Timeline, Transition
from tests.lab.experiments import EXPERIMENT, read_experiment

NOTICE_S = 1.0  # delay of the experiment's endpoint list
DRAIN, REJECT, SERVE = Transition.DRAIN, Transition.REJECT, Transition.SERVE
END, START = Transition.END, Transition.START


def timeline_of(*faults):
    """Return the timeline of the first tier for rows of (fault, at, for, size)."""
    tables = "".join(
        f'[[troubles]]\nwhat = "{what}"\nat = {at}\nfor = {length}\nsize = {size}\nwho = [0]\n'
        for what, at, length, size in faults
    )
    return Timeline.of(read_experiment(EXPERIMENT + tables), 0)


def list_changes_of(*faults):
    return [(row.at, row.host, row.state) for row in timeline_of(*faults).listings]


def test_fault_after_a_replacement_applies_to_the_new_instance():
    # Regression: the endpoint list named the first instance for all faults, so no balancer was
    # notified of this drain.
    assert list_changes_of(("replaced", 1, 0.5, 0), ("released", 4, 3, 1)) == [
        (2, "t0-00", "gone"),
        (2.5, "t0-00-r1", "ready"),
        (4, "t0-00-r1", "draining"),
        (5, "t0-00-r1", "gone"),
        (8, "t0-00-r4", "ready"),
    ]


def test_drain_after_a_release_applies_to_the_new_instance():
    assert list_changes_of(("released", 1, 2, 1), ("drain", 5, 2, 1)) == [
        (1, "t0-00", "draining"),
        (2, "t0-00", "gone"),
        (4, "t0-00-r1", "ready"),
        (5, "t0-00-r1", "draining"),
        (7, "t0-00-r1", "ready"),
    ]


def test_release_that_begins_during_a_replacement_has_no_effect():
    timeline = timeline_of(("replaced", 1, 2, 0), ("released", 2, 3, 1.5))

    assert [(step.at, step.transition) for step in timeline.steps] == [(1, END), (3, START)]
    assert [(row.at, row.host, row.state) for row in timeline.listings] == [
        (2, "t0-00", "gone"),
        (4, "t0-00-r1", "ready"),
    ]


def test_crash_during_a_drain_ends_the_drain():
    timeline = timeline_of(("drain", 1, 5, 0.5), ("crash", 3, 1.5, 0))

    assert [(step.at, step.transition) for step in timeline.steps] == [
        (1, DRAIN),
        (1.5, REJECT),
        (3, END),
        (4.5, START),
    ]
    assert [(row.at, row.state) for row in timeline.listings] == [
        (1, "draining"),
        (4, "gone"),
        (5.5, "ready"),
    ]


def test_instance_serves_again_when_the_last_of_overlapping_drains_ends():
    timeline = timeline_of(("drain", 1, 2, 0.5), ("drain", 2, 3, 0.5))

    assert [(step.at, step.transition) for step in timeline.steps] == [
        (1, DRAIN),
        (1.5, REJECT),
        (2.5, REJECT),
        (5, SERVE),
    ]
    assert [(row.at, row.state) for row in timeline.listings] == [(1, "draining"), (5, "ready")]


def test_instance_that_drains_before_its_start_is_noticed_is_listed_as_draining():
    assert list_changes_of(("crash", 1, 2, 0), ("drain", 3.5, 3, 1)) == [
        (2, "t0-00", "gone"),
        (4, "t0-00", "draining"),
        (6.5, "t0-00", "ready"),
    ]


def test_new_instance_starts_after_the_old_one_ends_if_a_release_is_shorter_than_its_grace_time():
    # Regression: the new process started before the old one had ended, and the release ended it
    # instead of the old one.
    timeline = timeline_of(("released", 1, 0.6, 1.5))

    assert [(step.at, step.transition) for step in timeline.steps] == [
        (1, DRAIN),
        (2.5, END),
        (2.6, START),
    ]


@pytest.mark.parametrize("seed", range(60))
def test_drained_instance_is_listed_as_draining_until_it_serves_again_or_ends(seed):
    rng = random.Random(seed)
    timeline = timeline_of(
        *(
            (
                rng.choice(LIFECYCLE_FAULTS),
                round(rng.uniform(0, 20), 2),
                round(rng.uniform(0.3, 6), 2),
                round(rng.uniform(0.2, 2), 2),
            )
            for _ in range(rng.randint(2, 8))
        )
    )

    assert [step.transition for step in timeline.steps if step.transition in (END, START)] == list(
        itertools.islice(
            itertools.cycle((END, START)),
            sum(step.transition in (END, START) for step in timeline.steps),
        )
    )
    listed_states, started_at = {}, -NOTICE_S
    moments = sorted(
        [(step.at, 1, step) for step in timeline.steps]
        + [(row.at, 0, row) for row in timeline.listings],
        key=lambda moment: moment[:2],
    )
    for at, is_step, row in moments:
        if not is_step:
            listed_states[row.host] = row.state
        elif row.transition is START:
            started_at = at
        elif row.transition is DRAIN and at > started_at + NOTICE_S:
            # An instance whose end has been listed has no state to check.
            [state] = [state for state in listed_states.values() if state != "gone"] or ["draining"]
            assert state == "draining"
