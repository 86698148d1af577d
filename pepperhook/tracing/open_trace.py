"""The trace of a request that has not ended yet."""

from pepperhook import domain
from pepperhook.decision_notes import (
    DecisionNote,
    OverQuotaNote,
    QueuedNote,
    RejectionNote,
    RejectionReason,
    RetryNote,
    RetryVerdict,
    SelectionNote,
)
from pepperhook.stored_words import OUTCOMES
from pepperhook.tracing.records import (
    NS_PER_US,
    AttemptTrace,
    Candidate,
    CandidateSource,
    QueueWait,
    RequestOutcome,
    RequestTrace,
    RetryDecision,
    Selection,
    WaitEnd,
)

MAX_RECORDED_STEPS = (
    64  # most waits, and most attempts, recorded of a request; others count in ``cut``
)
# These texts, and those that are composed below, are stored in the reasons of traces.
NO_CAPACITY = "no room"
NONE_USABLE = "none usable"


class OpenTrace:
    """Adds the policy's decisions and the outcomes of attempts to the record of a request."""

    __slots__ = ("trace", "attempts", "selection", "usable", "reason", "last_ended")

    def __init__(self, trace: RequestTrace) -> None:
        """Begin with the record of a request that was just accepted."""
        self.trace = trace
        self.attempts: dict[domain.Attempt, AttemptTrace] = {}
        self.selection: SelectionNote | None = None  # for the attempt that is sent next
        self.usable = 0  # usable upstreams at the last selection
        self.reason = ""  # why the request would fail if it failed now
        self.last_ended: AttemptTrace | None = None

    @property
    def has_final_outcome(self) -> bool:
        """Whether the request has its final outcome: a response, or its client has left."""
        return self.trace.answered >= 0

    def add_note(self, now: int, note: DecisionNote) -> None:
        """Record a decision of the policy and its reason."""
        match note:
            case SelectionNote():
                self._add_selection(note)
            case QueuedNote(position, length):
                self._begin_wait(now, position, length)
            case RetryNote():
                self._add_retry_decision(note)
            case OverQuotaNote(rate, quota):
                self.trace.share = (round(rate, 3), round(quota, 3))
            case RejectionNote(reason):
                self._add_rejection(now, reason)

    def start_attempt(self, now: int, attempt: domain.Attempt) -> None:
        """Record that an attempt was sent."""
        self._end_wait(now, WaitEnd.SENT)
        if len(self.trace.sent) >= MAX_RECORDED_STEPS:
            self.trace.cut += 1
            return
        record = AttemptTrace(_decode_address(attempt.upstream.address), self._offset_us(now))
        if self.selection is not None:
            record.drawn = _selection_record(self.selection)
        self.selection = None
        self.reason = ""
        self.trace.sent.append(record)
        self.attempts[attempt] = record

    def end_attempt(self, now: int, attempt: domain.Attempt, outcome: domain.Outcome) -> bool:
        """Record the outcome of an attempt; return False if it had ended before."""
        record = self.attempts.get(attempt)
        if record is None:
            # Not recorded because of the limit, but it may be the attempt that served the request.
            return self._end_unrecorded_attempt(now, outcome)
        if record.ended >= 0:
            return False
        record.ended = self._offset_us(now)
        record.outcome = OUTCOMES[outcome]
        self.last_ended = record
        if outcome == domain.Outcome.SERVED and not self.has_final_outcome:
            self.finish(now, RequestOutcome.SERVED)
        return True

    def _end_unrecorded_attempt(self, now: int, outcome: domain.Outcome) -> bool:
        if outcome == domain.Outcome.SERVED and not self.has_final_outcome:
            self.finish(now, RequestOutcome.SERVED)
        return True

    def finish(self, now: int, outcome: RequestOutcome) -> None:
        """Record the final outcome of the request; later ones are ignored."""
        trace = self.trace
        if trace.final != RequestOutcome.OPEN:
            return
        is_unserved = outcome in (RequestOutcome.REJECTED, RequestOutcome.FAILED)
        self._end_wait(now, WaitEnd.TIME_UP if is_unserved else outcome)
        trace.final = outcome
        trace.answered = self._offset_us(now)
        trace.late = outcome == RequestOutcome.SERVED and trace.answered > trace.goal
        if is_unserved:
            trace.reason = self.reason or self._last_attempt_reason()

    def _last_attempt_reason(self) -> str:
        return f"dispatch {self.last_ended.outcome}" if self.last_ended else ""

    def _offset_us(self, now: int) -> int:
        return (now - self.trace.taken) // NS_PER_US

    def _add_selection(self, note: SelectionNote) -> None:
        self.selection = note
        self.usable = note.usable
        if not note.candidates:
            self.reason = NO_CAPACITY if note.usable else NONE_USABLE

    def _begin_wait(self, now: int, position: int, length: int) -> None:
        if len(self.trace.waits) >= MAX_RECORDED_STEPS:
            self.trace.cut += 1
            return
        wait = QueueWait(self._offset_us(now), place=position, queue=length, usable=self.usable)
        self.trace.waits.append(wait)

    def _end_wait(self, now: int, end: str) -> None:
        waits = self.trace.waits
        if waits and waits[-1].until < 0:
            waits[-1].until = self._offset_us(now)
            waits[-1].end = end

    def _add_retry_decision(self, note: RetryNote) -> None:
        if self.last_ended is not None:
            self.last_ended.again = RetryDecision(
                verdict=note.verdict,
                drawn=note.drawn and round(note.drawn, 4),  # None and 0.0 stay as they are
                most=round(note.allowed, 4),
                B=round(note.budget, 4),
                f=round(note.failure_fraction, 4),
            )
        if note.verdict is not RetryVerdict.GRANTED:
            self.reason = f"not again: {note.verdict}"

    def _add_rejection(self, now: int, reason: RejectionReason) -> None:
        self._end_wait(now, reason)
        has_cause = self.reason in (NO_CAPACITY, NONE_USABLE)
        self.reason = f"{reason}, {self.reason}" if has_cause else reason


def _selection_record(note: SelectionNote) -> Selection:
    source = CandidateSource.SUBSET if note.from_subset else CandidateSource.ALL_READY
    candidates = [
        Candidate(
            _decode_address(candidate.address),
            round(candidate.weight, 3),
            round(candidate.load, 2),
            round(candidate.latency_score, 2),
        )
        for candidate in note.candidates
    ]
    return Selection(source, note.usable, note.with_capacity, candidates)


def _decode_address(address: bytes | str) -> str:
    return address.decode(errors="replace") if isinstance(address, bytes) else str(address)
