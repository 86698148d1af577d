"""Rule 4: slow start, so that the balancers together do not overload an upstream that has just started."""

from pepperhook.domain import Upstream
from pepperhook.pipeline import Component
from pepperhook.units import SECOND

STATISTICS_SPANS = 6 * SECOND, 4 * SECOND, 2 * SECOND  # time constants: latency, failures, completions


class SlowStart(Component):
    """Limits the attempts to upstreams that are warming up."""

    def record_start(self, now: int, upstream: Upstream, started_at: int) -> None:
        """Record the start time of an upstream from the endpoint list; begin slow start if it is recent."""
        if not upstream.is_known:
            upstream.reset_statistics(now, *STATISTICS_SPANS)
        if upstream.record_start(started_at) and now - started_at < self.settings.slow_start_ns:
            self.begin(now, upstream, started_at)

    def begin(self, now: int, upstream: Upstream, since: int) -> None:
        """Begin slow start of an upstream, which started at ``since``."""
        upstream.reset_statistics(now, *STATISTICS_SPANS)
        # The initial credit is random, or all balancers would send their first attempt at the same time.
        upstream.begin_slow_start(now, since, self.balancer.random())

    def capacity_fraction(self, now: int, upstream: Upstream) -> float:
        """Return the lower bound of an upstream's capacity as a fraction of the full one; 1.0 if warm."""
        return upstream.warm_fraction(now, self.settings.slow_start_capacity, self.settings.slow_start_ns)

    def has_credit(self, now: int, upstream: Upstream) -> bool:
        """Return whether an attempt may be sent, after accruing the warm-up credit.

        A cold upstream gets the rate of a warm one times its capacity fraction.
        """
        fraction = self.capacity_fraction(now, upstream)
        if fraction == 1.0:
            return True
        # The long-term rate counts too: while all upstreams are cold the short-term rate is low.
        budget, members = self.balancer.retry_budget, max(1, len(self.balancer.subset.members))
        rate = max(budget.rate.rate(now), budget.steady_rate.rate(now)) / members
        return upstream.accrue_credit(now, rate, fraction) >= 1.0
