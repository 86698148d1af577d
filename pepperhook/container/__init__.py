"""Reads and writes containers: append-only files of compressed, checksummed blocks.

The format is described in ``docs/formats/record.md``::

    file   = signature line, block*
    block  = type:u8 length:u32 raw_length:u32 crc:u32 header_crc:u32 payload    (little-endian)

The first block is the file's metadata. Record blocks follow. A file that was closed properly ends
with an index block and a footer block that holds the offset of the index. The reader returns every
intact block of a truncated or damaged file and skips all others.
"""

from pepperhook.container.blocks import Block, BlockType, encode_block
from pepperhook.container.errors import (
    NotAContainerError,
    UnreadableFileError,
    UnsupportedVersionError,
)
from pepperhook.container.framing import frame_record, iter_records
from pepperhook.container.index import IndexEntry, contains_key
from pepperhook.container.metadata import FileMetadata, file_signature
from pepperhook.container.reader import ContainerReader, SkippedData
from pepperhook.container.writer import ContainerWriter

__all__ = [
    "Block",
    "BlockType",
    "ContainerReader",
    "ContainerWriter",
    "FileMetadata",
    "IndexEntry",
    "NotAContainerError",
    "SkippedData",
    "UnreadableFileError",
    "UnsupportedVersionError",
    "contains_key",
    "encode_block",
    "file_signature",
    "frame_record",
    "iter_records",
]
