"""Reads batches of records in the simulator's protocol, and encodes one reply for each."""

import struct
from collections.abc import Sequence
from typing import Any, BinaryIO, NamedTuple

from pepperhook.errors import PepperhookError
from pepperhook.sim_adapter.protocol import ENTRY_FIELDS, TABLE_FIELDS

BATCH_HEADER = struct.Struct(">IIQ")  # size of the records in bytes, their count, clock in us
REPLY_HEADER = struct.Struct(">II")  # count of the records, their size in bytes
RECORD_HEADER = struct.Struct(">BI")  # code, size of the fields in bytes
TEXT_HEADER = struct.Struct(">H")  # size of the text in bytes
MAX_TEXT_BYTES = 60_000
FLOAT_BYTES = 4


class MalformedInputError(PepperhookError, ValueError):
    """The input does not follow the simulator's protocol; the message names the malformed part."""


class Record(NamedTuple):
    """One record of a batch; ``fields`` is its payload, not decoded yet."""

    code: int
    fields: bytes


class Batch(NamedTuple):
    """The events up to a time of the simulator's clock, as records."""

    clock_us: int
    records: list[Record]


class ListEntry(NamedTuple):
    """One upstream of an endpoint list."""

    address: bytes
    kind: int
    units: float
    cell: int
    zone: int
    state: int  # code in protocol.STATES
    started_us: int


class EndpointList(NamedTuple):
    """The fields of a TABLE record."""

    number: int
    entries: list[ListEntry]


def read_batch(stream: BinaryIO) -> Batch | None:
    """Read the next batch; None at the end of the input. Raises MalformedInputError."""
    first = stream.read(1)
    if not first:
        return None
    header = first + _read_exactly(stream, BATCH_HEADER.size - 1, "a batch header")
    size, count, clock_us = BATCH_HEADER.unpack(header)
    records = _split_records(_read_exactly(stream, size, "a batch"))
    if len(records) != count:
        raise MalformedInputError(
            f"the header specifies {count} records, but the batch contains {len(records)}"
        )
    return Batch(clock_us, records)


def _read_exactly(stream: BinaryIO, size: int, part_name: str) -> bytes:
    data = stream.read(size)
    if len(data) < size:
        raise MalformedInputError(f"input ended {len(data)} bytes into {part_name} of {size} bytes")
    return data


def _split_records(data: bytes) -> list[Record]:
    records: list[Record] = []
    start = 0
    while start < len(data):
        fields_start = start + RECORD_HEADER.size
        if fields_start > len(data):
            raise MalformedInputError(
                f"record {len(records)} at byte {start}: its header is truncated"
            )
        code, size = RECORD_HEADER.unpack_from(data, start)
        if fields_start + size > len(data):
            raise MalformedInputError(
                f"record {len(records)} at byte {start}: its fields need {size} bytes, "
                f"{len(data) - fields_start} are left in the batch"
            )
        records.append(Record(code, data[fields_start : fields_start + size]))
        start = fields_start + size
    return records


def unpack(layout: struct.Struct, fields: bytes, record_name: str) -> tuple[Any, ...]:
    """Unpack the fixed-size fields at the start of a record.

    Raises MalformedInputError, whose message begins with ``record_name``.
    """
    if len(fields) < layout.size:
        raise MalformedInputError(
            f"{record_name}: {len(fields)} bytes of fields, at least {layout.size} are needed"
        )
    return layout.unpack_from(fields)


def read_load_report(fields: bytes, start: int, record_name: str) -> Sequence[float]:
    """Return the figures of the load report at byte ``start``; empty if there is no report.

    A report has a count of one byte, and as many 32-bit floats. Raises MalformedInputError, whose
    message begins with ``record_name``.
    """
    count = fields[start] if start < len(fields) else 0
    if not count:
        return ()
    if len(fields) < start + 1 + FLOAT_BYTES * count:
        raise MalformedInputError(f"{record_name}: a load report of {count} figures is truncated")
    return struct.unpack_from(f">{count}f", fields, start + 1)


def read_endpoint_list(fields: bytes) -> EndpointList:
    """Read the fields of a TABLE record. Raises MalformedInputError."""
    number, count = unpack(TABLE_FIELDS, fields, "TABLE")
    entries_start = TABLE_FIELDS.size
    if len(fields) < entries_start + count * ENTRY_FIELDS.size:
        raise MalformedInputError(
            f"TABLE: {count} entries need {count * ENTRY_FIELDS.size} bytes, "
            f"{len(fields) - entries_start} are left in the record"
        )
    entries = [
        ListEntry._make(ENTRY_FIELDS.unpack_from(fields, entries_start + index * ENTRY_FIELDS.size))
        for index in range(count)
    ]
    return EndpointList(number, entries)


def encode_record(code: int, fields: bytes = b"") -> bytes:
    """Return an encoded record."""
    return RECORD_HEADER.pack(code, len(fields)) + fields


def encode_text_record(code: int, text: str) -> bytes:
    """Return an encoded record with a text, truncated to MAX_TEXT_BYTES."""
    data = text.encode("utf-8", "replace")[:MAX_TEXT_BYTES]
    return encode_record(code, TEXT_HEADER.pack(len(data)) + data)


def encode_reply(records: Sequence[bytes]) -> bytes:
    """Return the encoded reply to one batch."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(records), len(body)) + body
