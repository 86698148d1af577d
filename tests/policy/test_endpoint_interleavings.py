"""All short sequences of poll results: no send is permitted longer than what was observed holds."""

import itertools
from dataclasses import dataclass

import pytest

from pepperhook.domain import PollFailure
from pepperhook.policy.endpoints import DOWN_FAILURES, LONGEST_ROUNDS, NOTIFIED_AFTER
from tests.policy.endpoint_host import MILLISECOND, SECOND, Host

DEPTH = 4  # polls in a row
ANSWERED_LATE_AFTER = 1900 * MILLISECOND
QUICKLY = MILLISECOND
# The pause after a poll while discovery is not overloaded and asks for none: a round of 3.9 s, a
# quarter of it that may be skipped, and the length of the poll before.
LONGEST_PAUSE = 8 * SECOND


@dataclass(frozen=True)
class Result:
    """How a poll ends: by an answer, a failure, or a move to another service (neither)."""

    name: str
    duration_ns: int
    failure: PollFailure | None = None
    is_answer: bool = False
    retry_after_ns: int = 0


RESULTS = [
    Result("answered", QUICKLY, is_answer=True),
    Result("answered late", ANSWERED_LATE_AFTER, is_answer=True),
    Result("refused", QUICKLY, PollFailure.REFUSED),
    Result("refused late", ANSWERED_LATE_AFTER, PollFailure.REFUSED),
    Result("refused with Retry-After", QUICKLY, PollFailure.REFUSED, retry_after_ns=20 * SECOND),
    Result("unreachable", QUICKLY, PollFailure.UNREACHABLE),
    Result("silent", 2500 * MILLISECOND, PollFailure.SILENT),
    Result("overloaded", ANSWERED_LATE_AFTER, PollFailure.OVERLOADED),
    Result("another service", QUICKLY),
]


class Observer:
    """Applies results of polls to a host, and keeps until when these permit sends."""

    def __init__(self, index, fleet_size):
        self.host = Host(index=index, fleet_size=fleet_size)
        self.answered_until = self.host.now + NOTIFIED_AFTER
        self.unreachable_until = 0

    @property
    def endpoints(self):
        return self.host.balancer.endpoints

    def wake_at(self, when):
        self.host.now = max(self.host.now, when)
        self.host.call(self.host.balancer.wake)

    def apply(self, result):
        """Let the next poll begin at its time and end with ``result``."""
        was_confirmed = self.endpoints.is_confirmed
        if not self.endpoints.is_watching:
            self.wake_at(self.endpoints.planned_at)
        began_at = self.host.now
        self.wake_at(began_at + result.duration_ns)
        if result.is_answer:
            self.host.call(self.host.balancer.endpoints_confirmed, result.duration_ns)
            self.answered_until, self.unreachable_until = began_at + NOTIFIED_AFTER, 0
        elif result.failure is None:
            self.host.call(self.host.balancer.endpoint_service_moved)
            self.unreachable_until = 0
        else:
            self.host.fail_poll(result.failure, result.retry_after_ns)
            if result.failure not in DOWN_FAILURES:
                self.unreachable_until = 0
            elif not was_confirmed:
                self.unreachable_until = began_at + NOTIFIED_AFTER
            self.check_pause(result)
        self.check_permission()

    def check_pause(self, result):
        """Check that the next poll comes in bounded time."""
        pause = self.endpoints.planned_at - self.host.now - result.retry_after_ns
        assert pause <= (LONGEST_PAUSE if result.failure in LONGEST_ROUNDS else 30 * SECOND)

    def check_permission(self):
        """Check that sends are permitted until the observed time, and no longer, by any check."""
        permitted_until = max(self.answered_until, self.unreachable_until)
        for upstream in self.host.upstreams:
            upstream.shown_ready_at = permitted_until  # it passes each health check
            is_stale = self.endpoints.is_stale
            assert permitted_until < self.host.now or not is_stale(self.host.now, upstream)
            assert is_stale(max(self.host.now, permitted_until) + 1, upstream)


@pytest.mark.parametrize("index, fleet_size", [(0, 1), (67, 102)])
def test_no_sequence_of_poll_results_permits_sends_longer_than_was_observed(index, fleet_size):
    # Trust in health checks had no end, and each incident of rule 3 was another sequence.
    for results in itertools.product(RESULTS, repeat=DEPTH):
        observer = Observer(index, fleet_size)
        try:
            for result in results:
                observer.apply(result)
        except AssertionError as error:
            names = ", ".join(result.name for result in results)
            raise AssertionError(f"after {names}") from error
