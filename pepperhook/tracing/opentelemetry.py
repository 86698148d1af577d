"""Converts traces to the JSON of OpenTelemetry's protocol, without I/O.

The format is ``TracesData`` of opentelemetry-proto 1.x in its "JSON Protobuf Encoding": ids are
hexadecimal, 64-bit numbers are strings, enums are numbers. A file has one object per line, like the
files of OpenTelemetry's file exporter. A request becomes a span of kind SERVER, and each of its
attempts a child span of kind CLIENT. The span of a request that has a parent request is a child of
the parent's span.
"""

from enum import IntEnum
from hashlib import blake2b
from typing import Any, TypeAlias

from pepperhook.container import FileMetadata
from pepperhook.domain import Outcome
from pepperhook.stored_words import OUTCOMES
from pepperhook.tracing.records import (
    OPEN_ATTEMPT,
    AttemptTrace,
    QueueWait,
    RequestOutcome,
    RequestTrace,
)

TRACE_ID_BYTES = 16
SPAN_ID_BYTES = 8
SERVED_ATTEMPT = OUTCOMES[Outcome.SERVED]
REQUEST_ATTRIBUTES = ("id", "customer", "worth", "final", "late", "reason")

Json: TypeAlias = dict[str, Any]


class SpanKind(IntEnum):
    """``Span.SpanKind`` of the protocol."""

    SERVER = 2
    CLIENT = 3


class StatusCode(IntEnum):
    """``Status.StatusCode`` of the protocol."""

    OK = 1
    ERROR = 2


def traces_data(metadata: FileMetadata, trace: RequestTrace) -> Json:
    """Convert a request and its attempts to ``TracesData``."""
    spans = [_request_span(trace)]
    spans += [_attempt_span(trace, number, attempt) for number, attempt in enumerate(trace.sent)]
    resource = {
        "attributes": [
            _attribute("service.name", "pepperhook"),
            _attribute("service.instance.id", metadata.name),
            _attribute("pepperhook.tier", metadata.tier),
        ]
    }
    scope_spans = {"scope": {"name": "pepperhook"}, "spans": spans}
    return {"resourceSpans": [{"resource": resource, "scopeSpans": [scope_spans]}]}


def _request_span(trace: RequestTrace) -> Json:
    span: Json = {
        "traceId": _trace_id(trace),
        "spanId": _span_id(trace.id),
        "name": trace.grade,
        "kind": SpanKind.SERVER,
        "startTimeUnixNano": str(trace.taken),
        "endTimeUnixNano": str(trace.time_ns(max(0, trace.answered))),
        "attributes": [
            *(_attribute(f"pepperhook.{key}", getattr(trace, key)) for key in REQUEST_ATTRIBUTES),
            _attribute("pepperhook.goal_us", trace.goal),
        ],
        "events": [_wait_event(trace, wait) for wait in trace.waits],
        "status": _request_status(trace),
    }
    if trace.parent:
        span["parentSpanId"] = _span_id(trace.parent)
    return span


def _request_status(trace: RequestTrace) -> Json:
    is_served = trace.final == RequestOutcome.SERVED
    status: Json = {"code": StatusCode.OK if is_served else StatusCode.ERROR}
    if trace.reason:
        status["message"] = trace.reason
    return status


def _wait_event(trace: RequestTrace, wait: QueueWait) -> Json:
    return {
        "timeUnixNano": str(trace.time_ns(wait.begun)),
        "name": "waits",
        "attributes": [
            _attribute("place", wait.place),
            _attribute("queue", wait.queue),
            _attribute("end", wait.end),
            _attribute("us", max(0, wait.until - wait.begun)),
        ],
    }


def _attempt_span(trace: RequestTrace, number: int, attempt: AttemptTrace) -> Json:
    is_served = attempt.outcome == SERVED_ATTEMPT
    return {
        "traceId": _trace_id(trace),
        "spanId": _span_id(f"{trace.id} {number}"),
        "parentSpanId": _span_id(trace.id),
        "name": "dispatch",
        "kind": SpanKind.CLIENT,
        "startTimeUnixNano": str(trace.time_ns(attempt.sent)),
        "endTimeUnixNano": str(trace.time_ns(trace.attempt_end_us(attempt))),
        "attributes": _attempt_attributes(attempt),
        "status": {"code": StatusCode.OK if is_served else StatusCode.ERROR},
    }


def _attempt_attributes(attempt: AttemptTrace) -> list[Json]:
    attributes = [
        _attribute("pepperhook.outcome", attempt.outcome or OPEN_ATTEMPT),
        _attribute("server.address", attempt.upstream),
    ]
    if attempt.drawn is not None:
        attributes += [
            _attribute("pepperhook.drawn.where", attempt.drawn.where),
            _attribute("pepperhook.drawn.usable", attempt.drawn.usable),
            _attribute("pepperhook.drawn.fit", attempt.drawn.fit),
        ]
    if attempt.again is not None:
        attributes.append(_attribute("pepperhook.again", attempt.again.verdict))
    return attributes


def _attribute(key: str, value: bool | int | float | str) -> Json:
    # Check for bool first, as it is a subclass of int.
    if isinstance(value, bool):
        typed: Json = {"boolValue": value}
    elif isinstance(value, int):
        typed = {"intValue": str(value)}
    elif isinstance(value, float):
        typed = {"doubleValue": value}
    else:
        typed = {"stringValue": value}
    return {"key": key, "value": typed}


def _trace_id(trace: RequestTrace) -> str:
    return _digest(trace.root or trace.id, TRACE_ID_BYTES)


def _span_id(name: str) -> str:
    return _digest(name, SPAN_ID_BYTES)


def _digest(name: str, size: int) -> str:
    return blake2b(name.encode(), digest_size=size).hexdigest()
