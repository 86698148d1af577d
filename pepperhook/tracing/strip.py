"""Copies traces with names replaced by pseudonyms, so that the copies can be shared."""

from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

from msgspec.structs import replace

from pepperhook.tracing.errors import OverwritesInputError
from pepperhook.tracing.pseudonyms import NameKind, Pseudonyms
from pepperhook.tracing.reader import StrPath, open_trace_file, read_traces
from pepperhook.tracing.records import RequestTrace
from pepperhook.tracing.trace_file import (
    ReportProgress,
    append_trace,
    ignore_progress,
    replacing_trace_file,
)


class StrippedFile(NamedTuple):
    """A file that was written, and the number of its records."""

    path: str
    records: int


def strip(
    paths: Sequence[StrPath],
    folder: StrPath,
    key: bytes,
    report_progress: ReportProgress = ignore_progress,
) -> list[StrippedFile]:
    """Copy each file to ``folder``, with pseudonyms in place of tenants and request ids.

    Everything else is unchanged, and so are counts by service class, outcome and reason. Raises
    KeyTooShortError, OverwritesInputError and UnreadableFileError.
    """
    pseudonyms = Pseudonyms(key)
    written: list[StrippedFile] = []
    Path(folder).mkdir(parents=True, exist_ok=True)
    for number, path in enumerate(paths):
        report_progress(str(path), number / len(paths))
        written.append(_strip_file(Path(path), Path(folder), pseudonyms))
    return written


def _strip_file(path: Path, folder: Path, pseudonyms: Pseudonyms) -> StrippedFile:
    out = folder / path.name
    count = 0
    with open_trace_file(path) as reader:
        if out.resolve() == path.resolve():
            raise OverwritesInputError(f"{path}: would be written over itself")
        with replacing_trace_file(out, reader.metadata) as writer:
            for trace in read_traces(reader):
                append_trace(writer, _strip_trace(trace, pseudonyms))
                count += 1
    return StrippedFile(str(out), count)


def _strip_trace(trace: RequestTrace, pseudonyms: Pseudonyms) -> RequestTrace:
    return replace(
        trace,
        id=pseudonyms.pseudonym(NameKind.ID, trace.id),
        parent=pseudonyms.pseudonym(NameKind.ID, trace.parent),
        root=pseudonyms.pseudonym(NameKind.ID, trace.root),
        customer=pseudonyms.pseudonym(NameKind.TENANT, trace.customer),
    )
