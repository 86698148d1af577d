"""Limits on frames that cost work without making progress on a request; no I/O.

All these frames draw on one token bucket per connection, which is refilled over time and by
answered requests. A busy, well-behaved peer therefore never runs out of credit. A peer that sends
little else is disconnected with ENHANCE_YOUR_CALM (RFC 9113, 10.5), whatever mix of frames it uses.
"""

from enum import Enum

NS_PER_S = 10**9
MAX_CREDIT = 200.0  # capacity of the bucket, and so the largest burst
CREDIT_PER_S = 20.0
CREDIT_PER_RESPONSE = 8.0


class FrameKind(Enum):
    """The kinds of frames that make no progress on a request, each with its cost in credit."""

    RESET = ("RST_STREAM", 4.0)
    PING = ("PING", 2.0)
    SETTINGS = ("SETTINGS", 8.0)
    EMPTY_DATA = ("DATA without data", 2.0)
    WINDOW_UPDATE = ("WINDOW_UPDATE", 0.5)
    PRIORITY = ("PRIORITY", 2.0)
    UNKNOWN = ("a frame of unknown type", 2.0)
    INFORMATIONAL_RESPONSE = ("HEADERS of an informational response", 2.0)
    REFUSED_REQUEST = ("HEADERS of a refused stream", 2.0)
    GOAWAY = ("GOAWAY", 20.0)

    def __init__(self, description: str, cost: float) -> None:
        """Store the two parts of the value as attributes."""
        self.description = description
        self.cost = cost


class AbuseBudget:
    """The token bucket that limits frames without progress on one connection."""

    __slots__ = ("credit", "refilled_at_ns")

    def __init__(self, now_ns: int) -> None:
        """Start with a full bucket."""
        self.credit = MAX_CREDIT
        self.refilled_at_ns = now_ns

    def charge(self, now_ns: int, kind: FrameKind) -> bool:
        """Charge for one frame; return False if the peer must be disconnected."""
        refill = (now_ns - self.refilled_at_ns) * CREDIT_PER_S / NS_PER_S
        self.credit = min(MAX_CREDIT, self.credit + refill) - kind.cost
        self.refilled_at_ns = now_ns
        return self.credit >= 0

    def request_answered(self) -> None:
        """Refill the bucket after an answered request."""
        self.credit = min(MAX_CREDIT, self.credit + CREDIT_PER_RESPONSE)


class StreamLimit:
    """Limits how many streams a connection to an upstream may have open at once.

    The limit starts low and grows by one with each response, up to the maximum that both sides
    permit. This keeps all the streams of a failed connection from moving at once to a new
    connection, whose upstream may have just started.
    """

    __slots__ = ("allowed", "max_streams")

    INITIAL = 8

    def __init__(self, max_streams: int) -> None:
        """Start at INITIAL, or at ``max_streams``, which this side permits, if that is lower."""
        self.max_streams = max_streams
        self.allowed = min(self.INITIAL, max_streams)

    def request_answered(self) -> None:
        """Allow one more stream."""
        self.allowed = min(self.max_streams, self.allowed + 1)

    def set_max_streams(self, max_streams: int) -> None:
        """Apply a new maximum that both sides permit; it may rise or fall at any time.

        A limit that has not grown past INITIAL returns to INITIAL if the maximum permits.
        """
        has_grown = self.allowed > self.INITIAL
        self.max_streams = max(0, max_streams)
        self.allowed = min(self.max_streams, self.allowed if has_grown else self.INITIAL)
