"""The frames of the protocol note, byte for byte."""

import io

import pytest

from pepperhook.wirehost import codec
from pepperhook.wirehost.__main__ import answer


def test_the_example_batch_is_read_and_unstarted_instances_stay_silent():
    data = bytes.fromhex(
        "0000004c 00000005 0000000000805c5a 09 00000002 0003"
        "07 00000023 000b5c525d3a91c4 0000 00000000 91f03b7c55d20a64 00000000008405da 00002ee0 01"
        "02 00000004 0000004d 09 00000002 0005 06 00000008 00000d290e6f2b19")
    batch = codec.read_batch(io.BytesIO(data))
    assert batch[0] == 0x805c5a
    assert [code for code, _ in batch[1]] == [9, 7, 2, 9, 6]
    assert answer(batch, {}, {}) == []
    assert codec.reply([]) == bytes(8)


def test_a_cut_off_frame_tells_where():
    with pytest.raises(codec.Malformed, match="ended 3 bytes into a batch of 76"):
        codec.read_batch(io.BytesIO(bytes.fromhex("0000004c 00000005 0000000000805c5a 090000")))
    assert codec.read_batch(io.BytesIO(b"")) is None
