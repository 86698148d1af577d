"""Reading trace files: truncated, with and without an index, and of other versions."""

import random

import msgspec
import pytest
from msgspec.structs import replace

from pepperhook.container import (
    BlockType,
    ContainerWriter,
    FileMetadata,
    UnreadableFileError,
    frame_record,
)
from pepperhook.tracing.filter import TraceFilter
from pepperhook.tracing.reader import find_descendants, open_trace_file, read_traces
from pepperhook.tracing.records import RequestTrace
from pepperhook.units import MILLISECOND, SECOND
from tests.tracing.traces import BASE, read_file, request_trace, two_tiers, write_file

ONE_ID = TraceFilter(ids=frozenset(["id00123"]))
FILTERS = [
    ONE_ID,
    TraceFilter(grades=frozenset(["sale"])),
    TraceFilter(begin=BASE + SECOND, end=BASE + SECOND + 300 * MILLISECOND),
    TraceFilter(outcomes=frozenset(["late"])),
    TraceFilter(outcomes=frozenset(["fulfilled"])),
    TraceFilter(customers=frozenset(["c7"]), reason="chance"),
    TraceFilter(upstreams=frozenset(["u1"]), outcomes=frozenset(["shed"])),
]
FIELDS_OF_VERSION_0_1 = ["a", "", "look", "", BASE, 10, 5, 1.0, "shed", 3]


def random_traces():
    """Return requests of two service classes and forty tenants; a fifth of the served are late."""
    rng = random.Random(4)
    traces = [
        request_trace(
            number,
            final=rng.choice(["fulfilled", "shed", "broken off"]),
            service_class=rng.choice(["look", "sale"]),
            tenant=f"c{rng.randrange(40)}",
        )
        for number in range(300)
    ]
    return [
        replace(trace, late=trace.final == "fulfilled" and number % 5 == 0)
        for number, trace in enumerate(traces)
    ]


def test_file_truncated_at_any_byte_yields_every_complete_block(tmp_path):
    traces = [
        request_trace(number, final="shed" if number % 4 == 0 else "fulfilled")
        for number in range(20)
    ]
    path = write_file(tmp_path / "a.trc", traces)
    content = path.read_bytes()
    with open_trace_file(path) as reader:
        blocks = list(reader.blocks())
    metadata_end = blocks[0].end_offset
    record_ends = [block.end_offset for block in blocks if block.block_type == BlockType.RECORDS]
    assert len(record_ends) == 4

    for length in range(len(content)):
        (tmp_path / "cut").write_bytes(content[:length])
        if length < metadata_end:
            with pytest.raises(UnreadableFileError):
                open_trace_file(tmp_path / "cut")
        else:
            complete_blocks = sum(end <= length for end in record_ends)
            # write_file puts five records into each block.
            assert read_file(tmp_path / "cut") == traces[: 5 * complete_blocks]


@pytest.fixture(scope="module")
def files(tmp_path_factory):
    """A file with an index, the same file without one, and the traces in them."""
    folder = tmp_path_factory.mktemp("files")
    traces = random_traces()
    indexed = write_file(folder / "a.trc", traces)
    unindexed = folder / "b.trc"
    # The index is found by means of the footer, whose end is cut off here.
    unindexed.write_bytes(indexed.read_bytes()[:-9])
    return indexed, unindexed, traces


def test_file_without_a_complete_footer_has_no_index(files):
    indexed, unindexed, _ = files

    with open_trace_file(indexed) as reader:
        assert len(reader.index()) == 60
    with open_trace_file(unindexed) as reader:
        assert reader.index() is None


@pytest.mark.parametrize("trace_filter", FILTERS)
def test_filter_returns_the_same_records_with_and_without_an_index(files, trace_filter):
    indexed, unindexed, traces = files
    expected = [trace for trace in traces if trace_filter.matches(trace)]

    assert expected
    assert read_file(indexed, trace_filter) == expected
    assert read_file(unindexed, trace_filter) == expected


def test_filter_for_an_unknown_id_returns_nothing(files):
    indexed, unindexed, _ = files
    trace_filter = TraceFilter(ids=frozenset(["unknown"]))

    assert read_file(indexed, trace_filter) == read_file(unindexed, trace_filter) == []


def test_only_blocks_that_may_match_are_read(files):
    offsets = []
    with open_trace_file(files[0]) as reader:
        read_block = reader.read_block
        reader.read_block = lambda offset: offsets.append(offset) or read_block(offset)
        assert len(list(read_traces(reader, ONE_ID))) == 1

    # Only one of the sixty record blocks has the id; the footer and the index are also read.
    assert len(offsets) <= 4


def encode_record(fields):
    return frame_record(msgspec.msgpack.encode(fields))


def test_records_with_fewer_and_more_fields_are_read(tmp_path):
    later = [*FIELDS_OF_VERSION_0_1, False, "why", [], [], None, 0, "", "of a later version", 7]
    writer = ContainerWriter(tmp_path / "old.trc", FileMetadata("trace", 1, "b0"))
    writer.append(encode_record(FIELDS_OF_VERSION_0_1), BASE)
    writer.append(encode_record(later), BASE)
    writer.close()

    first, second = read_file(tmp_path / "old.trc")

    assert first == RequestTrace(*FIELDS_OF_VERSION_0_1)
    assert (second.reason, second.root) == ("why", "")


@pytest.mark.parametrize(
    ("metadata", "problem"),
    [
        (FileMetadata("trace", 2, "b0"), "version 2"),
        (FileMetadata("capture", 1, "b0"), "no trace"),
    ],
)
def test_file_of_a_later_version_or_with_other_content_is_rejected(tmp_path, metadata, problem):
    ContainerWriter(tmp_path / "x.trc", metadata).close()

    with pytest.raises(UnreadableFileError, match=problem):
        open_trace_file(tmp_path / "x.trc")


def test_descendants_of_a_request_are_found_in_all_files(tmp_path):
    front, back, requests, _ = two_tiers(tmp_path, 0)

    rows = find_descendants([back, front], requests[2].id)

    assert {row.trace.id for row in rows} == {requests[2].id, f"{requests[2].id}-1a"}
    assert find_descendants([front], "unknown") == []
