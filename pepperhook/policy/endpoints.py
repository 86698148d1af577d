"""When the endpoint list is polled, and for how long the current list permits sending to an upstream."""

from pepperhook.actions import OperatorNote, WatchEndpoints
from pepperhook.domain import PollFailure, Upstream
from pepperhook.pipeline import Component
from pepperhook.policy.endpoint_knowledge import EndpointKnowledge
from pepperhook.poll_backoff import PollBackoff
from pepperhook.units import MILLISECOND, SECOND

# The balancer counts as notified of a change this long after it, even if all polls failed (rule 3).
NOTIFIED_AFTER = 6 * SECOND
POLL_TIMEOUT = 2100 * MILLISECOND  # the service drops a queued poll after 2 s; 0.1 s for the transit
MAX_WATCH_WAIT = 3 * SECOND  # leaves time for a retry while the list that the last answer confirmed is valid
# Mean interval between the first polls of a fleet that starts together; minimum length of a poll round (see
# poll_backoff).
START_INTERVAL, MIN_ROUND = 100 * MILLISECOND, SECOND
# By the settings, a list holds so many times longer after a failed poll than without one.
FAILED_POLL_FACTOR = 4
# Maximum length of rounds, so that in an outage a fleet polls as often as its watches do without one.
LONGEST_ROUNDS = {
    PollFailure.UNREACHABLE: 3 * SECOND,
    PollFailure.INTERRUPTED: 3 * SECOND,
    PollFailure.REFUSED: NOTIFIED_AFTER - POLL_TIMEOUT,
    PollFailure.HELD: 3 * SECOND,
    PollFailure.SILENT: SECOND,
}
# Length of rounds while sends are permitted. Time from the beginning of a poll to its answer: it is queued
# for up to 2 s, and this process or the network may delay it.
RETRY_ROUND, ANSWER_TIME = 3 * SECOND, 2250 * MILLISECOND
# Failures of a service that may be down. Until it is back, the balancer does not count as notified.
DOWN_FAILURES = (PollFailure.UNREACHABLE, PollFailure.INTERRUPTED, PollFailure.REFUSED)
# A poll that is refused after so long was queued, and is a load to a service that runs. After more of them in
# a row than an outage of 25 s causes, rounds are longer, and sends end before the next poll.
QUEUED_AFTER, MAX_QUEUED_POLLS, LOAD_ROUND = 1500 * MILLISECOND, 8, 6 * SECOND
# Rounds double after so many failed polls in a row, so often, unless LONGEST_ROUNDS has their failure.
STEADY_FAILURES, MAX_DOUBLINGS = 2, 2
CHECK_LEAD = 2 * SECOND  # health checks begin this long before the endpoint list becomes stale


