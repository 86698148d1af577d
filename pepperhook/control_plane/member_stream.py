"""Which version to send next on one member's stream, and as a patch of which; without I/O."""

from collections.abc import Callable
from typing import NamedTuple

from pepperhook.control_plane.stream_request import StreamRequest

# Called with the number and the hash of a version; returns whether the service has it.
HasVersion = Callable[[int, str], bool]


class VersionToSend(NamedTuple):
    """A version, and the version that it is sent as a patch of; 0: it is sent complete."""

    number: int
    base_number: int


class MemberStream:
    """What the member on one stream has, as far as the service knows."""

    def __init__(self, opened: StreamRequest, has_version: HasVersion) -> None:
        """Start with what the member reported when it opened the stream."""
        self.processed_number = opened.processed_number
        self.sent_number = 0  # of the version that was sent last on this stream; 0: none
        # An earlier release reports no hash, and its number may be that of a rejected version.
        has_base = opened.base_hash != "" and has_version(opened.base_number, opened.base_hash)
        self.base_number = opened.base_number if has_base else 0

    def next_version(self, desired_number: int, running_number: int) -> VersionToSend | None:
        """Return what to send, which counts as sent then; None: nothing.

        ``desired_number`` is the version that the member is to run, 0: none. ``running_number`` is
        the one that it reports to run, 0 if the service does not have that.
        """
        if desired_number in (self.processed_number, 0):
            return None
        if self.sent_number:
            # The member may have rejected it, or not have reported yet.
            self.base_number = self.sent_number if running_number == self.sent_number else 0
        self.processed_number = self.sent_number = desired_number
        return VersionToSend(desired_number, self.base_number)
