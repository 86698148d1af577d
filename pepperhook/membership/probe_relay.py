"""Probes on behalf of other members (SWIM's indirect probes, at the helper)."""

from dataclasses import dataclass

from pepperhook.membership.composer import MessageComposer
from pepperhook.membership.members import MemberTable
from pepperhook.membership.messages import MemberRecord, Message, MessageType, Outgoing
from pepperhook.membership.seeded_random import SeededRandom
from pepperhook.membership.settings import ProtocolSettings

MAX_RELAYED_PROBES = 64  # at a time; further PING_REQ messages are dropped


@dataclass(slots=True)
class RelayedProbe:
    """A probe of ``target`` on behalf of ``requester``."""

    target: str
    sequence: int  # of this helper's ping
    timeout_at_ns: int
    requester: MemberRecord
    requester_sequence: int  # of the requester's PING_REQ, repeated in the answer to it


class ProbeRelay:
    """Probes members on request, and reports to the requester whether they answered."""

    def __init__(
        self,
        settings: ProtocolSettings,
        table: MemberTable,
        random: SeededRandom,
        composer: MessageComposer,
    ) -> None:
        """Start without any probe in progress."""
        self._settings = settings
        self._table = table
        self._random = random
        self._composer = composer
        self.probes: list[RelayedProbe] = []

    def begin(self, now: int, request: Message) -> list[Outgoing]:
        """Probe the target of a PING_REQ."""
        target = request.payload
        if not isinstance(target, MemberRecord) or target.name == self._table.local.name:
            return []
        if len(self.probes) >= MAX_RELAYED_PROBES:
            return []
        if target.name in self._table.others:
            target = self._table.record_of(target.name)
        probe = RelayedProbe(
            target=target.name,
            sequence=self._random.next_sequence(),
            # The ACK or NACK must reach the requester within the rest of its probe period.
            timeout_at_ns=now + self._settings.probe_timeout_ns,
            requester=request.sender,
            requester_sequence=request.sequence,
        )
        self.probes.append(probe)
        return [self._composer.ping(target, probe.sequence)]

    def relay_ack(self, ack: Message) -> list[Outgoing]:
        """Relay an answer to the members that requested the probe."""
        answered = [
            probe
            for probe in self.probes
            if probe.sequence == ack.sequence and probe.target == ack.sender.name
        ]
        return [self._finish(probe, MessageType.ACK, probe.target) for probe in answered]

    def expire(self, now: int) -> list[Outgoing]:
        """Send a NACK to the requester of each probe that timed out."""
        timed_out = [probe for probe in self.probes if probe.timeout_at_ns <= now]
        return [self._finish(probe, MessageType.NACK) for probe in timed_out]

    def drop_all(self) -> None:
        """Drop all probes without sending an ACK or NACK."""
        self.probes.clear()

    def deadlines(self) -> list[int]:
        """Return the times at which probes time out."""
        return [probe.timeout_at_ns for probe in self.probes]

    def _finish(
        self, probe: RelayedProbe, answer: MessageType, target: str | None = None
    ) -> Outgoing:
        """Remove a probe, and return the answer to its requester; an ACK names the target."""
        self.probes.remove(probe)
        return self._composer.to_member(answer, probe.requester_sequence, probe.requester, target)
