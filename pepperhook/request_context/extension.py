"""The extension for request contexts, called at the balancer's hook points.

It reads and writes the headers, and applies the decisions of ``context_policy``.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from pepperhook.key_ring import KeyRing
from pepperhook.request_context import context_header
from pepperhook.request_context.authentication import hop_name
from pepperhook.request_context.callers import MAX_CALLERS
from pepperhook.request_context.context_header import CONTEXT_HEADER, RESULT_HEADER
from pepperhook.request_context.context_policy import ContextPolicy, most_restrictive
from pepperhook.request_context.context_reader import ContextReader, TrustedNetworks
from pepperhook.request_context.errors import RejectionReason
from pepperhook.request_context.messages import (
    MAX_ID_LENGTH,
    ContextResult,
    RequestContext,
    TierOutcome,
)
from pepperhook.request_context.request_state import Admission, Arrival, RequestState
from pepperhook.server.field_value import FieldValue
from pepperhook.server.messages import FinalResponse, ResponseKind
from pepperhook.units import MILLISECOND, SECOND

if TYPE_CHECKING:
    from pepperhook.domain import Attempt, Outcome, Request, Upstream
    from pepperhook.operator_config.schema import RequestContextTable
    from pepperhook.server.app import BalancerApp
    from pepperhook.server.config import Config
    from pepperhook.server.messages import Header, RequestMessage, UpstreamResponse
    from pepperhook.server.structured_logging import Log

CALLER_LOG_INTERVAL_NS = 10 * SECOND
DEFAULT_RETRY_RATIO = 0.2  # retries per request, for policies without a retry budget (in the lab)
UNKNOWN_CALLER = "?"


class RequestContextExtension:
    """Applies request contexts at the hook points; stores the state of each request in flight."""

    listed_as = "chains"  # name in the list of active extensions that ``check`` and the log print
    reads = (CONTEXT_HEADER,)  # headers of requests that the extension reads
    reads_back = (RESULT_HEADER,)  # headers of responses that the extension reads

    def __init__(self, table: RequestContextTable, config: Config, log: Log) -> None:
        """``table``: the extension's settings. Raises ValueError for a malformed network."""
        hop_secret = (table.hop_secret or "").encode()
        self.policy = ContextPolicy(hop_name(hop_secret, table.service, config.name))
        self.in_flight: dict[Request, RequestState] = {}
        self._table = table
        self._balancer_name = config.name
        self._log = log
        self._keys = KeyRing((key.id, key.secret) for key in table.keys)
        networks = TrustedNetworks(table.trust)
        self._reader = ContextReader(networks, self._keys, self.policy.rejected_values, log)
        # By caller that drops contexts: when it may be logged again.
        self._next_caller_log_at: dict[str, int] = {}
        self._app: BalancerApp

    def started(self, app: BalancerApp) -> None:
        """Store the balancer, which has started but not accepted a request yet."""
        self._app = app

    # Hook points of a request, in the order of their calls.

    def arrived(self, now: int, request: Request, message: RequestMessage) -> FinalResponse | None:
        """Apply a request's context; return a response if it is a loop or has expired."""
        context = self._read_context(now, message)
        admission = self.policy.decide_admission(now, self._arrival(request), context)
        self.in_flight[request] = admission.state
        if admission.rejection is not None:
            return self._rejection(admission)
        # A context can only shorten the time limit. It sets the priority weight only if the table
        # allows that with ``worth``.
        request.deadline = min(request.deadline, admission.deadline)
        if admission.priority_weight is not None and self._table.worth:
            request.service_class = replace(
                request.service_class, priority_weight=admission.priority_weight
            )
        return None

    def _arrival(self, request: Request) -> Arrival:
        retry_budget = getattr(self._app.runtime.policy, "retry_budget", None)
        return Arrival(
            request_id=str(request.id)[:MAX_ID_LENGTH],
            service_class=request.service_class,
            deadline=request.deadline,
            retry_ratio=DEFAULT_RETRY_RATIO if retry_budget is None else retry_budget.B,
        )

    def _rejection(self, admission: Admission) -> FinalResponse:
        if admission.rejection is TierOutcome.LOOP:
            state = admission.state
            self._app.counters.add("chain loops")
            self._log.warning("chain_loop", id=state.request_id, depth=state.depth)
            return FinalResponse(ResponseKind.FAILED)
        self._app.counters.add("chain late")
        return FinalResponse(ResponseKind.REJECTED)

    def _read_context(self, now: int, message: RequestMessage) -> RequestContext | None:
        values = (message.read_headers or {}).get(CONTEXT_HEADER) or ()
        if self._table.entry:
            # An entry ignores contexts from outside. The value is read only to count rejections.
            self._reader.read(now, context_header.read_context, values[:1], None)
            return None
        peer = message.client_address
        contexts = self._reader.read(now, context_header.read_context, values, peer)
        context = contexts[0] if len(contexts) == 1 else None
        if len(contexts) > 1:
            # It is unknown which of them belongs to this call.
            self.policy.rejected_values[RejectionReason.AMBIGUOUS] += 1
        self._count_caller(now, peer, context is not None)
        return context

    def _count_caller(self, now: int, peer: str | None, has_context: bool) -> None:
        caller = peer or UNKNOWN_CALLER
        fraction = self.policy.callers.add_call(now, caller, has_context)
        if fraction is None or now < self._next_caller_log_at.get(caller, 0):
            return
        if len(self._next_caller_log_at) >= MAX_CALLERS:
            self._next_caller_log_at.clear()
        self._next_caller_log_at[caller] = now + CALLER_LOG_INTERVAL_NS
        self._app.counters.add("chain callers that drop it")
        self._log.warning("chain_dropped", caller=peer, share_with=round(fraction, 2))

    def dispatching(self, now: int, attempt: Attempt, headers: list[Header]) -> bool:
        """Add the context to an attempt; return True for a retry that must not be made."""
        state = self.in_flight.get(attempt.request)
        if state is None:
            return False
        deadline = attempt.request.deadline
        context = self.policy.attempt_started(now, state, deadline, is_retry=attempt.number > 0)
        if context is None:
            self._app.counters.add("chain tries forbidden")
            return True
        value = context_header.write_context(context, self._keys)
        headers.append((CONTEXT_HEADER, FieldValue.ascii(value)))
        return False

    def ended(
        self, now: int, attempt: Attempt, outcome: Outcome, response: UpstreamResponse | None
    ) -> None:
        """Read and apply the result in the response of an attempt."""
        state = self.in_flight.get(attempt.request)
        if state is None:
            return
        headers = {} if response is None else response.read_headers or {}
        values = headers.get(RESULT_HEADER) or ()
        peer = self._host_of(attempt.upstream)
        results = self._reader.read(now, context_header.read_result, values, peer)
        self.policy.attempt_ended(now, state, attempt.upstream, outcome, most_restrictive(results))

    def _host_of(self, upstream: Upstream) -> str | None:
        """Return the IP address of an upstream, without the port."""
        endpoint = self._app.upstreams.endpoints.get(upstream)
        return None if endpoint is None else endpoint.address.rpartition(":")[0].strip("[]")

    def answered(self, now: int, request: Request, response: FinalResponse) -> None:
        """Add the result to the response, except at the entry, and log the request."""
        state = self.in_flight.get(request)
        if state is None:
            return
        result = self.policy.respond(now, state, response.kind)
        if not self._table.entry:
            value = context_header.write_result(result, self._keys)
            response.headers = [*(response.headers or ()), (RESULT_HEADER, FieldValue.ascii(value))]
        self._log_request(request, state, result)

    def _log_request(self, request: Request, state: RequestState, result: ContextResult) -> None:
        """Log a request with the keys that ``pepperhook explain`` reads."""
        remaining_ns = state.remaining_ns
        self._log.debug(
            "chain",
            id=state.request_id,
            path=state.path,
            depth=state.depth,
            service=self._table.service,
            balancer=self._balancer_name,
            operation=request.id,
            end=result.outcome,
            spent_ms=result.spent_ms,
            below_ms=state.time_below_ns // MILLISECOND,
            left_ms="" if remaining_ns is None else remaining_ns // MILLISECOND,
            tried=state.attempts,
            forbidden=state.refused_retries,
            tries_left=result.unused_retries,
            carried=state.has_context,
            pointless=state.retry_stop or "",
        )

    def over(self, _now: int, request: Request) -> None:
        """Remove the state of a request that was answered, or whose client left."""
        state = self.in_flight.pop(request, None)
        if state is not None:
            self.policy.finish(state)

    # Hook points of the endpoint list and of the counters.

    def listed(self, _now: int, upstreams: Iterable[Upstream]) -> None:
        """Remove the state of upstreams that are no longer in the endpoint list."""
        self.policy.upstreams_changed(upstreams)

    def told(self) -> dict[str, Any]:
        """Return the counters for the operator."""
        rejections = {
            f"dropped_{reason.replace(' ', '_')}": count
            for reason, count in self.policy.rejected_values.items()
        }
        return {
            "name": "chain",
            "open": len(self.in_flight),
            "tokens": round(self.policy.entry_budget.tokens, 1),
            **rejections,
        }
