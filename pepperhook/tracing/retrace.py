"""Creates traces from captures, which it replays to a policy that is wrapped in a tracer.

A replay is exact, so the reasons of the decisions are those of the captured balancer, although it
did not record them.
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
    """The result of tracing captures, with the field names of the output."""

    out: str
    lives: int = 0  # records that were written
    calls: int = 0  # calls that were replayed
    # Number of the first call, from 1, whose actions differ from those in the capture; the reasons
    # from there on are those of this build.
    differs_at: int | None = None


def trace_captures(
    paths: Sequence[StrPath],
    out: StrPath,
    parent_pattern: str | None = None,
    report_progress: ReportProgress = ignore_progress,
) -> RetraceResult:
    """Replay the captures of one balancer, in the given order, and write their traces to ``out``.

    ``parent_pattern`` is a regular expression that is matched with the id of a request; its first
    group is the id of the parent request. Raises UnreadableFileError and StateRefusedError.
    """
    with open_capture(paths[0]) as first:
        capture_metadata = first.metadata
    result = RetraceResult(str(out))
    with replacing_trace_file(out, _metadata_of(capture_metadata)) as writer:
        replayer = _TracingReplayer(writer, capture_metadata, parent_pattern, result)
        for number, path in enumerate(paths):
            report_progress(str(path), number / len(paths))
            with open_capture(path) as reader:
                for kind, *fields in read_records(reader):
                    replayer.replay_record(kind, fields)
        replayer.stop()
    return result


def _metadata_of(capture_metadata: FileMetadata) -> FileMetadata:
    """Return the metadata of the trace, which has all requests and not a sample."""
    return FileMetadata(
        CONTENT,
        CONTENT_VERSION,
        capture_metadata.name,
        capture_metadata.tier,
        capture_metadata.created_unix_ns,
        capture_metadata.created_ns,
        {"share": 1.0},
    )


class _TracingReplayer:
    """Replays records of captures to a policy that is wrapped in a tracer."""

    def __init__(
        self,
        writer: ContainerWriter,
        capture_metadata: FileMetadata,
        parent_pattern: str | None,
        result: RetraceResult,
    ) -> None:
        self._writer = writer
        self._service_classes = capture_metadata.extra.get("grades", ())
        self._tenants = capture_metadata.extra.get("customers", ())
        self._parent_pattern = parent_pattern
        self._result = result
        self._driver = Driver(Balancer)
        self._tracer: Tracer | None = None

    def replay_record(self, kind: str, fields: list[Any]) -> None:
        """Replay one record of a capture."""
        # A state inside a capture normally equals the replayed policy, and is then skipped.
        if kind == "new" or (kind == "state" and not self._is_current_state(fields)):
            self._start_policy(kind, fields)
        elif kind == "upstream":
            self._driver.add_upstream(*fields)
        elif kind == "operation":
            self._driver.add_request(*fields)
        elif kind == "call" and self._tracer is not None:
            self._replay_call(*fields)

    def stop(self) -> None:
        """Write the traces of the requests that are still open."""
        if self._tracer is not None:
            self._tracer.stop()

    def _start_policy(self, kind: str, fields: list[Any]) -> None:
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

    def _replay_call(
        self,
        name: str,
        now: int,
        arguments: list[Any],
        recorded_actions: list[Any],
        recorded_fault: str | None,
    ) -> None:
        result = self._result
        replayed_actions, replayed_fault = self._driver.call(name, now, arguments)
        result.calls += 1
        is_equal = replayed_fault == recorded_fault and ENCODER.encode(
            replayed_actions
        ) == ENCODER.encode(recorded_actions)
        if not is_equal and result.differs_at is None:
            result.differs_at = result.calls

    def _is_current_state(self, fields: list[Any]) -> bool:
        """Return whether a stored state equals that of the replayed policy.

        If it does not, calls before it are missing from the capture.
        """
        if self._tracer is None:
            return False
        stored_driver = Driver(Balancer)
        stored_driver.restore_state(*fields)
        # A stored state has no list of notes, so the comparison is made without the tracer's.
        self._tracer.module.notes = None
        ignored = legacy_state.missing_attributes(fields[0])
        differences = state.differences(self._tracer.module, stored_driver.policy, ignored=ignored)
        return not differences

    def _write(self, trace: RequestTrace) -> None:
        append_trace(self._writer, trace)
        self._result.lives += 1
