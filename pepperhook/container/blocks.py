"""Encodes and decodes one block of a container, without I/O."""

import enum
import struct
from zlib import crc32

import zstandard
from msgspec import Struct

COMPRESSION_LEVEL = 3  # zstandard level
MAX_RAW_BYTES = 64 * 1024 * 1024  # a header that declares more raw bytes is treated as damaged
MAX_BLOCK_TYPE = 15  # higher types are never assigned, so a scan rejects most bytes at once

HEADER_FIELDS = struct.Struct("<BIII")  # type, payload length, raw length, payload CRC
_CHECKSUM = struct.Struct("<I")
HEADER_BYTES = HEADER_FIELDS.size + _CHECKSUM.size


class BlockType(enum.IntEnum):
    """Type of a block's content. Readers skip blocks of an unknown type."""

    METADATA = 1  # the first block: a FileMetadata
    RECORDS = 2
    INDEX = 3  # only in a file that was closed
    FOOTER = 4  # the last block of a file that was closed: the offset of the index


class BlockHeader(Struct, frozen=True):
    """The header fields that precede a block's payload."""

    block_type: int  # not a BlockType, as a newer writer may use types that it does not define
    payload_length: int
    raw_length: int  # bytes of the payload after decompression
    payload_crc: int  # CRC-32 of the compressed payload


class Block(Struct, frozen=True):
    """An intact block: its position in the file and its decompressed content."""

    offset: int
    block_type: int
    content: bytes
    end_offset: int  # offset of the next block


def encode_block(block_type: int, content: bytes, level: int = COMPRESSION_LEVEL) -> bytes:
    """Return a block: the header, followed by the compressed content."""
    compressor = zstandard.ZstdCompressor(level=level, write_content_size=True)
    payload = compressor.compress(content)
    fields = HEADER_FIELDS.pack(block_type, len(payload), len(content), crc32(payload))
    return fields + _CHECKSUM.pack(crc32(fields)) + payload


def decode_header(data: bytes) -> BlockHeader | None:
    """Decode the header at the start of data, or return None if it is truncated or damaged."""
    if len(data) < HEADER_BYTES or not _header_checksum_matches(data, 0):
        return None
    return BlockHeader(*HEADER_FIELDS.unpack_from(data))


def decode_payload(header: BlockHeader, payload: bytes) -> bytes | None:
    """Decompress a payload, or return None if it is truncated or damaged."""
    if len(payload) < header.payload_length or crc32(payload) != header.payload_crc:
        return None
    try:
        content = zstandard.ZstdDecompressor().decompress(
            payload, max_output_size=header.raw_length
        )
    except zstandard.ZstdError:
        return None
    return content if len(content) == header.raw_length else None


def find_header(data: bytes) -> int | None:
    """Return the position of the first valid header in data, or None."""
    for position in range(len(data) - HEADER_BYTES + 1):
        if 0 < data[position] <= MAX_BLOCK_TYPE and _header_checksum_matches(data, position):
            return position
    return None


def _header_checksum_matches(data: bytes, position: int) -> bool:
    checksum_position = position + HEADER_FIELDS.size
    (checksum,) = _CHECKSUM.unpack_from(data, checksum_position)
    return bool(crc32(data[position:checksum_position]) == checksum)
