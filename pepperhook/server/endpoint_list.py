"""Decodes responses of the discovery service: the whole endpoint list, or changes to it.

An unreadable row affects only its own upstream, which counts as not ready, because the row may
announce a drain. A row without a readable name may be about any upstream.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NoReturn

from pepperhook.domain import UpstreamState
from pepperhook.errors import PepperhookError

NS_PER_MS = 10**6
MAX_TIME_MS = 9 * 10**12  # as nanoseconds it fits into the 64 bits that captures store
MAX_BLOCK = 2**63 - 1  # captures store 64 bits
MAX_SHARE = 1e9
MAX_PORT = 65535
STATES = {str(state): state for state in UpstreamState}


class MalformedListError(PepperhookError, ValueError):
    """A response is not an endpoint list."""


@dataclass(slots=True)
class ListedEndpoint:
    """One readable row of the list."""

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
    """A row of which only the name, and perhaps the state, can be read."""

    name: str
    reason: str
    is_gone: bool


@dataclass(slots=True)
class EndpointList:
    """A whole list, or a set of changes."""

    version: int
    is_whole: bool
    endpoints: list[ListedEndpoint]
    unreadable: list[UnreadableRow]
    unnamed_reasons: list[str]  # why rows have no readable name


def parse(data: bytes, zones: Mapping[str, int], kinds: Mapping[str, int]) -> EndpointList:
    """Parse one response; ``zones``, ``kinds``: numbers by name. Raises MalformedListError."""
    try:
        document = json.loads(data, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        raise MalformedListError(str(error)) from error
    return decode(document, zones, kinds)


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is not valid JSON")


def decode(document: object, zones: Mapping[str, int], kinds: Mapping[str, int]) -> EndpointList:
    """Decode a list from parsed JSON; otherwise like ``parse``. Raises MalformedListError."""
    if not isinstance(document, dict) or not isinstance(document.get("hosts"), list):
        raise MalformedListError("hosts: must be a list")
    version = document.get("seq")
    if type(version) is not int:
        raise MalformedListError("seq: must be an integer")
    is_whole = document.get("whole")
    if not isinstance(is_whole, (bool, int, type(None))):
        raise MalformedListError("whole: must be true or false")
    decoded = EndpointList(version, bool(is_whole), [], [], [])
    for row in document["hosts"]:
        _add_row(decoded, row, zones, kinds)
    if decoded.is_whole and document["hosts"] and not decoded.endpoints:
        # Probably another format; the current list is more useful.
        reasons = [f"{row.name}: {row.reason}" for row in decoded.unreadable]
        raise MalformedListError(f"no readable row: {[*reasons, *decoded.unnamed_reasons][0]}")
    return decoded


def _add_row(
    decoded: EndpointList, row: object, zones: Mapping[str, int], kinds: Mapping[str, int]
) -> None:
    """Decode one row, and add it to the endpoints, the unreadable rows or the unnamed ones."""
    try:
        name = _name(row)
    except ValueError as error:
        decoded.unnamed_reasons.append(str(error))
        return
    assert isinstance(row, dict)  # _name has checked it
    try:
        decoded.endpoints.append(_decode_row(name, row, zones, kinds))
    except ValueError as error:
        is_gone = row.get("health") == UpstreamState.GONE
        decoded.unreadable.append(UnreadableRow(name, str(error), is_gone))


def _name(row: object) -> str:
    """Return a row's name. Raises ValueError if it has no readable name."""
    if not isinstance(row, dict):
        raise ValueError("host: the row is not an object")
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
        raise ValueError(f"dial: must be an address HOST:PORT, not {address!r:.60}")
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
    """Return a required string without lone surrogates, which JSON permits and UTF-8 does not."""
    value = _optional_text(row, key)
    if value is None:
        raise ValueError(f"{key}: must be a string")
    return value


def _optional_text(row: dict[Any, Any], key: str) -> str | None:
    value = row.get(key)
    if value is None:
        return None
    if not isinstance(value, str):
        raise ValueError(f"{key}: must be a string")
    value.encode()  # raises UnicodeEncodeError, a ValueError, for a lone surrogate
    return value


def _number(
    row: dict[Any, Any], key: str, default: float, minimum: float, maximum: float
) -> float | int:
    value: object = row.get(key, default)
    # The comparison is false for NaN.
    if type(value) not in (int, float) or not minimum <= value <= maximum:  # type: ignore[operator]
        raise ValueError(f"{key}: must be a number from {minimum:g} to {maximum:g}")
    number: float | int = value  # type: ignore[assignment]
    return number


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    is_port = port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))
    is_host = host.isascii() and not set(host) & set(" /?#@[]\\%")
    return bool(host) and is_host and is_port and 0 < int(port) <= MAX_PORT
