"""Suspicions: how long a member is suspected before it is declared lost."""

from dataclasses import dataclass
from math import log

from pepperhook.membership.local_health import LocalHealth
from pepperhook.membership.members import Member, MemberTable
from pepperhook.membership.settings import ProtocolSettings

# Confirmations by other members with which a suspicion has its shortest duration.
MAX_CONFIRMATIONS = 3


def suspicion_timeout_ns(
    settings: ProtocolSettings, cluster_size: int, local_health_score: int, confirmations: int
) -> int:
    """Return the duration of a suspicion, in nanoseconds (Lifeguard, section IV.B).

    It shrinks with the logarithm of the confirmations: the more members confirm the suspicion, the
    less likely it is that the first accuser itself is at fault.
    """
    scale = max(1.0, log(max(2, cluster_size), 10))
    shortest_ns = int(settings.suspicion_multiplier * scale * settings.probe_period_ns)
    longest_ns = shortest_ns * settings.max_suspicion_multiplier * (1 + local_health_score / 2)
    # In a small cluster fewer members can confirm the suspicion.
    max_confirmations = max(1, min(MAX_CONFIRMATIONS, cluster_size - 2))
    reduction_ns = (longest_ns - shortest_ns) * log(confirmations + 1) / log(max_confirmations + 1)
    return int(max(shortest_ns, longest_ns - reduction_ns))


@dataclass(slots=True)
class Suspicion:
    """The accusers of a suspected member, and the time at which it is declared lost."""

    deadline_ns: int
    accusers: set[str]


class SuspicionTimers:
    """All current suspicions, by the suspect's name."""

    def __init__(
        self, settings: ProtocolSettings, table: MemberTable, local_health: LocalHealth
    ) -> None:
        """Derive timeouts from the cluster size of ``table`` and from ``local_health``."""
        self._settings = settings
        self._table = table
        self._local_health = local_health
        self.suspicions: dict[str, Suspicion] = {}

    def __contains__(self, name: str) -> bool:
        """Return whether a member is suspected."""
        return name in self.suspicions

    def accusers_of(self, name: str) -> list[str]:
        """Return the accusers of a member, sorted; none if it is not suspected."""
        suspicion = self.suspicions.get(name)
        return sorted(suspicion.accusers) if suspicion is not None else []

    def start(self, name: str, accuser: str, now: int) -> None:
        """Start a suspicion, or restart it."""
        self.suspicions[name] = Suspicion(now + self._timeout_ns(0), {accuser})

    def cancel(self, name: str) -> None:
        """End a suspicion, if there is one."""
        self.suspicions.pop(name, None)

    def confirm(self, member: Member, accuser: str, now: int) -> bool:
        """Add an accuser, which shortens the suspicion; return whether it was added."""
        suspicion = self.suspicions[member.record.name]
        # Counting the new accuser; the first accuser is not a confirmation.
        confirmations = len(suspicion.accusers)
        if accuser in suspicion.accusers or confirmations > MAX_CONFIRMATIONS:
            return False
        suspicion.accusers.add(accuser)
        confirmed_deadline = member.state_since_ns + self._timeout_ns(confirmations)
        suspicion.deadline_ns = min(suspicion.deadline_ns, max(now, confirmed_deadline))
        return True

    def postpone_all(self, by_ns: int) -> None:
        """Extend all suspicions by a time in which no refutation could be received."""
        for suspicion in self.suspicions.values():
            suspicion.deadline_ns += by_ns

    def expired(self, now: int) -> list[str]:
        """Return the names of members whose suspicion has timed out."""
        return [name for name, suspicion in self.suspicions.items() if suspicion.deadline_ns <= now]

    def deadlines(self) -> list[int]:
        """Return the times at which suspicions time out."""
        return [suspicion.deadline_ns for suspicion in self.suspicions.values()]

    def _timeout_ns(self, confirmations: int) -> int:
        return suspicion_timeout_ns(
            self._settings, self._table.cluster_size, self._local_health.score, confirmations
        )