class Endpoints(Component):
    """Keeps one watch on the endpoint list open, without overloading the service that a whole fleet polls."""

    def _set_up(self, now: int) -> None:
        # planned_at: time of the next watch; is_confirmed: whether the open watch was answered.
        self.polls, self.planned_at, self.watch_began_at = self.settings.polls_endpoints, now, now
        self.is_watching = self.is_confirmed = False
        self.notified_after = min(NOTIFIED_AFTER, self.settings.endpoint_poll_within_ns)
        # Only answers extend the validity of the list, open subscriptions apart.
        self.knowledge = EndpointKnowledge(self.notified_after, now + self.notified_after)
        self.is_reported_stale = self.is_trust_reported = False
        self.backoff = self.make_backoff()
        if self.polls:
            # Not delayed where lists are pushed: a change counts as notified as soon as the
            # machine's agent has it.
            # The delay grows with the size of the fleet (position[0]).
            spread = min(self.backoff.first_ns, max(MIN_ROUND, START_INTERVAL * self.settings.position[0]))
            delay = self.balancer.random() * spread * (not self.settings.endpoints_are_pushed)
            self.planned_at = now + int(delay)
            self.balancer.call_at(self.planned_at, self._watch, self.planned_at)

    def make_backoff(self) -> PollBackoff:
        """Return a backoff whose first round leaves time for an answer while the current list is valid."""
        if self.settings.endpoints_are_pushed:
            return PollBackoff(MIN_ROUND, MIN_ROUND)  # only this balancer polls the machine's agent
        first, retry = max(MIN_ROUND, self.notified_after - POLL_TIMEOUT), max(MIN_ROUND, self.notified_after)
        return PollBackoff(first, retry, STEADY_FAILURES, MAX_DOUBLINGS)

    def _watch(self, now: int, planned_at: int) -> None:
        if planned_at == self.planned_at and not self.is_watching:
            self.is_watching, self.watch_began_at = True, now
            wait = min(MAX_WATCH_WAIT, self.settings.endpoint_poll_within_ns // 2)
            self.balancer.actions.append(WatchEndpoints(wait))

    def restart_watch(self, now: int) -> None:
        """Open a watch on another service; a subscription reported all changes up to now."""
        if self.is_confirmed and self.settings.subscribes_to_endpoints:
            self.knowledge.extend_list(now + self.notified_after)
        self.knowledge.record_running()
        self.is_watching = self.is_confirmed = False
        self.planned_at = now
        self._watch(now, now)

    def confirm(self, at: int) -> None:
        """Record that the service has answered with the list as it was at time ``at``."""
        self.is_confirmed = self.is_watching
        self.knowledge.record_answer(at)
        self.backoff.reset()

    def poll_failed(self, now: int, failure: PollFailure, retry_after: int) -> None:
        """Process a failed poll or the end of a watch, and schedule the next watch."""
        if not self.polls:
            return
        self._record_failure(failure)
        if failure is not PollFailure.SILENT:
            self._extend_by_subscription(now)
        if failure is PollFailure.UNSPECIFIED:
            self._hold_by_settings()
        self.planned_at = self._plan_next_poll(now, failure, retry_after)
        self.balancer.call_at(self.planned_at, self._watch, self.planned_at)
        self.is_watching = self.is_confirmed = False

    def _record_failure(self, failure: PollFailure) -> None:
        if failure not in DOWN_FAILURES:
            self.knowledge.record_running()
        elif not self.is_confirmed:
            # A watch that was answered ends at any time in an outage: only a new poll that fails shows one.
            self.knowledge.record_unreachable(self.watch_began_at)

    def _plan_next_poll(self, now: int, failure: PollFailure, retry_after: int) -> int:
        """Return the time of the next poll, which can be answered while sends are permitted.

        If too little time is left for that, sends end before the next poll.
        """
        jitter, position = self.balancer.random(), self.settings.position
        longest = LONGEST_ROUNDS.get(failure)
        # Without upstreams there is nothing to send to, and the poll is for a whole list, which costs more.
        is_idle = failure is PollFailure.REFUSED and not self.balancer.subset.ring.ready
        if longest is None or is_idle:
            return self.backoff.next_poll(now + retry_after, *position, jitter)
        if self._is_load(now, failure):
            return self.backoff.next_poll(now + retry_after, *position, jitter, LOAD_ROUND)
        remaining = self.knowledge.valid_until - now - retry_after
        if remaining <= 0:
            return self.backoff.next_poll(now + retry_after, *position, jitter, longest)
        earliest, latest = now + retry_after, now + retry_after + remaining - ANSWER_TIME
        if self.is_confirmed:
            latest = max(latest, earliest + MIN_ROUND)  # health checks do not count before a retry has failed
        elif failure is PollFailure.REFUSED:
            longest = RETRY_ROUND
            # A service that refuses polls at once gets no more of them than one that refuses them late.
            earliest = max(earliest, self.watch_began_at + longest // 2)
        return self.backoff.next_poll(earliest, *position, jitter, longest, latest)

    def _is_load(self, now: int, failure: PollFailure) -> bool:
        was_queued = not self.is_confirmed and now - self.watch_began_at >= QUEUED_AFTER
        is_long = self.backoff.failed_polls > MAX_QUEUED_POLLS
        return failure is PollFailure.REFUSED and was_queued and is_long

    def _extend_by_subscription(self, now: int) -> None:
        # A long poll may wait in a queue, in a proxy or at a service that has failed: only its answer shows
        # that the list was current. A host that subscribes is notified of each change and of the end.
        is_held = (
            self.is_confirmed and now > self.knowledge.list_valid_until - self.notified_after + POLL_TIMEOUT
        )
        if is_held and self.settings.subscribes_to_endpoints:
            self.knowledge.extend_list(now + self.notified_after)

    def _hold_by_settings(self) -> None:
        """Hold the list for as long as the settings allow after the failed poll, from its beginning.

        Only where no health check can show an upstream's state in the meantime.
        """
        if not self.settings.may_health_check:
            held_until = self.planned_at + FAILED_POLL_FACTOR * self.settings.endpoint_poll_within_ns
            self.knowledge.extend_list(held_until)

    def review(self, now: int) -> None:
        """Report when the list becomes stale or current, and what permits sends while it is stale."""
        subscribes = self.settings.subscribes_to_endpoints
        is_stale = self.polls and not subscribes and now > self.knowledge.list_valid_until
        became_stale = is_stale and not self.is_reported_stale
        if is_stale != self.is_reported_stale:
            self.is_reported_stale = is_stale
            self._report(f"endpoint list is {'stale' if is_stale else 'current'}")
        is_trusted = is_stale and self._trusts_health_checks() and now <= self.knowledge.unreachable_until
        if is_stale and (became_stale or is_trusted != self.is_trust_reported):
            if is_trusted:
                self._report("only upstreams that pass health checks get requests")
            else:
                self._report("no upstream gets requests until the endpoint list is current")
        self.is_trust_reported = is_trusted

    def _report(self, text: str) -> None:
        self.balancer.actions.append(OperatorNote(text))

    def is_stale(self, now: int, upstream: Upstream) -> bool:
        """Rule 3: return whether the upstream may be draining or gone without this balancer's knowledge."""
        if not self.polls or self._is_subscribed():
            return False
        if self.settings.subscribes_to_endpoints:
            return now > max(self.knowledge.list_valid_until, upstream.shown_ready_at + self.notified_after)
        # A draining upstream may pass health checks. So they count only until one was seen to pass.
        shown_ready_at = upstream.shown_ready_at if self._trusts_health_checks() else 0
        return now > self.knowledge.permits_until(shown_ready_at)

    def needs_health_check(self, now: int, upstream: Upstream) -> bool:
        """Return whether sending to the upstream may soon require that it has passed a health check."""
        if not self.polls or self._is_subscribed() or self.balancer.drain_check.drains_pass_checks:
            return False
        shown_ready_until = upstream.shown_ready_at + self.notified_after
        return now + CHECK_LEAD > max(self.knowledge.list_valid_until, shown_ready_until)

    def _is_subscribed(self) -> bool:
        # After failed calls only once the subscription is confirmed: confirm() resets failed_polls.
        is_open = self.is_watching and not self.backoff.failed_polls
        return is_open and self.settings.subscribes_to_endpoints

    def _trusts_health_checks(self) -> bool:
        return self.settings.may_health_check and not self.balancer.drain_check.drains_pass_checks
