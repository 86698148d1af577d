"""Changes to the local member's view: merged updates, suspicions, refutations and departure."""

from collections.abc import Callable

import msgspec

from pepperhook.membership.counters import ProtocolCounters
from pepperhook.membership.dissemination import Dissemination
from pepperhook.membership.local_health import LocalHealth
from pepperhook.membership.members import Member, MemberTable
from pepperhook.membership.messages import MemberRecord, MemberState
from pepperhook.membership.settings import ProtocolSettings
from pepperhook.membership.suspicion import SuspicionTimers

# Called with a member's previous and current record after each change.
ChangeListener = Callable[[MemberRecord, MemberRecord], None]


class MembershipView:
    """The member table with its suspicions and pending updates, kept consistent by each change."""

    def __init__(
        self,
        settings: ProtocolSettings,
        table: MemberTable,
        local_health: LocalHealth,
        counters: ProtocolCounters,
        now: int,
    ) -> None:
        """Start to disseminate the local member's own record."""
        self._settings = settings
        self.table = table
        self.local_health = local_health
        self.counters = counters
        self.suspicions = SuspicionTimers(settings, table, local_health)
        self.dissemination = Dissemination(settings, table, self.suspicions)
        self.dissemination.enqueue(table.local.name)
        self.listeners: list[ChangeListener] = []
        self.leaving = False
        self._last_name_override_ns = now - settings.rejoin_interval_ns

    def merge(self, now: int, update: MemberRecord, accuser: str) -> None:
        """Merge an update reported by ``accuser``, whose name is used only for a suspicion."""
        if update.name == self.table.local.name:
            self._merge_about_local(now, update)
            return
        member = self.table.others.get(update.name)
        if member is None:
            # An unknown member that is lost or has left is not added: members that have dropped an
            # old record would otherwise get it back from others for ever.
            if update.is_present and not self.table.is_full:
                self.table.add(update, now)
                self._apply(now, update, accuser)
            return
        known = member.record
        both_suspect = update.state == known.state == MemberState.SUSPECT
        if both_suspect and update.incarnation == known.incarnation:
            self._confirm(now, member, accuser)
        elif update.overrides(known):
            self._apply(now, update, accuser)

    def suspect(self, now: int, member: Member, accuser: str) -> None:
        """Suspect a present member, or confirm an existing suspicion."""
        if member.record.state == MemberState.SUSPECT:
            self._confirm(now, member, accuser)
            return
        self.counters.suspected += 1
        suspected = msgspec.structs.replace(member.record, state=MemberState.SUSPECT)
        self._apply(now, suspected, accuser)

    def expire_suspicions(self, now: int) -> None:
        """Declare the members lost whose suspicion has timed out."""
        for name in self.suspicions.expired(now):
            self.counters.lost += 1
            suspected = self.table.others[name].record
            lost = msgspec.structs.replace(suspected, state=MemberState.LOST)
            self._apply(now, lost, self.table.local.name)

    def forget_absent(self, now: int) -> None:
        """Drop members that were lost or departed more than ``forget_after_ns`` ago."""
        for name in self.table.forget_absent(now, self._settings.forget_after_ns):
            self.dissemination.discard(name)

    def announce_config_version(self, version: int) -> None:
        """Disseminate the configuration version that this member runs, if it has changed."""
        if version != self.table.local.config_version:
            self._update_local(config_version=version)

    def leave(self) -> None:
        """Mark the local member as departed; it refutes no updates from now on."""
        self._update_local(state=MemberState.LEFT)
        self.leaving = True
        self.table.version += 1

    def _merge_about_local(self, now: int, update: MemberRecord) -> None:
        """Refute a wrong update about the local member with a higher incarnation.

        It may be a suspicion, a record of an earlier run of the process whose clock was ahead, or a
        record of another process of this name.
        """
        local = self.table.local
        if update.incarnation < local.incarnation or self.leaving or update == local:
            return
        is_alive = update.state == MemberState.ALIVE
        if is_alive and update.incarnation == local.incarnation:
            return
        if is_alive and update.address != local.address and not self._record_name_conflict(now):
            return
        if not is_alive:
            self.counters.refuted += 1
            self.local_health.degrade()
        self._update_local(incarnation=update.incarnation + 1)

    def _record_name_conflict(self, now: int) -> bool:
        """Count a conflict with another process of this name; return whether to override it now.

        Without this limit, the two would override each other as fast as updates spread.
        """
        self.counters.name_conflicts += 1
        if now - self._last_name_override_ns < self._settings.rejoin_interval_ns:
            return False
        self._last_name_override_ns = now
        return True

    def _update_local(self, **changes: int) -> None:
        self.table.update_local(**changes)
        self.dissemination.enqueue(self.table.local.name)

    def _apply(self, now: int, record: MemberRecord, accuser: str) -> None:
        """Replace a member's record with one that overrides it."""
        previous = self.table.others[record.name].record
        self.table.replace(record, now)
        if record.state == MemberState.SUSPECT:
            self.suspicions.start(record.name, accuser, now)
        else:
            self.suspicions.cancel(record.name)
        self.dissemination.enqueue(record.name)
        for listener in self.listeners:
            listener(previous, record)

    def _confirm(self, now: int, member: Member, accuser: str) -> None:
        if self.suspicions.confirm(member, accuser, now):
            self.dissemination.enqueue(member.record.name)
