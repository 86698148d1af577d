"""Actions that the policy returns; the host carries them out in order."""

from dataclasses import dataclass

from pepperhook.domain import Attempt, Request, Upstream


@dataclass(slots=True)
class StartAttempt:
    """Send ``attempt.request`` to ``attempt.upstream``, with a timeout of ``timeout_ns``."""

    attempt: Attempt
    timeout_ns: int


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for the attempt; the host still reports its outcome."""

    attempt: Attempt


@dataclass(slots=True)
class RejectRequest:
    """Final response: rejected, and harmless to retry after ``retry_after_ns`` (0: unspecified)."""

    request: Request
    retry_after_ns: int


@dataclass(slots=True)
class FailRequest:
    """Final response: failed; the request may have been executed."""

    request: Request


@dataclass(slots=True)
class HealthCheck:
    """Check whether the upstream responds, and fetch its load report where it has one."""

    upstream: Upstream


@dataclass(slots=True)
class WatchEndpoints:
    """Watch the endpoint list by polls that each wait up to ``wait_ns`` for changes."""

    wait_ns: int


@dataclass(slots=True)
class FetchEndpoints:
    """Fetch the whole endpoint list once."""


@dataclass(slots=True)
class WakeAt:
    """Call the policy's ``wake`` at ``at_ns`` or later."""

    at_ns: int


@dataclass(slots=True)
class OperatorNote:
    """Write a line to the operators' log."""

    text: str


Action = (
    StartAttempt
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | HealthCheck
    | WatchEndpoints
    | FetchEndpoints
    | WakeAt
    | OperatorNote
)
FINAL_RESPONSES = (RejectRequest, FailRequest)
