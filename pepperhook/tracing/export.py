"""Writes traces in formats of other programs: JSON lines, CSV, Parquet, OpenTelemetry's JSON.

Records are streamed and not collected in memory. Parquet needs pyarrow.
"""

import csv
import json
from collections.abc import Callable, Iterable, Iterator
from itertools import islice
from pathlib import Path
from typing import Any, TextIO, TypeAlias

import msgspec

from pepperhook.container import FileMetadata
from pepperhook.tracing.errors import ParquetUnavailableError
from pepperhook.tracing.opentelemetry import traces_data
from pepperhook.tracing.records import OPEN_ATTEMPT, RequestTrace

COLUMNS = (
    "balancer",
    "tier",
    "id",
    "parent",
    "grade",
    "customer",
    "taken",
    "limit",
    "goal",
    "worth",
    "final",
    "answered",
    "late",
    "reason",
    "waits",
    "waited",
    "tries",
    "upstreams",
    "outcomes",
    "again",
)
PARQUET_TYPES = {  # names of pyarrow's type factories; all other columns are strings
    "tier": "int32",
    "taken": "int64",
    "limit": "int64",
    "goal": "int64",
    "worth": "float64",
    "answered": "int64",
    "late": "bool_",
    "waits": "int32",
    "waited": "int64",
    "tries": "int32",
}
PARQUET_BATCH_ROWS = 10_000

Rows: TypeAlias = Iterable[tuple[FileMetadata, RequestTrace]]


def write_json_lines(rows: Rows, file: TextIO) -> int:
    """Write each record with all its fields; return the number of records."""
    return _write_lines(rows, file, to_dict)


def write_opentelemetry(rows: Rows, file: TextIO) -> int:
    """Write each record as OpenTelemetry's ``TracesData``; return the number of records."""
    return _write_lines(rows, file, traces_data)


def write_csv(rows: Rows, file: TextIO) -> int:
    """Write a header line and a line for each record; return the number of records."""
    writer = csv.DictWriter(file, COLUMNS)
    writer.writeheader()
    count = 0
    for metadata, trace in rows:
        writer.writerow(to_flat_dict(metadata, trace))
        count += 1
    return count


def write_parquet(rows: Rows, path: Path) -> int:
    """Write a row for each record; return their number. Raises ParquetUnavailableError."""
    try:
        import pyarrow  # type: ignore[import-not-found]
        from pyarrow import parquet
    except ImportError as error:
        raise ParquetUnavailableError("Parquet needs pyarrow, which is not installed") from error
    types = {name: getattr(pyarrow, kind)() for name, kind in PARQUET_TYPES.items()}
    schema = pyarrow.schema([(name, types.get(name, pyarrow.string())) for name in COLUMNS])
    count = 0
    flat_rows = (to_flat_dict(metadata, trace) for metadata, trace in rows)
    with parquet.ParquetWriter(path, schema) as writer:
        for batch in _batches(flat_rows):
            writer.write_table(pyarrow.Table.from_pylist(batch, schema))
            count += len(batch)
    return count


def to_dict(metadata: FileMetadata, trace: RequestTrace) -> dict[str, Any]:
    """Return all fields of a record by name, with the name and tier of its balancer."""
    return {"balancer": metadata.name, "tier": metadata.tier, **_to_dicts(trace)}


def to_flat_dict(metadata: FileMetadata, trace: RequestTrace) -> dict[str, Any]:
    """Return a record as one row of COLUMNS.

    ``waits`` and ``tries`` are counts, ``waited`` is the total time in the admission queue. Several
    values in one column are separated by spaces, so spaces within an outcome become hyphens. Times
    are in microseconds, except ``taken``, which is in nanoseconds.
    """
    return {
        "balancer": metadata.name,
        "tier": metadata.tier,
        "id": trace.id,
        "parent": trace.parent,
        "grade": trace.grade,
        "customer": trace.customer,
        "taken": trace.taken,
        "limit": trace.limit,
        "goal": trace.goal,
        "worth": trace.worth,
        "final": trace.final,
        "answered": trace.answered,
        "late": trace.late,
        "reason": trace.reason,
        "waits": len(trace.waits),
        "waited": sum(max(0, wait.until - wait.begun) for wait in trace.waits),
        "tries": len(trace.sent),
        "upstreams": " ".join(attempt.upstream for attempt in trace.sent),
        "outcomes": " ".join(
            (attempt.outcome or OPEN_ATTEMPT).replace(" ", "-") for attempt in trace.sent
        ),
        "again": " ".join(
            attempt.again.verdict for attempt in trace.sent if attempt.again is not None
        ),
    }


def _write_lines(
    rows: Rows, file: TextIO, encode: Callable[[FileMetadata, RequestTrace], dict[str, Any]]
) -> int:
    count = 0
    for metadata, trace in rows:
        file.write(json.dumps(encode(metadata, trace), separators=(",", ":")) + "\n")
        count += 1
    return count


def _batches(rows: Iterator[dict[str, Any]]) -> Iterator[list[dict[str, Any]]]:
    while batch := list(islice(rows, PARQUET_BATCH_ROWS)):
        yield batch


def _to_dicts(value: Any) -> Any:
    """Convert records, nested ones too, to dictionaries; msgspec would convert them to arrays."""
    if isinstance(value, msgspec.Struct):
        fields = msgspec.structs.fields(value)
        return {field.name: _to_dicts(getattr(value, field.name)) for field in fields}
    return [_to_dicts(item) for item in value] if isinstance(value, list) else value
