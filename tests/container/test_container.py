"""Containers: records are read back, and damage to a block leaves the others readable."""

import random
import struct
from pathlib import Path
from zlib import crc32

import msgspec
import pytest
import zstandard

from pepperhook.container import (
    BlockType,
    ContainerReader,
    ContainerWriter,
    FileMetadata,
    NotAContainerError,
    UnreadableFileError,
    UnsupportedVersionError,
    encode_block,
    file_signature,
    frame_record,
    iter_records,
)

NS_PER_S = 10**9
DECODER = msgspec.msgpack.Decoder()
RECORDS_PER_BLOCK = 4
OFFSET_INSIDE_A_BLOCK = 77
encode = msgspec.msgpack.encode


def write_container(path: Path, blocks: int = 3) -> list[list]:
    """Write a file with this number of blocks, and return the records."""
    writer = ContainerWriter(path, FileMetadata("trace", 1, "b0"))
    records = [[number, "x" * 20] for number in range(blocks * RECORDS_PER_BLOCK)]
    for number, record in enumerate(records):
        keys = {"grade": "look", "outcome": "shed" if number % 3 else "served"}
        writer.append(frame_record(encode(record)), number * NS_PER_S, keys)
        if number % RECORDS_PER_BLOCK == RECORDS_PER_BLOCK - 1:
            writer.flush()
    writer.close()
    return records


def read_container(path: Path):
    """Return the readable records, and the data that was skipped."""
    with ContainerReader(path) as reader:
        records = [
            record
            for block in reader.record_blocks()
            for record in iter_records(block.content, DECODER)
        ]
        return records, reader.skipped


def read_blocks(path: Path):
    with ContainerReader(path) as reader:
        return list(reader.blocks())


@pytest.fixture
def path(tmp_path):
    return tmp_path / "records"


def test_written_records_are_read_back_and_indexed(path):
    records = write_container(path)

    assert read_container(path)[0] == records
    with ContainerReader(path) as reader:
        index = reader.index()
        assert reader.metadata.name == "b0"
        assert [entry.record_count for entry in index] == [4, 4, 4]
        assert [(entry.first_time_ns, entry.last_time_ns) for entry in index] == [
            (0, 3 * NS_PER_S),
            (4 * NS_PER_S, 7 * NS_PER_S),
            (8 * NS_PER_S, 11 * NS_PER_S),
        ]
        assert index[0].keys == {"grade": ["look"], "outcome": ["served", "shed"]}
        assert reader.read_block(index[1].offset).block_type == BlockType.RECORDS


def test_file_bytes_follow_the_documented_format(path):
    writer = ContainerWriter(path, FileMetadata("trace", 1, "b0", created_unix_ns=7, created_ns=8))
    writer.append(frame_record(encode(["r"])), 5, {"ids": 2**32 - 1, "grade": "look"})
    writer.append(frame_record(encode(["s"])), 3, {"ids": 1})
    writer.close()

    data = path.read_bytes()
    signature = b"pepperhook record 1\n"
    assert data.startswith(signature)
    blocks, offset = [], len(signature)
    while offset < len(data):
        fields = data[offset : offset + 13]
        block_type, length, raw_length, payload_crc = struct.unpack("<BIII", fields)
        (header_crc,) = struct.unpack_from("<I", data, offset + 13)
        payload = data[offset + 17 : offset + 17 + length]
        content = zstandard.ZstdDecompressor().decompress(payload)
        assert header_crc == crc32(fields)
        assert payload_crc == crc32(payload)
        assert raw_length == len(content)
        blocks.append((offset, block_type, content))
        offset += 17 + length
    metadata, records, index, footer = blocks
    assert [block_type for _, block_type, _ in blocks] == [1, 2, 3, 4]
    assert msgspec.msgpack.decode(metadata[2]) == {
        "content": "trace",
        "content_version": 1,
        "name": "b0",
        "begun_unix": 7,
        "begun": 8,
    }
    assert records[2] == b"\x03\0\0\0\x91\xa1r\x03\0\0\0\x91\xa1s"
    packed_ids = b"\x01\0\0\0\xff\xff\xff\xff"
    keys = {"ids": packed_ids, "grade": ["look"]}
    assert msgspec.msgpack.decode(index[2]) == [[records[0], 2, 3, 5, keys]]
    assert footer[2] == struct.pack("<Q", index[0])


