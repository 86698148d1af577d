"""Concurrency limits: whether an upstream has capacity for one more attempt of this balancer."""

from pepperhook.domain import Attempt, Outcome, Request, ServiceClass, Upstream
from pepperhook.pipeline import Component
from pepperhook.service_times import ServiceTimeModel
from pepperhook.statistics import DecayingMean, DecayingMoments
from pepperhook.units import MILLISECOND, SECOND

LEVEL_SPAN, VALUE_SPAN = 2 * SECOND, 5 * SECOND  # time constants of the means
ALWAYS_CONSIDERED_WEIGHT = 0.3  # below it an upstream is considered with its weight as the probability
# Target duration of attempts: the lesser of these multiples of the objective and of the best service time.
TARGET_OF_OBJECTIVE, TARGET_OF_BEST = 0.35, 2.5
# Weight of one attempt in the moving average of the latency pressure; upper bound of its own pressure.
PRESSURE_STEP, MAX_PRESSURE = 0.1, 3.0
# Latency pressure from which limits are not rounded up to one attempt; allowed ratio of the mean level of
# attempts in flight to the subset's limit where the limit per upstream is below one attempt.
HIGH_PRESSURE, LEVEL_SLACK = 1.4, 1.4
MIN_FACTOR, MAX_FACTOR = 0.5, 2.0  # bounds of the priority factor
MIN_MEAN_VALUE = MILLISECOND / SECOND  # 0.001 avoids division by zero if all values are 0


SERVICE_TIME_MODEL = ServiceTimeModel(
    10 * SECOND, assumed_part=0.2, fixed_part=0.3, cost_part=0.7, growth=1.001
)


class Capacity(Component):
    """Limits concurrency by Little's law, by latency pressure and by the value of the request."""

    def _set_up(self, now: int) -> None:
        self.level = DecayingMean(LEVEL_SPAN, now)  # attempts in flight at all members of the subset
        self.latency_pressure = 0.0  # moving average of attempt durations, as multiples of the target time
        self.values = DecayingMoments(VALUE_SPAN, now)  # of arriving requests

    def priority_factor(self, now: int, request: Request) -> float:
        """Return the request's value relative to the mean, bounded.

        Keeps requests of low value from using the capacity that requests of high value need.
        """
        mean = max(MIN_MEAN_VALUE, self.values.mean(now, request.value, 1))
        return min(MAX_FACTOR, max(MIN_FACTOR, request.value / mean))

    def allows(self, now: int, upstream: Upstream, request: Request, priority_factor: float) -> bool:
        """Return whether the upstream has capacity for the request."""
        # An upstream of low weight is considered only with its weight as the probability: one that fails
        # quickly looks idle, and would attract all requests that busy upstreams refuse.
        if upstream.weight < ALWAYS_CONSIDERED_WEIGHT and self.balancer.random() >= upstream.weight:
            return False
        reported_in_flight = self.balancer.load_queries.reported_in_flight(now, upstream)
        if reported_in_flight is not None:
            # Assumes that the upstream serves its requests one after another in the best time. A request of
            # less than the mean value needs proportionally more time left.
            best = self.balancer.service_times.best_service_time(now, request.service_class)
            return now + (reported_in_flight + 1) * best / min(1.0, priority_factor) < request.objective_at
        # Abandoned attempts may still run: not counting them would overload an upstream that only times out.
        in_flight = upstream.estimated_in_flight(now)
        limit = max(self.balancer.subset.fair_share, upstream.served_concurrency(now))
        if self.latency_pressure < HIGH_PRESSURE * priority_factor:
            return in_flight < max(limit, 1)
        # If each of many balancers rounded a fraction up to one attempt they would overload the
        # upstream together: while responses are slow a limit below one is applied to the mean
        # number in flight instead.
        return in_flight < limit and (limit >= 1 or self._has_slack(now, priority_factor))

    def _has_slack(self, now: int, priority_factor: float) -> bool:
        # Compares the mean number in flight at all members with the limit of the subset as a whole.
        subset = self.balancer.subset
        level = self.update_level(now)
        served = sum(u.served_concurrency(now) for u in subset.members)
        return level < LEVEL_SLACK * priority_factor * max(subset.fair_share * len(subset.members), served)

    def update_level(self, now: int) -> float:
        """Return the mean number of attempts in flight; call this before each change of the number."""
        return self.level.update(now, sum(u.estimated_in_flight(now) for u in self.balancer.subset.members))

    def target_time(self, service_class: ServiceClass) -> float:
        """Return the target duration of attempts in nanoseconds, above which latency pressure exceeds 1."""
        best = self.balancer.service_times.best[service_class.number]
        return min(TARGET_OF_OBJECTIVE * service_class.objective_ns, TARGET_OF_BEST * best)

    def record(self, attempt: Attempt, target_time: float) -> None:
        """Update the latency pressure with the duration of an attempt."""
        if attempt.outcome in (Outcome.SERVED, Outcome.TIMED_OUT):
            pressure = min(MAX_PRESSURE, attempt.duration_ns / target_time)
            self.latency_pressure += PRESSURE_STEP * (pressure - self.latency_pressure)
