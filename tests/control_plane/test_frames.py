"""Frames of the version stream: a cut or corrupted stream never gives a partial version."""

import random

import pytest

from pepperhook.control_plane.frames import (
    BeginVersion,
    FrameKind,
    FrameReader,
    StreamError,
    StreamHeartbeat,
    encode_frame,
    encode_message,
    encode_version,
)
from tests.control_plane.helpers import document, signed_version

BASE = signed_version(1, document(grades={f"g{n}": {"earnings": float(n)} for n in range(40)}))
NEXT = signed_version(
    2, document(grades={f"g{n}": {"earnings": float(n if n != 7 else 99)} for n in range(40)})
)
PATCH = b"".join(encode_version(NEXT, BASE))
STREAM = b"".join(encode_version(BASE)) + PATCH
READ_BYTES = 97  # fed to the reader at a time


def reader_with_base():
    return FrameReader(lambda number: BASE if number == 1 else None)


def reader_without_versions():
    return FrameReader(lambda _: None)


def test_version_is_sent_as_a_patch_where_that_is_smaller():
    assert len(PATCH) < 700 < len(STREAM)


def test_stream_cut_at_any_byte_gives_only_the_complete_versions():
    end_of_base = len(STREAM) - len(PATCH)
    for cut in range(len(STREAM) + 1):
        reader = reader_with_base()

        versions = []
        for start in range(0, cut, READ_BYTES):
            versions += reader.feed(STREAM[start : min(cut, start + READ_BYTES)])

        complete_count = (cut >= end_of_base) + (cut == len(STREAM))
        assert versions == [BASE, NEXT][:complete_count]


def test_stream_with_a_flipped_bit_gives_only_correct_versions():
    generator = random.Random(3)
    for _ in range(300):
        corrupted = bytearray(STREAM)
        position = generator.randrange(len(STREAM))
        corrupted[position] ^= 1 << generator.randrange(8)
        try:
            versions = reader_with_base().feed(bytes(corrupted))
        except StreamError:
            continue
        # With a larger frame length, the reader only waits for more bytes.
        assert all(version in (BASE, NEXT) for version in versions)
        assert len(versions) < 2


def test_patch_of_an_unknown_version_is_an_error():
    with pytest.raises(StreamError, match="patch of unknown version 1$"):
        reader_without_versions().feed(PATCH)


@pytest.mark.parametrize(
    "stream",
    [
        encode_frame(FrameKind.CHUNK, b"x"),
        encode_frame(FrameKind.END, b""),
        encode_frame(FrameKind.BEGIN, b"{"),
        encode_message(FrameKind.BEGIN, BeginVersion(1, 10**9, 0)),
        b"\xff" * 20,
        encode_message(FrameKind.BEGIN, BeginVersion(1, 1, 0))
        + encode_frame(FrameKind.CHUNK, b"xx"),
    ],
    ids=["chunk first", "end first", "no JSON", "too large", "no frame", "chunk too long"],
)
def test_invalid_stream_is_an_error(stream):
    with pytest.raises(StreamError):
        reader_without_versions().feed(stream)


def test_frame_of_an_unknown_kind_is_skipped():
    unknown = encode_frame(99, b"from a later release")
    heartbeat = encode_message(FrameKind.HEARTBEAT, StreamHeartbeat(3, 4))

    assert reader_without_versions().feed(unknown + heartbeat) == [StreamHeartbeat(3, 4)]


def test_messages_have_the_json_keys_of_the_wire_format():
    heartbeat = encode_message(FrameKind.HEARTBEAT, StreamHeartbeat(3, 4))

    assert heartbeat.endswith(b'\x04{"wanted":3,"at_ms":4}')
