"""Compares the actions of the live policy and of a shadow policy on one call, without I/O.

The comparison covers the resulting decision on each request, health checks and the next wake-up. It
ignores the order of actions and the time limits of attempts.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, StrEnum, auto

from pepperhook.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    HealthCheck,
    RejectRequest,
    StartAttempt,
    WakeAt,
)
from pepperhook.domain import Request


class Difference(StrEnum):
    """How a shadow policy's decision differs from the live one; the values are the log's keys."""

    # Both send the request, to different upstreams.
    ANOTHER_UPSTREAM = "another_upstream"
    # Shadow: rejects or fails the request. Live: sends a first attempt.
    ENDED = "shed"
    # Shadow: sends a first attempt. Live: rejects or fails the request.
    SENT = "sent"
    # Shadow: rejects or fails the request. Live: sends a retry.
    NOT_RETRIED = "not_again"
    # Shadow: sends a retry. Live: rejects or fails the request.
    RETRIED = "again"
    # Shadow: no action, or only a cancellation. Live: rejects or fails the request.
    ENDED_LATER = "later"
    # Shadow: rejects or fails the request. Live: no action, or only a cancellation.
    ENDED_SOONER = "sooner"
    # Shadow: no action. Live: sends the request.
    QUEUED = "held"
    # Shadow: sends the request. Live: no action.
    NOT_QUEUED = "not_held"
    # One rejects the request, the other fails it.
    ANOTHER_RESPONSE = "another_answer"
    # Shadow: only cancels an attempt. Live: sends the request, or no action.
    CANCELLED = "called_off"
    # Shadow: sends the request, or no action. Live: only cancels an attempt.
    NOT_CANCELLED = "not_called_off"
    # Shadow: sends a health check or load query to an upstream. Live: does not.
    CHECKED = "asked"
    # Shadow: does not. Live: sends a health check or load query to an upstream.
    NOT_CHECKED = "not_asked"
    # The next wake-up or the latency objective of a new request differs.
    ANOTHER_WAKE_TIME = "another_time"
    # The subset of upstreams in use after the call differs.
    ANOTHER_SUBSET = "another_slice"


class DecisionKind(Enum):
    """The kinds of resulting decision on a request in the actions of a call."""

    SENT = auto()  # an attempt is started
    CANCELLED = auto()  # an attempt is cancelled and no other action concerns the request
    REJECTED = auto()
    FAILED = auto()


FINAL_RESPONSE_KINDS = (DecisionKind.REJECTED, DecisionKind.FAILED)


@dataclass(frozen=True, slots=True)
class RequestDecision:
    """The resulting decision on one request in the actions of a call."""

    kind: DecisionKind
    upstream: bytes | None = None  # address, for SENT
    # SENT: whether this is a retry. REJECTED and FAILED: whether an attempt has already ended.
    was_attempted: bool = False

    @property
    def is_sent(self) -> bool:
        """Return whether an attempt is started."""
        return self.kind is DecisionKind.SENT

    @property
    def is_final_response(self) -> bool:
        """Return whether the request is rejected or failed."""
        return self.kind in FINAL_RESPONSE_KINDS


@dataclass(slots=True)
class CallDecisions:
    """The decisions in the actions of one call, in comparable form."""

    by_request: dict[object, RequestDecision] = field(default_factory=dict)  # keyed by request id
    checked: set[bytes] = field(default_factory=set)  # addresses of checked upstreams
    wake_at: int | None = None

    def add(self, action: Action) -> None:
        """Add the next action; for a request, any but a cancellation replaces earlier decisions."""
        match action:
            case StartAttempt(attempt):
                request = attempt.request
                is_retry = len(request.attempts) > 1
                self.by_request[request.id] = RequestDecision(
                    DecisionKind.SENT, attempt.upstream.address, is_retry
                )
            case CancelAttempt(attempt):
                self.by_request.setdefault(
                    attempt.request.id, RequestDecision(DecisionKind.CANCELLED)
                )
            case RejectRequest(request):
                self._add_final_response(request, DecisionKind.REJECTED)
            case FailRequest(request):
                self._add_final_response(request, DecisionKind.FAILED)
            case HealthCheck(upstream):
                self.checked.add(upstream.address)
            case WakeAt(at_ns):
                self.wake_at = at_ns

    def _add_final_response(self, request: Request, kind: DecisionKind) -> None:
        was_attempted = any(attempt.outcome is not None for attempt in request.attempts)
        self.by_request[request.id] = RequestDecision(kind, None, was_attempted)


def decisions_of(actions: Iterable[Action]) -> CallDecisions:
    """Return the decisions in the actions of one call."""
    decisions = CallDecisions()
    for action in actions:
        decisions.add(action)
    return decisions


def compare_request_decisions(
    live: RequestDecision | None, shadow: RequestDecision | None
) -> Difference | None:
    """Return how two decisions on one request differ, or None if they do not.

    A decision of None stands for a call without an action for the request.
    """
    if live == shadow:
        return None
    if shadow is not None and shadow.is_final_response:
        return _compare_if_shadow_ends_request(live, shadow)
    if live is not None and live.is_final_response:
        return _compare_if_only_live_ends_request(shadow)
    return _compare_if_neither_ends_request(live, shadow)


def _compare_if_shadow_ends_request(
    live: RequestDecision | None, shadow: RequestDecision
) -> Difference | None:
    """Compare when the shadow policy rejects or fails the request."""
    if live is None or live.kind is DecisionKind.CANCELLED:
        return Difference.ENDED_SOONER
    if live.is_sent:
        return Difference.NOT_RETRIED if live.was_attempted else Difference.ENDED
    return Difference.ANOTHER_RESPONSE if live.kind is not shadow.kind else None


def _compare_if_only_live_ends_request(shadow: RequestDecision | None) -> Difference:
    """Compare when only the live policy rejects or fails the request."""
    if shadow is None or not shadow.is_sent:
        return Difference.ENDED_LATER
    return Difference.RETRIED if shadow.was_attempted else Difference.SENT


def _compare_if_neither_ends_request(
    live: RequestDecision | None, shadow: RequestDecision | None
) -> Difference | None:
    """Compare when neither policy rejects or fails the request."""
    if shadow is not None and shadow.kind is DecisionKind.CANCELLED:
        return Difference.CANCELLED
    if live is not None and live.kind is DecisionKind.CANCELLED:
        return Difference.NOT_CANCELLED
    if live is None:
        return Difference.NOT_QUEUED
    if shadow is None:
        return Difference.QUEUED
    return Difference.ANOTHER_UPSTREAM if live.upstream != shadow.upstream else None


def compare(
    live_actions: Iterable[Action],
    shadow_actions: Iterable[Action],
    live_objective_at: int | None = None,
    shadow_objective_at: int | None = None,
) -> list[Difference]:
    """Return how the shadow policy's actions differ from the live ones; empty if they do not.

    The objectives are the times by which each policy is to answer a newly arrived request. A
    different objective seldom changes the next wake-up, so it is compared separately.
    """
    live, shadow = decisions_of(live_actions), decisions_of(shadow_actions)
    differences: list[Difference] = []
    for request_id in {**live.by_request, **shadow.by_request}:
        difference = compare_request_decisions(
            live.by_request.get(request_id), shadow.by_request.get(request_id)
        )
        if difference is not None:
            differences.append(difference)
    if shadow.checked - live.checked:
        differences.append(Difference.CHECKED)
    if live.checked - shadow.checked:
        differences.append(Difference.NOT_CHECKED)
    if live.wake_at != shadow.wake_at or live_objective_at != shadow_objective_at:
        differences.append(Difference.ANOTHER_WAKE_TIME)
    return differences
