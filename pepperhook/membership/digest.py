"""Digest of a member table: one checksum for each of sixteen buckets of names.

Probes carry digests, so that two members find the buckets in which their records differ without
sending their tables.
"""

from hashlib import blake2b
from zlib import crc32

from pepperhook.membership.messages import MemberRecord

BUCKETS = 16
CHECKSUM_BYTES = 4


def bucket_of(name: str) -> int:
    """Return the bucket of a member's name."""
    return crc32(name.encode()) % BUCKETS


def checksum(record: MemberRecord) -> int:
    """Return the checksum of a member's name and incarnation; other fields are not covered."""
    text = f"{record.name}\0{record.incarnation}"
    return int.from_bytes(blake2b(text.encode(), digest_size=CHECKSUM_BYTES).digest())


class Digest:
    """Checksums of the records of present members, updated one record at a time."""

    def __init__(self) -> None:
        """Create the digest of an empty table."""
        self._sums = [0] * BUCKETS

    def toggle(self, record: MemberRecord) -> None:
        """Add a record, or remove one that was added before."""
        self._sums[bucket_of(record.name)] ^= checksum(record)

    def as_list(self) -> list[int]:
        """Return a copy of the checksums, for a message."""
        return list(self._sums)

    def equals(self, remote_sums: list[int]) -> bool:
        """Return whether another member's digest is the same."""
        return self._sums == remote_sums

    def differing_buckets(self, remote_sums: list[int]) -> set[int]:
        """Return the buckets in which another member's digest, ``BUCKETS`` sums long, differs."""
        return {bucket for bucket in range(BUCKETS) if self._sums[bucket] != remote_sums[bucket]}
