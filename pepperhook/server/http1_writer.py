"""Writes heads of HTTP/1.1 messages, octet by octet as their field values are.

aiohttp drops each octet that is not UTF-8 from the heads that it writes, or raises an error.
"""

import re
from typing import Any

from aiohttp import client_reqrep, web_protocol
from aiohttp.http_writer import StreamWriter

from pepperhook.server.field_value import encode_octets

LINE_END = "\r\n"
# Control characters but the tab (RFC 9110, 5.5). A line end would begin another field.
FORBIDDEN = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


class HeadWriter(StreamWriter):
    """The library's writer, with heads that keep all octets of field values and targets.

    Overrides a method of the pinned aiohttp version that sets private attributes.
    """

    async def write_headers(self, status_line: str, headers: Any) -> None:
        """Queue a head; the first byte of the body or its end sends it. Raises ValueError."""
        self._headers_written = False
        self._headers_buf = encode_head(status_line, headers)


def encode_head(first_line: str, headers: Any) -> bytes:
    """Return the bytes of a head. Raises ValueError if it has a control character."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    for line in lines:
        if FORBIDDEN.search(line) is not None:
            raise ValueError("a control character in a head")
    return encode_octets(LINE_END.join([*lines, LINE_END]))


def use_head_writer() -> None:
    """Make the library's client and server write with HeadWriter; they have no option for that."""
    client_reqrep.StreamWriter = HeadWriter  # type: ignore[attr-defined]
    web_protocol.StreamWriter = HeadWriter  # type: ignore[attr-defined]
