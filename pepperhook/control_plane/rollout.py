"""A staged rollout as a state machine, without I/O.

Each step admits a share of the members to the new version. A step ends when its duration is over,
every admitted member runs the version, and enough requests were counted to judge it. Requests of
members that run the new version are compared with those of the other members over the same time.
If significantly more of them fail, the rollout is rolled back; if there is not enough evidence
within the step's patience, it is paused. In the last step no member runs the previous version, so
the baseline counts of the step before are used instead.
"""

from collections.abc import Collection
from enum import StrEnum
from hashlib import blake2b

from msgspec import Struct, field

from pepperhook.control_plane.rollout_statistics import RequestCounts, difference_interval

NS_PER_S = 10**9
MIN_REQUESTS = 200  # for each of the compared versions, below which there is no verdict
TOLERATED_DIFFERENCE = 0.005  # by which the failure share of the new version may be higher
MAX_NAMES_IN_REASON = 5


class RolloutState(StrEnum):
    """The states of a rollout; the last two are final."""

    RUNNING = "going"
    PAUSED = "held"
    ROLLED_BACK = "back"
    COMPLETED = "done"


UNFINISHED_STATES = frozenset((RolloutState.RUNNING, RolloutState.PAUSED))


class Step(Struct):
    """One step of a rollout."""

    share: float  # of the members; above 0, at most 1
    seconds: float  # minimum duration


def are_valid_steps(steps: list[Step]) -> bool:
    """Return whether shares are above 0, never fall, and end at 1, and no duration is negative."""
    shares = [step.share for step in steps]
    return (
        bool(steps)
        and all(0 < step.share <= 1 and not step.seconds < 0 for step in steps)
        and shares[-1] == 1
        and shares == sorted(shares)
    )


