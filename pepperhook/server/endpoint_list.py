"""Decodes what the discovery service sends: the whole endpoint list, or the changes to it.

A row that cannot be read costs its own upstream alone: it may say that this one drains, so it
counts as not ready. A row without a readable name is about an unknown upstream.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NoReturn

from pepperhook.domain import UpstreamState
from pepperhook.errors import PepperhookError

NS_PER_MS = 10**6
MAX_TIME_MS = 9 * 10**12  # in nanoseconds it fits into 64 bits, as captures store it
MAX_BLOCK = 2**63 - 1  # as captures store it
MAX_SHARE = 1e9
MAX_PORT = 65535
STATES = {str(state): state for state in UpstreamState}


class MalformedListError(PepperhookError, ValueError):
    """A response that is no endpoint list."""


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


@dataclass(frozen=True, slots=True)
class UnreadableRow:
    """A row of which only the name can be read, or that and its state."""

    name: str
    reason: str
    is_gone: bool


@dataclass(slots=True)
class EndpointList:
    """One list, or one set of changes."""

    version: int
    is_whole: bool
    endpoints: list[ListedEndpoint]
    unreadable: list[UnreadableRow]
    unnamed_reasons: list[str]  # why rows have no readable name


def parse(data: bytes, zones: Mapping[str, int], kinds: Mapping[str, int]) -> EndpointList:
    """Parse one response; ``zones`` and ``kinds``: their numbers. Raises MalformedListError."""
    try:
        document = json.loads(data, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        raise MalformedListError(str(error)) from error
    return decode(document, zones, kinds)


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is no JSON")


def decode(document: object, zones: Mapping[str, int], kinds: Mapping[str, int]) -> EndpointList:
    """Decode a list that was parsed already, as ``parse`` does. Raises MalformedListError."""
    if not isinstance(document, dict) or not isinstance(document.get("hosts"), list):
        raise MalformedListError("hosts: a list is wanted")
    version = document.get("seq")
    if type(version) is not int:
        raise MalformedListError("seq: a number is wanted")
    is_whole = document.get("whole")
    if not isinstance(is_whole, (bool, int, type(None))):
        raise MalformedListError("whole: true or false is wanted")
    decoded = EndpointList(version, bool(is_whole), [], [], [])
    for row in document["hosts"]:
        _add_row(decoded, row, zones, kinds)
    if decoded.is_whole and document["hosts"] and not decoded.endpoints:
        # Of another format: the list in hand is the better one.
        reasons = [f"{known.name}: {known.reason}" for known in decoded.unreadable]
        raise MalformedListError(f"no row can be read: {[*reasons, *decoded.unnamed_reasons][0]}")
    return decoded


def _add_row(
    decoded: EndpointList, row: object, zones: Mapping[str, int], kinds: Mapping[str, int]
) -> None:
    """Add one row to what it is: readable, readable by its name, or neither."""
    try:
        name = _name(row)
    except ValueError as error:
        decoded.unnamed_reasons.append(str(error))
        return
    assert isinstance(row, dict)  # it has a name
    try:
        decoded.endpoints.append(_decode_row(name, row, zones, kinds))
    except ValueError as error:
        is_gone = row.get("health") == UpstreamState.GONE
        decoded.unreadable.append(UnreadableRow(name, str(error), is_gone))


def _name(row: object) -> str:
    """Return a row's name. Raises ValueError where it has none that can be read."""
    if not isinstance(row, dict):
        raise ValueError("host: a row is wanted")
    return _text(row, "host")


def _decode_row(
    name: str, row: dict[Any, Any], zones: Mapping[str, int], kinds: Mapping[str, int]
) -> ListedEndpoint:
    """Decode the rest of a row. Raises ValueError, which names the key."""
    state = STATES.get(_text(row, "health"))
    if state is None:
        raise ValueError(f"health: {row['health']!r:.40}")
    address = _text(row, "dial")
    if state is not UpstreamState.GONE and not _is_address(address):
        raise ValueError(f"dial: an address HOST:PORT is wanted, not {address!r:.60}")
    return ListedEndpoint(
        name=name,
        address=address,
        zone=zones.get(_optional_text(row, "site") or "", 0),
        kind=kinds.get(_optional_text(row, "class") or "", 0),
        cell=int(_number(row, "block", 0, -MAX_BLOCK, MAX_BLOCK)),
        units=_number(row, "share", 1.0, 0.0, MAX_SHARE),
        state=state,
        started_at=int(_number(row, "born_ms", 0, -MAX_TIME_MS, MAX_TIME_MS) * NS_PER_MS),
        protocol=_optional_text(row, "protocol"),
    )


def _text(row: dict[Any, Any], key: str) -> str:
    """Return a text without lone surrogates, which JSON permits and UTF-8 does not."""
    value = _optional_text(row, key)
    if value is None:
        raise ValueError(f"{key}: a text is wanted")
    return value


def _optional_text(row: dict[Any, Any], key: str) -> str | None:
    value = row.get(key)
    if value is None:
        return None
    if not isinstance(value, str):
        raise ValueError(f"{key}: a text is wanted")
    value.encode()  # UnicodeEncodeError, which is a ValueError, for a lone surrogate
    return value


def _number(
    row: dict[Any, Any], key: str, default: float, least: float, most: float
) -> float | int:
    value: object = row.get(key, default)
    # Of NaN no comparison is true.
    if type(value) not in (int, float) or not least <= value <= most:  # type: ignore[operator]
        raise ValueError(f"{key}: a number from {least:g} to {most:g} is wanted")
    number: float | int = value  # type: ignore[assignment]
    return number


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    is_port = port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))
    is_host = host.isascii() and not set(host) & set(" /?#@[]\\%")
    return bool(host) and is_host and is_port and 0 < int(port) <= MAX_PORT
