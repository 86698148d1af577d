"""The footer block, which holds the offset of the index block."""

import struct

MAX_FOOTER_BYTES = 128  # the footer block begins at most this far before the end of the file

_INDEX_OFFSET = struct.Struct("<Q")


def encode_footer(index_offset: int) -> bytes:
    """Return the content of a footer block."""
    return _INDEX_OFFSET.pack(index_offset)


def decode_footer(content: bytes) -> int | None:
    """Return the offset of the index block, or None if the content is not a footer."""
    if len(content) != _INDEX_OFFSET.size:
        return None
    (index_offset,) = _INDEX_OFFSET.unpack(content)
    return int(index_offset)
