"""The control service: connects its components and runs the periodic work.

The decisions are made elsewhere: ``version_catalog`` and ``safety_checks`` judge documents,
``rollout`` chooses the version that each member runs, ``member_registry`` tracks the members.
"""

import asyncio
import logging
import time
from collections.abc import Callable

from msgspec import UNSET

from pepperhook.control_plane.auth import RequestDeniedError
from pepperhook.control_plane.history import HistoryStore, StoreFullError
from pepperhook.control_plane.member_registry import (
    DEFAULT_LEASE_NS,
    MAX_REPORTED_UPSTREAMS,
    NS_PER_S,
    Member,
    MemberRegistry,
    MemberState,
    MemberStatus,
)
from pepperhook.control_plane.messages import Heartbeat, HeartbeatReply
from pepperhook.control_plane.rollout_driver import RolloutDriver
from pepperhook.control_plane.version_catalog import VersionCatalog
from pepperhook.control_plane.version_streams import ServiceCounters, VersionStreams
from pepperhook.key_ring import KeyRing
from pepperhook.server.supervision import Supervisor

TICK_INTERVAL_S = 0.25
SAVE_MEMBERS_INTERVAL_S = 5.0
NS_PER_MS = 10**6
FOREIGN_VERSION_REASON = "runs a version that is not in this store; propose again"


