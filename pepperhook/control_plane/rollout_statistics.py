"""Compares the failure shares of two versions, with a confidence interval."""

from math import sqrt

from msgspec import Struct, field

Z_99 = 2.576  # two-sided 99% quantile of the normal distribution


class RequestCounts(Struct):
    """Requests of members over a rollout step."""

    succeeded: int = field(default=0, name="good")  # served within the latency objective
    failed: int = field(default=0, name="bad")  # rejected, failed or late

    @property
    def total(self) -> int:
        """Return the number of requests."""
        return self.succeeded + self.failed

    @property
    def failure_share(self) -> float:
        """Return the share that failed; ``total`` must not be 0."""
        return self.failed / self.total

    def add(self, succeeded: int, failed: int) -> None:
        """Count more requests."""
        self.succeeded += succeeded
        self.failed += failed


def wilson_interval(counts: RequestCounts) -> tuple[float, float]:
    """Return the bounds of the failure share by Wilson's score interval (99%)."""
    share = counts.failure_share
    total = counts.total
    denominator = 1 + Z_99 * Z_99 / total
    center = (share + Z_99 * Z_99 / (2 * total)) / denominator
    variance = share * (1 - share) / total + Z_99 * Z_99 / (4 * total * total)
    half_width = Z_99 / denominator * sqrt(variance)
    return max(0.0, center - half_width), min(1.0, center + half_width)


def difference_interval(first: RequestCounts, second: RequestCounts) -> tuple[float, float]:
    """Return the 99% bounds of the difference of failure shares, first minus second.

    By Newcombe (1998), method 10, which is valid for small counts and for shares of 0 and 1.
    """
    difference = first.failure_share - second.failure_share
    first_low, first_high = wilson_interval(first)
    second_low, second_high = wilson_interval(second)
    below = sqrt((first.failure_share - first_low) ** 2 + (second_high - second.failure_share) ** 2)
    above = sqrt((first_high - first.failure_share) ** 2 + (second.failure_share - second_low) ** 2)
    return difference - below, difference + above
