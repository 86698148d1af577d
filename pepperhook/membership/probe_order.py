"""The order in which members are probed."""

from pepperhook.membership.seeded_random import SeededRandom


class ProbeOrder:
    """Round robin over the present members other than the local one, shuffled for each round.

    The order bounds the time until a member is first probed (section 4.3 of the SWIM paper).
    """

    def __init__(self, random: SeededRandom) -> None:
        """Create an empty order, to be shuffled by ``random``."""
        self._random = random
        self.names: list[str] = []
        self.position = 0  # of the next member in this round

    def __len__(self) -> int:
        """Return the number of present members other than the local one."""
        return len(self.names)

    def insert(self, name: str) -> None:
        """Insert a member at a random position in the rest of the round.

        If it were appended, a member that joins would always be probed last in that round.
        """
        left_in_round = len(self.names) - self.position
        self.names.insert(self.position + self._random.below(left_in_round + 1), name)

    def remove(self, name: str) -> None:
        """Remove a member."""
        index = self.names.index(name)
        self.names.pop(index)
        if index < self.position:
            self.position -= 1

    def next(self) -> str | None:
        """Return the member to probe next, or None if no other member is present."""
        if not self.names:
            return None
        if self.position >= len(self.names):
            self.position = 0
            self._random.shuffle(self.names)
        name = self.names[self.position]
        self.position += 1
        return name
