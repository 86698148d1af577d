"""Idle clients that take a balancer's descriptors."""

import socket
from collections.abc import Iterable
from contextlib import suppress

CONNECT_S = 0.2
HALF_MESSAGE = b"GET /look HTTP/1.1\r\nHost: soak\r\nX-Request-ID: half"


class IdleClients:
    """Connections on which nothing is asked; on some a message begins and stops."""

    def __init__(self) -> None:
        """Begin without any."""
        self.sockets: list[socket.socket] = []

    def connect(self, address: tuple[str, int], clients: int, begun: int) -> None:
        """Open connections, on the first ``begun`` of which a message begins."""
        for number in range(clients):
            with suppress(OSError):
                made = socket.create_connection(address, CONNECT_S)
                self.sockets.append(made)
                if number < begun:
                    made.sendall(HALF_MESSAGE)

    def close(self) -> None:
        """Close all, also those that the other side has closed."""
        close_all(self.sockets)
        self.sockets.clear()


def close_all(sockets: Iterable[socket.socket]) -> None:
    """Close sockets whatever their state."""
    for one in sockets:
        with suppress(OSError):
            one.close()
