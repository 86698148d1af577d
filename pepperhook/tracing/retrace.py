"""Makes the traces of captures: a tracer stands in the policy's place while they are replayed.

As a replay is exact, the reasons are those that the captured balancer had, although it noted none.
"""

from collections.abc import Sequence
from typing import Any

from msgspec import Struct

from pepperhook.balancer import Balancer
from pepperhook.capture import legacy_state, state
from pepperhook.capture.driver import Driver
from pepperhook.capture.reader import open_capture, read_records
from pepperhook.capture.recorder import ENCODER
from pepperhook.container import ContainerWriter, FileMetadata
from pepperhook.tracing.reader import StrPath
from pepperhook.tracing.records import CONTENT, CONTENT_VERSION, RequestTrace
from pepperhook.tracing.trace_file import (
    ReportProgress,
    append_trace,
    ignore_progress,
    replacing_trace_file,
)
from pepperhook.tracing.tracer import Tracer


class RetraceResult(Struct):
    """What was made, under the names of the output."""

    out: str
    lives: int = 0  # records that were written
    calls: int = 0  # that were replayed
    # The first call whose actions are not those of the capture: from there on the reasons are those
    # of this build.
    differs_at: int | None = None


def trace_captures(
    paths: Sequence[StrPath],
    out: StrPath,
    parent_pattern: str | None = None,
    report_progress: ReportProgress = ignore_progress,
) -> RetraceResult:
    """Write the traces of one balancer's captures, given in their order, to ``out``.

    ``parent_pattern`` is a regular expression; its first group is the id of the request that a
    request was made for. Raises UnreadableFileError and StateRefusedError.
    """
    with open_capture(paths[0]) as first:
        captured = first.metadata
    result = RetraceResult(str(out))
    with replacing_trace_file(out, _metadata_of(captured)) as writer:
        player = _TracingPlayer(writer, captured, parent_pattern, result)
        for number, path in enumerate(paths):
            report_progress(str(path), number / len(paths))
            with open_capture(path) as reader:
                for kind, *fields in read_records(reader):
                    player.play(kind, fields)
        player.stop()
    return result


def _metadata_of(captured: FileMetadata) -> FileMetadata:
    """Return the metadata of the trace: no request is left out of it."""
    return FileMetadata(
        CONTENT,
        CONTENT_VERSION,
        captured.name,
        captured.tier,
        captured.created_unix_ns,
        captured.created_ns,
        {"share": 1.0},
    )


class _TracingPlayer:
    """Replays records of captures with a tracer in the policy's place."""

    def __init__(
        self,
        writer: ContainerWriter,
        captured: FileMetadata,
        parent_pattern: str | None,
        result: RetraceResult,
    ) -> None:
        self._writer = writer
        self._service_classes = captured.extra.get("grades", ())
        self._tenants = captured.extra.get("customers", ())
        self._parent_pattern = parent_pattern
        self._result = result
        self._driver = Driver(Balancer)
        self._tracer: Tracer | None = None

    def play(self, kind: str, fields: list[Any]) -> None:
        """Take in one record of a capture."""
        if kind == "new" or (kind == "state" and not self._has_come_to(fields)):
            self._begin(kind, fields)
        elif kind == "upstream":
            self._driver.add_upstream(*fields)
        elif kind == "operation":
            self._driver.add_request(*fields)
        elif kind == "call" and self._tracer is not None:
            self._call(*fields)

    def stop(self) -> None:
        """Write the requests that are open."""
        if self._tracer is not None:
            self._tracer.stop()

    def _begin(self, kind: str, fields: list[Any]) -> None:
        self.stop()
        driver = self._driver
        driver.policy = None
        if kind == "new":
            driver.start_policy(*fields)
        else:
            driver.restore_state(*fields)
        self._tracer = Tracer(
            driver.policy,
            self._write,
            self._service_classes,
            self._tenants,
            parent_pattern=self._parent_pattern,
        )
        driver.policy = self._tracer

    def _call(
        self, name: str, now: int, arguments: list[Any], recorded: list[Any], fault: str | None
    ) -> None:
        result = self._result
        replayed, raised = self._driver.call(name, now, arguments)
        result.calls += 1
        is_same = raised == fault and ENCODER.encode(replayed) == ENCODER.encode(recorded)
        if not is_same and result.differs_at is None:
            result.differs_at = result.calls

    def _has_come_to(self, fields: list[Any]) -> bool:
        """Return whether a stored state is the one that was replayed up to here.

        Otherwise there is a gap before it.
        """
        if self._tracer is None:
            return False
        stored = Driver(Balancer)
        stored.restore_state(*fields)
        # A stored state is of a policy that takes no notes.
        self._tracer.module.notes = None
        ignored = legacy_state.missing_attributes(fields[0])
        found = state.differences(self._tracer.module, stored.policy, ignored=ignored)
        return not found

    def _write(self, trace: RequestTrace) -> None:
        append_trace(self._writer, trace)
        self._result.lives += 1
