"""Decodes what the discovery service sends: the whole endpoint list, or the changes to it.

One odd row costs the whole response. A row that cannot be read may be a drain, and a response
that was taken in part would count as known up to its version, so that drain would never come again.
"""

from dataclasses import dataclass
from math import isfinite

import msgspec
from msgspec import Struct, field

from pepperhook.domain import UpstreamState
from pepperhook.errors import PepperhookError

NS_PER_MS = 10**6
MAX_TIME_MS = 10**12 * 9  # in nanoseconds it fits into 64 bits, as captures store it
MAX_PORT = 65535


class MalformedListError(PepperhookError, ValueError):
    """A response that is no endpoint list."""


class _Row(Struct):
    """One row as it is sent."""

    host: str
    dial: str
    health: UpstreamState
    site: str | None = None
    kind: str | None = field(name="class", default=None)
    block: int = 0
    share: int | float = 1.0
    born_ms: int | float = 0
    protocol: str | None = None


class _Document(Struct):
    """A response as it is sent."""

    seq: int
    hosts: list[_Row]
    whole: bool | int | None = False


@dataclass(slots=True)
class ListedEndpoint:
    """One row of the list."""

    name: str
    address: str
    zone: int
    kind: int
    cell: int
    units: float
    state: UpstreamState
    started_at: int
    protocol: str | None


@dataclass(slots=True)
class EndpointList:
    """One list, or one set of changes."""

    version: int
    is_whole: bool
    endpoints: list[ListedEndpoint]


def parse(data: bytes, zones: dict[str, int], kinds: dict[str, int]) -> EndpointList:
    """Parse one response; ``zones`` and ``kinds``: their numbers. Raises MalformedListError."""
    try:
        document = msgspec.json.decode(data, type=_Document)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise MalformedListError(str(error)) from error
    return _build(document, zones, kinds)


def decode(document: object, zones: dict[str, int], kinds: dict[str, int]) -> EndpointList:
    """Decode a list that was parsed already, as ``parse`` does. Raises MalformedListError."""
    try:
        converted = msgspec.convert(document, _Document)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise MalformedListError(str(error)) from error
    return _build(converted, zones, kinds)


def _build(document: _Document, zones: dict[str, int], kinds: dict[str, int]) -> EndpointList:
    endpoints = []
    for number, row in enumerate(document.hosts):
        try:
            _check(row)
        except ValueError as error:
            raise MalformedListError(f"hosts[{number}].{error}") from error
        endpoints.append(_listed(row, zones, kinds))
    return EndpointList(document.seq, bool(document.whole), endpoints)


def _check(row: _Row) -> None:
    """Raise ValueError, which names the key, for a value that the rest of the program can't use."""
    for key in ("host", "dial"):
        if not _is_encodable(getattr(row, key)):
            raise ValueError(f"{key}: no text")
    if row.health is not UpstreamState.GONE and not _is_address(row.dial):
        raise ValueError(f"dial: an address HOST:PORT is wanted, not {row.dial!r:.60}")
    if not (isfinite(row.share) and row.share >= 0):
        raise ValueError("share: a number from 0 on is wanted")
    if not (isfinite(row.born_ms) and abs(row.born_ms) <= MAX_TIME_MS):
        raise ValueError("born_ms: a time in milliseconds is wanted")


def _is_encodable(text: str) -> bool:
    """Return whether a text has no lone surrogates, which JSON permits and UTF-8 does not."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    is_port = port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))
    is_host = host.isascii() and host.isprintable() and not set(host) & set(" /?#@[]\\%")
    return bool(host) and is_host and is_port and 0 < int(port) <= MAX_PORT


def _listed(row: _Row, zones: dict[str, int], kinds: dict[str, int]) -> ListedEndpoint:
    return ListedEndpoint(
        name=row.host,
        address=row.dial,
        zone=zones.get(row.site or "", 0),
        kind=kinds.get(row.kind or "", 0),
        cell=row.block,
        units=row.share,
        state=row.health,
        started_at=int(row.born_ms * NS_PER_MS),
        protocol=row.protocol,
    )
