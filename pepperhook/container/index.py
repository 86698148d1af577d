"""The index of a container: the time range and the keys of each record block, without I/O.

The index is only a hint: readers check it against the file, and work without it.
"""

import sys
from array import array
from bisect import bisect_left
from collections.abc import Collection, Mapping
from typing import Any, TypeAlias

import msgspec
from msgspec import Struct

IndexKey: TypeAlias = int | str
IndexedKeys: TypeAlias = bytes | list[Any]  # packed u32 values, or the values themselves

_PACKED_KEY_BYTES = 4


class IndexEntry(Struct, array_like=True, forbid_unknown_fields=True):
    """The index entry of one record block; times are those passed to ``append``."""

    offset: int
    record_count: int
    first_time_ns: int
    last_time_ns: int
    keys: dict[str, Any]  # key name to IndexedKeys, as returned by pack_keys


class IndexBuilder:
    """Builds the index while the file is being written."""

    def __init__(self) -> None:
        """Start with an empty index and an empty pending block."""
        self._entries: list[IndexEntry] = []
        self._record_count = 0
        self._first_time_ns = 0
        self._last_time_ns = 0
        self._keys: dict[str, set[IndexKey]] = {}

    @property
    def pending_count(self) -> int:
        """Number of records in the pending block, which is not written yet."""
        return self._record_count

    def add_record(self, time_ns: int, keys: Mapping[str, IndexKey]) -> None:
        """Add the time and the keys of a record to the pending block."""
        is_first = self._record_count == 0
        self._first_time_ns = time_ns if is_first else min(self._first_time_ns, time_ns)
        self._last_time_ns = time_ns if is_first else max(self._last_time_ns, time_ns)
        self._record_count += 1
        for name, value in keys.items():
            self._keys.setdefault(name, set()).add(value)

    def finish_block(self, offset: int) -> None:
        """Add the entry of the pending block, written at ``offset``, and start the next block."""
        packed = {name: pack_keys(values) for name, values in self._keys.items()}
        entry = IndexEntry(
            offset, self._record_count, self._first_time_ns, self._last_time_ns, packed
        )
        self._entries.append(entry)
        self._start_block()

    def encode(self) -> bytes:
        """Return the content of the index block, encoded as MessagePack."""
        return msgspec.msgpack.encode(self._entries)

    def _start_block(self) -> None:
        self._record_count = 0
        self._keys = {}


def decode_index(content: bytes) -> list[IndexEntry] | None:
    """Return the entries of an index block, or None if it is malformed."""
    try:
        return msgspec.msgpack.decode(content, type=list[IndexEntry])
    except msgspec.MsgspecError:
        return None


def pack_keys(values: Collection[IndexKey]) -> IndexedKeys:
    """Return keys in the form in which the index stores them.

    Integers, which must fit 32 bits, are packed as sorted little-endian u32 values into one bytes
    object, because there may be one for each record. Other keys become a sorted list.
    """
    if all(isinstance(value, int) for value in values):
        integers = sorted(value for value in values if isinstance(value, int))
        return b"".join(value.to_bytes(_PACKED_KEY_BYTES, "little") for value in integers)
    return sorted(values, key=str)


def contains_key(keys: IndexedKeys, value: IndexKey) -> bool:
    """Return whether keys packed by ``pack_keys`` include a value."""
    if not isinstance(keys, bytes):
        return value in keys
    numbers = array("I", keys)
    if sys.byteorder != "little":
        numbers.byteswap()
    position = bisect_left(numbers, value)
    return position < len(numbers) and numbers[position] == value
