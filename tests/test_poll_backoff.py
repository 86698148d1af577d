"""Poll times of a fleet that polls one service, and the lengths of its rounds."""

import pytest

from pepperhook.poll_backoff import PollBackoff, next_slot

SECOND = 10**9
NO_JITTER = 0.0


@pytest.mark.parametrize("fleet_size", [1, 7, 246])
def test_polls_of_a_fleet_that_failed_together_are_spread_evenly_over_the_round(fleet_size):
    failed_at = 1_796_181_560 * SECOND + 123_456_789
    slots = sorted(
        PollBackoff(4 * SECOND, 6 * SECOND).next_poll(failed_at, fleet_size, index, NO_JITTER)
        for index in range(fleet_size)
    )

    gaps = [later - earlier for earlier, later in zip(slots, slots[1:], strict=False)]

    assert failed_at <= slots[0] and slots[-1] < failed_at + 4 * SECOND
    assert all(abs(gap - 4 * SECOND / fleet_size) <= 2 for gap in gaps)


def test_jitter_stays_within_the_slot_of_a_balancer():
    slots = [next_slot(0, 8 * SECOND, (3 + jitter) / 8) for jitter in (0.0, 0.5, 0.999)]

    assert all(3 * SECOND <= slot < 4 * SECOND for slot in slots)


@pytest.mark.parametrize("earliest", [0, 1, 3 * SECOND - 1, 3 * SECOND, 3 * SECOND + 1])
def test_next_slot_is_the_first_one_at_or_after_the_earliest_time(earliest):
    slot = next_slot(earliest, 4 * SECOND, 0.75)

    assert slot in (3 * SECOND, 7 * SECOND)
    assert earliest <= slot < earliest + 4 * SECOND


def test_rounds_double_after_steady_failures_up_to_a_bound():
    backoff = PollBackoff(4 * SECOND, 6 * SECOND, steady_failures=2, max_doublings=2)
    lengths = []
    for _ in range(7):
        # The private length is read because the time until the next poll also depends on the slot;
        # it is at most 1.25 rounds.
        lengths.append(backoff._round_ns() // SECOND)
        backoff.next_poll(0, 1, 0, NO_JITTER)

    assert lengths == [4, 6, 6, 12, 24, 24, 24]

    backoff.reset()
    assert backoff._round_ns() == 4 * SECOND


def test_balancer_polls_at_most_once_per_round_while_polls_are_refused_immediately():
    backoff = PollBackoff(4 * SECOND, 6 * SECOND, steady_failures=100)
    polls, now = [], 0
    for attempt in range(50):
        now = backoff.next_poll(now, 10, 3, jitter=(attempt % 7) / 7)
        polls.append(now)

    rounds = [poll // (6 * SECOND) for poll in polls[1:]]
    assert len(set(rounds)) == len(rounds)


def test_round_is_no_longer_than_the_bound_of_the_call():
    backoff = PollBackoff(4 * SECOND, 6 * SECOND)

    assert backoff.next_poll(0, 1, 0, 0.5, max_round_ns=SECOND) == SECOND // 2
