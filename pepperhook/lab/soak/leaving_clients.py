"""Clients that send to a balancer in the moment in which it begins to leave.

The load has few requests in that moment, and sends once more what a kept connection lost unread,
so that it does not show how a balancer closes connections. These look at single connections.
"""

import socket
import time
from collections.abc import Iterator
from contextlib import suppress

Address = tuple[str, int]
Problem = tuple[str, str]

RESTING = 20  # connections on which one request was answered before SIGTERM
SPREAD_S = 0.06  # after SIGTERM, over which they send their next requests
TIMEOUT_S = 1.0
BEGUN_AFTER_S = 0.05  # SIGTERM at the least, in the notice in which clients still connect
GOAWAY_WITHIN_S = 0.3  # of a connection's beginning
SETTLE_S = 0.05  # for a reset to come back
MS_PER_S = 1000
READ_SIZE = 65536
REQUEST = b"GET /_health HTTP/1.1\r\nHost: soak\r\n\r\n"
# RFC 9113: the connection preface (3.4), an empty SETTINGS frame, and the fields of a frame (4.1).
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
EMPTY_SETTINGS = b"\0\0\0\4\0\0\0\0\0"
FRAME_HEADER_BYTES = 9
LENGTH_BYTES = 3
GOAWAY = 7


class RestingClients:
    """Connections over HTTP/1.1 that rest at SIGTERM, and on which the next request comes then."""

    def __init__(self, address: Address) -> None:
        """Open the connections, each with one response."""
        self.sockets: list[socket.socket] = []
        for _ in range(RESTING):
            with suppress(OSError):
                made = socket.create_connection(address, TIMEOUT_S)
                made.sendall(REQUEST)
                if made.recv(READ_SIZE):
                    self.sockets.append(made)

    def send(self, told_at: float) -> Iterator[Problem]:
        """Send on each, and yield those that were reset: their clients cannot know what ran.

        A response is owed, or an end of the stream, behind which a client sends once more.
        """
        waiting = []
        for number, one in enumerate(self.sockets):
            at = told_at + SPREAD_S * number / RESTING
            time.sleep(max(0.0, at - time.monotonic()))
            # Also behind an end that has come meanwhile: a request may be on its way by then.
            waiting.append((one, at - told_at))
            with suppress(OSError):
                one.sendall(REQUEST)
        time.sleep(SETTLE_S)
        for one, after_s in waiting:
            found = _ending(one)
            if found:
                yield found, f"sent {after_s * MS_PER_S:.0f} ms after SIGTERM"

    def close(self) -> None:
        """Close all connections."""
        for one in self.sockets:
            one.close()


def _ending(one: socket.socket) -> str:
    """Return what is wrong with the end of a connection; empty where nothing is."""
    try:
        one.recv(READ_SIZE)
    except TimeoutError:
        return "no answer on a resting connection"
    except OSError:
        return "reset on a resting connection"
    # Behind an end that was read before it, a reset shows only here.
    if one.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return "reset on a resting connection"
    return ""


def begin_http2(address: Address, told_at: float) -> Iterator[Problem]:
    """Begin an HTTP/2 connection while a balancer leaves; yield a problem where no GOAWAY comes."""
    time.sleep(max(0.0, told_at + BEGUN_AFTER_S - time.monotonic()))
    try:
        made = socket.create_connection(address, TIMEOUT_S)
    except OSError:
        return  # it takes none any more
    begun_after_s = time.monotonic() - told_at
    made.settimeout(GOAWAY_WITHIN_S)
    with made:
        received = b""
        with suppress(OSError):
            made.sendall(PREFACE + EMPTY_SETTINGS)
            while GOAWAY not in frame_types(received):
                data = made.recv(READ_SIZE)
                if not data:
                    break
                received += data
        if GOAWAY not in frame_types(received):
            yield "no GOAWAY", f"begun {begun_after_s * MS_PER_S:.0f} ms after SIGTERM"


def frame_types(data: bytes) -> list[int]:
    """Return the types of the frames whose headers are there whole."""
    types = []
    while len(data) >= FRAME_HEADER_BYTES:
        types.append(data[LENGTH_BYTES])
        data = data[FRAME_HEADER_BYTES + int.from_bytes(data[:LENGTH_BYTES], "big") :]
    return types
