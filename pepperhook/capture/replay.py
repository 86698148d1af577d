"""Drives a policy with the very calls of a capture, and compares what it returns, call by call.

The same build gives the same actions to the byte, whenever and wherever it runs. Where another
build differs, the first difference is what counts: all that comes behind it has other state. It is
reported with the function whose action differs, which a second run finds out.
"""

from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
from msgspec import Struct

from pepperhook.capture import legacy_state, policy_build, revision_replay, state
from pepperhook.capture.driver import Driver
from pepperhook.capture.policy_build import PolicyBuild
from pepperhook.capture.reader import open_capture, read_records
from pepperhook.capture.recorder import ENCODER
from pepperhook.capture.state_errors import StateRefusedError
from pepperhook.capture.watched_actions import WatchedActions
from pepperhook.container import UnreadableFileError

MAX_EARLIER_CALLS = 12  # about the same request or upstream, that are reported with a difference
MAX_REMEMBERED_CALLS = 400
MAX_STATE_DIFFERENCES = 5
NS_PER_S = 1e9


class Difference(Struct):
    """The first call whose actions are others."""

    call: int  # its place among the calls, from 1
    now: int
    name: str
    about: str  # the request's id, or what else the call was about
    recorded: list[Any]
    replayed: list[Any]
    fault: str | None  # of the replayed one
    stage: str | None  # the function of the policy whose action is the first that differs
    led: list[str]  # the calls before it about the same


class Replay(Struct):
    """What a replay found; ``skipped``: calls before the first beginning that can be used."""

    file: str
    calls: int
    seconds: float  # of the capture
    difference: Difference | None
    skipped: int = 0
    lost_bytes: int = 0
    beginnings: int = 0
    states_checked: int = 0
    states_differ: list[str] = []


class _ReplayedCall(NamedTuple):
    """A call that may have led to a difference."""

    subject: str
    line: str


class Player:
    """Replays one file, record by record."""

    def __init__(self, path: Any, make: Callable[..., Any], watch_at: int | None) -> None:
        """``watch_at``: the call whose actions are watched."""
        self.make = make
        self.driver = Driver(make)
        self.result = Replay(str(path), 0, 0.0, None)
        self.recent_calls: deque[_ReplayedCall] = deque(maxlen=MAX_REMEMBERED_CALLS)
        self.watch_at = watch_at
        self.first: int | None = None
        self.last = 0

    def take(self, record: list[Any]) -> None:
        """Take in one record as it is stored. Raises UnreadableFileError, StateRefusedError."""
        try:
            kind, *fields = record
            self.record(kind, fields)
        except (LookupError, TypeError, ValueError, AttributeError) as problem:
            if isinstance(problem, (StateRefusedError, UnreadableFileError)):
                raise
            raise UnreadableFileError(
                f"{self.result.file}: a record can't be used: {problem!r:.120}"
            ) from problem

    def record(self, kind: str, fields: list[Any]) -> None:
        """Take in one record."""
        if kind == "new":
            self.driver.start_policy(*fields)
            self.result.beginnings += 1
        elif kind == "state":
            self.state(fields)
        elif self.driver.policy is None:
            self.result.skipped += kind == "call"
        elif kind == "upstream":
            self.driver.add_upstream(*fields)
        elif kind == "operation":
            self.driver.add_request(*fields)
        elif kind == "call":
            self.call(*fields)

    def state(self, fields: list[Any]) -> None:
        """Begin with a state, or check that the replay has come to just that state."""
        if self.driver.policy is None:
            self.driver.restore_state(*fields)
            self.result.beginnings += 1
            return
        other = Driver(self.make)
        other.restore_state(*fields)
        self.result.states_checked += 1
        ignored = legacy_state.missing_attributes(fields[0])
        found = state.differences(self.driver.policy, other.policy, ignored=ignored)
        self.result.states_differ += found[: MAX_STATE_DIFFERENCES - len(self.result.states_differ)]

    def call(
        self, name: str, now: int, arguments: list[Any], recorded: list[Any], fault: str | None
    ) -> None:
        """Replay one call and compare."""
        driver = self.driver
        self.first = now if self.first is None else self.first
        self.last = now
        subject_id = driver.about(name, arguments)
        if driver.calls + 1 == self.watch_at:
            driver.watched = WatchedActions(driver.policy)
        replayed, raised = driver.call(name, now, arguments)
        self.result.calls += 1
        if raised != fault or ENCODER.encode(replayed) != ENCODER.encode(recorded):
            self.result.difference = Difference(
                call=driver.calls,
                now=now,
                name=name,
                about=subject_id,
                recorded=recorded,
                replayed=replayed,
                fault=raised,
                stage=self.stage(recorded, replayed),
                led=self.earlier_calls(subject_id),
            )
        line = f"{now} {name} {subject_id}: {format_actions(replayed)}"
        self.recent_calls.append(_ReplayedCall(subject_id, line))

    def earlier_calls(self, subject_id: str) -> list[str]:
        """Return the last calls about the same, where it is known what a call is about."""
        lines = [call.line for call in self.recent_calls if call.subject == subject_id != ""]
        return lines[-MAX_EARLIER_CALLS:]

    def stage(self, recorded: list[Any], replayed: list[Any]) -> str | None:
        """Return the function that added the first action that differs, where it is watched."""
        pairs = enumerate(zip(recorded, replayed, strict=False))
        shorter = min(len(recorded), len(replayed))
        at = next((number for number, (a, b) in pairs if a != b), shorter)
        watched = self.driver.watched
        return watched.by[at] if watched is not None and at < len(watched.by) else None


def replay_file(path: Any, make: Callable[..., Any], watch_at: int | None = None) -> Replay:
    """Replay one file with policies of ``make``.

    Raises UnreadableFileError, StateRefusedError.
    """
    if isinstance(make, revision_replay.RevisionBuild):
        return msgspec.convert(make.replay(path), Replay)
    player = Player(path, make, watch_at)
    with open_capture(path) as reader:
        for record in read_records(reader):
            player.take(record)
            if player.result.difference is not None:
                break
        result = player.result
        first = player.last if player.first is None else player.first
        result.seconds = round((player.last - first) / NS_PER_S, 3)
        result.lost_bytes = reader.skipped.bytes
    if result.difference is not None and watch_at is None:
        # Once more, with an eye on that call.
        return replay_file(path, make, result.difference.call)
    return result


def format_actions(results: list[list[Any]]) -> str:
    """Return stored actions as a line."""
    lines = (" ".join(map(str, result)) for result in results if result[0] != "wake")
    return "; ".join(lines) or "nothing"


def select_build(
    policy: str | None = None, revision: str | None = None
) -> PolicyBuild | revision_replay.RevisionBuild:
    """Return what makes policies: this build, a changed copy of the package, or a revision."""
    if policy is not None:
        return policy_build.from_folder(Path(policy))
    if revision is not None:
        return revision_replay.RevisionBuild(revision, Path(__file__).resolve().parents[2])
    return policy_build.own()
