"""Builds traces of requests from a policy's calls, notes and actions, without I/O.

A trace is complete when its request has ended and has no open attempt. Requests that were rejected,
failed, late, or still open when tracing stopped are always written; the others are sampled.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Any

from pepperhook import domain
from pepperhook.actions import FINAL_RESPONSES, Action, RejectRequest, StartAttempt
from pepperhook.decision_notes import DecisionNote
from pepperhook.tracing.open_trace import OpenTrace
from pepperhook.tracing.records import (
    NS_PER_US,
    UNKNOWN_US,
    RequestOutcome,
    RequestTrace,
)
from pepperhook.tracing.sampling import RequestSampler

ALWAYS_WRITTEN = (RequestOutcome.REJECTED, RequestOutcome.FAILED, RequestOutcome.OPEN)
WriteTrace = Callable[[RequestTrace], None]
Notes = Iterable[tuple[domain.Request, DecisionNote]]


class TraceCollector:
    """Keeps the traces of open requests, and writes each one when it is complete."""

    def __init__(
        self,
        write: WriteTrace,
        service_classes: Sequence[str],
        tenants: Sequence[str],
        sampler: RequestSampler,
    ) -> None:
        """Pass each trace that is to be stored to ``write``, once.

        ``service_classes`` and ``tenants`` are names, indexed by the numbers that the policy uses.
        """
        self.write = write
        self.service_classes = service_classes
        self.tenants = tenants
        self.sampler = sampler
        self.open_traces: dict[domain.Request, OpenTrace] = {}
        self.accepted_count = 0
        self.written_count = 0

    def accept(self, now: int, request: domain.Request) -> None:
        """Begin the trace of a request that is about to be passed to the policy."""
        self.accepted_count += 1
        self.open_traces[request] = OpenTrace(self._new_trace(now, request))

    def collect(
        self,
        now: int,
        call_name: str,
        arguments: Sequence[Any],
        notes: Notes,
        actions: Iterable[Action],
    ) -> None:
        """Process one call of the policy with the notes and actions that it produced.

        ``call_name`` and ``arguments`` are the policy's method and its arguments.
        """
        possibly_complete: list[domain.Request] = []
        # Before the notes, as a retry decision among them is about the attempt that ended.
        if call_name == "attempt_ended":
            self._end_attempt(now, arguments[0], arguments[1], possibly_complete)
        for request, note in notes:
            if (open_trace := self.open_traces.get(request)) is not None:
                self.add_note(now, open_trace, note)
        for action in actions:
            self._apply_action(now, action, possibly_complete)
        # After the actions, so that a final response among them takes precedence.
        if call_name == "client_left":
            self._record_client_left(now, arguments[0], possibly_complete)
        for request in possibly_complete:
            self._close_if_complete(request)

    def add_note(self, now: int, open_trace: OpenTrace, note: DecisionNote) -> None:
        """Record a decision on a request and its reason."""
        open_trace.add_note(now, note)

    def close_all(self) -> None:
        """Write the traces of the requests that are still open."""
        for open_trace in self.open_traces.values():
            self._write_if_selected(open_trace.trace)
        self.open_traces.clear()

    def _new_trace(self, now: int, request: domain.Request) -> RequestTrace:
        request_id = str(request.id)
        root = self.sampler.root_of(request_id)
        service_class = request.service_class
        tenant = request.tenant
        return RequestTrace(
            id=request_id,
            parent=self.sampler.parent_of(request_id),
            grade=_name_of(self.service_classes, service_class.number),
            customer="" if tenant is None else _name_of(self.tenants, tenant),
            taken=now,
            limit=(request.deadline - now) // NS_PER_US,
            goal=service_class.objective_ns // NS_PER_US,
            worth=0.0,
            final=RequestOutcome.OPEN,
            answered=UNKNOWN_US,
            root="" if root == request_id else root,
        )

    def _end_attempt(
        self,
        now: int,
        attempt: domain.Attempt,
        outcome: domain.Outcome,
        possibly_complete: list[domain.Request],
    ) -> None:
        open_trace = self.open_traces.get(attempt.request)
        if open_trace is not None and open_trace.end_attempt(now, attempt, outcome):
            possibly_complete.append(attempt.request)

    def _apply_action(
        self, now: int, action: Action, possibly_complete: list[domain.Request]
    ) -> None:
        if isinstance(action, StartAttempt):
            open_trace = self.open_traces.get(action.attempt.request)
            if open_trace is not None:
                open_trace.start_attempt(now, action.attempt)
        elif isinstance(action, FINAL_RESPONSES):
            open_trace = self.open_traces.get(action.request)
            if open_trace is not None:
                is_rejection = isinstance(action, RejectRequest)
                outcome = RequestOutcome.REJECTED if is_rejection else RequestOutcome.FAILED
                open_trace.finish(now, outcome)
                possibly_complete.append(action.request)

    def _record_client_left(
        self, now: int, request: domain.Request, possibly_complete: list[domain.Request]
    ) -> None:
        open_trace = self.open_traces.get(request)
        if open_trace is None:
            return
        if not open_trace.has_final_outcome:
            open_trace.finish(now, RequestOutcome.CLIENT_LEFT)
        possibly_complete.append(request)

    def _close_if_complete(self, request: domain.Request) -> None:
        if not request.finished or request.open_attempts:
            return
        open_trace = self.open_traces.pop(request, None)
        if open_trace is not None:
            open_trace.trace.worth = round(request.value, 3)
            self._write_if_selected(open_trace.trace)

    def _write_if_selected(self, trace: RequestTrace) -> None:
        is_always_written = trace.final in ALWAYS_WRITTEN or trace.late
        if is_always_written or self.sampler.includes(trace.root or trace.id):
            self.written_count += 1
            self.write(trace)


def _name_of(names: Sequence[str], number: int) -> str:
    """Return the name at an index, or ``#number`` if there is none."""
    return names[number] if 0 <= number < len(names) else f"#{number}"
