"""Opens captures and reads their records."""

import os
from collections.abc import Iterator
from typing import Any

import msgspec

from pepperhook.container import ContainerReader, UnreadableFileError, iter_records

CONTENT = "capture"
CONTENT_VERSION = 1

_DECODER: msgspec.msgpack.Decoder[list[Any]] = msgspec.msgpack.Decoder()


def open_capture(path: str | os.PathLike[str]) -> ContainerReader:
    """Open a capture. Raises UnreadableFileError if it is not one or its version is too new."""
    reader = ContainerReader(path)
    metadata = reader.metadata
    problem = None
    if metadata.content != CONTENT:
        problem = f"holds a {metadata.content}, no capture"
    elif metadata.content_version > CONTENT_VERSION:
        problem = (
            f"has capture version {metadata.content_version}; "
            f"this program reads up to capture version {CONTENT_VERSION}"
        )
    if problem is not None:
        reader.close()
        raise UnreadableFileError(f"{path}: {problem}")
    return reader


def read_records(reader: ContainerReader) -> Iterator[list[Any]]:
    """Yield the records of an open capture; each is a list of its kind and its fields."""
    for block in reader.record_blocks():
        yield from iter_records(block.content, _DECODER)
