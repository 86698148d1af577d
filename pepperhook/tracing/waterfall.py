"""Renders one request across balancers as lines of text for a terminal."""

from collections.abc import Sequence

from pepperhook.domain import Outcome
from pepperhook.stored_words import OUTCOMES
from pepperhook.tracing.records import (
    OPEN_ATTEMPT,
    AttemptTrace,
    QueueWait,
    RequestTrace,
    RetryDecision,
    Selection,
)
from pepperhook.tracing.request_tree import TimeSpan, TreeRow, span_of

TIMELINE_COLUMNS = 60
NAME_COLUMNS = 16
INDENT = "  "
NS_PER_MS = 1e6
US_PER_MS = 1000
REQUEST_MARK = "-"
WAIT_MARK = "."
OPEN_MARK = "?"
UNKNOWN_MARK = "#"  # for an outcome that only a later version knows
# Letters are initials of the outcome's name here or of its word in stored traces.
OUTCOME_MARKS = {
    OUTCOMES[Outcome.SERVED]: "=",
    OUTCOMES[Outcome.ERROR]: "x",
    OUTCOMES[Outcome.OVERLOADED]: "o",
    OUTCOMES[Outcome.TIMED_OUT]: "t",
    OUTCOMES[Outcome.CONNECT_FAILED]: "!",
    OUTCOMES[Outcome.RESET]: "r",
    OUTCOMES[Outcome.MALFORMED_RESPONSE]: "s",  # spoilt
    OUTCOMES[Outcome.CANCELLED]: "c",
    OUTCOMES[Outcome.NOT_SENT]: "m",  # moot
    "": OPEN_MARK,
}


def waterfall_lines(rows: Sequence[TreeRow]) -> list[str]:
    """Return a line for each request, wait and attempt, with bars along a common timeline."""
    if not rows:
        return []
    span = span_of(rows)
    lines = [
        f"{span.length_ns / NS_PER_MS:.1f} ms from the first taking; "
        ". waits, = fulfilled, others by their letter"
    ]
    for row in rows:
        lines.append(_request_line(row, span))
        lines += [_wait_line(row.trace, wait, span) for wait in row.trace.waits]
        lines += [_attempt_line(row.trace, attempt, span) for attempt in row.trace.sent]
    return lines


def describe_attempt(attempt: AttemptTrace) -> str:
    """Describe an attempt with its outcome, selection and retry decision in one line."""
    text = f"to {attempt.upstream}, {attempt.outcome or OPEN_ATTEMPT}"
    if attempt.ended >= 0:
        text += f" after {(attempt.ended - attempt.sent) / US_PER_MS:.1f} ms"
    if attempt.drawn is not None:
        text += f"; {_describe_selection(attempt.drawn)}"
    if attempt.again is not None:
        text += f"; {_describe_retry(attempt.again)}"
    return text


def _describe_selection(selection: Selection) -> str:
    """Describe the candidates: "out" is the load, "slow" the latency score, "room" capacity."""
    candidates = ", ".join(
        f"{name} (weight {weight:g}, out {load:g}, slow {latency_score:g})"
        for name, weight, load, latency_score in selection.pair
    )
    counts = f"of {selection.fit} with room of {selection.usable} in the {selection.where}"
    return f"{counts}: {candidates}"


def _describe_retry(decision: RetryDecision) -> str:
    draw = ""
    if decision.drawn is not None:
        draw = f" ({decision.drawn:g} drawn, under {decision.most:g} wanted)"
    return f"again: {decision.verdict}{draw}, B {decision.B:g}, f {decision.f:g}"


def _request_line(row: TreeRow, span: TimeSpan) -> str:
    trace = row.trace
    name = INDENT * row.depth + (row.metadata.name or "?")
    bar = _bar(trace, 0, max(0, trace.answered), REQUEST_MARK, span)
    late = " late" if trace.late else ""
    answered = "never" if trace.answered < 0 else f"{trace.answered / US_PER_MS:.1f} ms"
    reason = f" ({trace.reason})" if trace.reason else ""
    text = f"{trace.id} {trace.grade} {trace.customer} {trace.final}{late} {answered}{reason}"
    return _line(name, bar, text)


def _wait_line(trace: RequestTrace, wait: QueueWait, span: TimeSpan) -> str:
    until = trace.wait_end_us(wait)
    text = (
        f"waits {(until - wait.begun) / US_PER_MS:.1f} ms, place {wait.place} of {wait.queue}, "
        f"{wait.usable} usable without room: {wait.end}"
    )
    return _line("", _bar(trace, wait.begun, until, WAIT_MARK, span), text)


def _attempt_line(trace: RequestTrace, attempt: AttemptTrace, span: TimeSpan) -> str:
    mark = OUTCOME_MARKS.get(attempt.outcome, UNKNOWN_MARK)
    bar = _bar(trace, attempt.sent, trace.attempt_end_us(attempt), mark, span)
    return _line("", bar, describe_attempt(attempt))


def _line(name: str, bar: str, text: str) -> str:
    return f"{name[:NAME_COLUMNS]:<{NAME_COLUMNS}} |{bar}| {text}"


def _bar(trace: RequestTrace, begin_us: int, end_us: int, mark: str, span: TimeSpan) -> str:
    """Return the timeline with marks between two times of a record, at least one mark."""
    scale = TIMELINE_COLUMNS / span.length_ns
    first = int((trace.time_ns(begin_us) - span.begin_ns) * scale)
    end = int((trace.time_ns(end_us) - span.begin_ns) * scale)
    cells = [" "] * TIMELINE_COLUMNS
    for column in range(max(0, first), min(TIMELINE_COLUMNS, max(first + 1, end))):
        cells[column] = mark
    return "".join(cells)
