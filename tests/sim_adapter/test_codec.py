"""Tests of batches, records and replies in the simulator's protocol, byte for byte."""

import io
import struct

import pytest

from pepperhook.sim_adapter import codec

# The example batch of the simulator's protocol specification.
EXAMPLE_BATCH = bytes.fromhex(
    "0000004c 00000005 0000000000805c5a 09 00000002 0003"
    "07 00000023 000b5c525d3a91c4 0000 00000000 91f03b7c55d20a64 00000000008405da 00002ee0 01"
    "02 00000004 0000004d 09 00000002 0005 06 00000008 00000d290e6f2b19"
)


def read_hex(text):
    return codec.read_batch(io.BytesIO(bytes.fromhex(text)))


def test_example_batch_of_the_specification_is_decoded():
    batch = codec.read_batch(io.BytesIO(EXAMPLE_BATCH))

    assert batch.clock_us == 0x805C5A
    assert [record.code for record in batch.records] == [9, 7, 2, 9, 6]
    assert batch.records[2].fields == bytes.fromhex("0000004d")


def test_end_of_input_between_batches_is_no_error():
    assert codec.read_batch(io.BytesIO(b"")) is None


@pytest.mark.parametrize(
    "text, message",
    [
        ("0000004c 00000005 0000000000805c5a 090000", "ended 3 bytes into a batch of 76 bytes"),
        ("0000", "ended 1 bytes into a batch header of 15 bytes"),
        (
            "00000003 00000001 0000000000000000 090000",
            "record 0 at byte 0: its header is truncated",
        ),
        (
            "00000006 00000001 0000000000000000 09 00000002 00",
            "record 0 at byte 0: its fields need 2 bytes, 1 are left in the batch",
        ),
        (
            "00000005 00000002 0000000000000000 09 00000000",
            "the header specifies 2 records, but the batch contains 1",
        ),
    ],
)
def test_error_for_a_malformed_batch_names_the_position(text, message):
    with pytest.raises(codec.MalformedInputError, match=message):
        read_hex(text)


def test_endpoint_list_is_decoded_into_named_fields():
    entry = struct.pack(">6sHfHBBQ", b"abcdef", 1, 2.0, 3, 4, 1, 99)

    decoded = codec.read_endpoint_list(struct.pack(">BI", 7, 1) + entry)

    assert decoded == codec.EndpointList(7, [codec.ListEntry(b"abcdef", 1, 2.0, 3, 4, 1, 99)])


def test_truncated_endpoint_list_is_an_error():
    with pytest.raises(
        codec.MalformedInputError, match="TABLE: 2 entries need 48 bytes, 0 are left"
    ):
        codec.read_endpoint_list(struct.pack(">BI", 7, 2))


def test_load_report_may_be_absent_or_empty_but_not_truncated():
    fields = b"xx\x02" + struct.pack(">2f", 1.0, 2.5)

    assert codec.read_load_report(fields, 2, "REPLY") == (1.0, 2.5)
    assert codec.read_load_report(b"xx", 2, "REPLY") == ()
    assert codec.read_load_report(b"xx\x00", 2, "REPLY") == ()
    with pytest.raises(codec.MalformedInputError, match="REPLY: a load report of 2 figures"):
        codec.read_load_report(fields[:-1], 2, "REPLY")


def test_reply_without_records_consists_of_its_header():
    assert codec.encode_reply([]) == bytes(8)


def test_long_text_is_truncated():
    record = codec.encode_text_record(1, "x" * 70_000)

    # 5 bytes of record header, 2 of text size, and the text.
    assert len(record) == 5 + 2 + codec.MAX_TEXT_BYTES
