"""Statistics with exponential decay over time, so that old observations lose their weight."""

from collections.abc import Callable, Iterable, Sequence
from math import exp, log, sqrt
from typing import Self, TypeVar

from pepperhook.units import SECOND

Item = TypeVar("Item")


def mean_plus_deviations(weight: float, total: float, squares: float, deviations: float) -> float:
    """Return the mean plus a number of standard deviations, from sums over the observations."""
    mean = total / weight
    return mean + deviations * sqrt(max(0.0, squares / weight - mean * mean))


class DecayingMoments:
    """Weight, sum and sum of squares of observations, with exponential decay over ``span_ns``.

    ``weight``, ``total`` and ``squares`` are up to date only after a call of ``decay``.
    """

    __slots__ = ("span_ns", "squares", "total", "updated_at", "weight")

    def __init__(self, span_ns: int, now: int) -> None:
        """Create moments without observations; ``span_ns`` is the time constant of the decay."""
        self.span_ns = span_ns
        self.updated_at = now
        self.weight = 0.0
        self.total = 0.0
        self.squares = 0.0

    def decay(self, now: int) -> Self:
        """Decay the sums up to ``now``, and return the object itself."""
        if now > self.updated_at:
            factor = exp((self.updated_at - now) / self.span_ns)
            self.weight *= factor
            self.total *= factor
            self.squares *= factor
            self.updated_at = now
        return self

    def add(self, now: int, value: float = 1.0) -> None:
        """Add one observation."""
        self.decay(now)
        self.weight += 1.0
        self.total += value
        self.squares += value * value

    def rate(self, now: int) -> float:
        """Return the rate of observations per second."""
        return self.decay(now).weight * float(SECOND) / self.span_ns

    def mean(self, now: int, prior: float = 0.0, strength: float = 0.0) -> float:
        """Return the mean, including ``strength`` virtual observations of the value ``prior``."""
        self.decay(now)
        weight = self.weight + strength
        return (self.total + prior * strength) / weight if weight else prior

    def upper(self, deviations: float) -> float:
        """Return the mean plus a number of standard deviations."""
        return mean_plus_deviations(self.weight, self.total, self.squares, deviations)

    def shrunk_upper(self, more: Iterable[float] = ()) -> float:
        """Return the mean plus one standard deviation, including ``more`` as observations.

        Two virtual observations with mean 0 and a sum of squares of 1 shrink an estimate from few
        observations towards zero.
        """
        weight = self.weight + 2
        total = self.total
        squares = self.squares + 1
        for value in more:
            weight += 1
            total += value
            squares += value * value
        return mean_plus_deviations(weight, total, squares, 1)


class DecayingMean:
    """Time-weighted mean of a level that changes in steps; call ``update`` before each change."""

    __slots__ = ("mean", "span_ns", "updated_at")

    def __init__(self, span_ns: int, now: int) -> None:
        """Create a mean of zero; ``span_ns`` is the time constant of the decay."""
        self.span_ns = span_ns
        self.updated_at = now
        self.mean = 0.0

    def update(self, now: int, level: float) -> float:
        """Add ``level`` as the value since the last update, and return the mean."""
        decayed = (self.mean - level) * exp((self.updated_at - now) / self.span_ns)
        self.mean = level + decayed
        self.updated_at = now
        return self.mean


def stands_out(values: Sequence[float], index: int, high: float, low: float) -> bool:
    """Return whether the value at ``index`` is above ``high`` and all others are below ``low``."""
    others = [value for i, value in enumerate(values) if i != index]
    return bool(others) and values[index] > high and max(others) < low


def weighted_order(
    items: Iterable[Item], weight: Callable[[Item], float], random: Callable[[], float]
) -> list[Item]:
    """Return a weighted random permutation, in which items of larger weight tend to come first."""
    return sorted(items, key=lambda item: -log(1 - random()) / weight(item))
