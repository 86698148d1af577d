"""Frames the records within a block: each is preceded by its length, a little-endian u32."""

from collections.abc import Iterator
from typing import TypeVar

from msgspec.msgpack import Decoder

RecordT = TypeVar("RecordT")

_LENGTH_BYTES = 4


def frame_record(data: bytes) -> bytes:
    """Prefix one encoded record with its length."""
    return len(data).to_bytes(_LENGTH_BYTES, "little") + data


def iter_records(content: bytes, decoder: Decoder[RecordT]) -> Iterator[RecordT]:
    """Yield the decoded records of a block's content."""
    view = memoryview(content)
    position = 0
    while position < len(content):
        begin = position + _LENGTH_BYTES
        end = begin + int.from_bytes(view[position:begin], "little")
        yield decoder.decode(view[begin:end])
        position = end
