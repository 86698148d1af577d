"""Model checker for the distribution of versions to one balancer.

It explores every order of proposals, streams, heartbeats and faults of a small installation, with
the program's own code on both sides: the service with its numbering, what a stream sends next, the
frames, the balancer's checks before it applies a version, and what it reports when it opens a
stream. A state is plain data; for each action both sides are built from it.

Checked in each state: if no more faults and proposals come, the balancer soon runs the version that
it is to run, or has visibly rejected it, after a bounded number of streams.
"""

from collections.abc import Callable, Iterator
from typing import Any

import msgspec
from msgspec import Struct

from pepperhook.control_plane import frames
from pepperhook.control_plane.document import EMPTY_DOCUMENT
from pepperhook.control_plane.frames import MissingBaseError
from pepperhook.control_plane.member_stream import MemberStream
from pepperhook.control_plane.messages import (
    BeginRolloutRequest,
    Heartbeat,
    ProposeRequest,
    Rejection,
)
from pepperhook.control_plane.rollout import Step
from pepperhook.control_plane.safety_checks import BalancerView
from pepperhook.control_plane.service import ControlService
from pepperhook.control_plane.stream_client import StreamClient
from pepperhook.control_plane.stream_request import StreamRequest
from pepperhook.control_plane.version import Version
from pepperhook.control_plane.version_applier import ApplierCounters, VersionApplier
from pepperhook.control_plane.version_catalog import ChangeRejectedError
from pepperhook.key_ring import KeyRing
from pepperhook.lab.explore import SILENT_LOG, Violation, path_to
from pepperhook.server.structured_logging import Log

NAME = "n"
KEYS = KeyRing([("k1", "a secret of this exploration")])
LEASE_NS = 10**18
MAX_STREAMS_TO_SETTLE = 3
MAX_STEPS_TO_SETTLE = 20
# Many rows, so that a patch is smaller than the complete version.
ROWS = {f"row-{number}": {"weight": 1.5} for number in range(12)}
DOCUMENTS: dict[str, dict[str, Any]] = {
    "a": {**EMPTY_DOCUMENT, "upstreams": ROWS},
    "b": {**EMPTY_DOCUMENT, "upstreams": {**ROWS, "row-0": {"weight": 1.4}}},
    # The balancer rejects it: it drains all upstreams.
    "harmful": {**EMPTY_DOCUMENT, "upstreams": {**ROWS, "h0": {"drain": True}}},
}
VIEW = BalancerView(
    service_classes={},
    tenants=frozenset(),
    extensions=frozenset(),
    upstream_capacity={"h0": 1.0},
)


class Balancer(Struct, frozen=True):
    """State of the balancer; versions are given by their hashes."""

    running: str = ""  # empty: its startup settings
    rejected_number: int = 0
    needs_complete_version: bool = False
    saved: str = ""  # the last good version on disk


class Stream(Struct, frozen=True):
    """State of the service's side of an open stream."""

    processed_number: int
    base_number: int
    sent_number: int


class Report(Struct, frozen=True):
    """What the balancer reported last."""

    running_number: int = 0
    running_hash: str = ""
    rejected_number: int = 0


class State(Struct, frozen=True):
    """State of both sides, and what may still happen."""

    stored: tuple[str, ...] = ()  # hashes of the versions in the store
    desired_number: int = 0  # the version that the balancer is to run; 0: none
    report: Report = Report()
    balancer: Balancer = Balancer()
    stream: Stream | None = None
    proposals: int = 2  # that may still be made
    faults: int = 2  # that may still happen


class MemoryStore:
    """The store of the service, with the methods that the exploration needs."""

    def __init__(self, versions: list[Version]):
        """Start with these versions."""
        self.stored = {version.number: version for version in versions}

    def newest_version(self) -> Version | None:
        """Return the version with the highest number."""
        return self.stored[max(self.stored)] if self.stored else None

    def version(self, number: int) -> Version | None:
        """Return the version with a number."""
        return self.stored.get(number)

    def add_version(self, version: Version) -> None:
        """Add a version."""
        self.stored[version.number] = version

    def newest_rollout(self) -> None:
        """Return no rollout: the state has the version that the balancer is to run."""

    def save_rollout(self, _rollout) -> None:
        """Do nothing, for the same reason."""

    def members(self) -> dict:
        """Return no members: the state has what the balancer reported."""
        return {}


class ModelApplier(VersionApplier):
    """The balancer's checks and state, without a policy to reconfigure."""

    def __init__(self, running: Version | None, rejected_number: int):
        """Start with the version in force and the number of a rejected one; 0: none."""
        self.running = running
        self.rejection = Rejection(rejected_number, "harmful") if rejected_number else None
        self.counters = ApplierCounters()
        self._keys = KEYS
        self._log = Log(SILENT_LOG)

    def _view(self) -> BalancerView:
        return VIEW

    def apply(self, version: Version, _document: Any) -> None:
        """Put a version into force."""
        self.running = version


