"""Outlier detection: less traffic for failing and slow upstreams, none for unreachable ones."""

from math import exp

from pepperhook.actions import HealthCheck
from pepperhook.domain import Attempt, Outcome, Upstream
from pepperhook.pipeline import Component
from pepperhook.units import MILLISECOND, SECOND

# An upstream is an outlier while its failure fraction is above the first and the median below the second.
OUTLIER_FAILURES, PEER_FAILURES = 0.3, 0.1
MIN_WEIGHT = 0.02  # of a reachable upstream: it gets enough attempts to show that it has recovered
# Upper bound of the speed relative to the median; growth of the latency score with the failure fraction.
MAX_SPEED, FAILURE_PENALTY = 2.0, 4
# Observations at the median that are added, so that an upstream with few of its own is not rated slow.
PRIOR_OBSERVATIONS = 2
# An attempt that is open, timed out or cancelled counts as slow from an age of e**0.7 (about 2) expected
# service times on.
SLOW_LOG_AGE = 0.7
# Delay of the first health check of an unreachable upstream; mean interval of the next; period of reviews.
CHECK_AFTER, CHECK_INTERVAL, REVIEW_PERIOD = 100 * MILLISECOND, SECOND, 200 * MILLISECOND
UNREACHABLE_PAUSE = 5 * SECOND  # mean time without attempts to an unreachable upstream without health checks
ASSUMED_RESTARTED_AFTER = 1500 * MILLISECOND  # an upstream unreachable for longer is assumed to be cold


class OutlierDetector(Component):
    """Rates each member of the subset against its peers."""

    def review(self, now: int) -> None:
        """Update weight, latency score and outlier state of all members of the subset."""
        members, remote_proximity = self.balancer.subset.members, self.balancer.subset.remote_proximity()
        latencies = [self._high_latency(now, u) for u in members] or [1.0]
        failures = [u.failures.mean(now, 0, 2) for u in members] or [0.0]
        # Compared with the median: ejecting upstreams for a slowness or failures that most of them
        # share would overload the rest.
        median_latency = sorted(latencies)[len(latencies) // 2]
        median_failures = sorted(failures)[len(latencies) // 2]
        for upstream, latency, failure_fraction in zip(members, latencies, failures, strict=False):
            capacity = self.balancer.slow_start.capacity_fraction(now, upstream)
            upstream.is_outlier = failure_fraction > OUTLIER_FAILURES and median_failures < PEER_FAILURES
            observations = upstream.latency.weight
            latency = (latency * observations + median_latency * PRIOR_OBSERVATIONS) / (
                observations + PRIOR_OBSERVATIONS
            )
            upstream.latency_score = latency * (1 + FAILURE_PENALTY * failure_fraction)
            is_near = upstream in self.balancer.subset.same_zone
            upstream.proximity = upstream.operator_weight * (1 if is_near else remote_proximity)
            success = min(1.0, (1 - failure_fraction) / (1 - median_failures)) if median_failures < 1 else 1.0
            self._check_if_due(now, upstream)
            speed = min(MAX_SPEED, median_latency / latency)
            weight = max(MIN_WEIGHT, capacity * (speed * success) ** 2)
            upstream.weight = weight if upstream.unreachable_since is None else 0.0

    def _high_latency(self, now: int, upstream: Upstream) -> float:
        # High estimate of the response times relative to the expected ones; slow open attempts
        # count as ended now.
        ages = [self.balancer.service_times.log_relative_age(now, attempt) for attempt in upstream.in_flight]
        return exp(upstream.latency.decay(now).shrunk_upper(age for age in ages if age > SLOW_LOG_AGE))

    def _check_if_due(self, now: int, upstream: Upstream) -> None:
        is_due = upstream.unreachable_since is not None and now >= upstream.health_check_due_at
        is_wanted = is_due or self.balancer.endpoints.needs_health_check(now, upstream)
        if is_wanted and self.settings.may_health_check:
            self.check(upstream)
        elif is_due:
            # Without health checks only a newer start in the endpoint list would end this otherwise, and an
            # upstream that has not restarted would never get attempts again.
            upstream.unreachable_since = None

    def check(self, upstream: Upstream) -> None:
        """Start a health check, unless one is running."""
        if not upstream.health_check_running:
            upstream.health_check_running = True
            upstream.health_check_began_at = self.balancer.now
            self.balancer.actions.append(HealthCheck(upstream))

    def check_ended(self, now: int, upstream: Upstream, outcome: Outcome) -> None:
        """Process the result of a health check, and schedule the next one."""
        upstream.health_check_running = False
        # Random, so that the health checks of all balancers do not coincide.
        upstream.health_check_due_at = now + int((0.5 + self.balancer.random()) * CHECK_INTERVAL)
        if outcome is Outcome.SERVED:
            upstream.shown_ready_at = upstream.health_check_began_at
            self._mark_reachable(now, upstream)

    def record(self, now: int, attempt: Attempt) -> None:
        """Update the statistics of the upstream with the outcome of an attempt."""
        upstream, outcome = attempt.upstream, attempt.outcome
        if outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED):
            upstream.abandoned.add(now)
            age = self.balancer.service_times.log_relative_age(now, attempt)
            if age > SLOW_LOG_AGE:
                upstream.latency.add(now, age)
        if outcome in (Outcome.CANCELLED, Outcome.NOT_SENT):
            return
        # A timeout counts as slowness (above) and not as a failure.
        upstream.failures.add(now, outcome not in (Outcome.SERVED, Outcome.TIMED_OUT))
        if outcome is Outcome.CONNECT_FAILED and upstream.unreachable_since is None:
            self._mark_unreachable(now, upstream)
        elif outcome not in (Outcome.CONNECT_FAILED, Outcome.TIMED_OUT):
            self._mark_reachable(now, upstream)

    def _mark_unreachable(self, now: int, upstream: Upstream) -> None:
        # 0 if health checks are allowed, the first of which is then due after CHECK_AFTER.
        pause = 0 if self.settings.may_health_check else (0.5 + self.balancer.random()) * UNREACHABLE_PAUSE
        upstream.mark_unreachable(now, now + int(pause or CHECK_AFTER))

    def _mark_reachable(self, now: int, upstream: Upstream) -> None:
        # The upstream may have restarted before the endpoint list reports that; slow start prevents
        # overloading it.
        if (
            upstream.unreachable_since is not None
            and now - upstream.unreachable_since > ASSUMED_RESTARTED_AFTER
        ):
            self.balancer.slow_start.begin(now, upstream, now)
        upstream.unreachable_since = None
