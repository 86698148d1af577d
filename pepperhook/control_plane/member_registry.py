"""Tracks the members of the control plane by leases, which each stream and heartbeat renews.

Logic without I/O. A member whose lease expires is removed. Times are nanoseconds of a monotonic
clock. Balancers receive a view: the names of a tier's members, with an epoch that increases with
each change.
"""

from enum import StrEnum

from msgspec import Struct, field

NS_PER_S = 10**9
DEFAULT_LEASE_NS = 6 * NS_PER_S
MAX_HEARTBEATS_PER_S = 5  # per member; further ones are ignored
MAX_MEMBERS = 5000
MAX_REPORTED_UPSTREAMS = 2000  # stored per member


class MemberState(StrEnum):
    """Whether a member runs the version that it is to run."""

    PENDING = "joining"  # it does not run that version yet
    APPLIED = "applied"
    REJECTED = "refused"
    GONE = "gone"  # its lease expired


class Member(Struct, kw_only=True):
    """One member with an unexpired lease."""

    name: str
    tier: int
    lease_until_ns: int
    last_heard_ns: int
    running_version: int = 0  # as it reported
    rejected_version: int = 0  # as it reported; 0: none
    # Whether the store does not have the version that it runs, as after the loss of the store.
    runs_foreign_version: bool = False
    sent_version: int = 0  # last version sent to it
    state: MemberState = MemberState.PENDING
    reason: str = ""  # of a rejection
    succeeded: int = 0  # requests since its start, as it reported
    failed: int = 0
    upstreams: tuple[str, ...] = ()  # those that are ready in its endpoint list
    # Reported with ``upstreams``; the member sends them again if its own checksum differs.
    upstreams_checksum: int = 0
    address: str = ""
    recent_heartbeats: float = 0.0  # number, decaying to 0 within a second; for the rate limit


class MemberStatus(Struct, kw_only=True):
    """What the service reports and stores about a member."""

    name: str
    tier: int
    address: str
    running_version: int = field(name="running")
    sent_version: int = field(name="told")
    desired_version: int = field(name="wanted")
    state: MemberState
    reason: str = field(name="why")
    succeeded: int = field(name="good")
    failed: int = field(name="bad")
    last_heard_ms: int = field(name="heard_ms")  # Unix time


class MemberRegistry:
    """Grants and expires leases, and counts the changes of each tier's members."""

    def __init__(self, lease_ns: int = DEFAULT_LEASE_NS) -> None:
        """Begin without members."""
        self.lease_ns = lease_ns
        self.members: dict[str, Member] = {}
        self.epochs: dict[int, int] = {}  # by tier

    def renew_lease(self, now: int, name: str, tier: int, address: str = "") -> Member | None:
        """Renew or grant a lease; return None above the heartbeat limit or the member limit."""
        member = self.members.get(name) or self._add(now, name, tier)
        if member is None:
            return None
        elapsed_s = (now - member.last_heard_ns) / NS_PER_S
        member.recent_heartbeats = member.recent_heartbeats * max(0.0, 1 - elapsed_s) + 1
        member.last_heard_ns = now
        if member.recent_heartbeats > MAX_HEARTBEATS_PER_S:
            return None
        if member.tier != tier:
            self._advance_epoch(member.tier)
            self._advance_epoch(tier)
            member.tier = tier
        member.lease_until_ns = now + self.lease_ns
        member.address = address or member.address
        return member

    def _add(self, now: int, name: str, tier: int) -> Member | None:
        """Add a member, whose lease the caller grants; return None if there are too many."""
        if len(self.members) >= MAX_MEMBERS:
            return None
        member = Member(name=name, tier=tier, lease_until_ns=0, last_heard_ns=now)
        self.members[name] = member
        self._advance_epoch(tier)
        return member

    def expire(self, now: int) -> list[Member]:
        """Remove and return the members whose lease has expired."""
        expired = [member for member in self.members.values() if member.lease_until_ns <= now]
        for member in expired:
            del self.members[member.name]
            self._advance_epoch(member.tier)
        return expired

    def _advance_epoch(self, tier: int) -> None:
        self.epochs[tier] = self.epoch(tier) + 1

    def epoch(self, tier: int) -> int:
        """Return the epoch of a tier's view; 0 if it never had a member."""
        return self.epochs.get(tier, 0)

    def names(self, tier: int | None = None) -> list[str]:
        """Return the sorted names of the members of a tier, or of all."""
        return sorted(
            name for name, member in self.members.items() if tier is None or member.tier == tier
        )

    def running_versions(self) -> dict[str, int]:
        """Return the version that each member reports; 0: none that the store has."""
        return {name: self.running_version(name) for name in self.members}

    def running_version(self, name: str) -> int:
        """Return the version that a member reports; 0: none, or one that the store lacks."""
        member = self.members.get(name)
        return 0 if member is None or member.runs_foreign_version else member.running_version

    def foreign_versions(self) -> dict[str, int]:
        """Return the versions that members run and the store does not have, by member."""
        return {
            name: member.running_version
            for name, member in sorted(self.members.items())
            if member.runs_foreign_version
        }

    def highest_reported_version(self) -> int:
        """Return the highest version that any member reports to run or to have rejected."""
        return max(
            (
                max(member.running_version, member.rejected_version)
                for member in self.members.values()
            ),
            default=0,
        )

    def upstreams(self) -> frozenset[str]:
        """Return the names of all upstreams that any member reports."""
        return frozenset(name for member in self.members.values() for name in member.upstreams)
