"""Measures how long a connection has waited in the kernel's backlog before it was accepted.

The kernel accepts connections in the order in which they came, and tells how many wait. So each
one has waited since the first time at which enough had come for it to be among them.
"""

from __future__ import annotations

import select
import socket
import struct
from collections import deque

TCP_LISTEN = 10
# struct tcp_info of a listening socket: the state, and at bytes 24 and 28 how many connections
# wait (tcpi_unacked) and how many may wait (tcpi_sacked).
TCP_INFO_BYTES = 32
STATE_OFFSET = 0
WAITING_OFFSET = 24


def waiting_connections(listener: socket.socket, backlog: int) -> int | None:
    """Return how many connections wait to be accepted; None if the system does not tell."""
    try:
        info = listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return None
    if len(info) < TCP_INFO_BYTES or info[STATE_OFFSET] != TCP_LISTEN:
        return None
    waiting, most = struct.unpack_from("=II", info, WAITING_OFFSET)
    return int(waiting) if most == backlog else None


def has_received(connection: socket.socket) -> bool:
    """Whether the client has sent something, or has closed its sending side."""
    poll = select.poll()
    poll.register(connection, select.POLLIN)
    return bool(poll.poll(0))


class BacklogWait:
    """When how many connections had come, of those that are accepted next."""

    def __init__(self) -> None:
        """Start without observations."""
        self.accepted = 0
        # The first time at which so many were seen to have come.
        self._arrivals: deque[tuple[float, int]] = deque()

    def observe(self, now: float, waiting: int) -> None:
        """Record that so many connections wait."""
        arrived, since = self.accepted + waiting, now
        # It may have become less: the kernel drops some that were reset.
        while self._arrivals and self._arrivals[-1][1] >= arrived:
            since, _ = self._arrivals.pop()
        self._arrivals.append((since, arrived))

    def accept(self, now: float) -> float:
        """Count an accepted connection; return for how long it has been seen to wait.

        It may have come earlier, while nobody looked: the event loop was late, which is charged on
        its own, or nothing was waiting until it came, which wakes the event loop.
        """
        self.accepted += 1
        arrivals = self._arrivals
        while arrivals and arrivals[0][1] < self.accepted:
            arrivals.popleft()
        return now - arrivals[0][0] if arrivals else 0.0
