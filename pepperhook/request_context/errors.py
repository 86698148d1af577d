"""Errors of header values that are rejected."""

from enum import StrEnum

from pepperhook.errors import PepperhookError


class RejectionReason(StrEnum):
    """Why a header value is rejected; the enum values appear in the log and the counters."""

    OVERSIZED = "oversized"
    MALFORMED = "ill-formed"
    UNKNOWN_VERSION = "of another version"
    UNTRUSTED = "untrusted"  # not signed by a known key, and not from a trusted network
    FORGED = "forged"  # the MAC does not match
    AMBIGUOUS = "there twice"  # several values in one request
    REPLAYED = "replayed"  # used again, for another call, after the time of its own call


class InvalidContextError(PepperhookError, ValueError):
    """A header value is rejected; ``reason`` says why."""

    def __init__(self, reason: RejectionReason) -> None:
        """Use the text of ``reason`` as the message."""
        super().__init__(reason.value)
        self.reason = reason
