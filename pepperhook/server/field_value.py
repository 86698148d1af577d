"""Field values of HTTP messages: octets (RFC 9110, 5.5), which are forwarded as they were received.

aiohttp reads and writes field values and request targets as text: UTF-8 in which each octet that is
not part of valid UTF-8 is a lone surrogate (PEP 383). Such text cannot be encoded by others, so it
stays between the library and this module, which has the only conversions between text and octets.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

ESCAPED_OCTETS = "surrogateescape"  # error handler for octets that are not UTF-8
# Visible octets of ASCII, obs-text, and blanks that are not at an end.
VISIBLE = rb"[\x21-\x7e\x80-\xff]"
BLANK = re.compile(rb"[\t ]")
FORWARDABLE_VALUE = re.compile(rb"(?:%b(?:[\t ]*%b)*)?" % (VISIBLE, VISIBLE))


def decode_octets(octets: bytes) -> str:
    """Return octets as text of the library."""
    return octets.decode("utf-8", ESCAPED_OCTETS)


def encode_octets(library_text: str) -> bytes:
    """Return the octets of text of the library."""
    return library_text.encode("utf-8", ESCAPED_OCTETS)


@dataclass(frozen=True, slots=True)
class FieldValue:
    """The octets of a field value, without the blanks around it, or of a request's target."""

    octets: bytes

    @classmethod
    def ascii(cls, text: str) -> FieldValue:
        """Return a value of the balancer itself. Raises UnicodeEncodeError if it is not ASCII."""
        return cls(text.encode("ascii"))

    @classmethod
    def from_library(cls, library_text: str) -> FieldValue:
        """Return a value that the library has read."""
        return cls(encode_octets(library_text))

    def to_library(self) -> str:
        """Return the value as text for the library to write."""
        return decode_octets(self.octets)

    @property
    def text(self) -> str:
        """The value as text in which each character stands for one octet (ISO-8859-1).

        Any encoding takes it, and different values have different texts.
        """
        return self.octets.decode("iso-8859-1")

    @property
    def is_forwardable_target(self) -> bool:
        """Whether it may stand in an HTTP/1.1 request line, which a blank would end."""
        return self.is_forwardable and not BLANK.search(self.octets)

    @property
    def is_forwardable(self) -> bool:
        """Whether both protocols permit it (RFC 9110, 5.5; RFC 9113, 8.2.1)."""
        return FORWARDABLE_VALUE.fullmatch(self.octets) is not None

    @property
    def is_utf8(self) -> bool:
        """Whether it may be sent on over HTTP/2.

        There are peers that decode all fields as UTF-8, and end the connection at one that is not.
        Over HTTP/1.1 that costs one request, over HTTP/2 all that share the connection.
        """
        try:
            self.octets.decode()
        except UnicodeDecodeError:
            return False
        return True
