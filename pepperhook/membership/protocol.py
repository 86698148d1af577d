"""The failure detector of one member: plain decisions, without I/O.

Times are whole nanoseconds of a clock that is never set back. Each call returns the messages to
send.

SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol", DSN 2002): each period one member is probed. One that does not answer is
probed through others; one that does not answer them either is suspected, and may refute it by a
higher incarnation, or else is declared lost. Updates are piggybacked on probes and answers.

From Lifeguard (Dadgar, Phillips, Currey, 2017): the local health multiplier, negative answers of
helpers, and suspicions that shorten as more members confirm them.

Beyond both: a process that itself stood still drops its open probes, as their time passed without
it; records that two members see differently are found by digests and exchanged (``anti_entropy``);
and lost members are contacted now and then, or two halves of a split network would never find each
other again.
"""

from collections.abc import Callable
from dataclasses import dataclass

from pepperhook.membership.anti_entropy import AntiEntropy
from pepperhook.membership.composer import MessageComposer
from pepperhook.membership.counters import ProtocolCounters
from pepperhook.membership.local_health import LocalHealth
from pepperhook.membership.members import Member, MemberTable
from pepperhook.membership.messages import (
    Address,
    MemberRecord,
    MemberState,
    Message,
    MessageType,
    Outgoing,
)
from pepperhook.membership.probe_relay import ProbeRelay
from pepperhook.membership.seeded_random import SeededRandom
from pepperhook.membership.settings import DEFAULT_SETTINGS, ProtocolSettings
from pepperhook.membership.view import MembershipView

# Probe periods that a tick may be late before this process takes itself to have stood still.
STALL_PERIODS = 1.5
MAX_JOIN_CONTACTS = 8  # seeds or lost members contacted at once while nobody is present


@dataclass(slots=True)
class Probe:
    """This period's probe."""

    member: Member
    sequence: int
    timeout_at_ns: int  # others are asked then
    helpers: list[str] | None = None  # members asked to probe; None: not asked yet
    nacks: int = 0  # helpers that said they heard nothing either