def test_every_intact_block_of_a_truncated_file_is_read(tmp_path, path):
    records = write_container(path)
    data = path.read_bytes()
    blocks = read_blocks(path)
    end_offsets = [block.end_offset for block in blocks]
    truncated_path = tmp_path / "truncated"

    for size in range(len(data)):
        truncated_path.write_bytes(data[:size])
        if size < end_offsets[0]:
            with pytest.raises(UnreadableFileError):
                ContainerReader(truncated_path)
            continue
        intact_blocks = sum(
            block.block_type == BlockType.RECORDS and block.end_offset <= size for block in blocks
        )
        read, skipped = read_container(truncated_path)
        assert read == records[: RECORDS_PER_BLOCK * intact_blocks]
        assert (skipped.bytes == 0) == (size in end_offsets)


@pytest.mark.parametrize("seed", range(5))
def test_flipped_bit_makes_at_most_one_block_unreadable(tmp_path, path, seed):
    records = write_container(path, blocks=6)
    data = path.read_bytes()
    first_record_offset = read_blocks(path)[1].offset
    damaged_path = tmp_path / "damaged"
    generator = random.Random(seed)

    for _ in range(60):
        damaged = bytearray(data)
        damaged[generator.randrange(first_record_offset, len(data))] ^= 1 << generator.randrange(8)
        damaged_path.write_bytes(damaged)
        read, skipped = read_container(damaged_path)
        assert len(read) >= len(records) - RECORDS_PER_BLOCK
        assert skipped.regions == 1
        assert all(record in records for record in read)


def test_index_without_a_footer_is_ignored(path):
    write_container(path)
    footer_offset = read_blocks(path)[-1].offset
    data = path.read_bytes()[:footer_offset]

    path.write_bytes(
        data + encode_block(BlockType.INDEX, encode([[OFFSET_INSIDE_A_BLOCK, 4, 0, 1, {}]]))
    )

    with ContainerReader(path) as reader:
        assert reader.index() is None
    assert len(read_container(path)[0]) == 12


def test_index_that_does_not_refer_to_a_record_block_is_ignored(path):
    write_container(path)
    index_block = read_blocks(path)[-2]
    data = path.read_bytes()[: index_block.offset]
    index = encode_block(BlockType.INDEX, encode([[OFFSET_INSIDE_A_BLOCK, 4, 0, 1, {}]]))
    footer = encode_block(BlockType.FOOTER, struct.pack("<Q", index_block.offset))

    path.write_bytes(data + index + footer)

    with ContainerReader(path) as reader:
        assert reader.index() is None
    assert len(read_container(path)[0]) == 12


@pytest.mark.parametrize(
    ("data", "error", "reason"),
    [
        pytest.param(b"", NotAContainerError, "is no record", id="empty"),
        pytest.param(b"hello\n", NotAContainerError, "is no record", id="text-file"),
        pytest.param(file_signature(2), UnsupportedVersionError, "version 2", id="newer-version"),
        pytest.param(file_signature(), UnreadableFileError, "first block", id="no-metadata"),
        pytest.param(
            file_signature() + encode_block(BlockType.RECORDS, b""),
            UnreadableFileError,
            "first block",
            id="records-first",
        ),
    ],
)
def test_unreadable_file_raises_an_error_of_one_line_that_begins_with_the_path(
    path, data, error, reason
):
    path.write_bytes(data)

    with pytest.raises(error) as raised:
        ContainerReader(path)

    assert isinstance(raised.value, UnreadableFileError)
    assert isinstance(raised.value, ValueError)
    assert str(raised.value).startswith(f"{path}: ")
    assert reason in str(raised.value)
    assert "\n" not in str(raised.value)


def test_unknown_metadata_fields_are_ignored(path):
    metadata = {"content": "trace", "content_version": 1, "future": [1]}
    path.write_bytes(file_signature() + encode_block(BlockType.METADATA, encode(metadata)))

    with ContainerReader(path) as reader:
        assert reader.metadata.content == "trace"


def test_blocks_of_an_unknown_type_are_ignored(path):
    records = write_container(path)
    metadata_block = read_blocks(path)[0]
    data = path.read_bytes()
    unknown = encode_block(9, b"of a later version")
    position = metadata_block.end_offset

    path.write_bytes(data[:position] + unknown + data[position:])

    read, skipped = read_container(path)
    assert read == records
    assert skipped.regions == 0
