"""The protocol between edge balancers: whole client requests, forwarded over HTTP.

A request is forwarded to the member that owns its key, with the epoch of the sender's member list
in ``Pepperhook-Epoch``. An owner with another epoch responds with 421. ``GET /_health`` returns a
member's epoch.
"""

from collections.abc import Iterable, Mapping
from typing import Any

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

EPOCH_HEADER = "Pepperhook-Epoch"
TIMEOUT_HEADER = "X-Timeout-Ms"
FORWARDED_HEADERS = ("X-Tenant-Id", "X-Cost", "X-Retried")
HEALTH_TARGET = "/_health"

OK = 200
MISDIRECTED = 421
UNAVAILABLE = 503
ERRORS_OF_THE_CLIENT = frozenset((BAD_REQUEST, CONFLICT, UNPROCESSABLE))

NS_PER_S = 10**9
MAX_REASON = 200  # characters of an owner's error text that are relayed

_EPOCH_WORD = "epoch"


def encode_health(epoch: int) -> str:
    """Return the body of a health response, which carries a member's epoch."""
    return f"{_EPOCH_WORD} {epoch}\n"


def decode_health(status: int, body: bytes) -> int | None:
    """Return a member's epoch, or None if the health response has none."""
    word, _, number = body.decode(errors="replace").strip().partition(" ")
    if status != OK or word != _EPOCH_WORD or not number.isdecimal():
        return None
    return int(number)


def forwarded_headers(
    headers: Iterable[tuple[str, str]],
    read_headers: Mapping[str, Iterable[str]],
    epoch: int,
    timeout_s: float,
) -> list[tuple[str, str]]:
    """Return the headers of a forwarded request.

    ``headers`` are those that are also sent to upstreams; ``read_headers`` are those that this
    balancer interprets itself.
    """
    forwarded = [
        *headers,
        (EPOCH_HEADER, str(epoch)),
        (TIMEOUT_HEADER, str(max(1, int(timeout_s * 1000)))),
    ]
    for name in FORWARDED_HEADERS:
        forwarded += [(name, value) for value in read_headers.get(name, ())]
    return forwarded


def decode_reply(
    status: int, headers: Mapping[str, Any], body: bytes, max_retry_after_ns: int
) -> Reply:
    """Convert an owner's response to the reply to the client.

    Any status without a defined meaning becomes "failed", as the request may have run.
    """
    if status == OK:
        return served(body, headers.get("Content-Type"))
    if status in (UNAVAILABLE, MISDIRECTED):
        retry_after_ns = _decode_retry_after(headers.get("Retry-After", ""))
        return rejected(min(retry_after_ns, max_retry_after_ns))
    if status in ERRORS_OF_THE_CLIENT:
        return refused(status, body.decode(errors="replace").strip()[:MAX_REASON])
    return failed()


def _decode_retry_after(value: str) -> int:
    """Convert seconds, which may have a fraction, to nanoseconds; 0 if malformed."""
    if not value.replace(".", "", 1).isdecimal():
        return 0
    return int(float(value) * NS_PER_S)