class SwimProtocol:
    """One member of the cluster."""

    def __init__(
        self,
        local: MemberRecord,
        seeds: list[Address],
        random_seed: int,
        now: int,
        settings: ProtocolSettings = DEFAULT_SETTINGS,
    ) -> None:
        """Begin alone; other members are found through ``seeds``."""
        self.settings = settings
        self.seeds = [address for address in seeds if address != local.address]
        self.random = SeededRandom(random_seed)
        self.local_health = LocalHealth()
        self.counters = ProtocolCounters()
        self.table = MemberTable(local, self.random)
        self.view = MembershipView(settings, self.table, self.local_health, self.counters, now)
        self.view.listeners.append(self._drop_probe_of_absent)
        self.anti_entropy = AntiEntropy(
            settings, self.table, self.view.updates, self.random, self.counters
        )
        self.composer = MessageComposer(self.table, self.view.updates)
        self.relay = ProbeRelay(settings, self.table, self.random, self.composer)
        self.probe: Probe | None = None
        # At a drawn point of the first period, or all members would probe together.
        self.next_period_ns = now + self.random.below(settings.probe_period_ns)
        self._last_rejoin_ns = now - settings.rejoin_interval_ns
        self._handlers: dict[MessageType, Callable[[int, Message], list[Outgoing]]] = {
            MessageType.PING: self._on_ping,
            MessageType.ACK: self._on_ack,
            MessageType.NACK: self._on_nack,
            MessageType.PING_REQ: self.relay.begin,
            MessageType.SYNC: self._on_sync,
            MessageType.RECORDS: self._on_records,
            MessageType.QUERY: self._on_query,
        }

    # Timers.

    def next_deadline(self) -> int:
        """Return when ``tick`` is due at the latest."""
        deadlines = [self.next_period_ns]
        deadlines += self.relay.deadlines()
        deadlines += self.view.suspicions.deadlines()
        if self.probe is not None and self.probe.helpers is None:
            deadlines.append(self.probe.timeout_at_ns)
        return min(deadlines)

    def tick(self, now: int) -> list[Outgoing]:
        """Do all that is due."""
        late_ns = now - self.next_deadline()
        if late_ns > STALL_PERIODS * self.settings.probe_period_ns:
            self.recover_from_stall(late_ns)
        outgoing = self.relay.expire(now)
        outgoing += self._probe_indirectly(now)
        self.view.expire_suspicions(now)
        if self.next_period_ns <= now:
            outgoing += self._begin_period(now)
        return outgoing

    def recover_from_stall(self, stalled_ns: int) -> None:
        """Disregard the time in which this process did not run.

        Else it would begin by suspecting whom it probed last, and declare lost whose refutation
        waits unread in its socket.
        """
        self.counters.stalls += 1
        self.probe = None
        self.relay.drop_all()
        self.local_health.set_worst()
        self.view.suspicions.postpone_all(stalled_ns)

    def leave(self) -> list[Outgoing]:
        """Announce that this member leaves: to some members at once, who pass it on."""
        self.view.leave()
        names = self.random.sample(self.table.probe_order.names, 2 * self.settings.indirect_probes)
        local = self.table.local
        return [
            Outgoing(
                self.table.record_of(name).address,
                Message(MessageType.ACK, 0, local, name, None, [local]),
            )
            for name in names
        ]

    # Probes of this member's own.

    def _begin_period(self, now: int) -> list[Outgoing]:
        if self.probe is not None:
            self._probe_failed(now, self.probe)
        # A slow member probes less often, and waits longer for answers.
        period_ns = self.settings.probe_period_ns
        base = max(self.next_period_ns, now - period_ns // 2)
        self.next_period_ns = base + period_ns * self.local_health.multiplier
        return self._probe_next(now) + self._rejoin(now)

    def _probe_failed(self, now: int, probe: Probe) -> None:
        """Suspect a member that has answered nobody through the whole period.

        Helpers that did not even send a NACK, or that could not be found, are evidence that this
        member is slow itself (Lifeguard).
        """
        self.local_health.degrade(len(probe.helpers) - probe.nacks if probe.helpers else 1)
        self.view.suspect(now, probe.member, self.table.local.name)

    def _probe_next(self, now: int) -> list[Outgoing]:
        self.probe = None
        name = self.table.probe_order.next()
        if name is None:
            return []
        self.counters.probes += 1
        timeout_ns = self.settings.probe_timeout_ns * self.local_health.multiplier
        member = self.table.others[name]
        self.probe = Probe(member, self.random.next_sequence(), now + timeout_ns)
        return [self.composer.ping(member.record, self.probe.sequence)]

    def _probe_indirectly(self, now: int) -> list[Outgoing]:
        """Ask others to probe a member that has not answered in time."""
        probe = self.probe
        if probe is None or probe.helpers is not None or probe.timeout_at_ns > now:
            return []
        target = probe.member.record
        candidates = [
            name
            for name in self.table.probe_order.names
            if name != target.name and self.table.record_of(name).state == MemberState.ALIVE
        ]
        probe.helpers = self.random.sample(candidates, self.settings.indirect_probes)
        return [
            self.composer.to_member(
                MessageType.PING_REQ, probe.sequence, self.table.record_of(name), target
            )
            for name in probe.helpers
        ]

    def _drop_probe_of_absent(self, _previous: MemberRecord, current: MemberRecord) -> None:
        if self.probe is None or current.is_present:
            return
        if self.probe.member.record.name == current.name:
            self.probe = None

    def add_seed(self, address: Address) -> None:
        """Find other members through one more address."""
        if address != self.table.local.address and address not in self.seeds:
            self.seeds.append(address)

    def _rejoin(self, now: int) -> list[Outgoing]:
        """Compare tables with a lost member or a seed.

        It is how members join, and how halves of a split network find each other.
        """
        if now - self._last_rejoin_ns < self.settings.rejoin_interval_ns:
            return []
        self._last_rejoin_ns = now
        self.view.forget_absent(now)
        lost = self.table.lost_addresses()
        reached = self.table.present_addresses().union(lost)
        candidates = lost + [address for address in self.seeds if address not in reached]
        if not candidates or self.view.leaving:
            return []
        if len(self.table.probe_order) > 0:
            candidates = [candidates[self.random.below(len(candidates))]]
        return [self.composer.sync(address) for address in candidates[:MAX_JOIN_CONTACTS]]

    # Messages received.

    def receive(self, now: int, message: Message) -> list[Outgoing]:
        """Take in an authenticated message, and answer it if it is meant for this member's name."""
        sender = message.sender
        local = self.table.local
        if sender.name == local.name:
            self.counters.name_conflicts += sender.address != local.address
            return []
        self._merge_updates(now, message)
        if message.type != MessageType.QUERY:
            # Whoever queries is an operator's tool, no member.
            self.view.merge(now, sender, sender.name)
        if message.target not in ("", local.name):
            return []
        return self._handlers[message.type](now, message)

    def _merge_updates(self, now: int, message: Message) -> None:
        accusers = iter(message.accusers)
        for update in message.updates:
            accuser = next(accusers, "") if update.state == MemberState.SUSPECT else ""
            self.view.merge(now, update, accuser or message.sender.name)

    def _on_ping(self, now: int, message: Message) -> list[Outgoing]:
        digest = self.table.digest.as_list()
        ack = self.composer.to_member(MessageType.ACK, message.sequence, message.sender, digest)
        return [ack, *self._sync_if_different(now, message)]

    def _on_ack(self, now: int, message: Message) -> list[Outgoing]:
        if self.probe is not None and self._answers(message, self.probe):
            self.probe = None
            self.local_health.improve()
        return self.relay.relay_ack(message) + self._sync_if_different(now, message)

    @staticmethod
    def _answers(ack: Message, probe: Probe) -> bool:
        """Return whether an ACK is the probed member's own, or relayed by a helper."""
        if ack.sequence != probe.sequence:
            return False
        return probe.member.record.name in (ack.sender.name, ack.payload)

    def _on_nack(self, _now: int, message: Message) -> list[Outgoing]:
        if self.probe is not None and self.probe.sequence == message.sequence:
            self.probe.nacks += 1
        return []

    def _on_sync(self, _now: int, message: Message) -> list[Outgoing]:
        return self.anti_entropy.pages(message, request_records=True)

    def _on_records(self, _now: int, message: Message) -> list[Outgoing]:
        return self.anti_entropy.pages(message, request_records=False)

    def _on_query(self, _now: int, message: Message) -> list[Outgoing]:
        return [self.anti_entropy.query_page(message)]

    def _sync_if_different(self, now: int, message: Message) -> list[Outgoing]:
        if not self.anti_entropy.should_sync(now, message):
            return []
        return [self.composer.sync(message.sender.address, message.sender.name)]
