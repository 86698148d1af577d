"""Reads traces one record at a time, because a file may be larger than memory."""

import os
from collections.abc import Iterable, Iterator
from typing import TypeAlias

import msgspec

from pepperhook.container import Block, ContainerReader, UnreadableFileError, iter_records
from pepperhook.tracing.filter import TraceFilter
from pepperhook.tracing.records import (
    CONTENT,
    CONTENT_VERSION,
    RequestTrace,
    SourcedTrace,
)

MAX_GENERATIONS = 16  # of descendants that find_descendants returns
StrPath: TypeAlias = str | os.PathLike[str]

_DECODER = msgspec.msgpack.Decoder(RequestTrace)


def open_trace_file(path: StrPath) -> ContainerReader:
    """Open a trace file.

    Raises UnreadableFileError, also for other content and for a later version of the records.
    """
    reader = ContainerReader(path)
    metadata = reader.metadata
    problem = None
    if metadata.content != CONTENT:
        problem = f"holds a {metadata.content}, no trace"
    elif metadata.content_version > CONTENT_VERSION:
        problem = (
            f"its traces have version {metadata.content_version}; "
            f"this program reads up to {CONTENT_VERSION}"
        )
    if problem is not None:
        reader.close()
        raise UnreadableFileError(f"{path}: {problem}")
    return reader


def read_traces(
    reader: ContainerReader, trace_filter: TraceFilter | None = None
) -> Iterator[RequestTrace]:
    """Yield the matching records of an open file, in the order of the file."""
    for block in _blocks_for(reader, trace_filter):
        for trace in iter_records(block.content, _DECODER):
            if trace_filter is None or trace_filter.matches(trace):
                yield trace


def read_files(
    paths: Iterable[StrPath], trace_filter: TraceFilter | None = None
) -> Iterator[SourcedTrace]:
    """Yield the matching records of several files, one file after the other.

    Raises UnreadableFileError.
    """
    for path in paths:
        with open_trace_file(path) as reader:
            for trace in read_traces(reader, trace_filter):
                yield SourcedTrace(reader.metadata, trace)


def find_descendants(paths: Iterable[StrPath], request_id: str) -> list[SourcedTrace]:
    """Return the records of a request and of its descendants, generation by generation.

    At most MAX_GENERATIONS generations are returned. Raises UnreadableFileError.
    """
    files = list(paths)
    rows: list[SourcedTrace] = []
    seen_keys: set[tuple[str, int, str, int]] = set()
    request_ids = frozenset([request_id])
    trace_filter = TraceFilter(ids=request_ids, parents=request_ids)
    for _ in range(MAX_GENERATIONS):
        children: set[str] = set()
        for row in read_files(files, trace_filter):
            key = (row.metadata.name, row.metadata.tier, row.trace.id, row.trace.taken)
            if key not in seen_keys:
                seen_keys.add(key)
                rows.append(row)
                children.add(row.trace.id)
        children.discard(request_id)
        if not children:
            break
        trace_filter = TraceFilter(parents=frozenset(children))
    return rows


def _blocks_for(reader: ContainerReader, trace_filter: TraceFilter | None) -> Iterator[Block]:
    """Yield the blocks that may contain a match, or all blocks if there is no valid index."""
    entries = reader.index() if trace_filter is not None else None
    if trace_filter is None or entries is None:
        yield from reader.record_blocks()
        return
    for entry in entries:
        if trace_filter.may_match_block(entry):
            block = reader.read_block(entry.offset)
            if block is not None:
                yield block
