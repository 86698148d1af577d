"""Writes containers."""

import os
from collections.abc import Mapping
from pathlib import Path

import msgspec

from pepperhook.container.blocks import COMPRESSION_LEVEL, BlockType, encode_block
from pepperhook.container.footer import encode_footer
from pepperhook.container.index import IndexBuilder, IndexKey
from pepperhook.container.metadata import FileMetadata, file_signature

BLOCK_BYTES = 256 * 1024  # a block is written once its raw content has this size
_NO_KEYS: Mapping[str, IndexKey] = {}


class ContainerWriter:
    """Writes one new file block by block; ``close`` adds the index.

    Methods raise OSError if a write fails; the blocks written before remain readable.
    """

    def __init__(
        self,
        path: str | os.PathLike[str],
        metadata: FileMetadata,
        level: int = COMPRESSION_LEVEL,
        block_bytes: int = BLOCK_BYTES,
    ) -> None:
        """Create the file, which must not exist yet, and write the signature and the metadata."""
        self.path = Path(path)
        self.size = 0  # bytes written so far
        self._level = level
        self._block_bytes = block_bytes
        self._pending = bytearray()
        self._index = IndexBuilder()
        self._file = self.path.open("xb")
        self._write(file_signature())
        self._write_block(BlockType.METADATA, msgspec.msgpack.encode(metadata))
        self._file.flush()

    @property
    def has_pending_records(self) -> bool:
        """Whether there are appended records that are not written yet."""
        return self._index.pending_count > 0

    def append(self, record: bytes, time_ns: int, keys: Mapping[str, IndexKey] = _NO_KEYS) -> None:
        """Add framed records, indexed by ``keys``; the index counts them as one record."""
        self._pending += record
        self._index.add_record(time_ns, keys)
        if len(self._pending) >= self._block_bytes:
            self.flush()

    def flush(self) -> None:
        """Write the pending records as a block, so that they survive a kill of the process."""
        if not self.has_pending_records:
            return
        offset = self.size
        self._write_block(BlockType.RECORDS, bytes(self._pending))
        self._file.flush()
        self._pending.clear()
        self._index.finish_block(offset)

    def close(self) -> None:
        """Write the pending records, the index and the footer, and sync the file to disk."""
        self.flush()
        index_offset = self.size
        self._write_block(BlockType.INDEX, self._index.encode())
        self._write_block(BlockType.FOOTER, encode_footer(index_offset))
        self._file.flush()
        os.fsync(self._file.fileno())
        self._file.close()

    def abandon(self) -> None:
        """Close the file without writing pending records or an index."""
        self._file.close()

    def _write_block(self, block_type: BlockType, content: bytes) -> None:
        self._write(encode_block(block_type, content, self._level))

    def _write(self, data: bytes) -> None:
        self._file.write(data)
        self.size += len(data)
