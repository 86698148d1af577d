"""The failure detector of one member, without I/O.

Times are integer nanoseconds of a monotonic clock. The calls return the messages to send.

SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol", DSN 2002): each period one member is probed. If it does not answer, other
members are asked to probe it. If it does not answer them either, it is suspected, and declared lost
unless it refutes the suspicion with a higher incarnation. Updates are piggybacked on probes and
answers.

From Lifeguard (Dadgar, Phillips, Currey, 2017): the local health multiplier, negative answers of
helpers, and suspicions that shorten as more members confirm them. Poor local health makes probes
rarer, but not dissemination: in each period without a probe a member still sends its pending
updates, and a refutation is sent at once, since the member that is suspected is often the one whose
health is poor.

Beyond both papers: a process that was itself stalled drops its open probes, as their timeouts
passed while it did not run; records in which two tables differ are found by digests and exchanged
(``anti_entropy``); and lost members are contacted at intervals, because the parts of a split
network would otherwise exchange no messages after the split ends.
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

# If a tick is late by more probe periods than this, the process must have been stalled.
STALL_PERIODS = 1.5
MAX_JOIN_CONTACTS = 8  # seeds or lost members contacted at once while nobody is present
MAX_REFUTATION_RECIPIENTS = 64  # to which a refutation is sent directly


@dataclass(slots=True)
class Probe:
    """The probe of the current period."""

    member: Member
    sequence: int
    timeout_at_ns: int  # when other members are asked to probe
    helpers: list[str] | None = None  # members asked to probe; None: not asked yet
    nacks: int = 0  # helpers that reported no answer either


class SwimProtocol:
    """The protocol state of the local member."""

    def __init__(
        self,
        local: MemberRecord,
        seeds: list[Address],
        random_seed: int,
        now: int,
        settings: ProtocolSettings = DEFAULT_SETTINGS,
    ) -> None:
        """Start with the local member alone, which finds others through ``seeds``."""
        self.settings = settings
        self.seeds = [address for address in seeds if address != local.address]
        self.random = SeededRandom(random_seed)
        self.local_health = LocalHealth()
        self.counters = ProtocolCounters()
        self.table = MemberTable(local, self.random)
        self.view = MembershipView(settings, self.table, self.local_health, self.counters, now)
        self.view.listeners.append(self._cancel_probe_if_absent)
        self.anti_entropy = AntiEntropy(
            settings, self.table, self.view.dissemination, self.random, self.counters
        )
        self.composer = MessageComposer(self.table, self.view.dissemination)
        self.relay = ProbeRelay(settings, self.table, self.random, self.composer)
        self.probe: Probe | None = None
        # A random point of the first period, so that the members do not all probe at the same time.
        self.next_period_ns = now + self.random.below(settings.probe_period_ns)
        self.next_dissemination_ns = self.next_period_ns + settings.probe_period_ns
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
        """Return the time at which ``tick`` must be called."""
        if len(self.view.dissemination) > 0:
            return min(self._next_timeout(), self.next_dissemination_ns)
        return self._next_timeout()

    def _next_timeout(self) -> int:
        deadlines = [self.next_period_ns]
        deadlines += self.relay.deadlines()
        deadlines += self.view.suspicions.deadlines()
        if self.probe is not None and self.probe.helpers is None:
            deadlines.append(self.probe.timeout_at_ns)
        return min(deadlines)

    def tick(self, now: int) -> list[Outgoing]:
        """Process all timeouts that are due, and begin a probe period if it is time."""
        late_ns = now - self._next_timeout()
        if late_ns > STALL_PERIODS * self.settings.probe_period_ns:
            self.recover_from_stall(late_ns)
        outgoing = self.relay.expire(now)
        outgoing += self._probe_indirectly(now)
        self.view.expire_suspicions(now)
        if self.next_period_ns <= now:
            outgoing += self._begin_period(now)
        if self.next_dissemination_ns <= now:
            outgoing += self._disseminate(now)
        return outgoing

    def _disseminate(self, now: int) -> list[Outgoing]:
        """Send the pending updates to one member, in a period in which no probe carries them."""
        self.next_dissemination_ns = now + self.settings.probe_period_ns
        names = self.random.sample(self.table.probe_order.names, 1)
        if len(self.view.dissemination) == 0:
            return []
        return [self._update_message(self.table.record_of(name)) for name in names]

    def _update_message(self, recipient: MemberRecord) -> Outgoing:
        """Return a message with pending updates that gets no answer.

        An ACK of sequence 0 without a digest answers no probe.
        """
        return self.composer.to_member(MessageType.ACK, 0, recipient)

    def recover_from_stall(self, stalled_ns: int) -> None:
        """Exclude the time in which this process did not run from its timeouts.

        Otherwise it would suspect the member that it probed last, and declare members lost whose
        refutations are still unread in its socket.
        """
        self.counters.stalls += 1
        self.probe = None
        self.relay.drop_all()
        self.local_health.set_worst()
        self.view.suspicions.postpone_all(stalled_ns)

    def leave(self) -> list[Outgoing]:
        """Announce this member's departure to some members, which disseminate it."""
        self.view.leave()
        return self._announce_local(2 * self.settings.indirect_probes)

    def _announce_local(self, max_recipients: int) -> list[Outgoing]:
        """Send the local member's record, and nothing else, to randomly chosen members."""
        names = self.random.sample(self.table.probe_order.names, max_recipients)
        local = self.table.local
        return [
            Outgoing(
                self.table.record_of(name).address,
                Message(MessageType.ACK, 0, local, name, None, [local]),
            )
            for name in names
        ]

    # This member's own probes.

    def _begin_period(self, now: int) -> list[Outgoing]:
        outgoing = [] if self.probe is None else self._probe_failed(now, self.probe)
        # Poor local health lengthens the period, and the probe timeout too.
        period_ns = self.settings.probe_period_ns
        # After a delay, the next period begins at least half a period from now.
        period_start_ns = max(self.next_period_ns, now - period_ns // 2)
        self.next_period_ns = period_start_ns + period_ns * self.local_health.multiplier
        self.next_dissemination_ns = period_start_ns + period_ns
        return outgoing + self._probe_next(now) + self._rejoin(now)

    def _probe_failed(self, now: int, probe: Probe) -> list[Outgoing]:
        """Suspect a member of which no answer arrived in the whole period, and notify it.

        It can refute the suspicion only when it has heard of it (Lifeguard's buddy system).

        Helpers that did not even send a NACK, or the lack of any helper, are evidence that this
        member itself is slow (Lifeguard).
        """
        self.local_health.degrade(len(probe.helpers) - probe.nacks if probe.helpers else 1)
        self.view.suspect(now, probe.member, self.table.local.name)
        return [self._update_message(probe.member.record)]

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
        """Ask other members to probe one that has not answered in time."""
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

    def _cancel_probe_if_absent(self, _previous: MemberRecord, current: MemberRecord) -> None:
        """Cancel the probe of a member that is no longer present; a listener of the view."""
        if self.probe is None or current.is_present:
            return
        if self.probe.member.record.name == current.name:
            self.probe = None

    def add_seed(self, address: Address) -> None:
        """Add an address at which to find other members."""
        if address != self.table.local.address and address not in self.seeds:
            self.seeds.append(address)

    def _rejoin(self, now: int) -> list[Outgoing]:
        """Request a comparison of tables from a lost member or a seed, or from several if alone.

        This is how members join, and how the parts of a split network merge after the split.
        """
        if now - self._last_rejoin_ns < self.settings.rejoin_interval_ns:
            return []
        self._last_rejoin_ns = now
        self.view.forget_absent(now)
        lost = self.table.lost_addresses()
        member_addresses = self.table.present_addresses().union(lost)
        candidates = lost + [address for address in self.seeds if address not in member_addresses]
        if not candidates or self.view.leaving:
            return []
        if len(self.table.probe_order) > 0:
            candidates = [candidates[self.random.below(len(candidates))]]
        return [self.composer.sync(address) for address in candidates[:MAX_JOIN_CONTACTS]]

    # Messages received.

    def receive(self, now: int, message: Message) -> list[Outgoing]:
        """Process an authenticated message; return answers if it is addressed to this member."""
        sender = message.sender
        local = self.table.local
        if sender.name == local.name:
            # Another process uses this member's name, or the message is this member's own.
            self.counters.name_conflicts += sender.address != local.address
            return []
        refuted = self.counters.refuted
        self._merge_updates(now, message)
        if message.type != MessageType.QUERY:
            # The sender of a query is an operator's tool, not a member.
            self.view.merge(now, sender, sender.name)
        outgoing = []
        if self.counters.refuted > refuted:
            outgoing = self._announce_local(MAX_REFUTATION_RECIPIENTS)
        if message.target in ("", local.name):
            outgoing += self._handlers[message.type](now, message)
        return outgoing

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
        if self.probe is not None and self._is_answer(message, self.probe):
            self.probe = None
            self.local_health.improve()
        return self.relay.relay_ack(message) + self._sync_if_different(now, message)

    @staticmethod
    def _is_answer(ack: Message, probe: Probe) -> bool:
        """Return whether an ACK answers the probe, either directly or relayed by a helper."""
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
        """Return the requested records if the page carries a digest; other pages get no answer."""
        return self.anti_entropy.pages(message, request_records=False)

    def _on_query(self, _now: int, message: Message) -> list[Outgoing]:
        return [self.anti_entropy.query_page(message)]

    def _sync_if_different(self, now: int, message: Message) -> list[Outgoing]:
        if not self.anti_entropy.should_sync(now, message):
            return []
        return [self.composer.sync(message.sender.address, message.sender.name)]
