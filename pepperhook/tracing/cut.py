"""Copies the records that match a filter to a new file."""

from collections.abc import Sequence

from msgspec.structs import replace

from pepperhook.container import FileMetadata
from pepperhook.tracing.filter import TraceFilter
from pepperhook.tracing.reader import StrPath, open_trace_file, read_traces
from pepperhook.tracing.trace_file import (
    ReportProgress,
    append_trace,
    ignore_progress,
    replacing_trace_file,
)


def cut(
    paths: Sequence[StrPath],
    out: StrPath,
    trace_filter: TraceFilter,
    report_progress: ReportProgress = ignore_progress,
) -> int:
    """Copy the matching records to ``out``, file by file, and return their number.

    Raises UnreadableFileError.
    """
    count = 0
    with replacing_trace_file(out, _metadata_of(paths)) as writer:
        for number, path in enumerate(paths):
            report_progress(str(path), number / len(paths))
            with open_trace_file(path) as reader:
                for trace in read_traces(reader, trace_filter):
                    append_trace(writer, trace)
                    count += 1
    return count


def _metadata_of(paths: Sequence[StrPath]) -> FileMetadata:
    """Return the metadata of the first file, without a balancer's name if there are several."""
    with open_trace_file(paths[0]) as first:
        metadata = first.metadata
    if len(paths) == 1:
        return metadata
    return replace(metadata, name="", extra={**metadata.extra, "cut_of": len(paths)})