class ControlService:
    """The state of the control service; ``http_api`` is its HTTP interface."""

    def __init__(
        self,
        store: HistoryStore,
        keys: KeyRing,
        *,
        log: logging.Logger | None = None,
        lease_ns: int | None = None,
        clock: Callable[[], float] = time.time,
        monotonic_ns: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        """Continue from the stored state; ``clock`` gives Unix seconds."""
        self.store = store
        self.keys = keys
        self.clock = clock
        self.counters = ServiceCounters()
        self._monotonic_ns = monotonic_ns
        self._log = log or logging.getLogger("pepperhook.control_plane")
        self._task: asyncio.Task[None] | None = None
        self.background_faults = 0  # unexpected errors that ended the periodic work
        self._saved_names: list[str] = []
        self._saved_at = 0.0

        self.registry = MemberRegistry(lease_ns or DEFAULT_LEASE_NS)
        self._restore_members()
        self.catalog = VersionCatalog(
            store, keys, clock, self.registry.upstreams, self.registry.highest_reported_version
        )
        for member in self.registry.members.values():
            self._note_running_version(member, member.running_version, version_hash="")
        self.streams = VersionStreams(
            store,
            self.registry,
            self.desired_version,
            self.catalog.has_version,
            self.counters,
            clock,
        )
        self.rollouts = RolloutDriver(
            store=store,
            catalog=self.catalog,
            registry=self.registry,
            notify=self.streams.changes.notify,
            clock=clock,
            log=self._log,
        )

    def _restore_members(self) -> None:
        """Renew the leases of members that were present when the service stopped.

        Otherwise a rollout step would admit its share of only the members that reconnected first.
        """
        stored = self.store.members()
        newest_ms = max((status.last_heard_ms for status in stored.values()), default=0)
        present_since_ms = newest_ms - self.registry.lease_ns // NS_PER_MS
        for name, status in stored.items():
            if status.last_heard_ms < present_since_ms:
                continue
            member = self.registry.renew_lease(
                self._monotonic_ns(), name, status.tier, status.address
            )
            if member is not None:
                member.running_version = status.running_version
                member.state = status.state
                member.reason = status.reason

    # Periodic work.

    def start(self) -> None:
        """Start the periodic work; needs a running event loop."""
        self._task = Supervisor(self._report_fault).start("control service", self._run)

    def _report_fault(self, task: str, error: BaseException) -> None:
        self.background_faults += 1
        self._log.error("%s: unexpected error: %s: %s", task, type(error).__name__, error)

    async def stop(self) -> None:
        """Stop the periodic work and close the store."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self.store.close()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            try:
                self.tick()
            except StoreFullError as error:
                self._log.error("cannot write the store: %s", error)

    def tick(self) -> None:
        """Expire leases, advance the rollout and store the members. Raises StoreFullError."""
        if self.registry.expire(self._monotonic_ns()):
            self.streams.changes.notify()
        self.rollouts.advance()
        names = self.registry.names()
        if self.clock() - self._saved_at > SAVE_MEMBERS_INTERVAL_S or names != self._saved_names:
            self._saved_at = self.clock()
            self._saved_names = names
            self.store.save_members(self.member_statuses())

    # Members.

    def desired_version(self, name: str) -> int:
        """Return the number of the version that a member is to run."""
        return self.rollouts.desired_version(name)

    def connect(self, name: str, tier: int) -> None:
        """Renew a member's lease when it opens a stream."""
        if self.registry.renew_lease(self._monotonic_ns(), name, tier) is not None:
            self.streams.changes.notify()

    def receive_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """Process a member's heartbeat. Raises RequestDeniedError where no lease is granted."""
        member = self.registry.renew_lease(
            self._monotonic_ns(), heartbeat.name, heartbeat.tier, heartbeat.address
        )
        if member is None:
            raise RequestDeniedError("too many beats, or too many members")
        self.counters.heartbeats += 1
        self._count_requests(member, heartbeat)
        self._note_running_version(member, heartbeat.running_version, heartbeat.running_hash)
        if heartbeat.upstreams is not UNSET:
            member.upstreams = tuple(heartbeat.upstreams[:MAX_REPORTED_UPSTREAMS])
            member.upstreams_checksum = heartbeat.upstreams_checksum
        self._update_state(member, heartbeat)
        return HeartbeatReply(
            desired_version=self.desired_version(member.name),
            upstreams_checksum=member.upstreams_checksum,
        )

    def _count_requests(self, member: Member, heartbeat: Heartbeat) -> None:
        """Count requests since the last heartbeat of the same process and version."""
        if (
            member.running_version == heartbeat.running_version
            and heartbeat.succeeded >= member.succeeded
            and heartbeat.failed >= member.failed
        ):
            self.rollouts.count_requests(
                member.running_version,
                heartbeat.succeeded - member.succeeded,
                heartbeat.failed - member.failed,
            )
        member.succeeded = heartbeat.succeeded
        member.failed = heartbeat.failed

    def _note_running_version(self, member: Member, number: int, version_hash: str) -> None:
        member.running_version = number
        is_foreign = number > 0 and not self.catalog.has_version(number, version_hash)
        if is_foreign and not member.runs_foreign_version:
            self._log.warning(
                "member %s runs version %d, which is not in this store", member.name, number
            )
        member.runs_foreign_version = is_foreign

    def _update_state(self, member: Member, heartbeat: Heartbeat) -> None:
        rejection = heartbeat.rejection
        member.rejected_version = rejection.version if rejection is not None else 0
        if rejection is None:
            applied = (
                member.running_version == self.desired_version(member.name)
                and not member.runs_foreign_version
            )
            member.state = MemberState.APPLIED if applied else MemberState.PENDING
            member.reason = ""
            return
        if member.state != MemberState.REJECTED or member.reason != rejection.reason:
            self._log.warning(
                "member %s rejected version %d: %s",
                member.name,
                rejection.version,
                rejection.reason,
            )
        member.state = MemberState.REJECTED
        member.reason = rejection.reason
        self.rollouts.record_rejection(rejection.version, member.name, rejection.reason)

    def member_statuses(self) -> dict[str, MemberStatus]:
        """Return the status of each member that is present."""
        return {name: self._status(member) for name, member in self.registry.members.items()}

    def gone_members(self) -> dict[str, MemberStatus]:
        """Return the last status of members that were known and are not present."""
        gone = {
            name: status
            for name, status in self.store.members().items()
            if name not in self.registry.members
        }
        for status in gone.values():
            status.state = MemberState.GONE
        return gone

    def _status(self, member: Member) -> MemberStatus:
        silent_s = (self._monotonic_ns() - member.last_heard_ns) / NS_PER_S
        return MemberStatus(
            name=member.name,
            tier=member.tier,
            address=member.address,
            running_version=member.running_version,
            sent_version=member.sent_version,
            desired_version=self.desired_version(member.name),
            state=member.state,
            reason=FOREIGN_VERSION_REASON if member.runs_foreign_version else member.reason,
            succeeded=member.succeeded,
            failed=member.failed,
            last_heard_ms=int((self.clock() - silent_s) * 1000),
        )
