"""Responses to requests that are not run themselves, as the balancer's types."""

from pepperhook.idempotency.entries import Decision, StoredResponse, Verdict
from pepperhook.server.field_value import FieldValue
from pepperhook.server.messages import FinalResponse, ResponseKind
from pepperhook.server.refusal import RequestRefusedError

KEY_HEADER = "Idempotency-Key"

# A final response, or an HTTP error that the client has caused.
Reply = FinalResponse | RequestRefusedError

BAD_REQUEST = 400
CONFLICT = 409
UNPROCESSABLE = 422


def served(body: bytes, content_type: FieldValue | None) -> FinalResponse:
    """Return a reply that carries an upstream's response."""
    return FinalResponse(ResponseKind.SERVED, body, content_type)


def is_served(response: FinalResponse) -> bool:
    """Return whether a final response carries an upstream's response."""
    return response.kind is ResponseKind.SERVED


def rejected(retry_after_ns: int = 0) -> FinalResponse:
    """Return a rejection: the request has certainly not run. 0 sends no Retry-After."""
    return FinalResponse(ResponseKind.REJECTED, retry_after_ns=retry_after_ns)


def failed() -> FinalResponse:
    """Return a failure: the request may have run."""
    return FinalResponse(ResponseKind.FAILED)


def refused(status: int, text: str) -> RequestRefusedError:
    """Return an HTTP error; ``text`` is one line."""
    return RequestRefusedError(status, text)


def reply_to(decision: Decision, max_retry_after_ns: int) -> Reply:
    """Convert a decision to a reply. Raises ValueError for NEW and WAIT, which have none yet."""
    match decision.verdict:
        case Verdict.REPLAY:
            return _replayed(decision.response)
        case Verdict.REJECTED:
            return rejected(min(decision.retry_after_ns, max_retry_after_ns))
        case Verdict.INDETERMINATE:
            return failed()
        case Verdict.FINGERPRINT_MISMATCH:
            return refused(UNPROCESSABLE, f"{KEY_HEADER}: was used for something else")
        case Verdict.RESPONSE_NOT_STORED:
            return refused(CONFLICT, "was fulfilled before; the answer was too large to be kept")
        case Verdict.NEW | Verdict.WAIT:
            raise ValueError(f"{decision.verdict.name} has no reply yet")


def _replayed(response: StoredResponse | None) -> FinalResponse:
    assert response is not None
    return served(response.body, response.content_type)
