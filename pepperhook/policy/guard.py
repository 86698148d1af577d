"""The only place that starts attempts, and the last check of rules 1 to 4 before a byte is written."""

from pepperhook.actions import StartAttempt
from pepperhook.domain import Attempt, Effect, Outcome, RepeatGroup, Request, Upstream
from pepperhook.pipeline import Stage


class Guard(Stage):
    """Starts an attempt only if that breaks none of the rules."""

    def may_retry(
        self, now: int, request: Request, upstream: Upstream | None, attempt: Attempt | None
    ) -> bool:
        """Rule 2: return whether another attempt cannot cause a second effect.

        ``upstream`` is its destination, or None if that is not selected yet. ``attempt`` is that
        attempt, which is ignored among the earlier ones, or None if it does not exist yet.
        """
        effect, group = request.service_class.effect, request.service_class.repeat_group
        maybe_executed = request.possibly_executed(attempt)
        if not maybe_executed or effect is Effect.SAFE:
            return True
        if (
            effect is not Effect.KEYED
            or now > maybe_executed[0].sent_at + request.service_class.key_window_ns
        ):
            return False
        if upstream is None or group is RepeatGroup.ALL:
            return True
        return all(getattr(earlier.upstream, group) == getattr(upstream, group) for earlier in maybe_executed)

    def may_write(self, now: int, request: Request, upstream: Upstream, attempt: Attempt | None) -> bool:
        """Return whether rules 1 to 3 allow writing bytes now.

        ``attempt`` is the one about to be written, or None if it does not exist yet.
        """
        if request.finished or request.streaming or now >= request.deadline:
            return False
        if not upstream.is_ready or self.balancer.endpoints.is_stale(now, upstream):
            return False
        # An upstream that has restarted since the attempt was started is cold: the earlier check of its slow
        # start no longer applies (rule 4).
        if attempt is not None and attempt.sent_at < upstream.started_at:
            return False
        return self.may_retry(now, request, upstream, attempt)

    def may_start(self, now: int, request: Request, upstream: Upstream) -> bool:
        """Return whether a new attempt may be started: rules 1 to 4 and the limit on attempts per request.

        Accrues the warm-up credit of the upstream up to ``now``.
        """
        sent = sum(attempt.outcome is not Outcome.NOT_SENT for attempt in request.attempts)
        if request.open_attempts or sent >= self.settings.max_attempts:
            return False
        is_allowed = self.may_write(now, request, upstream, None)
        return is_allowed and self.balancer.slow_start.has_credit(now, upstream)

    def send(self, now: int, request: Request, upstream: Upstream) -> bool:
        """Start an attempt if that is allowed; return whether it was started."""
        if not self.may_start(now, request, upstream):
            return False
        upstream.warm_up_credit -= 1  # the credit is ignored once the upstream is warm
        self.balancer.capacity.update_level(now)
        attempt = request.start_attempt(upstream, now)
        if self.balancer.load_queries.reported_in_flight(now, upstream) is not None:
            upstream.add_to_load_report()
        for rate in self.balancer.retry_budget.rate, self.balancer.retry_budget.steady_rate:
            rate.add(now)
        self.balancer.actions.append(StartAttempt(attempt, request.deadline - now))
        return True

    def attempt_ended(self, now: int, attempt: Attempt) -> None:
        """Close the attempt, and return its warm-up credit if it was never sent."""
        # Cancelled because its time was up, and not because the client left: statistics count a timeout.
        is_time_up = now >= attempt.request.objective_at - self.balancer.completion.margin
        if attempt.outcome is Outcome.CANCELLED and is_time_up:
            attempt.outcome = Outcome.TIMED_OUT
        self.balancer.capacity.update_level(now)
        attempt.close()
        attempt.upstream.warm_up_credit += attempt.outcome is Outcome.NOT_SENT
        self.outer.attempt_ended(now, attempt)
