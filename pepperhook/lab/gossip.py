"""A simulation of gossip among many members in virtual time.

The members run the real protocol (``pepperhook.membership.protocol``). The simulated network loses
and delays datagrams and can be partitioned; members can die, pause and return. A run is determined
by its seed; nothing here reads a clock.
"""

from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush
from random import Random

from msgspec import Struct

from pepperhook.membership.messages import MemberRecord, MemberState, Message, Outgoing
from pepperhook.membership.protocol import SwimProtocol
from pepperhook.membership.settings import DEFAULT_SETTINGS, ProtocolSettings
from pepperhook.membership.settings import NS_PER_MS as MS
from pepperhook.membership.settings import NS_PER_S as S

# Datagrams that wait for a paused member; more are lost, as with a full socket buffer.
MAX_WAITING_DATAGRAMS = 300


class DetectedDeath(Struct):
    """How one death was detected: times in nanoseconds after it; None: not within the run."""

    name: str
    at: int  # virtual time of the death, in nanoseconds
    suspected: int | None = None  # until the first member suspected it
    lost: int | None = None  # until the first member declared it lost
    known: int | None = None  # until no running member had it as present


class Figures(Struct):
    """The results of a run."""

    members: int
    seconds: float
    probes_each_s: float  # per member and second
    datagrams_each_s: float  # sent, per member and second
    busiest_s: float  # datagrams that the busiest member sent, per second of the whole run
    rows_each_datagram: float  # mean number of updates in a datagram
    suspected: int  # suspicions raised
    falsely_suspected: int  # suspicions of members that were running and reachable
    falsely_lost: int  # declarations of loss about running and reachable members
    refuted: int  # suspicions that their subject refuted
    deaths: list[DetectedDeath]


