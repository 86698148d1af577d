"""Decides how a tier applies the contexts and results that it receives, without I/O.

The retry budget of each tier decides as it would without contexts. A context or result can only
forbid retries, shorten the deadline, end the request or set its priority weight. All times are
integer nanoseconds, and passed in by the caller.
"""

from collections import Counter
from collections.abc import Iterable

from pepperhook.domain import NEVER_EXECUTED, Outcome
from pepperhook.request_context.callers import CallerStatistics
from pepperhook.request_context.errors import RejectionReason
from pepperhook.request_context.latency import LatencyQuantiles
from pepperhook.request_context.loop_detection import LoopDetector
from pepperhook.request_context.messages import (
    MAX_DEPTH,
    MAX_HOPS,
    MAX_PATH_LENGTH,
    MAX_RETRIES,
    ContextResult,
    RequestContext,
    TierOutcome,
)
from pepperhook.request_context.request_state import Admission, Arrival, RequestState, RetryStop
from pepperhook.request_context.retry_allowance import EntryBudget, RetryAllowance
from pepperhook.request_context.seen_contexts import SeenContext, SeenContexts
from pepperhook.server.messages import ResponseKind
from pepperhook.units import MILLISECOND

ENTRY_PATH = "0"
# A balancer numbers its attempts, and starts again at this number; so a part of a path has at most
# four hexadecimal digits.
PATH_NUMBER_LIMIT = 36**3
MIN_OVERHEAD_NS = MILLISECOND // 10  # lower bound of a measured overhead

RETRY_STOPS = {
    TierOutcome.LOOP: RetryStop.LOOP,
    TierOutcome.EXPIRED: RetryStop.EXPIRED,
    TierOutcome.REJECTED: RetryStop.REJECTED,
}
# Outcomes that are passed on to the tiers above, which must not retry them either. A lack of
# capacity (REJECTED) is not passed on.
FORWARDED_OUTCOMES = {
    RetryStop.LOOP: TierOutcome.LOOP,
    RetryStop.EXPIRED: TierOutcome.EXPIRED,
}


def retry_stop(result: ContextResult) -> RetryStop | None:
    """Return the reason not to retry after this result, or None if a retry may help."""
    if result.outcome is TierOutcome.FAILED and result.attempts > 1:
        return RetryStop.RETRIED_BELOW
    return RETRY_STOPS.get(result.outcome)


def most_restrictive(results: Iterable[ContextResult]) -> ContextResult | None:
    """Return the most restrictive of several results, or None if there are none.

    A node that made several calls to the tier below may return several. A result that rules out
    retries is preferred, then the one with the fewest unused retries.
    """
    return min(
        results,
        key=lambda result: (retry_stop(result) is None, result.unused_retries),
        default=None,
    )


