"""Counters of the membership protocol and of its datagrams, for the log."""

from dataclasses import dataclass


@dataclass(slots=True)
class ProtocolCounters:
    """Events of the protocol since the start of the process."""

    probes: int = 0
    suspected: int = 0  # suspicions that this member started
    lost: int = 0  # members whose suspicion timed out here
    refuted: int = 0  # updates on this member, as suspected or absent, that it refuted
    stalls: int = 0  # ticks so late that this process must have been stalled
    syncs: int = 0  # table comparisons answered
    name_conflicts: int = 0  # messages from, or records of, another process with this member's name


@dataclass(slots=True)
class DatagramCounters:
    """Datagrams since the start of the process."""

    datagrams_in: int = 0
    datagrams_out: int = 0
    bytes_out: int = 0
    rejected: int = 0  # invalid, or from another installation
    rate_limited: int = 0  # dropped unread, as their sender sent too many
    oversized: int = 0  # not sent, as they would not fit in one packet
