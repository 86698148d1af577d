"""Model checker for rollouts.

It explores every order of events of a small rollout with the control service's own code, three
members, one crash and one lost message. A state is plain data. For each action, a service is built
from the state, performs the action, and is converted back to a state. The search is breadth first,
so that the reported path to a broken rule is a shortest one.
"""

import logging
from collections.abc import Callable, Iterator

import msgspec
from msgspec import Struct

from pepperhook.control_plane import rollout
from pepperhook.control_plane.document import EMPTY_DOCUMENT
from pepperhook.control_plane.messages import Heartbeat, Rejection
from pepperhook.control_plane.rollout import Rollout, RolloutState, Step
from pepperhook.control_plane.service import ControlService
from pepperhook.control_plane.version import Version, sign_version
from pepperhook.key_ring import KeyRing

NS_PER_S = 10**9
KEYS = KeyRing([("k1", "a secret of this exploration")])
REPORTED_REQUESTS = 300  # in one heartbeat: enough for a verdict about the member's version
OLD_VERSION, NEW_VERSION = 1, 2  # version numbers before and after the rollout
SILENT_LOG = logging.Logger("pepperhook.explore", logging.CRITICAL)


class StoreStandIn:
    """Stand-in for the store, with the methods a rollout uses; its data survives a crash."""

    def __init__(self, stored_rollout, newest_number):
        self.stored_rollout, self.newest_number = stored_rollout, newest_number

    def newest_rollout(self):
        return (
            None
            if self.stored_rollout is None
            else msgspec.json.decode(self.stored_rollout, type=Rollout)
        )

    def save_rollout(self, changed):
        self.stored_rollout = msgspec.json.encode(changed)

    def newest_version(self):
        return version(self.newest_number)

    def version(self, number):
        return version(number) if number <= self.newest_number else None

    def add_version(self, added):
        self.newest_number = added.number

    def members(self):
        return {}

    def save_members(self, rows):
        """Do nothing: the explorer restores the members, whose leases outlast a short outage."""


def version(number):
    """Return a signed version with an empty document."""
    return sign_version(
        Version(
            number=number,
            parent=number - 1,
            author="",
            reason="",
            made_ms=0,
            document=EMPTY_DOCUMENT,
        ),
        KEYS,
    )


class Member(Struct, frozen=True):
    """State of one member."""

    running: int = OLD_VERSION
    has_rejected: bool = False
    reported_version: int = OLD_VERSION  # the version that it last reported to the service
    coming: int = 0  # version sent to the member but not yet received; 0: none
    reported_counts: tuple[int, int] = (0, 0)  # reported counts of succeeded and failed requests


class State(Struct, frozen=True):
    """State of the service, its store and all members."""

    stored_rollout: bytes  # encoded as JSON
    newest_number: int  # of the newest stored version
    rollout: bytes | None  # in the service's memory; None: the service is down
    members: tuple[Member, ...]
    time: int = 0  # in seconds
    crashes: int = 1  # crashes that may still happen
    losses: int = 1  # messages that may still be lost


class Case(Struct, frozen=True):
    """Assumptions of one exploration."""

    name: str
    rejecting_members: frozenset[int] = frozenset()  # members that reject the new version
    is_new_version_worse: bool = False  # half of all requests fail under the new version
    steps: tuple[tuple[float, float], ...] = ((0.3, 1.0), (1.0, 0.0))  # (share, seconds)
    patience_s: float = 2.0
    max_seconds: int = 5  # simulated seconds after which the search ends


class Violation(Struct):
    """A broken rule, and a shortest sequence of actions that breaks it."""

    rule: str
    actions: list[str]  # the actions, in order


