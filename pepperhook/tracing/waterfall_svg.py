"""Draws one request across balancers as SVG; the title of each bar states the reasons."""

from collections.abc import Sequence
from xml.sax.saxutils import escape

from pepperhook.domain import Outcome
from pepperhook.stored_words import OUTCOMES
from pepperhook.tracing.records import AttemptTrace, QueueWait, RequestTrace
from pepperhook.tracing.request_tree import TreeRow, span_of
from pepperhook.tracing.waterfall import NS_PER_MS, describe_attempt

WIDTH = 900
LEFT_MARGIN = 230  # space for the names
RIGHT_MARGIN = 20
TOP_MARGIN = 30
BOTTOM_MARGIN = 12
ROW_HEIGHT = 18
INDENT = 12
MIN_BAR_WIDTH = 1.5
REQUEST_COLOUR = "#cfd8dc"
WAIT_COLOUR = "#f4b400"
UNKNOWN_COLOUR = "#000"  # for an outcome that only a later version knows
OUTCOME_COLOURS = {
    OUTCOMES[Outcome.SERVED]: "#3a7d44",
    OUTCOMES[Outcome.ERROR]: "#b3261e",
    OUTCOMES[Outcome.OVERLOADED]: "#c77700",
    OUTCOMES[Outcome.TIMED_OUT]: "#7b1fa2",
    OUTCOMES[Outcome.CONNECT_FAILED]: "#5d4037",
    OUTCOMES[Outcome.RESET]: "#ad1457",
    OUTCOMES[Outcome.MALFORMED_RESPONSE]: "#6a1b9a",
    OUTCOMES[Outcome.CANCELLED]: "#546e7a",
    OUTCOMES[Outcome.NOT_SENT]: "#90a4ae",
    "": "#9e9e9e",  # open
}


def waterfall_svg(rows: Sequence[TreeRow]) -> str:
    """Return an SVG document for a tree of one or more records."""
    return _Drawing(rows).draw()


class _Drawing:
    """Collects the SVG elements of one drawing, row by row from the top."""

    def __init__(self, rows: Sequence[TreeRow]) -> None:
        self._rows = rows
        self._span = span_of(rows)
        self._top = TOP_MARGIN  # y coordinate of the row that is drawn next
        self._elements: list[str] = []

    def draw(self) -> str:
        """Return the SVG document."""
        for row in self._rows:
            self._draw_request(row)
            for attempt in row.trace.sent:
                self._draw_attempt(row, attempt)
        length_ms = self._span.length_ns / NS_PER_MS
        self._elements.append(
            f'<text x="{LEFT_MARGIN}" y="18">0</text>'
            f'<text x="{WIDTH - 90}" y="18">{length_ms:.1f} ms</text>'
        )
        return (
            f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
            f'height="{self._top + BOTTOM_MARGIN}" font-family="sans-serif" font-size="12">'
            f'<rect width="100%" height="100%" fill="white"/>{"".join(self._elements)}</svg>\n'
        )

    def _draw_request(self, row: TreeRow) -> None:
        trace = row.trace
        name = escape(f"{row.metadata.name or '?'} {trace.grade}")
        self._elements.append(
            f'<text x="{8 + INDENT * row.depth}" y="{self._top + 13}">{name}</text>'
        )
        title = f"{trace.id}: {trace.final} {trace.reason}"
        self._draw_bar(trace, 0, max(0, trace.answered), REQUEST_COLOUR, title)
        for wait in trace.waits:
            self._draw_wait(trace, wait)
        self._top += ROW_HEIGHT

    def _draw_wait(self, trace: RequestTrace, wait: QueueWait) -> None:
        title = f"waits at place {wait.place} of {wait.queue}: {wait.end}"
        until = trace.wait_end_us(wait)
        self._draw_bar(trace, wait.begun, until, WAIT_COLOUR, title, is_thin=True)

    def _draw_attempt(self, row: TreeRow, attempt: AttemptTrace) -> None:
        self._elements.append(
            f'<text x="{20 + INDENT * row.depth}" y="{self._top + 13}" fill="#555">'
            f"{escape(attempt.upstream)}</text>"
        )
        colour = OUTCOME_COLOURS.get(attempt.outcome, UNKNOWN_COLOUR)
        until = row.trace.attempt_end_us(attempt)
        self._draw_bar(row.trace, attempt.sent, until, colour, describe_attempt(attempt))
        self._top += ROW_HEIGHT

    def _draw_bar(
        self,
        trace: RequestTrace,
        begin_us: int,
        end_us: int,
        colour: str,
        title: str,
        is_thin: bool = False,
    ) -> None:
        left, right = self._x(trace.time_ns(begin_us)), self._x(trace.time_ns(end_us))
        top = self._top + (4 if is_thin else 1)
        height = ROW_HEIGHT - (8 if is_thin else 3)
        self._elements.append(
            f'<rect x="{left:.1f}" y="{top}" width="{max(MIN_BAR_WIDTH, right - left):.1f}" '
            f'height="{height}" fill="{colour}"><title>{escape(title)}</title></rect>'
        )

    def _x(self, time_ns: int) -> float:
        return LEFT_MARGIN + self._span.fraction(time_ns) * (WIDTH - LEFT_MARGIN - RIGHT_MARGIN)
