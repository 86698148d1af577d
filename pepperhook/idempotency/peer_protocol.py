"""The protocol between edge balancers: whole client requests, forwarded over HTTP.

A request is forwarded to the member that owns its key, with the epoch of the sender's member list
in ``Pepperhook-Epoch``. An owner with another epoch responds with 421. ``GET /_health`` returns a
member's epoch, ``GET /_member-lists`` the epochs of all lists that it knows, and
``GET /_member-lists/EPOCH`` one of them. Earlier builds respond with 404 to the last two.

Members may run different versions of the configuration for a while. ``Pepperhook-Effect`` and
``Pepperhook-Window-Ms`` have the effect and the window of the service class at the sender, as the
owner must not treat the request by milder ones. Earlier builds do not send them.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta, Struct

from pepperhook.domain import Effect
from pepperhook.idempotency.ownership import KnownLists, MemberList
from pepperhook.idempotency.replies import (
    BAD_REQUEST,
    CONFLICT,
    UNPROCESSABLE,
    Reply,
    failed,
    refused,
    rejected,
    served,
)
from pepperhook.server.attempt_errors import MalformedResponseError
from pepperhook.server.content_type import content_type_of
from pepperhook.server.field_value import FieldValue
from pepperhook.server.messages import Header
from pepperhook.settings import MAX_NUMBER

EPOCH_HEADER = "Pepperhook-Epoch"
EFFECT_HEADER = "Pepperhook-Effect"
WINDOW_HEADER = "Pepperhook-Window-Ms"
TIMEOUT_HEADER = "X-Timeout-Ms"
FORWARDED_HEADERS = ("X-Tenant-Id", "X-Cost", "X-Retried")
HEALTH_TARGET = "/_health"
LISTS_TARGET = "/_member-lists"

OK = 200
MISDIRECTED = 421
METHOD_NOT_ALLOWED = 405
UNAVAILABLE = 503
# The owner has not run the request: it is busy, or has another member list or another version, by
# which the service class has another method.
NEVER_RUN = frozenset((UNAVAILABLE, MISDIRECTED, METHOD_NOT_ALLOWED))
ERRORS_OF_THE_CLIENT = frozenset((BAD_REQUEST, CONFLICT, UNPROCESSABLE))

NS_PER_S = 10**9
NS_PER_MS = 10**6
MAX_WINDOW_DIGITS = 15
MAX_REASON = 200  # characters of an owner's error text that are relayed

_EPOCH_WORD = "epoch"

Page = TypeVar("Page")


def encode_health(epoch: int) -> str:
    """Return the body of a health response, which carries a member's epoch."""
    return f"{_EPOCH_WORD} {epoch}\n"


def decode_health(status: int, body: bytes) -> int | None:
    """Return a member's epoch, or None if the health response has none."""
    word, _, number = body.decode(errors="replace").strip().partition(" ")
    if status != OK or word != _EPOCH_WORD or not number.isdecimal():
        return None
    return int(number)


class KnownEpochs(Struct, frozen=True):
    """The epochs of the lists that a member knows, in ascending order; the last one is current."""

    epochs: Annotated[list[int], Meta(min_length=1)]
    is_complete: bool  # whether it knows all earlier lists that may still matter


def list_target(epoch: int) -> str:
    """Return the target of one list."""
    return f"{LISTS_TARGET}/{epoch}"


def lists_page(path: str, known: KnownLists) -> str | None:
    """Return the body of a response on the lists that a member knows; None for other paths."""
    if path == LISTS_TARGET:
        epochs = [members.epoch for members in known.lists]
        return msgspec.json.encode(KnownEpochs(epochs, known.is_complete)).decode()
    for members in known.lists:
        if path == list_target(members.epoch):
            return msgspec.json.encode(members).decode()
    return None


def decode_epochs(status: int, body: bytes) -> KnownEpochs:
    """Decode the epochs that a member knows. Raises ValueError if the response has none."""
    return _decode_page(status, body, KnownEpochs)


def decode_list(status: int, body: bytes) -> MemberList:
    """Decode one list of a member. Raises ValueError if the response has none."""
    return _decode_page(status, body, MemberList)


def _decode_page(status: int, body: bytes, page_type: type[Page]) -> Page:
    if status != OK:
        raise ValueError(f"status {status}")
    try:
        return msgspec.json.decode(body, type=page_type)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from error


def forwarded_headers(
    headers: Iterable[Header],
    read_headers: Mapping[str, Iterable[FieldValue]],
    epoch: int,
    timeout_s: float,
) -> list[Header]:
    """Return the headers of a forwarded request.

    ``headers`` are those that are also sent to upstreams; ``read_headers`` are those that this
    balancer interprets itself.
    """
    forwarded = [
        *headers,
        (EPOCH_HEADER, FieldValue.ascii(str(epoch))),
        (TIMEOUT_HEADER, FieldValue.ascii(str(max(1, int(timeout_s * 1000))))),
    ]
    for name in FORWARDED_HEADERS:
        forwarded += [(name, value) for value in read_headers.get(name, ())]
    return forwarded


class SenderRules(Struct, frozen=True):
    """What applies to a forwarded request by the settings of the member that has forwarded it."""

    effect: Effect
    window_ns: int  # of the request's key


def rules_headers(rules: SenderRules) -> list[Header]:
    """Return the headers that carry the sender's rules."""
    window_ms = -(-rules.window_ns // NS_PER_MS)
    return [
        (EFFECT_HEADER, FieldValue.ascii(rules.effect.value)),
        (WINDOW_HEADER, FieldValue.ascii(str(window_ms))),
    ]


def decode_rules(headers: Mapping[str, Sequence[FieldValue]]) -> SenderRules | None:
    """Return the sender's rules; None if the request has none, or malformed ones."""
    effects, windows = headers.get(EFFECT_HEADER), headers.get(WINDOW_HEADER)
    if not effects or not windows or effects[0].text not in set(Effect):
        return None
    window_ms = windows[0].text
    if not window_ms.isdecimal() or len(window_ms) > MAX_WINDOW_DIGITS:
        return None
    return SenderRules(Effect(effects[0].text), min(int(window_ms) * NS_PER_MS, MAX_NUMBER))


def decode_reply(
    status: int, headers: Mapping[str, Any], body: bytes, max_retry_after_ns: int
) -> Reply:
    """Convert an owner's response to the reply to the client.

    Any status without a defined meaning becomes "failed", as the request may have run.
    """
    if status == OK:
        return _decode_served(headers, body)
    if status in NEVER_RUN:
        retry_after_ns = _decode_retry_after(headers.get("Retry-After", ""))
        return rejected(min(retry_after_ns, max_retry_after_ns))
    if status in ERRORS_OF_THE_CLIENT:
        return refused(status, body.decode(errors="replace").strip()[:MAX_REASON])
    return failed()


def _decode_served(headers: Mapping[str, Any], body: bytes) -> Reply:
    try:
        return served(body, content_type_of(headers))
    except MalformedResponseError:
        return failed()


def _decode_retry_after(value: str) -> int:
    """Convert seconds, which may have a fraction, to nanoseconds; 0 if malformed."""
    if not value.replace(".", "", 1).isdecimal():
        return 0
    return int(float(value) * NS_PER_S)
