"""Records, and their encoding in checksummed blocks.

The order of fields and the numbers of record kinds are part of the file format and must not change
within a format version.
"""

import struct
from collections.abc import Sequence
from enum import IntEnum
from zlib import crc32

import msgspec
from msgspec import Struct
from msgspec.structs import astuple

from pepperhook.idempotency.journal.errors import JournalUnusableError, RecordEncodingError
from pepperhook.server.field_value import FieldValue

FORMAT_VERSION = 1
SIGNATURE = b"pepperhook repeats "  # starts a segment; version and line feed follow
BLOCK_HEADER = struct.Struct("<III")  # payload length, payload CRC-32, CRC-32 of these eight bytes
CHECKED_HEADER = struct.Struct("<II")  # the part that the header checksum covers


class RecordKind(IntEnum):
    """The state of a key's first request that a record reports."""

    STARTED = 0
    COMPLETED = 1  # served
    NEVER_RAN = 2
    INDETERMINATE = 3  # it may have run

    @classmethod
    def _missing_(cls, value: object) -> "RecordKind | None":
        """Read an unknown number as INDETERMINATE, the kind that guarantees the least."""
        return cls.INDETERMINATE if isinstance(value, int) else None


class Record(Struct, array_like=True, gc=False):
    """One change of a key's state.

    ``gc=False`` excludes the records, of which a million may stay in memory, from garbage
    collection; they are in no reference cycles.
    """

    kind: RecordKind
    key: bytes
    fingerprint: bytes
    service_class: str
    tenant: str | None
    recorded_ns: int  # by the machine's monotonic clock
    body: bytes | None = None
    content_type: str | None = None  # UTF-8; None if there is none, or if it is in the last field
    # How long the key applies, if a version of the control plane has extended that; 0: as the
    # settings have it.
    window_ns: int = 0
    # A type that is not UTF-8, and has no text. Earlier builds ignore this field, and would not
    # start with a journal that has bytes in ``content_type``.
    content_type_octets: bytes | None = None

    def response_type(self) -> FieldValue | None:
        """Return the type of the response's body."""
        if self.content_type_octets is not None:
            return FieldValue(self.content_type_octets)
        return None if self.content_type is None else FieldValue(self.content_type.encode())

    def set_response_type(self, content_type: FieldValue | None) -> None:
        """Set the type of the response's body."""
        self.content_type = self.content_type_octets = None
        if content_type is None:
            return
        try:
            self.content_type = content_type.octets.decode()
        except UnicodeDecodeError:
            self.content_type_octets = content_type.octets


class SegmentHeader(Struct, array_like=True):
    """The payload of a segment's first block: the boot and the times at its creation."""

    boot_id: str
    monotonic_ns: int
    unix_ns: int


_ENCODER = msgspec.msgpack.Encoder()
_RECORDS = msgspec.msgpack.Decoder(list[Record])
_HEADER = msgspec.msgpack.Decoder(SegmentHeader)


def encode_prefix() -> bytes:
    """Return the first line of a segment."""
    return SIGNATURE + b"%d\n" % FORMAT_VERSION


def encode_block(payload: bytes) -> bytes:
    """Return a block: header and payload."""
    checked = CHECKED_HEADER.pack(len(payload), crc32(payload))
    return checked + crc32(checked).to_bytes(4, "little") + payload


def encode_records(records: Sequence[Record]) -> bytes:
    """Encode a group of records as one block. Raises RecordEncodingError."""
    try:
        return encode_block(_ENCODER.encode([_encoded_fields(record) for record in records]))
    except (ValueError, TypeError, OverflowError) as error:
        raise RecordEncodingError(f"{type(error).__name__}: {error}") from error


def _encoded_fields(record: Record) -> tuple[object, ...]:
    """Return the fields without the last ones that are not set, as earlier builds wrote them."""
    fields = astuple(record)
    if record.content_type_octets is not None:
        return fields
    return fields[:-1] if record.window_ns else fields[:-2]


def encoding_error(record: Record) -> RecordEncodingError | None:
    """Return why a record cannot be encoded, or None if it can."""
    try:
        encode_records([record])
    except RecordEncodingError as error:
        return error
    return None


def encode_header(header: SegmentHeader) -> bytes:
    """Encode a segment's header as one block."""
    return encode_block(_ENCODER.encode(header))


def decode_records(payload: memoryview) -> list[Record]:
    """Decode a block's payload. Raises msgspec.MsgspecError."""
    return _RECORDS.decode(payload)


def decode_header(payload: memoryview) -> SegmentHeader:
    """Decode the payload of a segment's first block. Raises msgspec.MsgspecError."""
    return _HEADER.decode(payload)


def check_prefix(line: bytes, path: object) -> None:
    """Check a segment's first line, its line feed included. Raises JournalUnusableError."""
    version = line[len(SIGNATURE) : -1]
    if not line.startswith(SIGNATURE) or not version.isdigit():
        raise JournalUnusableError(f"{path}: is not a journal of idempotency keys")
    if int(version) != FORMAT_VERSION:
        raise JournalUnusableError(
            f"{path}: has version {int(version)}; this program reads version {FORMAT_VERSION}"
        )
