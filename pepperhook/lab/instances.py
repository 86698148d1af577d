"""Which instances of a tier's upstreams live when, by the faults of an experiment.

One timeline for the stand-ins and for the endpoint list, so that both have the same instance in
mind: a fault happens to whoever lives at that place then, and to nobody where nobody does.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, auto
from math import inf

from pepperhook.lab import experiment
from pepperhook.lab.experiment import Experiment, Trouble

READY, DRAINING, GONE = "ready", "draining", "gone"
# From a drain's beginning until the upstream rejects requests, from a release's until it ends.
DRAIN_GRACE_S = 1.0
RESTART_S = 0.1  # a process needs to end and begin again at the least
RENEWING = ("replaced", "released")  # faults after which another instance begins
OF_LIFECYCLES = ("crash", "cold", "drain", *RENEWING)


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
class Listing:
    """One change of the endpoint list; ``started_at`` is None where it does not change."""

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
    is_released: bool = False  # the endpoint list knows of its end beforehand
    states: list[tuple[float, str]] = field(default_factory=list)  # drains, and their ends
    drains: set[int] = field(default_factory=set)  # faults that drain it now


def host_name(tier: int, number: int) -> str:
    """Return the name of the first instance at a place."""
    return f"t{tier}-{number:02d}"


class Place:
    """One place of a tier, and the instances that live there one after the other."""

    def __init__(self, tier: int, number: int) -> None:
        """Begin with an instance that has always lived."""
        self.number = number
        self.name = host_name(tier, number)
        self.instances = [Instance(self.name)]
        self.steps: list[Step] = []

    @property
    def _living(self) -> Instance | None:
        last = self.instances[-1]
        return last if last.ended_at == inf else None

    def apply(self, change: Change) -> None:
        """Apply one change by a fault to whoever lives here."""
        living = self._living
        if living is None:
            if change.transition is Transition.START:
                self._start(change)
        elif change.transition is Transition.END:
            self._end(living, change)
        elif change.transition is Transition.DRAIN:
            self._drain(living, change)
        elif change.fault in living.drains:
            self._go_on_draining(living, change)

    def _start(self, change: Change) -> None:
        host = f"{self.name}-r{change.fault_at:g}" if change.renews else self.instances[-1].host
        self.instances.append(Instance(host, started_at=change.at))
        self._step(change)

    def _end(self, living: Instance, change: Change) -> None:
        if change.is_release and change.fault not in living.drains:
            return  # the release was of an instance before this one
        living.ended_at = change.at
        living.is_released = change.is_release
        self._step(change)

    def _drain(self, living: Instance, change: Change) -> None:
        if not living.drains:
            living.states.append((change.at, DRAINING))
            self._step(change)
        living.drains.add(change.fault)

    def _go_on_draining(self, living: Instance, change: Change) -> None:
        if change.transition is Transition.REJECT:
            self._step(change)
        elif change.transition is Transition.SERVE:
            living.drains.discard(change.fault)
            if not living.drains:
                living.states.append((change.at, READY))
                self._step(change)

    def _step(self, change: Change) -> None:
        self.steps.append(Step(change.at, self.number, change.transition))

    def listings(self, notice_s: float) -> Iterator[Listing]:
        """Yield what the endpoint list says.

        It notices starts, and ends without a drain, ``notice_s`` late.
        """
        listed: set[str] = {self.name}
        for instance, following in itertools.pairwise([*self.instances, None]):
            assert instance is not None
            listed_at = instance.started_at + notice_s
            if listed_at < instance.ended_at:
                listed.add(instance.host)
                yield from self._states(instance, listed_at)
            gone_at = instance.ended_at + (0 if instance.is_released else notice_s)
            is_noticed = (
                following is None
                or following.host != instance.host
                or following.started_at > gone_at
            )
            if gone_at < inf and is_noticed and instance.host in listed:
                listed.discard(instance.host)
                yield Listing(gone_at, self.number, instance.host, GONE, None)

    def _states(self, instance: Instance, listed_at: float) -> Iterator[Listing]:
        if listed_at > -inf:
            before = [state for at, state in instance.states if at <= listed_at]
            state = before[-1] if before else READY
            yield Listing(listed_at, self.number, instance.host, state, instance.started_at)
        for at, state in instance.states:
            if at > listed_at:
                yield Listing(at, self.number, instance.host, state, None)


@dataclass(frozen=True, slots=True)
class Change:
    """One change that a fault makes at a place."""

    at: float
    transition: Transition
    fault: int  # which fault of the experiment
    fault_at: float
    renews: bool = False  # of a start: under a name of its own
    is_release: bool = False  # of an end: only of the instance that the fault drains


def _changes(fault: Trouble, index: int, at: float, ends: float) -> Iterator[Change]:
    """Yield the changes that one fault makes at one place."""
    grace_s = fault.size or DRAIN_GRACE_S
    if fault.what == "drain":
        yield Change(at, Transition.DRAIN, index, fault.at)
        if at + grace_s < ends:
            yield Change(at + grace_s, Transition.REJECT, index, fault.at)
        yield Change(ends, Transition.SERVE, index, fault.at)
        return
    if fault.what == "released":
        yield Change(at, Transition.DRAIN, index, fault.at)
        yield Change(at + grace_s, Transition.END, index, fault.at, is_release=True)
        ends = max(ends, at + grace_s + RESTART_S)
    else:
        yield Change(at, Transition.END, index, fault.at)
    yield Change(ends, Transition.START, index, fault.at, renews=fault.what in RENEWING)


@dataclass(frozen=True, slots=True)
class Timeline:
    """What happens to the processes of one tier, and what the endpoint list says of them."""

    steps: list[Step]
    listings: list[Listing]

    @classmethod
    def of(cls, day: Experiment, tier: int) -> Timeline:
        """Return the timeline of a tier; all times are seconds of the run."""
        changes: dict[int, list[Change]] = {}
        for index, fault in enumerate(day.troubles):
            if fault.tier != tier or fault.what not in OF_LIFECYCLES:
                continue
            for number, at, ends in experiment.moments(day, fault):
                changes.setdefault(number, []).extend(_changes(fault, index, at, ends))
        places = []
        for number, rows in changes.items():
            place = Place(tier, number)
            places.append(place)
            for change in sorted(rows, key=lambda row: row.at):
                place.apply(change)
        return cls(
            sorted((step for place in places for step in place.steps), key=lambda row: row.at),
            sorted(
                (row for place in places for row in place.listings(day.discovery.notice_s)),
                key=lambda row: row.at,
            ),
        )