class Rollout(Struct, kw_only=True):
    """One rollout, as it is stored.

    Times are nanoseconds of Unix time, so that they stay valid when the service restarts.
    """

    number: int
    version: int  # the one that is rolled out
    previous_version: int = field(name="before")
    steps: list[Step]
    patience_s: float  # beyond a step's duration, before the rollout is paused for lack of evidence
    author: str
    state: RolloutState = RolloutState.RUNNING
    step: int = 0  # index of the current one
    step_started_ns: int = field(default=0, name="begun")
    reason: str = field(default="", name="why")  # for being in this state
    # Requests of members that run the new version, and of all others, in the current step.
    updated: RequestCounts = field(default_factory=RequestCounts, name="changed")
    baseline: RequestCounts = field(default_factory=RequestCounts, name="unchanged")
    # The baseline of an earlier step, used when no member runs the previous version.
    earlier_baseline: RequestCounts = field(default_factory=RequestCounts, name="base")
    # A new version with the previous version's document, as numbers only increase.
    rollback_version: int = field(default=0, name="back_to")
    admitted: list[str] = field(default_factory=list, name="entered")  # names of members
    rejections: dict[str, str] = field(default_factory=dict, name="refused")  # reasons by member

    @property
    def current_step(self) -> Step:
        """Return the current step."""
        return self.steps[self.step]

    @property
    def is_finished(self) -> bool:
        """Return whether the state is final."""
        return self.state not in UNFINISHED_STATES

    def desired_version(self, name: str) -> int:
        """Return the version that a member is to run."""
        if self.state == RolloutState.COMPLETED:
            return self.version
        if self.state == RolloutState.ROLLED_BACK:
            return self.rollback_version or self.previous_version
        return self.version if name in self.admitted else self.previous_version

    def admit(self, names: Collection[str]) -> bool:
        """Admit members up to the step's share of those present; return whether any was admitted.

        Members are admitted in the order of a hash of their names, at least one. An admitted member
        stays admitted whoever joins or leaves, so that none moves back and forth between versions.
        """
        if self.state != RolloutState.RUNNING:
            return False
        admitted = set(self.admitted)
        target_count = max(1, round(self.current_step.share * len(names)))
        present_admitted = len(admitted.intersection(names))
        # Looked up in the set: searching the list took ten seconds for a thousand members.
        candidates = sorted((name for name in names if name not in admitted), key=_rank)
        newly_admitted = candidates[: max(0, target_count - present_admitted)]
        self.admitted.extend(newly_admitted)
        return bool(newly_admitted)

    def count_requests(self, running_version: int, succeeded: int, failed: int) -> None:
        """Count a member's requests since its last report, by the version that it ran."""
        if self.is_finished:
            return
        counts = self.updated if running_version == self.version else self.baseline
        counts.add(succeeded, failed)

    def reject(self, name: str, reason: str) -> None:
        """Pause because a member rejected the version, so that no further member receives it."""
        if self.is_finished:
            return
        self.rejections[name] = reason
        self._set_state(RolloutState.PAUSED, f"{name} refused: {reason}")

    def advance(self, now: int, running: dict[str, int], names: Collection[str]) -> bool:
        """Advance the rollout as time and counts allow; return whether anything changed.

        ``running`` has the version that each present member reports, ``names`` are these members.
        """
        if self.state != RolloutState.RUNNING:
            return False
        newly_admitted = self.admit(names)
        if self._roll_back_if_worse():
            return True
        lagging = self._lagging(running, names)
        elapsed_ns = now - self.step_started_ns
        step_over = elapsed_ns >= self.current_step.seconds * NS_PER_S
        if step_over and self._has_evidence() and not lagging:
            self._finish_step(now, names)
            return True
        if elapsed_ns >= (self.current_step.seconds + self.patience_s) * NS_PER_S:
            self._set_state(RolloutState.PAUSED, self._stalled_reason(lagging))
            return True
        return newly_admitted

    def _effective_baseline(self) -> RequestCounts:
        """Return the baseline counts that the updated members are compared with."""
        return self.baseline if self.baseline.total >= MIN_REQUESTS else self.earlier_baseline

    def _has_evidence(self) -> bool:
        return (
            self.updated.total >= MIN_REQUESTS and self._effective_baseline().total >= MIN_REQUESTS
        )

    def _roll_back_if_worse(self) -> bool:
        if not self._has_evidence():
            return False
        comparison = self._effective_baseline()
        worse_by_at_least, _ = difference_interval(self.updated, comparison)
        if worse_by_at_least <= TOLERATED_DIFFERENCE:
            return False
        self._set_state(
            RolloutState.ROLLED_BACK,
            f"step {self.step + 1}: of {self.updated.total} operations by the new version "
            f"{self.updated.failure_share:.2%} were not served in time, of {comparison.total} by "
            f"the old {comparison.failure_share:.2%}; surely worse by {worse_by_at_least:.2%}",
        )
        return True

    def _lagging(self, running: dict[str, int], names: Collection[str]) -> list[str]:
        """Return the present members that are admitted and do not run the version yet."""
        admitted = set(self.admitted)
        return [name for name in names if name in admitted and running.get(name) != self.version]

    def _finish_step(self, now: int, names: Collection[str]) -> None:
        if self.step + 1 == len(self.steps):
            self._set_state(RolloutState.COMPLETED, "")
            return
        self.earlier_baseline = self._effective_baseline()
        self.step += 1
        self._restart_step(now)
        self.admit(names)

    def _restart_step(self, now: int) -> None:
        self.step_started_ns = now
        self.updated = RequestCounts()
        self.baseline = RequestCounts()

    def _stalled_reason(self, lagging: list[str]) -> str:
        step = f"step {self.step + 1}"
        if lagging:
            return f"{step}: {', '.join(lagging[:MAX_NAMES_IN_REASON])} did not apply it"
        return (
            f"{step}: not enough seen, {self.updated.total} operations by the new version and "
            f"{self._effective_baseline().total} by the old"
        )

    def pause(self, reason: str) -> None:
        """Pause in the current step, on an operator's request."""
        if self.state == RolloutState.RUNNING:
            self._set_state(RolloutState.PAUSED, reason)

    def resume(self, now: int, reason: str) -> None:
        """Resume at the beginning of the current step, on an operator's request."""
        if self.state == RolloutState.PAUSED:
            self._set_state(RolloutState.RUNNING, reason)
            self._restart_step(now)
            self.rejections = {}

    def roll_back(self, reason: str) -> None:
        """Return all members to the previous configuration."""
        if not self.is_finished:
            self._set_state(RolloutState.ROLLED_BACK, reason)

    def _set_state(self, state: RolloutState, reason: str) -> None:
        self.state = state
        self.reason = reason


def _rank(name: str) -> tuple[bytes, str]:
    """Return a member's place in the order of admission, a hash of its name."""
    return blake2b(name.encode(), digest_size=6).digest(), name
