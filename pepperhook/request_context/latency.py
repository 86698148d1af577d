"""Estimates of latency quantiles for each service class, from recent measurements."""

from math import exp, log

from pepperhook.statistics import DecayingMoments
from pepperhook.units import SECOND

DECAY_NS = 10 * SECOND  # time constant of the decay
MIN_WEIGHT = 8.0  # recent measurements that an estimate needs
P95_DEVIATIONS = 1.65  # standard deviations from the mean to p95 in a normal distribution


class LatencyQuantiles:
    """Estimates quantiles of a duration for each service class, assuming that it is lognormal."""

    def __init__(self) -> None:
        """Start without measurements."""
        self._logarithms: dict[int, DecayingMoments] = {}

    def add(self, now: int, service_class: int, time_ns: int) -> None:
        """Add one measurement."""
        moments = self._logarithms.get(service_class)
        if moments is None:
            moments = self._logarithms[service_class] = DecayingMoments(DECAY_NS, now)
        moments.add(now, log(max(1, time_ns)))

    def p95(self, now: int, service_class: int) -> int | None:
        """Return the 95th percentile in nanoseconds, or None with too few measurements."""
        return self._quantile(now, service_class, P95_DEVIATIONS)

    def p5(self, now: int, service_class: int) -> int | None:
        """Return the 5th percentile in nanoseconds, or None with too few measurements."""
        return self._quantile(now, service_class, -P95_DEVIATIONS)

    def _quantile(self, now: int, service_class: int, deviations: float) -> int | None:
        moments = self._logarithms.get(service_class)
        if moments is None or moments.decay(now).weight < MIN_WEIGHT:
            return None
        return int(exp(moments.upper(deviations)))
