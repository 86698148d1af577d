"""The lifecycles of a tier's upstream processes, as the faults of an experiment determine them.

The stand-ins and the endpoint list share one timeline, so that both apply a fault to the same
instance. A place is one upstream number of a tier; its instances run one after the other. A fault
applies to the instance that runs at its place at that time; if none runs there, it has no effect.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, auto
from math import inf

from pepperhook.lab import experiment
from pepperhook.lab.experiment import Experiment, Fault

READY, DRAINING, GONE = "ready", "draining", "gone"
# Default time from the start of a drain until the upstream rejects requests, and from the start of
# a release until the process ends.
DRAIN_GRACE_S = 1.0
RESTART_S = 0.1  # minimum time between the end of a process and the start of its successor
# Faults after which the new process has its own host name.
REPLACING_FAULTS = ("replaced", "released")
LIFECYCLE_FAULTS = ("crash", "cold", "drain", *REPLACING_FAULTS)


class Transition(Enum):
    """What happens to an upstream's process."""

    DRAIN = auto()  # it fails health checks
    REJECT = auto()  # it also rejects requests
    SERVE = auto()  # it is ready again
    END = auto()
    START = auto()


@dataclass(frozen=True, slots=True)
class Step:
    """One transition of the process at a place."""

    at: float
    number: int
    transition: Transition


@dataclass(frozen=True, slots=True)
class ListChange:
    """One change of the endpoint list; ``started_at`` is None if the start time is unchanged."""

    at: float
    number: int
    host: str
    state: str
    started_at: float | None


@dataclass(slots=True)
class Instance:
    """One process from its start to its end, under one host name."""

    host: str
    started_at: float = -inf
    ended_at: float = inf
    is_released: bool = False  # a planned end, which the endpoint list shows without delay
    states: list[tuple[float, str]] = field(
        default_factory=list
    )  # (time, state) of drains and their ends
    drains: set[int] = field(default_factory=set)  # indexes of the faults that drain it now


def host_name(tier: int, number: int) -> str:
    """Return the name of the first instance at a place."""
    return f"t{tier}-{number:02d}"


class Place:
    """The sequence of instances that run under one upstream number."""

    def __init__(self, tier: int, number: int) -> None:
        """Begin with an instance that runs since before the experiment."""
        self.number = number
        self.name = host_name(tier, number)
        self.instances = [Instance(self.name)]
        self.steps: list[Step] = []

    @property
    def _current(self) -> Instance | None:
        last = self.instances[-1]
        return last if last.ended_at == inf else None

    def apply(self, change: Change) -> None:
        """Apply a fault's change to the instance that runs here, if any."""
        instance = self._current
        if instance is None:
            if change.transition is Transition.START:
                self._start(change)
        elif change.transition is Transition.END:
            self._end(instance, change)
        elif change.transition is Transition.DRAIN:
            self._drain(instance, change)
        elif change.fault in instance.drains:
            self._continue_drain(instance, change)

    def _start(self, change: Change) -> None:
        host = (
            f"{self.name}-r{change.fault_at:g}"
            if change.has_new_host_name
            else self.instances[-1].host
        )
        self.instances.append(Instance(host, started_at=change.at))
        self._step(change)

    def _end(self, instance: Instance, change: Change) -> None:
        if change.is_release and change.fault not in instance.drains:
            return  # the release applied to an earlier instance
        instance.ended_at = change.at
        instance.is_released = change.is_release
        self._step(change)

    def _drain(self, instance: Instance, change: Change) -> None:
        if not instance.drains:
            instance.states.append((change.at, DRAINING))
            self._step(change)
        instance.drains.add(change.fault)

    def _continue_drain(self, instance: Instance, change: Change) -> None:
        if change.transition is Transition.REJECT:
            self._step(change)
        elif change.transition is Transition.SERVE:
            instance.drains.discard(change.fault)
            if not instance.drains:
                instance.states.append((change.at, READY))
                self._step(change)

    def _step(self, change: Change) -> None:
        self.steps.append(Step(change.at, self.number, change.transition))

    def list_changes(self, notice_s: float) -> Iterator[ListChange]:
        """Yield the changes of the endpoint list.

        Starts and unplanned ends are listed with a delay of ``notice_s``.
        """
        listed: set[str] = {self.name}
        for instance, following in itertools.pairwise([*self.instances, None]):
            assert instance is not None
            listed_at = instance.started_at + notice_s
            if listed_at < instance.ended_at:
                listed.add(instance.host)
                yield from self._state_changes(instance, listed_at)
            gone_at = instance.ended_at + (0 if instance.is_released else notice_s)
            # A restart under the same host name before gone_at hides the end.
            is_noticed = (
                following is None
                or following.host != instance.host
                or following.started_at > gone_at
            )
            if gone_at < inf and is_noticed and instance.host in listed:
                listed.discard(instance.host)
                yield ListChange(gone_at, self.number, instance.host, GONE, None)

    def _state_changes(self, instance: Instance, listed_at: float) -> Iterator[ListChange]:
        if listed_at > -inf:
            past_states = [state for at, state in instance.states if at <= listed_at]
            state = past_states[-1] if past_states else READY
            yield ListChange(listed_at, self.number, instance.host, state, instance.started_at)
        for at, state in instance.states:
            if at > listed_at:
                yield ListChange(at, self.number, instance.host, state, None)


