"""Seeded random numbers, so that a run of the protocol can be reproduced exactly."""

from pepperhook.scheduler import random_fraction

SEQUENCE_MASK = 0xFFFFFFFF  # sequence numbers are 32 bits wide


class SeededRandom:
    """Random numbers that depend only on the seed and on the number of earlier draws."""

    def __init__(self, seed: int) -> None:
        """Create a generator with ``seed``."""
        self._seed = seed
        self._draws = 0

    def fraction(self) -> float:
        """Return a random number from 0 (inclusive) to 1 (exclusive)."""
        self._draws += 1
        drawn: float = random_fraction(b"%d %d" % (self._seed, self._draws))
        return drawn

    def below(self, limit: int) -> int:
        """Return a random integer from 0 (inclusive) to ``limit`` (exclusive)."""
        return int(self.fraction() * limit)

    def sample(self, items: list[str], count: int) -> list[str]:
        """Return up to ``count`` different items in random order."""
        remaining = list(items)
        drawn: list[str] = []
        while remaining and len(drawn) < count:
            drawn.append(remaining.pop(self.below(len(remaining))))
        return drawn

    def shuffle(self, items: list[str]) -> None:
        """Shuffle ``items`` in place (Fisher-Yates)."""
        for last in range(len(items) - 1, 0, -1):
            chosen = self.below(last + 1)
            items[last], items[chosen] = items[chosen], items[last]

    def next_sequence(self) -> int:
        """Return a sequence number that no recent message has."""
        self._draws += 1
        return self._draws & SEQUENCE_MASK
