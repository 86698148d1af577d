"""Idle clients that occupy a balancer's file descriptors."""

import socket
from collections.abc import Iterable
from contextlib import suppress

CONNECT_TIMEOUT_S = 0.2
# Ends within a header, without the blank line that completes the head.
PARTIAL_REQUEST = b"GET /look HTTP/1.1\r\nHost: soak\r\nX-Request-ID: half"


class IdleClients:
    """Connections without complete requests; some carry the start of a request and then stall."""

    def __init__(self) -> None:
        """Start without connections."""
        self.sockets: list[socket.socket] = []

    def connect(self, address: tuple[str, int], clients: int, partial: int) -> None:
        """Open ``clients`` connections; send a partial request on the first ``partial`` of them."""
        for number in range(clients):
            with suppress(OSError):
                connection = socket.create_connection(address, CONNECT_TIMEOUT_S)
                self.sockets.append(connection)
                if number < partial:
                    connection.sendall(PARTIAL_REQUEST)

    def close(self) -> None:
        """Close all connections; the balancer may have closed some of them already."""
        close_all(self.sockets)
        self.sockets.clear()


def close_all(sockets: Iterable[socket.socket]) -> None:
    """Close sockets, ignoring errors."""
    for connection in sockets:
        with suppress(OSError):
            connection.close()
