"""Encodes and decodes the version stream, for both sides, without I/O.

    frame = length:u32 crc:u32 kind:u8 payload

Integers are big-endian; length and checksum cover kind and payload.

A version is sent as a BEGIN frame, any number of CHUNK frames and an END frame. A reader accepts it
only after END and if size and checksum match, so a stream that breaks earlier gives no partial
version. The chunks carry the complete version, or a merge patch (RFC 7396) of one that the reader
has.
"""

import struct
from collections.abc import Callable, Iterator
from enum import IntEnum
from typing import Any
from zlib import crc32

import msgspec
from msgspec import Struct, field

from pepperhook.control_plane.merge_patch import apply_patch, create_patch
from pepperhook.control_plane.version import Version, content_hash
from pepperhook.errors import PepperhookError

FRAME_HEADER = struct.Struct(">II")
CHUNK_BYTES = 16 * 1024
MAX_FRAME_BYTES = 1024 * 1024
MAX_VERSION_BYTES = 4 * 1024 * 1024


class FrameKind(IntEnum):
    """The kinds of frames; a reader skips kinds that it does not know."""

    BEGIN = 1
    CHUNK = 2
    END = 3
    HEARTBEAT = 4
    VIEW = 5


class StreamError(PepperhookError, ValueError):
    """The bytes are not a valid stream; the reader must reconnect."""


class MissingBaseError(StreamError):
    """The reader does not have the version that a patch is for; it needs a complete version."""


class BeginVersion(Struct):
    """Announces a version."""

    number: int
    size: int  # bytes of all chunks
    crc: int  # of the same bytes
    base: int = 0  # number of the version that the chunks patch; 0: they are a complete version


class StreamHeartbeat(Struct):
    """Sent at intervals, so that a reader notices a dead stream."""

    desired_version: int = field(name="wanted")  # number of the version that this member is to run
    sent_at_ms: int = field(name="at_ms")  # Unix time


class MembershipView(Struct):
    """The present members of the reader's tier."""

    epoch: int  # increases with each change
    members: list[str]


StreamMessage = Version | StreamHeartbeat | MembershipView
FindVersion = Callable[[int], Version | None]


def encode_frame(kind: int, payload: bytes) -> bytes:
    """Return one frame."""
    body = bytes([kind]) + payload
    return FRAME_HEADER.pack(len(body), crc32(body)) + body


def encode_message(kind: FrameKind, message: Struct) -> bytes:
    """Return one frame with a message as JSON."""
    return encode_frame(kind, msgspec.json.encode(message))


def encode_version(version: Version, base: Version | None = None) -> Iterator[bytes]:
    """Yield the frames of a version, as a patch of ``base`` where that is smaller."""
    content = msgspec.json.encode(version)
    base_number = 0
    if base is not None:
        patch = _encode_patch(version, base)
        if len(patch) < len(content):
            content = patch
            base_number = base.number
    announcement = BeginVersion(version.number, len(content), crc32(content), base_number)
    yield encode_message(FrameKind.BEGIN, announcement)
    for offset in range(0, len(content), CHUNK_BYTES):
        yield encode_frame(FrameKind.CHUNK, content[offset : offset + CHUNK_BYTES])
    yield encode_frame(FrameKind.END, b"")


def _encode_patch(version: Version, base: Version) -> bytes:
    without_document = msgspec.structs.replace(version, document={})
    document_patch = create_patch(base.document, version.document)
    return msgspec.json.encode([msgspec.to_builtins(without_document), document_patch])


class FrameReader:
    """Decodes the stream as its bytes arrive."""

    def __init__(self, known_version: FindVersion) -> None:
        """Begin a stream.

        ``known_version`` returns a version by its number if the reader has it, or None; patches are
        applied to it.
        """
        self._known_version = known_version
        self._buffer = bytearray()
        self._announced: BeginVersion | None = None
        self._chunks: list[bytes] = []
        self._chunk_bytes = 0

    def feed(self, data: bytes) -> list[StreamMessage]:
        """Add received bytes and return the messages they complete. Raises StreamError."""
        self._buffer += data
        messages: list[StreamMessage] = []
        while (body := self._next_body()) is not None:
            message = self._decode(body[0], body[1:])
            if message is not None:
                messages.append(message)
        return messages

    def _next_body(self) -> bytes | None:
        """Remove one complete frame from the buffer; return its kind and payload, or None."""
        if len(self._buffer) < FRAME_HEADER.size:
            return None
        length, checksum = FRAME_HEADER.unpack_from(self._buffer)
        if not 0 < length <= MAX_FRAME_BYTES:
            raise StreamError(f"invalid frame length: {length} bytes")
        end = FRAME_HEADER.size + length
        if len(self._buffer) < end:
            return None
        body = bytes(self._buffer[FRAME_HEADER.size : end])
        del self._buffer[:end]
        if crc32(body) != checksum:
            raise StreamError("frame checksum mismatch")
        return body

    def _decode(self, kind: int, payload: bytes) -> StreamMessage | None:
        try:
            match kind:
                case FrameKind.BEGIN:
                    self._begin_version(msgspec.json.decode(payload, type=BeginVersion))
                case FrameKind.CHUNK:
                    self._add_chunk(payload)
                case FrameKind.END:
                    return self.assemble_version()
                case FrameKind.HEARTBEAT:
                    return msgspec.json.decode(payload, type=StreamHeartbeat)
                case FrameKind.VIEW:
                    return msgspec.json.decode(payload, type=MembershipView)
        except msgspec.MsgspecError as error:
            raise StreamError(f"invalid frame of kind {kind}: {error}") from error
        return None

    def _begin_version(self, announced: BeginVersion) -> None:
        if announced.size > MAX_VERSION_BYTES:
            raise StreamError(f"version of {announced.size} bytes is too large")
        self._announced = announced
        self._chunks = []
        self._chunk_bytes = 0

    def _add_chunk(self, payload: bytes) -> None:
        if self._announced is None:
            raise StreamError("CHUNK frame without a BEGIN frame")
        self._chunk_bytes += len(payload)
        if self._chunk_bytes > self._announced.size:
            raise StreamError("chunks exceed the announced size")
        self._chunks.append(payload)

    def assemble_version(self) -> Version:
        """Return the version that was received since BEGIN. Raises StreamError and MsgspecError."""
        announced = self._announced
        content = b"".join(self._chunks)
        self._announced = None
        self._chunks = []
        if announced is None or len(content) != announced.size or crc32(content) != announced.crc:
            raise StreamError("incomplete or corrupted version")
        if announced.base:
            version = self._patched_version(content, announced.base)
        else:
            version = msgspec.json.decode(content, type=Version)
        if version.number != announced.number:
            raise StreamError("version number differs from the announced one")
        return version

    def _patched_version(self, content: bytes, base_number: int) -> Version:
        base = self._known_version(base_number)
        if base is None:
            raise MissingBaseError(f"patch of unknown version {base_number}")
        without_document, patch = msgspec.json.decode(content, type=tuple[Version, dict[str, Any]])
        document = apply_patch(base.document, patch)
        version = msgspec.structs.replace(without_document, document=document)
        if content_hash(version) != version.hash:
            # The sender's version of this number may be another one, after it lost its store.
            raise MissingBaseError(f"patch of another version {base_number}")
        return version
