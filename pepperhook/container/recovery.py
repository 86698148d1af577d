"""Finds the next block after a damaged region."""

from typing import BinaryIO

from pepperhook.container.blocks import HEADER_BYTES, find_header

_SCAN_BYTES = 64 * 1024  # bytes per read


def find_next_header(file: BinaryIO, offset: int, file_size: int) -> int:
    """Return the offset of the first valid header at or after ``offset``.

    Return ``file_size`` if there is none. The payload is not checked.
    """
    while offset < file_size:
        file.seek(offset)
        data = file.read(_SCAN_BYTES)
        position = find_header(data)
        if position is not None:
            return offset + position
        if len(data) < HEADER_BYTES or offset + len(data) >= file_size:
            return file_size
        # The next read overlaps this one, as a header may begin in the last bytes of this one.
        offset += len(data) - HEADER_BYTES + 1
    return file_size
