"""Drives the current rollout: stores each state before it takes effect on members."""

import logging
from collections.abc import Callable
from enum import StrEnum

import msgspec

from pepperhook.control_plane.history import HistoryStore
from pepperhook.control_plane.member_registry import MemberRegistry
from pepperhook.control_plane.messages import BeginRolloutRequest
from pepperhook.control_plane.rollout import (
    NS_PER_S,
    Rollout,
    RolloutState,
    are_valid_steps,
)
from pepperhook.control_plane.version_catalog import ChangeRejectedError, VersionCatalog


class RolloutAction(StrEnum):
    """The actions of an operator on a rollout."""

    PAUSE = "hold"
    RESUME = "resume"
    ROLL_BACK = "back"


class RolloutDriver:
    """Owns the current rollout: the newest one, even after it has finished."""

    def __init__(
        self,
        *,
        store: HistoryStore,
        catalog: VersionCatalog,
        registry: MemberRegistry,
        notify: Callable[[], None],
        clock: Callable[[], float],
        log: logging.Logger,
    ) -> None:
        """Continue the newest stored rollout.

        ``notify`` is called when members may have to run another version, ``clock`` gives Unix
        seconds.
        """
        self._store = store
        self._catalog = catalog
        self._registry = registry
        self._notify = notify
        self._clock = clock
        self._log = log
        self.current = store.newest_rollout()

    def desired_version(self, name: str) -> int:
        """Return the number of the version that a member is to run; 0: its startup settings."""
        return 0 if self.current is None else self.current.desired_version(name)

    def begin(self, request: BeginRolloutRequest) -> Rollout:
        """Begin a rollout. Raises ChangeRejectedError or StoreFullError."""
        previous = self.current
        if self._store.version(request.version) is None:
            raise ChangeRejectedError(f"there is no version {request.version}")
        if previous is not None and not previous.is_finished:
            raise ChangeRejectedError(
                f"rollout {previous.number} of version {previous.version} by {previous.author} "
                f"is {previous.state}"
            )
        for name, running in self._registry.foreign_versions().items():
            if running >= request.version:
                raise ChangeRejectedError(
                    f"member {name} runs version {running}, which is not in this store, and "
                    f"applies no lower one: propose version {request.version} again, "
                    "which numbers it higher"
                )
        if not are_valid_steps(request.steps):
            raise ChangeRejectedError(
                "steps: shares from above 0 up to 1 are wanted, the last of them 1"
            )
        rollout = Rollout(
            number=(previous.number if previous else 0) + 1,
            version=request.version,
            previous_version=_resulting_version(previous),
            steps=request.steps,
            patience_s=request.patience_s,
            author=request.author,
            step_started_ns=self._now_ns(),
        )
        rollout.admit(self._registry.names())
        self._store.save_rollout(rollout)
        self.current = rollout
        self._notify()
        return rollout

    def change(self, action: RolloutAction, reason: str) -> Rollout:
        """Pause, resume or roll back. Raises ChangeRejectedError or StoreFullError."""
        if self.current is None:
            raise ChangeRejectedError("there is no rollout")
        changed = _copy(self.current)
        match action:
            case RolloutAction.PAUSE:
                changed.pause(reason)
            case RolloutAction.RESUME:
                changed.resume(self._now_ns(), reason)
            case RolloutAction.ROLL_BACK:
                changed.roll_back(reason)
        if changed.state == self.current.state:
            raise ChangeRejectedError(
                f"rollout {changed.number} is {changed.state}: nothing to {action}"
            )
        self.commit(changed)
        self._notify()
        return changed

    def advance(self) -> None:
        """Advance the rollout as time and counts allow. Raises StoreFullError."""
        if self.current is None or self.current.state != RolloutState.RUNNING:
            return
        advanced = _copy(self.current)
        has_changed = advanced.advance(
            self._now_ns(), self._registry.running_versions(), self._registry.names()
        )
        if not has_changed:
            self.current = advanced
            return
        self.commit(advanced)
        self._log.info(
            "rollout %d: %s, step %d %s",
            advanced.number,
            advanced.state,
            advanced.step + 1,
            advanced.reason,
        )
        self._notify()

    def count_requests(self, running_version: int, succeeded: int, failed: int) -> None:
        """Count requests of a member, in memory only, as only a verdict has to be durable."""
        if self.current is not None:
            self.current.count_requests(running_version, succeeded, failed)

    def record_rejection(self, version: int, name: str, reason: str) -> None:
        """Record a member's rejection if it is of the version that is rolled out."""
        if self.current is None or version != self.current.version:
            return
        changed = _copy(self.current)
        changed.reject(name, reason)
        if changed.rejections != self.current.rejections:
            self.commit(changed)
            self._notify()

    def commit(self, rollout: Rollout) -> None:
        """Store a state and make it the current one. Raises StoreFullError.

        For a rollback, a version with the previous version's document is added first.
        """
        if rollout.state == RolloutState.ROLLED_BACK and not rollout.rollback_version:
            rollback = self._catalog.add_rollback(
                rollout.previous_version,
                rollout.author,
                f"back from {rollout.version}: {rollout.reason}",
            )
            rollout.rollback_version = rollback.number
        self._store.save_rollout(rollout)
        self.current = rollout

    def _now_ns(self) -> int:
        return int(self._clock() * NS_PER_S)


def _resulting_version(rollout: Rollout | None) -> int:
    """Return the version that members run after a finished rollout; 0: their startup settings."""
    if rollout is None:
        return 0
    if rollout.state == RolloutState.COMPLETED:
        return rollout.version
    return rollout.rollback_version


def _copy(rollout: Rollout) -> Rollout:
    """Return a deep copy, so that a state that could not be stored has no effect."""
    return msgspec.json.decode(msgspec.json.encode(rollout), type=Rollout)
