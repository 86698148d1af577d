"""Selects the segments to delete so that a ring stays within its limits, without I/O."""

from collections.abc import Sequence
from pathlib import Path
from typing import Self

from msgspec import Struct

_SECONDS_PER_MINUTE = 60
_BYTES_PER_MEGABYTE = 2**20


class SegmentFile(Struct, frozen=True):
    """The file status of one segment."""

    path: Path
    size: int  # bytes
    modified_s: float  # Unix time


class Retention(Struct, frozen=True):
    """The limits of a ring: the age of a segment and the total size."""

    max_age_s: float
    max_bytes: float

    @classmethod
    def from_settings(cls, minutes: float, megabytes: float) -> Self:
        """Create the limits from settings, which are in minutes and megabytes (MiB)."""
        return cls(minutes * _SECONDS_PER_MINUTE, megabytes * _BYTES_PER_MEGABYTE)

    def expired(self, segments: Sequence[SegmentFile], now_s: float) -> list[SegmentFile]:
        """Return the segments to delete; ``segments`` are sorted by age, oldest first.

        The oldest are deleted until the next one is within the age limit and the rest are within
        the size limit.
        """
        total_bytes = sum(segment.size for segment in segments)
        oldest_allowed_s = now_s - self.max_age_s
        expired = []
        for segment in segments:
            if segment.modified_s >= oldest_allowed_s and total_bytes <= self.max_bytes:
                break
            expired.append(segment)
            total_bytes -= segment.size
        return expired
