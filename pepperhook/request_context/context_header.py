"""Encoding and decoding of the two headers, which are structured fields (RFC 9651).

    Pepperhook-Chain: v=1, id="9b1f", p="0.1", depth=1, left=480, tries=1, worth=3.0,
                      hops=("a1b2c3.d4e5f6"), k="k1", mac=:...:
    Pepperhook-Chain-Result: v=1, id="9b1f", p="0.1", end=failed, tries=0, spent=120, tried=2,
                             k="k1", mac=:...:

In the first, ``p`` is the path, ``left`` the remaining time, ``tries`` the retries that the tiers
below may make, ``worth`` the priority weight, and ``depth`` and ``hops`` serve loop detection. In
the second, ``end`` is the outcome, ``tries`` the unused retries, and ``tried`` the attempts made.
In both, ``v`` is the version, ``k`` the id of the key that made the MAC.

``left`` and ``spent`` are durations in milliseconds, never times of day, so that the clocks of two
tiers may differ by any amount. Unknown members are ignored, so that tiers may run different
versions. A value with one malformed member is rejected as a whole.
"""

from decimal import Decimal
from typing import Any

import http_sf

from pepperhook.key_ring import KeyRing
from pepperhook.request_context.authentication import append_mac, verify_mac
from pepperhook.request_context.errors import InvalidContextError, RejectionReason
from pepperhook.request_context.messages import (
    MAX_ATTEMPTS,
    MAX_DEPTH,
    MAX_HOP_LENGTH,
    MAX_HOPS,
    MAX_ID_LENGTH,
    MAX_MS,
    MAX_PATH_LENGTH,
    MAX_PRIORITY_WEIGHT,
    MAX_RETRIES,
    ContextResult,
    RequestContext,
    TierOutcome,
)

CONTEXT_HEADER = "Pepperhook-Chain"
RESULT_HEADER = "Pepperhook-Chain-Result"
VERSION = 1
MAX_VALUE_LENGTH = 1024  # bytes; a longer value is rejected without parsing
THOUSANDTHS = 1000  # decimals of structured fields have three fractional digits

Members = dict[str, Any]


def write_context(context: RequestContext, keys: KeyRing) -> str:
    """Return the header value for an attempt, with a MAC if there is a signing key."""
    members: Members = {
        "v": VERSION,
        "id": context.request_id,
        "p": context.path,
        "depth": context.depth,
    }
    if context.remaining_ms is not None:
        members["left"] = context.remaining_ms
    if context.retries is not None:
        members["tries"] = context.retries
    if context.priority_weight is not None:
        weight = min(context.priority_weight, MAX_PRIORITY_WEIGHT)
        members["worth"] = Decimal(round(weight * THOUSANDTHS)) / THOUSANDTHS
    if context.hops:
        members["hops"] = [(hop, {}) for hop in context.hops[-MAX_HOPS:]]
    return _serialize(members, keys)


def write_result(result: ContextResult, keys: KeyRing) -> str:
    """Return the header value for a response, with a MAC if there is a signing key."""
    members = {
        "v": VERSION,
        "id": result.request_id,
        "p": result.path,
        "end": http_sf.Token(result.outcome.value),
        "tries": result.unused_retries,
        "spent": min(result.spent_ms, MAX_MS),
        "tried": result.attempts,
    }
    return _serialize(members, keys)


def _serialize(members: Members, keys: KeyRing) -> str:
    if keys.signing_key_id:
        members["k"] = keys.signing_key_id
    text = http_sf.ser({name: (value, {}) for name, value in members.items()})
    return append_mac(text, keys) if keys.signing_key_id else text


def read_context(text: str, keys: KeyRing, is_trusted: bool) -> RequestContext:
    """Decode the value of a request's header. Raises InvalidContextError; see read_members."""
    members = read_members(text, keys, is_trusted)
    return RequestContext(
        request_id=_text(members, "id", MAX_ID_LENGTH),
        path=_text(members, "p", MAX_PATH_LENGTH),
        depth=_whole_number(members, "depth", MAX_DEPTH),
        remaining_ms=_optional_whole_number(members, "left", MAX_MS),
        retries=_optional_whole_number(members, "tries", MAX_RETRIES),
        priority_weight=_priority_weight(members),
        hops=_hops(members),
    )


def read_result(text: str, keys: KeyRing, is_trusted: bool) -> ContextResult:
    """Decode the value of a response's header. Raises InvalidContextError; see read_members."""
    members = read_members(text, keys, is_trusted)
    return ContextResult(
        request_id=_text(members, "id", MAX_ID_LENGTH),
        path=_text(members, "p", MAX_PATH_LENGTH),
        outcome=_outcome(members),
        unused_retries=_whole_number(members, "tries", MAX_RETRIES),
        spent_ms=_whole_number(members, "spent", MAX_MS),
        attempts=_whole_number(members, "tried", MAX_ATTEMPTS),
    )


def read_members(text: str, keys: KeyRing, is_trusted: bool) -> Members:
    """Parse a value, and check its version and its MAC.

    ``is_trusted``: the sender is in a trusted network, so the MAC is not checked. Raises
    InvalidContextError if the value is too long, malformed, of another version, not signed by a
    known key, or forged.
    """
    if len(text) > MAX_VALUE_LENGTH:
        raise InvalidContextError(RejectionReason.OVERSIZED)
    try:
        parsed: Any = http_sf.parse(text.encode("ascii"), tltype="dictionary")
        members = {name: value[0] for name, value in parsed.items()}
    except (ValueError, UnicodeError, TypeError, IndexError) as error:
        raise InvalidContextError(RejectionReason.MALFORMED) from error
    if members.get("v") != VERSION:
        raise InvalidContextError(RejectionReason.UNKNOWN_VERSION)
    if not is_trusted:
        verify_mac(text, members.get("k"), members.get("mac"), keys)
    return members


def _malformed() -> InvalidContextError:
    return InvalidContextError(RejectionReason.MALFORMED)


def _text(members: Members, name: str, max_length: int) -> str:
    value = members.get(name)
    if not isinstance(value, str) or not 0 < len(value) <= max_length:
        raise _malformed()
    return value


def _whole_number(members: Members, name: str, maximum: int) -> int:
    value = members.get(name)
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise _malformed()
    # A number above the maximum is valid, and means the same as the maximum.
    return min(value, maximum)


def _optional_whole_number(members: Members, name: str, maximum: int) -> int | None:
    return None if members.get(name) is None else _whole_number(members, name, maximum)


def _priority_weight(members: Members) -> float | None:
    value = members.get("worth")
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, (int, Decimal)) or value < 0:
        raise _malformed()
    return min(float(value), float(MAX_PRIORITY_WEIGHT))


def _hops(members: Members) -> tuple[str, ...]:
    values = members.get("hops", [])
    if not isinstance(values, list) or len(values) > MAX_HOPS:
        raise _malformed()
    return tuple(_hop(value) for value, _parameters in values)


def _hop(value: object) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_HOP_LENGTH:
        raise _malformed()
    return value


def _outcome(members: Members) -> TierOutcome:
    value = members.get("end")
    if not isinstance(value, http_sf.Token):
        raise _malformed()
    try:
        return TierOutcome(str(value))
    except ValueError as error:
        raise _malformed() from error
