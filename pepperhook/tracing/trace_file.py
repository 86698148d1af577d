"""Writes trace files, which get their name only when they are complete."""

import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TypeAlias

from pepperhook.container import ContainerWriter, FileMetadata
from pepperhook.tracing.reader import StrPath
from pepperhook.tracing.records import RequestTrace, encode, index_keys

# Called with the name of the current step and the fraction of the work that is done.
ReportProgress: TypeAlias = Callable[[str, float], None]


def ignore_progress(_step: str, _fraction: float) -> None:
    """Report no progress."""


@contextmanager
def replacing_trace_file(path: StrPath, metadata: FileMetadata) -> Iterator[ContainerWriter]:
    """Yield a writer whose file is renamed to ``path`` once it is complete.

    An existing file of that name is then replaced. If anything fails, it remains unchanged.
    """
    final_path = Path(path)
    temporary = final_path.with_name(f".{final_path.name}.{os.getpid()}")
    temporary.unlink(missing_ok=True)
    writer = ContainerWriter(temporary, metadata)
    try:
        yield writer
        writer.close()
        temporary.replace(final_path)
    except BaseException:
        writer.abandon()
        temporary.unlink(missing_ok=True)
        raise


def append_trace(writer: ContainerWriter, trace: RequestTrace) -> None:
    """Append a record with its index keys."""
    writer.append(encode(trace), trace.taken, index_keys(trace))
