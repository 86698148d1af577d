"""Reads containers, including truncated and damaged ones."""

import os
from collections.abc import Iterator
from pathlib import Path
from types import TracebackType
from typing import BinaryIO, Self

import msgspec
from msgspec import Struct, field

from pepperhook.container.blocks import (
    HEADER_BYTES,
    MAX_RAW_BYTES,
    Block,
    BlockHeader,
    BlockType,
    decode_header,
    decode_payload,
)
from pepperhook.container.errors import (
    NotAContainerError,
    UnreadableFileError,
    UnsupportedVersionError,
)
from pepperhook.container.footer import MAX_FOOTER_BYTES, decode_footer
from pepperhook.container.index import IndexEntry, decode_index
from pepperhook.container.metadata import (
    FORMAT_VERSION,
    MAX_SIGNATURE_BYTES,
    FileMetadata,
    parse_signature,
)
from pepperhook.container.recovery import find_next_header

_NONE_YET = -1


class SkippedData(Struct):
    """The parts of a file that could not be read, summed over all iterations over its blocks.

    The names given to ``field`` are those of the JSON output.
    """

    regions: int = field(default=0, name="places")
    bytes: int = 0
    first_offset: int = field(default=_NONE_YET, name="first")

    def add(self, begin: int, end: int) -> None:
        """Count the unreadable region between two offsets."""
        self.regions += 1
        self.bytes += end - begin
        if self.first_offset == _NONE_YET:
            self.first_offset = begin


class ContainerReader:
    """Reads one file block by block, so the file may be larger than memory."""

    def __init__(self, path: str | os.PathLike[str]) -> None:
        """Open the file and read its metadata.

        Raises UnreadableFileError if the file cannot be opened, is not a container, has a newer
        format version than this program supports, or has a damaged metadata block.
        """
        self.path = Path(path)
        self.skipped = SkippedData()
        self._display_path = str(path)  # as given by the caller, for error messages
        try:
            self._file: BinaryIO = self.path.open("rb")
        except OSError as error:
            raise UnreadableFileError(f"{path}: {error.strerror}") from error
        try:
            self.size = os.fstat(self._file.fileno()).st_size
            self._first_offset = self._read_signature()
            self.metadata = self._read_metadata()
        except BaseException:
            self._file.close()
            raise

    def __enter__(self) -> Self:
        """Return the reader itself."""
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the file."""
        self.close()

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def blocks(self) -> Iterator[Block]:
        """Yield each intact block in order; regions between them are counted in ``skipped``."""
        offset = self._first_offset
        while offset < self.size:
            block = self.read_block(offset)
            if block is not None:
                yield block
                offset = block.end_offset
                continue
            next_offset = find_next_header(self._file, offset + 1, self.size)
            self.skipped.add(offset, next_offset)
            offset = next_offset

    def record_blocks(self) -> Iterator[Block]:
        """Yield each intact record block in order."""
        return (block for block in self.blocks() if block.block_type == BlockType.RECORDS)

    def read_block(self, offset: int) -> Block | None:
        """Return the block at an offset, or None if there is no intact block."""
        header = self._read_header(offset)
        if header is None or header.raw_length > MAX_RAW_BYTES:
            return None
        end_offset = offset + HEADER_BYTES + header.payload_length
        if end_offset > self.size:
            return None
        content = decode_payload(header, self._file.read(header.payload_length))
        if content is None:
            return None
        return Block(offset, header.block_type, content, end_offset)

    def index(self) -> list[IndexEntry] | None:
        """Return the index, or None if it is missing, damaged or refers to other blocks."""
        index_offset = self._find_index_offset()
        if index_offset is None:
            return None
        block = self.read_block(index_offset)
        if block is None or block.block_type != BlockType.INDEX:
            return None
        entries = decode_index(block.content)
        if entries is None:
            return None
        is_consistent = all(self._is_record_block(entry.offset) for entry in entries)
        return entries if is_consistent else None

    def _read_signature(self) -> int:
        """Check the signature line and return the offset of the first block."""
        line = self._file.readline(MAX_SIGNATURE_BYTES)
        version = parse_signature(line)
        if version is None:
            raise NotAContainerError(f"{self._display_path}: is no record of pepperhook")
        if version > FORMAT_VERSION:
            raise UnsupportedVersionError(
                f"{self._display_path}: has version {version}; "
                f"this program reads up to version {FORMAT_VERSION}"
            )
        return len(line)

    def _read_metadata(self) -> FileMetadata:
        first = next(self.blocks(), None)
        if first is None or first.block_type != BlockType.METADATA:
            raise UnreadableFileError(
                f"{self._display_path}: its first block, the metadata, is missing or damaged"
            )
        self.skipped = SkippedData()  # discard what this call counted
        return msgspec.msgpack.decode(first.content, type=FileMetadata)

    def _read_header(self, offset: int) -> BlockHeader | None:
        self._file.seek(offset)
        return decode_header(self._file.read(HEADER_BYTES))

    def _is_record_block(self, offset: int) -> bool:
        """Check the header only, as the index may refer to many blocks."""
        header = self._read_header(offset)
        return header is not None and header.block_type == BlockType.RECORDS

    def _find_index_offset(self) -> int | None:
        """Return the offset of the index from the footer, or None if the file has no footer."""
        offset = max(self._first_offset, self.size - MAX_FOOTER_BYTES)
        while (offset := find_next_header(self._file, offset, self.size)) < self.size:
            block = self.read_block(offset)
            if block is not None and self._is_footer(block):
                return decode_footer(block.content)
            offset += 1
        return None

    def _is_footer(self, block: Block) -> bool:
        is_last = block.end_offset == self.size
        return (
            is_last
            and block.block_type == BlockType.FOOTER
            and decode_footer(block.content) is not None
        )