class ContextPolicy:
    """Decides for one balancer which requests and retries its contexts allow."""

    def __init__(self, hop: str) -> None:
        """``hop``: the balancer's name in the header, see ``authentication.hop_name``."""
        self.entry_budget = EntryBudget()
        self.seen_contexts = SeenContexts()
        self.loops = LoopDetector(hop)
        self.callers = CallerStatistics()
        self.rejected_values: Counter[RejectionReason] = Counter()  # header values, not requests
        self.reporting_upstreams: set[object] = set()  # upstreams that have returned a result
        self._serving_times = LatencyQuantiles()
        # Of attempts: their duration minus the time that the tier below reports.
        self._overheads = LatencyQuantiles()
        self._path_number = 0

    # Arrival.

    def decide_admission(
        self, now: int, arrival: Arrival, context: RequestContext | None
    ) -> Admission:
        """Admit or reject a request; ``context`` is None if it has no valid one."""
        seen_context = None if context is None else self.seen_contexts.find(context)
        if seen_context is not None and now > seen_context.expires_at:
            # The call that the context was made for is over: it was copied to an unrelated call.
            self.rejected_values[RejectionReason.REPLAYED] += 1
            context = None
        if context is None:
            return self._admit(self._state_without_context(now, arrival), arrival.deadline)
        state = self._state_from_context(now, arrival, context, seen_context)
        if self.loops.is_loop(state):
            return self._reject_request(state, TierOutcome.LOOP, arrival.deadline)
        if state.remaining_ns is None:
            return self._admit(state, arrival.deadline, context.priority_weight)
        deadline = min(arrival.deadline, now + state.remaining_ns)
        needed_ns = self._serving_times.p5(now, state.service_class) or 0
        if state.remaining_ns <= needed_ns:
            return self._reject_request(state, TierOutcome.EXPIRED, deadline)
        return self._admit(state, deadline, context.priority_weight)

    def _admit(
        self, state: RequestState, deadline: int, priority_weight: float | None = None
    ) -> Admission:
        self.loops.enter(state)
        return Admission(state, None, deadline, priority_weight)

    def _reject_request(
        self, state: RequestState, outcome: TierOutcome, deadline: int
    ) -> Admission:
        state.outcome = outcome
        return Admission(state, outcome, deadline, None)

    def _state_without_context(self, now: int, arrival: Arrival) -> RequestState:
        retries = self.entry_budget.reserve(now, arrival.retry_ratio)
        return RequestState(
            request_id=arrival.request_id,
            path=ENTRY_PATH,
            depth=0,
            hops=(),
            allowance=RetryAllowance(retries),
            is_reserved_here=True,
            priority_weight=arrival.service_class.priority_weight,
            arrived_at=now,
            service_class=arrival.service_class.number,
            has_context=False,
        )

    def _state_from_context(
        self, now: int, arrival: Arrival, context: RequestContext, seen_context: SeenContext | None
    ) -> RequestState:
        remaining_ns = _remaining_ns(now, context, seen_context)
        # A context without a number of retries leaves the decision to this tier's entry budget.
        is_reserved_here = seen_context is None and context.retries is None
        if seen_context is None:
            seen_context = self._remember(now, arrival, context, remaining_ns)
        return RequestState(
            request_id=context.request_id,
            path=context.path,
            depth=context.depth,
            hops=context.hops,
            allowance=seen_context.allowance,
            is_reserved_here=is_reserved_here,
            priority_weight=context.priority_weight,
            arrived_at=now,
            service_class=arrival.service_class.number,
            has_context=True,
            remaining_ns=remaining_ns,
        )

    def _remember(
        self, now: int, arrival: Arrival, context: RequestContext, remaining_ns: int | None
    ) -> SeenContext:
        retries = context.retries
        if retries is None:
            retries = self.entry_budget.reserve(now, arrival.retry_ratio)
        expires_at = arrival.deadline
        if remaining_ns is not None:
            expires_at = min(expires_at, now + remaining_ns)
        seen_context = SeenContext(now, expires_at, RetryAllowance(retries))
        self.seen_contexts.add(now, context, seen_context)
        return seen_context

    # Attempts.

    def attempt_started(
        self, now: int, state: RequestState, deadline: int, is_retry: bool
    ) -> RequestContext | None:
        """Return the context to send with an attempt, or None for a retry that must not be made."""
        allowance = state.allowance
        if is_retry:
            if state.retry_stop or allowance.retries < 1:
                state.refused_retries += 1
                return None
            allowance.retries -= 1
        # Lend only half, rounded up: retries lent to an attempt without a response are lost.
        state.lent_retries = allowance.retries - allowance.retries // 2
        allowance.retries -= state.lent_retries
        state.attempts += 1
        state.attempt_started_at = now
        overhead_ns = self._overheads.p95(now, state.service_class) or 0
        return RequestContext(
            request_id=state.request_id,
            path=self._next_path(state),
            depth=min(state.depth + 1, MAX_DEPTH),
            remaining_ms=max(0, deadline - now - overhead_ns) // MILLISECOND,
            retries=state.lent_retries,
            priority_weight=state.priority_weight,
            hops=(*state.hops, self.loops.hop)[-MAX_HOPS:],
        )

    def _next_path(self, state: RequestState) -> str:
        self._path_number += 1
        # A path that is too long loses its first parts.
        return f"{state.path}.{self._path_number % PATH_NUMBER_LIMIT:x}"[-MAX_PATH_LENGTH:]

    def attempt_ended(
        self,
        now: int,
        state: RequestState,
        upstream: object,
        outcome: Outcome,
        result: ContextResult | None,
    ) -> None:
        """Take back the retries that the tier below did not use.

        ``result`` is None if the attempt returned none, or none that is trusted.
        """
        lent, state.lent_retries = state.lent_retries, 0
        if outcome not in NEVER_EXECUTED:
            state.may_have_executed = True
        if result is not None and result.request_id == state.request_id:
            self.reporting_upstreams.add(upstream)
            state.allowance.retries += min(result.unused_retries, lent)
            self._measure(now, state, result)
            if outcome != Outcome.SERVED:
                state.retry_stop = retry_stop(result) or state.retry_stop
        elif self._cannot_have_used_retries(upstream, outcome):
            state.allowance.retries += lent

    def _cannot_have_used_retries(self, upstream: object, outcome: Outcome) -> bool:
        """Return whether no tier below can have used retries in an attempt without a result.

        That is so if the attempt was never executed, if the upstream has never returned a result
        (it calls no tier below), or if there was a response without a result (it failed before it
        called the tier below).
        """
        return (
            outcome in NEVER_EXECUTED
            or upstream not in self.reporting_upstreams
            or outcome in (Outcome.SERVED, Outcome.ERROR)
        )

    def _measure(self, now: int, state: RequestState, result: ContextResult) -> None:
        attempt_ns = now - state.attempt_started_at
        spent_ns = min(result.spent_ms * MILLISECOND, attempt_ns)
        state.time_below_ns = max(state.time_below_ns, spent_ns)
        overhead_ns = max(MIN_OVERHEAD_NS, attempt_ns - spent_ns)
        self._overheads.add(now, state.service_class, overhead_ns)

    def upstreams_changed(self, upstreams: Iterable[object]) -> None:
        """Remove upstreams that are no longer in the endpoint list."""
        self.reporting_upstreams.intersection_update(upstreams)

    # Response and end.

    def respond(self, now: int, state: RequestState, kind: ResponseKind) -> ContextResult:
        """Return the result to send with the final response of a request."""
        if state.outcome not in (TierOutcome.LOOP, TierOutcome.EXPIRED):
            state.outcome = _outcome(state, kind)
        if kind == ResponseKind.SERVED:
            self._serving_times.add(now, state.service_class, now - state.arrived_at)
        return ContextResult(
            request_id=state.request_id,
            path=state.path,
            outcome=state.outcome,
            unused_retries=min(state.allowance.retries, MAX_RETRIES),
            spent_ms=(now - state.arrived_at) // MILLISECOND,
            attempts=state.attempts,
        )

    def finish(self, state: RequestState) -> None:
        """Remove an ended request from loop detection, and return its unused reserved retries."""
        self.loops.leave(state)
        if state.is_reserved_here:
            self.entry_budget.return_unused(state.allowance.retries)
            state.allowance.retries = 0


def _remaining_ns(
    now: int, context: RequestContext, seen_context: SeenContext | None
) -> int | None:
    if context.remaining_ms is None:
        return None
    elapsed_ns = 0 if seen_context is None else now - seen_context.first_received_at
    return max(0, context.remaining_ms * MILLISECOND - elapsed_ns)


def _outcome(state: RequestState, kind: ResponseKind) -> TierOutcome:
    if kind == ResponseKind.SERVED:
        return TierOutcome.SERVED
    stop = None if state.retry_stop is None else FORWARDED_OUTCOMES.get(state.retry_stop)
    if stop is not None:
        return stop
    # The response to a failed request that is safe to retry is of the kind REJECTED, too. Only a
    # request that was executed nowhere is reported to the tier above as a lack of capacity.
    if kind == ResponseKind.REJECTED and not state.may_have_executed:
        return TierOutcome.REJECTED
    return TierOutcome.FAILED
