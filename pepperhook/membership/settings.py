"""Settings of the membership protocol. Times are integer nanoseconds of a monotonic clock."""

from msgspec import Struct

NS_PER_MS = 10**6
NS_PER_S = 10**9


class ProtocolSettings(Struct, frozen=True):
    """Periods, timeouts and retransmissions of the failure detector.

    With the defaults, a failed member among twenty is suspected within about two seconds.
    """

    probe_period_ns: int = NS_PER_S
    # Time for a direct answer, after which other members are asked to probe.
    probe_timeout_ns: int = 300 * NS_PER_MS
    # Number of members asked to probe on this member's behalf (k in the SWIM paper).
    indirect_probes: int = 3
    # Shortest suspicion in probe periods, per log10 of the cluster size (which counts at least 1).
    suspicion_multiplier: float = 3.0
    # Longest suspicion by a member in good local health, as a multiple of the shortest.
    max_suspicion_multiplier: float = 3.0
    # Number of times an update is sent, per log2 of the cluster size (lambda in the SWIM paper).
    retransmit_multiplier: float = 3.0
    # Between attempts to reach lost members and absent seeds.
    rejoin_interval_ns: int = 5 * NS_PER_S
    # How long members that are lost or have left stay in the table.
    forget_after_ns: int = 3600 * NS_PER_S


DEFAULT_SETTINGS = ProtocolSettings()
