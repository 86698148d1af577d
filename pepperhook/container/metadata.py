"""The description of a container: the signature line and the metadata block."""

from typing import Any

from msgspec import Struct, field

FORMAT_VERSION = 1
MAX_SIGNATURE_BYTES = 64

_SIGNATURE_PREFIX = b"pepperhook record "


class FileMetadata(Struct, omit_defaults=True):
    """The metadata in the first block of a file.

    Fields may be added: older files then have the defaults, and older readers ignore new fields.
    The names given to ``field`` are those in the file.
    """

    content: str  # kind of the records: "capture" or "trace"
    content_version: int
    name: str = ""  # of the balancer
    tier: int = 0  # of the balancer
    created_unix_ns: int = field(default=0, name="begun_unix")
    created_ns: int = field(default=0, name="begun")  # the same instant on the balancer's clock
    extra: dict[str, Any] = field(default_factory=dict, name="more")  # depends on ``content``


def file_signature(version: int = FORMAT_VERSION) -> bytes:
    """Return the first line of a file in this version of the format."""
    return _SIGNATURE_PREFIX + b"%d\n" % version


def parse_signature(line: bytes) -> int | None:
    """Return the format version in a signature line, or None if it is not a signature."""
    version = line.removeprefix(_SIGNATURE_PREFIX).removesuffix(b"\n")
    is_signature = line.startswith(_SIGNATURE_PREFIX) and line.endswith(b"\n")
    return int(version) if is_signature and version.isdigit() else None