@dataclass(frozen=True, slots=True)
class Change:
    """One change that a fault makes at a place."""

    at: float
    transition: Transition
    fault: int  # index of the fault in the experiment
    fault_at: float
    has_new_host_name: bool = False  # for START only
    is_release: bool = False  # for END: only if this fault drains the running instance


def _changes(fault: Fault, index: int, at: float, ends_at: float) -> Iterator[Change]:
    """Yield the changes that one fault makes at one place."""
    grace_s = fault.size or DRAIN_GRACE_S
    if fault.type == "drain":
        yield Change(at, Transition.DRAIN, index, fault.start_s)
        if at + grace_s < ends_at:
            yield Change(at + grace_s, Transition.REJECT, index, fault.start_s)
        yield Change(ends_at, Transition.SERVE, index, fault.start_s)
        return
    if fault.type == "released":
        yield Change(at, Transition.DRAIN, index, fault.start_s)
        yield Change(at + grace_s, Transition.END, index, fault.start_s, is_release=True)
        ends_at = max(ends_at, at + grace_s + RESTART_S)
    else:
        yield Change(at, Transition.END, index, fault.start_s)
    yield Change(
        ends_at,
        Transition.START,
        index,
        fault.start_s,
        has_new_host_name=fault.type in REPLACING_FAULTS,
    )


@dataclass(frozen=True, slots=True)
class Timeline:
    """The lifecycle steps of one tier's processes and the changes of its endpoint list."""

    steps: list[Step]
    listings: list[ListChange]

    @classmethod
    def of(cls, scenario: Experiment, tier: int) -> Timeline:
        """Return the timeline of a tier; all times are in seconds since the start of the run."""
        changes: dict[int, list[Change]] = {}
        for index, fault in enumerate(scenario.faults):
            if fault.tier != tier or fault.type not in LIFECYCLE_FAULTS:
                continue
            for number, at, ends_at in experiment.fault_periods(scenario, fault):
                changes.setdefault(number, []).extend(_changes(fault, index, at, ends_at))
        places = []
        for number, place_changes in changes.items():
            place = Place(tier, number)
            places.append(place)
            for change in sorted(place_changes, key=lambda change: change.at):
                place.apply(change)
        return cls(
            sorted((step for place in places for step in place.steps), key=lambda step: step.at),
            sorted(
                (
                    change
                    for place in places
                    for change in place.list_changes(scenario.discovery.notice_s)
                ),
                key=lambda change: change.at,
            ),
        )
