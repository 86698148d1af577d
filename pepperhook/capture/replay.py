"""Replays the calls of a capture on a policy, and compares the returned actions with the recorded.

The same build returns byte-identical actions whenever and wherever it runs. For another build, a
replay stops at the first difference, since the states differ from there on. A second run finds the
function that added the differing action.
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

MAX_EARLIER_CALLS = 12  # reported with a difference: those about the same request or upstream
MAX_REMEMBERED_CALLS = 400  # of all requests and upstreams
MAX_STATE_DIFFERENCES = 5
NS_PER_S = 1e9


class Difference(Struct):
    """The first call whose replayed actions or exception differ from the recorded ones."""

    call: int  # number of the call in the capture, from 1
    now: int  # nanoseconds on the balancer's clock
    name: str  # the stored word of the call
    about: str  # id of the request or address of the upstream that the call refers to, or ""
    recorded: list[Any]  # actions in their stored form
    replayed: list[Any]  # actions in their stored form
    fault: str | None  # class name of the exception that the replayed call raised
    stage: str | None  # function of the policy that added the first differing action
    led: list[str]  # earlier calls about the same request or upstream


class Replay(Struct):
    """The result of a replay."""

    file: str
    calls: int
    seconds: float  # between the first and the last replayed call
    difference: Difference | None
    skipped: int = 0  # calls before the first record that a replay can begin with
    lost_bytes: int = 0  # unreadable bytes of the file
    beginnings: int = 0  # policies that were started or restored from a stored state
    states_checked: int = 0  # stored states that were compared with the replayed policy
    states_differ: list[str] = []  # differences: the replayed value, then the stored one


class _ReplayedCall(NamedTuple):
    """A replayed call, kept to be reported with a later difference."""

    subject: str
    line: str


class Replayer:
    """Replays one file, record by record."""

    def __init__(
        self, path: Any, make_policy: Callable[..., Any], watched_call: int | None
    ) -> None:
        """``watched_call``: number of the call whose actions are attributed to functions."""
        self.make_policy = make_policy
        self.driver = Driver(make_policy)
        self.result = Replay(str(path), 0, 0.0, None)
        self.recent_calls: deque[_ReplayedCall] = deque(maxlen=MAX_REMEMBERED_CALLS)
        self.watched_call = watched_call
        self.first_ns: int | None = None
        self.last_ns = 0

    def process(self, record: list[Any]) -> None:
        """Process one stored record. Raises UnreadableFileError and StateRefusedError."""
        try:
            kind, *fields = record
            self.apply(kind, fields)
        except (LookupError, TypeError, ValueError, AttributeError) as error:
            if isinstance(error, (StateRefusedError, UnreadableFileError)):
                raise
            raise UnreadableFileError(
                f"{self.result.file}: a record can't be used: {error!r:.120}"
            ) from error

    def apply(self, kind: str, fields: list[Any]) -> None:
        """Apply a record of this kind; skip those before the first start or state."""
        if kind == "new":
            self.driver.start_policy(*fields)
            self.result.beginnings += 1
        elif kind == "state":
            self.apply_state(fields)
        elif self.driver.policy is None:
            self.result.skipped += kind == "call"
        elif kind == "upstream":
            self.driver.add_upstream(*fields)
        elif kind == "operation":
            self.driver.add_request(*fields)
        elif kind == "call":
            self.call(*fields)

    def apply_state(self, fields: list[Any]) -> None:
        """Restore a stored state, or compare it with that of the policy under replay."""
        if self.driver.policy is None:
            self.driver.restore_state(*fields)
            self.result.beginnings += 1
            return
        restored = Driver(self.make_policy)
        restored.restore_state(*fields)
        self.result.states_checked += 1
        ignored = legacy_state.missing_attributes(fields[0])
        differences = state.differences(self.driver.policy, restored.policy, ignored=ignored)
        self.result.states_differ += differences[
            : MAX_STATE_DIFFERENCES - len(self.result.states_differ)
        ]

    def call(
        self, word: str, now: int, arguments: list[Any], recorded: list[Any], fault: str | None
    ) -> None:
        """Replay one call, and compare its actions and exception with the recorded ones."""
        driver = self.driver
        self.first_ns = now if self.first_ns is None else self.first_ns
        self.last_ns = now
        subject = driver.describe_subject(word, arguments)
        if driver.calls + 1 == self.watched_call:
            driver.watched_actions = WatchedActions(driver.policy)
        replayed, raised = driver.call(word, now, arguments)
        self.result.calls += 1
        if raised != fault or ENCODER.encode(replayed) != ENCODER.encode(recorded):
            self.result.difference = Difference(
                call=driver.calls,
                now=now,
                name=word,
                about=subject,
                recorded=recorded,
                replayed=replayed,
                fault=raised,
                stage=self.differing_function(recorded, replayed),
                led=self.earlier_calls(subject),
            )
        line = f"{now} {word} {subject}: {format_actions(replayed)}"
        self.recent_calls.append(_ReplayedCall(subject, line))

    def earlier_calls(self, subject: str) -> list[str]:
        """Return the last calls with this subject, or none if the subject is ""."""
        lines = [call.line for call in self.recent_calls if call.subject == subject != ""]
        return lines[-MAX_EARLIER_CALLS:]

    def differing_function(self, recorded: list[Any], replayed: list[Any]) -> str | None:
        """Return the function that added the first differing action, if the call is watched."""
        pairs = enumerate(zip(recorded, replayed, strict=False))
        shorter = min(len(recorded), len(replayed))
        index = next((index for index, (a, b) in pairs if a != b), shorter)
        watched = self.driver.watched_actions
        return (
            watched.added_by[index]
            if watched is not None and index < len(watched.added_by)
            else None
        )


def replay_file(path: Any, build: Callable[..., Any], watched_call: int | None = None) -> Replay:
    """Replay one file.

    ``build`` is a RevisionBuild, a PolicyBuild or another callable that creates policies. Raises
    UnreadableFileError and StateRefusedError.
    """
    if isinstance(build, revision_replay.RevisionBuild):
        return msgspec.convert(build.replay(path), Replay)
    replayer = Replayer(path, build, watched_call)
    with open_capture(path) as reader:
        for record in read_records(reader):
            replayer.process(record)
            if replayer.result.difference is not None:
                break
        result = replayer.result
        first_ns = replayer.last_ns if replayer.first_ns is None else replayer.first_ns
        result.seconds = round((replayer.last_ns - first_ns) / NS_PER_S, 3)
        result.lost_bytes = reader.skipped.bytes
    if result.difference is not None and watched_call is None:
        # Replay again, to find the function that added the differing action.
        return replay_file(path, build, result.difference.call)
    return result


def format_actions(stored: list[list[Any]]) -> str:
    """Return stored actions as one line, without wake-ups; "nothing" if there are no others."""
    texts = (" ".join(map(str, action)) for action in stored if action[0] != "wake")
    return "; ".join(texts) or "nothing"


def select_build(
    policy: str | None = None, revision: str | None = None
) -> PolicyBuild | revision_replay.RevisionBuild:
    """Return the running program's policy, that of a modified copy, or that of a Git revision."""
    if policy is not None:
        return policy_build.from_folder(Path(policy))
    if revision is not None:
        return revision_replay.RevisionBuild(revision, Path(__file__).resolve().parents[2])
    return policy_build.current_build()
