"""Lifeguard's local health: a score of the evidence that this member itself is slow."""

MAX_SCORE = 8


class LocalHealth:
    """Score from 0 (healthy) to ``MAX_SCORE`` (slowest), which lengthens the member's timeouts.

    Without it a member that is short of CPU time suspects healthy ones. Dadgar, Phillips, Currey,
    "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (2017), section IV.A.
    """

    def __init__(self) -> None:
        """Start with the score of a healthy member."""
        self.score = 0

    @property
    def multiplier(self) -> int:
        """The local health multiplier of the probe timeout and the probe period."""
        return self.score + 1

    def degrade(self, by: int = 1) -> None:
        """Raise the score on evidence that this member is slow."""
        self.score = min(MAX_SCORE, self.score + by)

    def improve(self) -> None:
        """Lower the score, as an answer arrived in time."""
        self.score = max(0, self.score - 1)

    def set_worst(self) -> None:
        """Set the worst score."""
        self.score = MAX_SCORE