class Explorer:
    """Generates the states of a case.

    ``make_service`` builds the service, for example one with a defect.
    """

    def __init__(self, case: Case, make_service: Callable = ControlService):
        self.case, self.make_service = case, make_service
        self.names = ["a", "b", "c"]

    def start(self) -> State:
        """Return the state in which the rollout has just begun."""
        initial = Rollout(
            number=1,
            version=NEW_VERSION,
            previous_version=OLD_VERSION,
            steps=[Step(*step) for step in self.case.steps],
            patience_s=self.case.patience_s,
            author="",
        )
        initial.admit(self.names)
        data = msgspec.json.encode(initial)
        return State(data, NEW_VERSION, data, tuple(Member() for _ in self.names))

    def service(self, state: State, time: int):
        """Build a service and its store from a state."""
        store = StoreStandIn(state.stored_rollout, state.newest_number)
        service = self.make_service(
            store,
            KEYS,
            log=SILENT_LOG,
            clock=lambda: float(time),
            monotonic_ns=lambda: time * NS_PER_S,
            lease_ns=10**6 * NS_PER_S,
        )
        if state.rollout is not None:
            service.rollouts.current = msgspec.json.decode(state.rollout, type=Rollout)
        for name, member in zip(self.names, state.members):
            row = service.registry.renew_lease(time * NS_PER_S, name, 0)
            row.running_version = member.reported_version
            row.succeeded, row.failed = member.reported_counts
            row.recent_heartbeats = 0.0
        return service, store

    def state_after(self, state: State, service, store, **changes) -> State:
        """Return the state of the service and its store after an action."""
        return msgspec.structs.replace(
            state,
            stored_rollout=store.stored_rollout,
            newest_number=store.newest_number,
            rollout=msgspec.json.encode(service.rollouts.current),
            **changes,
        )

    def successors(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield every action that is possible now, with the state after it."""
        replace = msgspec.structs.replace
        if state.rollout is None:
            restarted = replace(state, rollout=state.stored_rollout)
            service, store = self.service(replace(state, rollout=None), state.time)
            yield "the service restarts", self.state_after(restarted, service, store)
            for number, member in enumerate(state.members):
                yield from self.deliveries(state, number, member)
            return
        if state.time < self.case.max_seconds:
            service, store = self.service(state, state.time + 1)
            service.tick()
            yield "a second passes", self.state_after(state, service, store, time=state.time + 1)
        if state.crashes:
            yield "the service is killed", replace(state, rollout=None, crashes=state.crashes - 1)
        service, store = self.service(state, state.time)
        for number, member in enumerate(state.members):
            name = self.names[number]
            wanted = service.desired_version(name)
            if (
                wanted != member.running
                and not member.coming
                and not (member.has_rejected and wanted == NEW_VERSION)
            ):
                yield (
                    f"{wanted} is sent to {name}",
                    self.with_member(state, number, coming=wanted),
                )
            yield from self.deliveries(state, number, member)
            yield from self.heartbeats(state, number, member)

    def deliveries(self, state, number, member):
        """Yield the arrival and the loss of a version that was sent.

        A balancer applies only versions with a higher number than its own.
        """
        if not member.coming:
            return
        name = self.names[number]
        if member.coming == NEW_VERSION and number in self.case.rejecting_members:
            yield (
                f"{name} rejects {member.coming}",
                self.with_member(state, number, coming=0, has_rejected=True),
            )
        else:
            yield (
                f"{name} applies {member.coming}",
                self.with_member(
                    state,
                    number,
                    coming=0,
                    running=max(member.running, member.coming),
                ),
            )
        if state.losses:
            yield (
                f"{member.coming} is lost on its way to {name}",
                msgspec.structs.replace(
                    self.with_member(state, number, coming=0), losses=state.losses - 1
                ),
            )

    def heartbeats(self, state, number, member):
        """Yield a member's heartbeat.

        The request counts grow only while they can change a verdict; otherwise the number of states
        would be infinite.
        """
        current = msgspec.json.decode(state.rollout, type=Rollout)
        group_counts = current.updated if member.running == current.version else current.baseline
        succeeded, failed = member.reported_counts
        if group_counts.total < rollout.MIN_REQUESTS and current.state == RolloutState.RUNNING:
            is_worse = self.case.is_new_version_worse and member.running == NEW_VERSION
            succeeded, failed = (
                (succeeded + REPORTED_REQUESTS // 2, failed + REPORTED_REQUESTS // 2)
                if is_worse
                else (succeeded + REPORTED_REQUESTS, failed)
            )
        if (member.reported_version, member.reported_counts) == (
            member.running,
            (succeeded, failed),
        ) and not (member.has_rejected and self.names[number] not in current.rejections):
            return
        service, store = self.service(state, state.time)
        service.receive_heartbeat(
            Heartbeat(
                name=self.names[number],
                tier=0,
                running_version=member.running,
                succeeded=succeeded,
                failed=failed,
                rejection=Rejection(NEW_VERSION, "incompatible") if member.has_rejected else None,
            )
        )
        after = self.state_after(state, service, store)
        yield (
            f"{self.names[number]} reports that it runs {member.running}",
            self.with_member(
                after, number, reported_version=member.running, reported_counts=(succeeded, failed)
            ),
        )

    @staticmethod
    def with_member(state, number, **changes):
        """Return the state with some fields of one member replaced."""
        members = list(state.members)
        members[number] = msgspec.structs.replace(members[number], **changes)
        return msgspec.structs.replace(state, members=tuple(members))

    # Invariants.

    def broken_rules(self, before: State | None, state: State) -> Iterator[str]:
        """Yield the texts of the rules that the state, or the transition to it, breaks."""
        stored = msgspec.json.decode(state.stored_rollout, type=Rollout)
        running_or_sent = [
            self.names[number]
            for number, member in enumerate(state.members)
            if member.running == NEW_VERSION or member.coming == NEW_VERSION
        ]
        if stored.state != RolloutState.COMPLETED and not set(running_or_sent) <= set(
            stored.admitted
        ):
            yield "a member that runs or was sent the version is written down as one that is in"
        if state.rollout is not None and state.rollout != state.stored_rollout:
            in_memory = msgspec.json.decode(state.rollout, type=Rollout)
            if (
                in_memory.state,
                in_memory.step,
                in_memory.admitted,
                in_memory.rollback_version,
            ) != (
                stored.state,
                stored.step,
                stored.admitted,
                stored.rollback_version,
            ):
                yield "no state that members are notified of is in memory alone"
        if stored.state == RolloutState.COMPLETED and any(
            member.reported_version != NEW_VERSION for member in state.members
        ):
            yield "a rollout completes only when all members have reported the version"
        if self.case.is_new_version_worse and stored.state == RolloutState.COMPLETED:
            yield "a version that is clearly worse is not rolled out"
        if before is None:
            return
        stored_before = msgspec.json.decode(before.stored_rollout, type=Rollout)
        if (
            stored_before.state in (RolloutState.COMPLETED, RolloutState.ROLLED_BACK)
            and stored_before.state != stored.state
        ):
            yield "a completed or rolled back rollout stays so"
        if stored_before.state == stored.state == RolloutState.RUNNING and not set(
            stored_before.admitted
        ) <= set(stored.admitted):
            yield "an admitted member stays admitted"
        if stored_before.state == stored.state == RolloutState.PAUSED and set(
            stored.admitted
        ) != set(stored_before.admitted):
            yield "no member is admitted while the rollout is paused"
        if stored.step < stored_before.step:
            yield "the step never decreases"
        for member, member_after in zip(before.members, state.members):
            if member_after.running < member.running:
                yield "a member's version number never decreases"


def explore(explorer: Explorer, max_states: int = 200_000) -> tuple[int, Violation | None]:
    """Return the number of states and the first broken rule, if any.

    Raises RuntimeError if there are more than ``max_states`` states.
    """
    start = explorer.start()
    for rule in explorer.broken_rules(None, start):
        return 1, Violation(rule, [])
    reached_by: dict[State, tuple[State, str] | None] = {start: None}
    queue = [start]
    for state in queue:
        for action, after in explorer.successors(state):
            if after in reached_by:
                continue
            reached_by[after] = state, action
            for rule in explorer.broken_rules(state, after):
                return len(reached_by), Violation(rule, path_to(reached_by, after))
            if len(reached_by) > max_states:
                raise RuntimeError(f"more than {max_states} states")
            queue.append(after)
    return len(reached_by), None


def path_to(reached_by, state) -> list[str]:
    """Return the actions from the start to a state."""
    steps = []
    while reached_by[state] is not None:
        state, action = reached_by[state]
        steps.append(action)
    return steps[::-1]


CASES = (
    Case("all goes well"),
    Case("one refuses", rejecting_members=frozenset((1,))),
    Case("worse", is_new_version_worse=True),
    Case("all at once", steps=((1.0, 0.0),), max_seconds=4),
)