class Explorer:
    """Generates the states; ``make_stream`` and ``restart`` may be replaced by defects."""

    def __init__(
        self,
        make_stream: Callable[..., Any] = MemberStream,
        restart: Callable[[Balancer], Balancer] | None = None,
    ):
        """Explore with the program's code, or with these replacements of it."""
        self.make_stream = make_stream
        self.restart = restart or restart_balancer
        self.versions: dict[str, Version] = {}  # all that were ever signed, by hash

    # Both sides, built from a state.

    def service(self, state: State) -> ControlService:
        """Build the service with its store and what the balancer has reported."""
        service = ControlService(
            MemoryStore([self.versions[stored] for stored in state.stored]),  # type: ignore[arg-type]
            KEYS,
            log=SILENT_LOG,
            lease_ns=LEASE_NS,
            clock=lambda: 0.0,
            monotonic_ns=lambda: 0,
        )
        if state.report != Report():
            self.send_report(service, state.report)
        return service

    @staticmethod
    def send_report(service: ControlService, report: Report) -> None:
        """Send a heartbeat to the service."""
        rejected = report.rejected_number
        service.receive_heartbeat(
            Heartbeat(
                name=NAME,
                tier=0,
                running_version=report.running_number,
                running_hash=report.running_hash,
                rejection=Rejection(rejected, "harmful") if rejected else None,
            )
        )

    def applier(self, balancer: Balancer) -> ModelApplier:
        """Build the balancer's state."""
        return ModelApplier(self.versions.get(balancer.running), balancer.rejected_number)

    def stream_request(self, balancer: Balancer) -> StreamRequest:
        """Return the request with which the balancer opens its next stream."""
        applier = self.applier(balancer)
        client = StreamClient(
            log=Log(SILENT_LOG),
            jitter=None,  # type: ignore[arg-type]
            make_request=lambda: StreamRequest(
                name=NAME,
                processed_number=applier.latest_processed_number,
                base_number=applier.running_number,
                base_hash=balancer.running,
            ),
            known_version=applier.known_version,
        )
        client._needs_complete_version = balancer.needs_complete_version
        return client._request()

    def stream(self, service: ControlService, stream: Stream) -> Any:
        """Build the service's side of an open stream."""
        built = self.make_stream(StreamRequest(name=NAME), service.catalog.has_version)
        built.processed_number = stream.processed_number
        built.base_number, built.sent_number = stream.base_number, stream.sent_number
        return built

    # Actions. Each returns the state after it, or None if it is not possible.

    def open_stream(self, state: State) -> State | None:
        """Open a stream."""
        if state.stream is not None:
            return None
        request = self.stream_request(state.balancer)
        opened = self.make_stream(request, self.service(state).catalog.has_version)
        return msgspec.structs.replace(state, stream=stream_state(opened))

    def send(self, state: State) -> State | None:
        """Send the next version, and process it at the balancer."""
        return self.transmit(state, is_forged=False)

    def transmit(self, state: State, is_forged: bool) -> State | None:
        """Send the next version, which is forged on its way if ``is_forged``."""
        if state.stream is None:
            return None
        service = self.service(state)
        stream = self.stream(service, state.stream)
        running_number = service.registry.running_version(NAME)
        to_send = stream.next_version(state.desired_number, running_number)
        if to_send is None:
            return None
        base = service.store.version(to_send.base_number) if to_send.base_number else None
        version = service.store.version(to_send.number)
        assert version is not None  # a version that is desired is in the store
        if is_forged:
            version = msgspec.structs.replace(version, mac="forged")
        data = b"".join(frames.encode_version(version, base))
        after = msgspec.structs.replace(state, stream=stream_state(stream))
        return self.receive(after, data)

    def receive(self, state: State, data: bytes) -> State:
        """Process the frames of a version at the balancer."""
        balancer = state.balancer
        applier = self.applier(balancer)
        try:
            [version] = frames.FrameReader(applier.known_version).feed(data)
        except MissingBaseError:
            balancer = msgspec.structs.replace(balancer, needs_complete_version=True)
            return msgspec.structs.replace(state, stream=None, balancer=balancer)
        has_applied = applier.receive(version)  # type: ignore[arg-type]
        if applier.counters.forged:
            return msgspec.structs.replace(state, stream=None)
        running = applier.running.hash if applier.running is not None else ""
        balancer = Balancer(
            running=running,
            rejected_number=applier.rejection.version if applier.rejection else 0,
            needs_complete_version=False,
            saved=running if has_applied else balancer.saved,
        )
        return msgspec.structs.replace(state, balancer=balancer)

    def report(self, state: State) -> State | None:
        """Send a heartbeat, unless it reports nothing new."""
        applier = self.applier(state.balancer)
        report = Report(
            applier.running_number, state.balancer.running, state.balancer.rejected_number
        )
        if state.stream is None or report == state.report:
            return None
        return msgspec.structs.replace(state, report=report)

    def proposals(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield the proposals, each of which is rolled out at once."""
        if not state.proposals:
            return
        for name, document in DOCUMENTS.items():
            service = self.service(state)
            version = service.catalog.propose(
                ProposeRequest(document=document, overridden_checks=["step"], reason=name)
            )
            self.versions[version.hash] = version
            try:
                service.rollouts.begin(
                    BeginRolloutRequest(version=version.number, steps=[Step(1.0, 0.0)])
                )
                desired = version.number
            except ChangeRejectedError:
                desired = state.desired_number
            yield (
                f"{name} is proposed as version {version.number}",
                msgspec.structs.replace(
                    state,
                    stored=(*state.stored, version.hash),
                    desired_number=desired,
                    proposals=state.proposals - 1,
                ),
            )

    def faults(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield the faults that may happen."""
        if not state.faults:
            return
        replace = msgspec.structs.replace
        state = replace(state, faults=state.faults - 1)
        if state.stream is not None:
            yield "the stream is cut", replace(state, stream=None)
            if (forged := self.transmit(state, is_forged=True)) is not None:
                yield "a version is forged on its way", forged
        restarted = self.restart(state.balancer)
        yield "the balancer restarts", replace(state, stream=None, balancer=restarted)
        without_disk = self.restart(replace(state.balancer, saved=""))
        yield (
            "the balancer restarts without its disk",
            replace(state, stream=None, balancer=without_disk),
        )
        yield "the service restarts", replace(state, stream=None, report=Report())
        if state.stored:
            yield (
                "the store is lost",
                replace(state, stream=None, report=Report(), stored=(), desired_number=0),
            )
            older = state.stored[:-1]
            newest = self.versions[older[-1]].number if older else 0
            yield (
                "the store is restored from a backup",
                replace(state, stream=None, report=Report(), stored=older, desired_number=newest),
            )

    def successors(self, state: State) -> Iterator[tuple[str, State]]:
        """Yield every action that is possible now, with the state after it."""
        for action, perform in (
            ("a stream is opened", self.open_stream),
            ("the service sends a version", self.send),
            ("the balancer reports", self.report),
        ):
            after = perform(state)
            if after is not None:
                yield action, after
        yield from self.proposals(state)
        yield from self.faults(state)

    # The property.

    def broken_rules(self, _before: State | None, state: State) -> Iterator[str]:
        """Yield the texts of the rules that the state breaks."""
        streams = 0
        for _ in range(MAX_STEPS_TO_SETTLE):
            after = self.report(state) or self.send(state)
            if after is None:
                after = self.open_stream(state)
                streams += after is not None
            if after is None:
                break
            state = after
        else:
            yield "the exchange comes to an end"
        if streams > MAX_STREAMS_TO_SETTLE:
            yield "few streams are needed"
        if not self.is_settled(state):
            yield "the balancer runs or has visibly rejected the version that it is to run"

    def is_settled(self, state: State) -> bool:
        """Whether the balancer runs what it is to run, or the service shows why it does not."""
        desired = state.desired_number
        service = self.service(state)
        version = service.store.version(desired) if desired else None
        if version is None or state.balancer.running == version.hash:
            return True
        foreign = service.registry.foreign_versions().get(NAME, 0)
        return state.report.rejected_number == desired or foreign >= desired


def restart_balancer(balancer: Balancer) -> Balancer:
    """Return the balancer after a restart: it starts from the version on disk."""
    return Balancer(running=balancer.saved, saved=balancer.saved)


def stream_state(stream: Any) -> Stream:
    """Return the state of a stream as plain data."""
    return Stream(stream.processed_number, stream.base_number, stream.sent_number)


def explore(explorer: Explorer, start: State = State()) -> tuple[int, Violation | None]:  # noqa: B008
    """Return the number of states and the first broken rule, if any."""
    reached_by: dict[State, tuple[State, str] | None] = {start: None}
    queue = [start]
    for state in queue:
        for action, after in explorer.successors(state):
            if after in reached_by:
                continue
            reached_by[after] = state, action
            for rule in explorer.broken_rules(state, after):
                return len(reached_by), Violation(rule, path_to(reached_by, after))
            queue.append(after)
    return len(reached_by), None