class Network:
    """The simulated network and its members, named m0000, m0001 and so on.

    ``loss`` is the fraction of datagrams that are lost. ``delay_ms`` are the bounds of the one-way
    delay, which is drawn uniformly.
    """

    def __init__(
        self,
        members: int,
        seed: int,
        settings: ProtocolSettings = DEFAULT_SETTINGS,
        loss: float = 0.0,
        delay_ms: tuple[float, float] = (0.2, 2.0),
        make_protocol: Callable = SwimProtocol,
        tiers: int = 1,
    ):
        self.random = Random(seed)
        self.settings = settings
        self.loss = loss
        self.delay_ms = delay_ms
        self.make_protocol = make_protocol
        self.seed, self.now, self.events, self.event_count = seed, 0, [], 0
        self.members: dict[str, ObservedMember] = {}
        self.by_address: dict[tuple[str, int], str] = {}
        self.records = [
            MemberRecord(f"m{n:04}", (f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}", 7946), n % tiers, 1)
            for n in range(members)
        ]
        self.paused: dict[str, list] = {}  # paused members and the datagrams that wait for them
        self.next_ticks: dict[str, int] = {}  # next timer of each member
        # Whether datagrams from the first to the second member are dropped; by default none.
        self.is_blocked: Callable[[str, str], bool] = lambda sender, receiver: False
        self.sent: Counter = Counter()
        self.updates_sent = 0
        self.deaths: dict[str, DetectedDeath] = {}
        self.false_suspected = self.false_lost = self.refuted_by_killed = 0
        self.started_at: dict[str, int] = {}

    # Called by scenarios.

    def start_member(self, number: int, incarnation: int = 1):
        """Start a member."""
        record = self.records[number]
        record = MemberRecord(record.name, record.address, record.tier, incarnation)
        seeds = [
            self.records[seed].address
            for seed in (0, 1, 2)
            if seed != number and seed < len(self.records)
        ]
        self.members[record.name] = ObservedMember(
            self,
            self.make_protocol(
                record,
                seeds,
                self.seed * 100_003 + number * 7 + incarnation,
                self.now,
                self.settings,
            ),
        )
        self.by_address[record.address] = record.name
        self.started_at[record.name] = self.now
        self.schedule_tick(record.name)

    def kill(self, name: str):
        """End a member without notice."""
        self.refuted_by_killed += self.members.pop(name).protocol.counters.refuted
        self.next_ticks.pop(name, None)
        self.paused.pop(name, None)
        self.deaths[name] = DetectedDeath(name, self.now)

    def pause(self, name: str):
        """Pause a member."""
        self.paused.setdefault(name, [])

    def resume(self, name: str):
        """Resume a paused member."""
        waiting = self.paused.pop(name, [])
        if name in self.members:
            # The order of an event loop: one datagram, the due timers, then the other datagrams.
            for message in waiting[:1]:
                self.deliver(name, message)
            self.send(name, self.members[name].tick(self.now))
            for message in waiting[1:]:
                self.deliver(name, message)
            self.schedule_tick(name, self.now)

    def leave(self, name: str):
        """Make a member leave in an orderly way."""
        self.send(name, self.members[name].protocol.leave())
        del self.members[name]
        self.next_ticks.pop(name, None)

    def call_at(self, seconds: float, callback: Callable[[], None]):
        """Schedule a call at a time of the run."""
        self.schedule(int(seconds * S), callback)

    # Time.

    def schedule(self, at: int, callback):
        """Schedule a call at a time in nanoseconds."""
        self.event_count += 1
        heappush(self.events, (at, self.event_count, callback))

    def run(self, seconds: float):
        """Run until that many seconds have passed since the start."""
        end = int(seconds * S)
        while self.events and self.events[0][0] <= end:
            self.step()
        self.now = end

    def step(self):
        """Run the next event."""
        self.now, _, callback = heappop(self.events)
        callback()

    def schedule_tick(self, name: str, at: int | None = None):
        """Schedule a member's tick at ``at``, or at its next deadline."""
        if name in self.paused or name not in self.members:
            return
        at = max(self.now, self.members[name].protocol.next_deadline()) if at is None else at
        if self.next_ticks.get(name, 1 << 62) <= at and self.next_ticks[name] >= self.now:
            return
        self.next_ticks[name] = at
        self.schedule(at, lambda: self.run_scheduled_tick(name, at))

    def run_scheduled_tick(self, name: str, at: int):
        """Run a member's scheduled tick, unless it was rescheduled or the member is paused."""
        if self.next_ticks.get(name) != at or name not in self.members:
            return
        if name in self.paused:
            del self.next_ticks[name]
            return
        del self.next_ticks[name]
        member = self.members[name]
        self.send(name, member.tick(self.now))
        self.schedule_tick(name)

    # The network.

    def send(self, sender: str, datagrams: list[Outgoing]):
        """Send datagrams; some are lost or dropped by a partition, the others are delayed."""
        for address, message in ((item.address, item.message) for item in datagrams):
            self.sent[sender] += 1
            self.updates_sent += len(message.updates)
            receiver = self.by_address.get(address)
            if (
                receiver is None
                or self.is_blocked(sender, receiver)
                or self.random.random() < self.loss
            ):
                continue
            at = self.now + int(self.random.uniform(*self.delay_ms) * MS)
            # Copy what is mutable: members must share no memory.
            copy = Message(
                message.type,
                message.sequence,
                message.sender,
                message.target,
                message.payload,
                list(message.updates),
                list(message.accusers),
            )
            self.schedule(at, lambda receiver=receiver, copy=copy: self.deliver(receiver, copy))

    def deliver(self, receiver: str, message: Message):
        """Deliver a datagram, or queue it for a paused member."""
        if receiver in self.paused:
            if len(self.paused[receiver]) < MAX_WAITING_DATAGRAMS:
                self.paused[receiver].append(message)
            return
        member = self.members.get(receiver)
        if member is not None:
            self.send(receiver, member.receive(self.now, message))
            self.schedule_tick(receiver)

    # Observations.

    def is_running(self, name: str) -> bool:
        """Whether a member runs and is not paused."""
        return name in self.members and name not in self.paused

    def record_state(self, observer: str, name: str, state: MemberState):
        """Record that a member, ``observer``, now considers another suspect or lost."""
        death = self.deaths.get(name)
        if death is not None and name not in self.members:
            if state == MemberState.SUSPECT and death.suspected is None:
                death.suspected = self.now - death.at
            if state == MemberState.LOST:
                death.lost = self.now - death.at if death.lost is None else death.lost
                if death.known is None and all(
                    name not in member.protocol.table.others
                    or not member.protocol.table.record_of(name).is_present
                    for member in self.members.values()
                ):
                    death.known = self.now - death.at
        elif (
            self.is_running(name)
            and self.is_running(observer)
            and not self.is_blocked(observer, name)
        ):
            self.false_suspected += state == MemberState.SUSPECT
            self.false_lost += state == MemberState.LOST

    def has_converged(self) -> bool:
        """Whether each member's list of present members is exactly the running ones."""
        running = sorted(self.members)
        return all(
            member.protocol.table.present_names() == running for member in self.members.values()
        )

    def count_differing(self) -> int:
        """Return how many members have another list of present members than the running ones."""
        running = sorted(self.members)
        return sum(
            member.protocol.table.present_names() != running for member in self.members.values()
        )

    def figures(self) -> Figures:
        """Return the results of the run so far."""
        seconds = self.now / S
        member_seconds = sum((self.now - self.started_at[name]) / S for name in self.members) or 1.0
        total = sum(self.sent.values())
        counters = [member.protocol.counters for member in self.members.values()]
        return Figures(
            members=len(self.members),
            seconds=seconds,
            probes_each_s=sum(counter.probes for counter in counters) / member_seconds,
            datagrams_each_s=total / member_seconds,
            busiest_s=max(self.sent.values(), default=0) / seconds,
            rows_each_datagram=self.updates_sent / max(1, total),
            suspected=sum(counter.suspected for counter in counters),
            falsely_suspected=self.false_suspected,
            falsely_lost=self.false_lost,
            refuted=sum(counter.refuted for counter in counters) + self.refuted_by_killed,
            deaths=list(self.deaths.values()),
        )


class ObservedMember:
    """A member whose changes of other members' states are reported to the network."""

    def __init__(self, network: Network, protocol: SwimProtocol):
        self.network = network
        self.protocol = protocol
        protocol.view.listeners.append(self.record_changed)

    def record_changed(self, previous: MemberRecord, current: MemberRecord) -> None:
        """Report that a present member became suspect or lost."""
        if not previous.is_present or current.state == previous.state:
            return
        if current.state in (MemberState.SUSPECT, MemberState.LOST):
            self.network.record_state(self.protocol.table.local.name, current.name, current.state)

    def tick(self, now: int) -> list[Outgoing]:
        """Run due timers; return the datagrams to send."""
        return self.protocol.tick(now)

    def receive(self, now: int, message: Message) -> list[Outgoing]:
        """Handle a datagram; return the datagrams to send."""
        return self.protocol.receive(now, message)


def converged_network(members: int, seed: int, **options) -> Network:
    """Return a network whose members have joined through the first three and agree on the list.

    Members start 10 ms apart; more than 100 of them start evenly over one second. Raise
    RuntimeError if they still differ at the last of 60 checks, which are one second apart.
    """
    network = Network(members, seed, **options)
    for number in range(members):
        network.call_at(
            number * 0.01 if members <= 100 else number / members,
            lambda number=number: network.start_member(number),
        )
    end = 2.0 + members * 0.01
    for _ in range(60):
        network.run(end)
        if len(network.members) == members and network.has_converged():
            return network
        end += 1.0
    raise RuntimeError(
        f"{network.count_differing()} of {members} members still differ after {end:.0f} s"
    )


__all__ = ["Figures", "Network", "DetectedDeath", "converged_network"]
