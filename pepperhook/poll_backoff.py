"""Backoff for a fleet that polls one service: a time slot per balancer in rounds that grow.

Rounds of the same length begin at the same times of the common clock on all balancers, and the
index of a balancer determines its slot in a round. So the polls of a fleet stay evenly spread
regardless of when each balancer begins to wait. A balancer polls at most once in a round, which
also limits its retries.
"""

from dataclasses import dataclass

from pepperhook.units import MILLISECOND

MIN_SPREAD_NS = 300 * MILLISECOND


def next_slot(earliest: int, period: int, phase: float) -> int:
    """Return the first time from ``earliest`` on that is at ``phase`` (0 to 1) of a round.

    Rounds begin at multiples of ``period``; times are in nanoseconds.
    """
    slot = earliest - earliest % period + int(phase * period)
    return slot if slot >= earliest else slot + period


@dataclass(slots=True)
class PollBackoff:
    """Computes when to poll next from the failed polls in a row."""

    first_ns: int  # length of the round after an answered poll or a held watch
    retry_ns: int  # length of a round after a failed poll
    steady_failures: int = 0  # failed polls in a row after which rounds begin to double
    max_doublings: int = 0
    failed_polls: int = 0  # in a row

    def reset(self) -> None:
        """Record that a poll was answered."""
        self.failed_polls = 0

    def next_poll(
        self,
        now: int,
        fleet_size: int,
        index: int,
        jitter: float,
        max_round_ns: int | None = None,
        latest: int | None = None,
    ) -> int:
        """Count a failed poll; return when the next is due, in rounds of at most ``max_round_ns``.

        ``jitter`` (0 to 1) is the position within this balancer's slot. After a failed retry, a
        slot within the next quarter of a round is skipped, which keeps two polls that far apart.
        If the slot is after ``latest``, the fleet is spread over the time until then, unless that
        is less than MIN_SPREAD_NS.
        """
        period = min(self._round_ns(), max_round_ns or self._round_ns())
        earliest = now + (period // 4 if self.failed_polls else 0)
        self.failed_polls += 1
        phase = (index + jitter) / fleet_size
        slot = next_slot(earliest, period, phase)
        if latest is None or slot <= latest or latest - earliest < MIN_SPREAD_NS:
            return slot
        return next_slot(earliest, latest - earliest, phase)

    def _round_ns(self) -> int:
        if not self.failed_polls:
            return self.first_ns
        doublings = max(0, self.failed_polls - self.steady_failures)
        return self.retry_ns << min(doublings, self.max_doublings)
