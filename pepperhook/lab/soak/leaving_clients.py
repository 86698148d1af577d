"""Clients that send to a balancer just as it begins to drain.

The load generator sends few requests at that moment, and retries those whose keep-alive
connection closed before the balancer read them. So it does not show how a balancer closes
connections. The clients here check each connection.
"""

import socket
import time
from collections.abc import Iterator
from contextlib import suppress

Address = tuple[str, int]
Problem = tuple[str, str]

CONNECTIONS = 20  # keep-alive connections, each with one response before SIGTERM
SPREAD_S = 0.06  # time after SIGTERM over which the second requests are spread
TIMEOUT_S = 1.0
OPEN_AFTER_S = 0.05  # minimum delay after SIGTERM; the balancer still accepts connections then
GOAWAY_WITHIN_S = 0.3  # after the connection was opened
SETTLE_S = 0.05  # time for a reset to arrive
MS_PER_S = 1000
READ_SIZE = 65536
REQUEST = b"GET /_health HTTP/1.1\r\nHost: soak\r\n\r\n"
# RFC 9113: the connection preface (3.4), an empty SETTINGS frame, and the fields of a frame (4.1).
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
EMPTY_SETTINGS = b"\0\0\0\4\0\0\0\0\0"
FRAME_HEADER_BYTES = 9
LENGTH_BYTES = 3
GOAWAY = 7


class KeepAliveClients:
    """HTTP/1.1 keep-alive connections, idle at SIGTERM, that send another request after it."""

    def __init__(self, address: Address) -> None:
        """Open the connections and complete one request on each."""
        self.sockets: list[socket.socket] = []
        for _ in range(CONNECTIONS):
            with suppress(OSError):
                connection = socket.create_connection(address, TIMEOUT_S)
                connection.sendall(REQUEST)
                if connection.recv(READ_SIZE):
                    self.sockets.append(connection)

    def send(self, sigterm_at: float) -> Iterator[Problem]:
        """Send a request on each connection; yield a problem for each failure.

        A response and a clean close are allowed; after a clean close the client may retry. After a
        reset it cannot know whether the balancer processed its request.
        """
        pending = []
        for number, connection in enumerate(self.sockets):
            at = sigterm_at + SPREAD_S * number / CONNECTIONS
            time.sleep(max(0.0, at - time.monotonic()))
            # Send even if the balancer has closed its side: a real request may be in flight then.
            pending.append((connection, at - sigterm_at))
            with suppress(OSError):
                connection.sendall(REQUEST)
        time.sleep(SETTLE_S)
        for connection, planned_after_s in pending:
            problem = _closing_problem(connection)
            if problem:
                yield problem, f"sent {planned_after_s * MS_PER_S:.0f} ms after SIGTERM"

    def close(self) -> None:
        """Close all connections."""
        for connection in self.sockets:
            connection.close()


def _closing_problem(connection: socket.socket) -> str:
    """Return the name of the problem with the end of a connection; empty if there is none."""
    try:
        connection.recv(READ_SIZE)
    except TimeoutError:
        return "no answer on a resting connection"
    except OSError:
        return "reset on a resting connection"
    # A reset that follows an already received FIN does not fail recv() and shows only here.
    if connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return "reset on a resting connection"
    return ""


def open_http2_during_drain(address: Address, sigterm_at: float) -> Iterator[Problem]:
    """Open an HTTP/2 connection to a draining balancer; yield a problem if no GOAWAY arrives.

    A reset or a timeout before the GOAWAY counts as its absence.
    """
    time.sleep(max(0.0, sigterm_at + OPEN_AFTER_S - time.monotonic()))
    try:
        connection = socket.create_connection(address, TIMEOUT_S)
    except OSError:
        return  # the balancer no longer accepts connections
    opened_after_s = time.monotonic() - sigterm_at
    connection.settimeout(GOAWAY_WITHIN_S)
    with connection:
        received = b""
        with suppress(OSError):
            connection.sendall(PREFACE + EMPTY_SETTINGS)
            while GOAWAY not in frame_types(received):
                data = connection.recv(READ_SIZE)
                if not data:
                    break
                received += data
        if GOAWAY not in frame_types(received):
            yield "no GOAWAY", f"opened {opened_after_s * MS_PER_S:.0f} ms after SIGTERM"


def frame_types(data: bytes) -> list[int]:
    """Return the types of the HTTP/2 frames whose headers are complete in ``data``."""
    types = []
    while len(data) >= FRAME_HEADER_BYTES:
        types.append(data[LENGTH_BYTES])
        data = data[FRAME_HEADER_BYTES + int.from_bytes(data[:LENGTH_BYTES], "big") :]
    return types
