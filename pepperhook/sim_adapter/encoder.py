"""Encodes actions of a policy as records of the simulator's protocol."""

from pepperhook.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    FetchEndpoints,
    HealthCheck,
    OperatorNote,
    RejectRequest,
    StartAttempt,
    WakeAt,
    WatchEndpoints,
)
from pepperhook.domain import Attempt
from pepperhook.sim_adapter import protocol
from pepperhook.sim_adapter.codec import encode_record, encode_text_record
from pepperhook.units import MICROSECOND


def encode_action(action: Action) -> bytes:
    """Return the encoded record of an action. Raises TypeError for any other object."""
    match action:
        case StartAttempt(attempt, timeout_ns):
            return _encode_send(attempt, timeout_ns)
        case WakeAt(at_ns):
            at_us = -(-at_ns // MICROSECOND)  # rounded up, so that the wake-up is never too early
            # The tag is 0, as ALARM's handler does not read it.
            return encode_record(protocol.WAKE, protocol.WAKE_FIELDS.pack(at_us, 0))
        case CancelAttempt(attempt):
            fields = protocol.CANCEL_FIELDS.pack(attempt.request.id, attempt.number)
            return encode_record(protocol.CANCEL, fields)
        case RejectRequest(request, retry_after_ns):
            delay_us = min(protocol.MAX_U32, retry_after_ns // MICROSECOND)
            fields = protocol.REJECT_FIELDS.pack(request.id, delay_us)
            return encode_record(protocol.REJECT, fields)
        case FailRequest(request):
            return encode_record(protocol.FAIL, protocol.FAIL_FIELDS.pack(request.id))
    return _encode_other_action(action)


def _encode_send(attempt: Attempt, timeout_ns: int) -> bytes:
    timeout_us = min(protocol.MAX_U32, max(1, timeout_ns // MICROSECOND))
    fields = protocol.SEND_FIELDS.pack(attempt.request.id, attempt.upstream.address, timeout_us)
    return encode_record(protocol.SEND, fields)


def _encode_other_action(action: Action) -> bytes:
    """Return the encoded record of an action that refers to no request."""
    match action:
        case HealthCheck(upstream):
            return encode_record(protocol.HEALTH_CHECK, upstream.address)
        case WatchEndpoints():
            return encode_record(protocol.WATCH, protocol.WATCH_FIELDS)
        case FetchEndpoints():
            return encode_record(protocol.FETCH)
        case OperatorNote(text):
            return encode_text_record(protocol.NOTE, text)
    raise TypeError(f"{type(action).__name__} is not an action of the simulator's protocol")
