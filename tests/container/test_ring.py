"""The segment ring: its limits, failing writes, and the files left by a killed process."""

import os
import subprocess
import sys
import threading
import time
from contextlib import contextmanager
from pathlib import Path

import msgspec
import pytest

from pepperhook.container import (
    ContainerReader,
    FileMetadata,
    UnreadableFileError,
    frame_record,
    iter_records,
)
from pepperhook.container.retention import Retention, SegmentFile
from pepperhook.container.ring import SegmentRing
from pepperhook.container.segment_directory import SegmentDirectory, SegmentFolderError
from pepperhook.container.segment_writer import QUEUE_CAPACITY

DECODER = msgspec.msgpack.Decoder()
METADATA = FileMetadata("trace", 1, "b0")
WAIT_S = 30.0
ROOT = Path(__file__).parents[2]


class RecordingLog:
    """Stores the names of the logged events."""

    def __init__(self):
        self.events = []

    def info(self, event, **_fields):
        self.events.append(event)

    def warning(self, event, **_fields):
        self.events.append(event)


class GapNotifyingRing(SegmentRing):
    """A ring that sets an event when it marks a gap."""

    def __init__(self, *arguments, **options):
        self.gap_marked = threading.Event()
        super().__init__(*arguments, **options)

    def _mark_gap(self):
        super()._mark_gap()
        self.gap_marked.set()


@pytest.fixture
def log():
    return RecordingLog()


@pytest.fixture
def folder(tmp_path):
    return tmp_path / "segments"


def make_ring(folder, log, ring_class=SegmentRing):
    retention = Retention.from_settings(minutes=60, megabytes=64)
    return ring_class(SegmentDirectory(folder, "b0", "trc", retention), log)


def append_number(ring, number):
    ring.append(frame_record(msgspec.msgpack.encode(number)), number, {"ids": number})


def read_records(path):
    with ContainerReader(path) as reader:
        return [
            record
            for block in reader.record_blocks()
            for record in iter_records(block.content, DECODER)
        ]


@contextmanager
def running_until_killed(code):
    """Run code in a separate process, which is killed at the end of the context."""
    process = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE, cwd=ROOT)
    try:
        yield process
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def test_ring_logs_a_missing_folder_once_and_recovers_when_it_exists_again(folder, log):
    ring = make_ring(folder, log, GapNotifyingRing)
    ring.create_folder("trace.folder")
    folder.rmdir()
    ring.open_segment(METADATA)
    append_number(ring, 1)
    ring.start()

    assert ring.gap_marked.wait(WAIT_S)
    assert ring.has_gap
    assert ring.error == "No such file or directory"
    assert ring.log_fields()["broken"] == "No such file or directory"
    assert log.events == ["record_broken"]

    folder.mkdir()
    ring.open_segment(METADATA)
    append_number(ring, 2)
    ring.writer.stop()

    (path,) = folder.iterdir()
    assert read_records(path) == [2]
    assert ring.error is None
    assert log.events == ["record_broken"]


def test_error_for_a_folder_that_cannot_be_created_names_the_setting(tmp_path, log):
    (tmp_path / "file").write_bytes(b"")
    ring = make_ring(tmp_path / "file" / "folder", log)

    with pytest.raises(ValueError, match=r"^trace\.folder: ") as raised:
        ring.create_folder("trace.folder")

    assert isinstance(raised.value, SegmentFolderError)


def test_segments_beyond_the_size_or_age_limit_are_deleted(tmp_path):
    now_s = 10**9
    retention = Retention.from_settings(minutes=10, megabytes=1)
    directory = SegmentDirectory(tmp_path, "b0", "trc", retention, clock=lambda: now_s)
    for number, (age_s, size) in enumerate([(900, 10), (500, 700_000), (400, 700_000), (10, 10)]):
        path = tmp_path / f"b0-{number:020d}.trc"
        path.write_bytes(b"x" * size)
        os.utime(path, (now_s - age_s, now_s - age_s))
    of_another_balancer = tmp_path / "b1-0.trc"
    of_another_balancer.write_bytes(b"x")

    directory.delete_expired()

    assert [path.stem[-1] for path in directory.segment_paths()] == ["2", "3"]
    assert of_another_balancer.exists()


def test_segments_exactly_at_both_limits_are_retained():
    retention = Retention(max_age_s=10.0, max_bytes=20.0)
    segments = [SegmentFile(Path(name), 10, 90.0) for name in ("a", "b")]

    assert retention.expired(segments, now_s=100.0) == []
    assert retention.expired(segments, now_s=100.5) == segments
    assert retention.expired([*segments, SegmentFile(Path("c"), 1, 95.0)], 100.0) == segments[:1]


def test_command_is_dropped_counted_and_marked_as_a_gap_if_the_queue_is_full(folder, log):
    ring = make_ring(folder, log)
    ring.create_folder("trace.folder")
    ring.open_segment(METADATA)
    for number in range(QUEUE_CAPACITY):  # one command too many: OpenSegment is queued too
        append_number(ring, number)

    assert ring.dropped == 1
    assert ring.has_gap

    ring.start()
    ring.writer.stop()
    (path,) = folder.iterdir()
    assert read_records(path) == list(range(QUEUE_CAPACITY - 1))


def test_preserve_moves_all_segments_except_the_open_one(folder, log):
    ring = make_ring(folder, log)
    ring.create_folder("trace.folder")
    ring.start()
    for number in range(3):
        ring.open_segment(METADATA)
        append_number(ring, number)
    ring.preserve()
    ring.writer.stop()

    preserved = sorted(folder.glob("kept-*/*.trc"))
    (remaining,) = folder.glob("*.trc")
    assert [read_records(path) for path in preserved] == [[0], [1]]
    assert read_records(remaining) == [2]
    assert ring.log_fields()["kept"] == 1
    assert log.events == ["record_kept"]


def test_pending_records_are_written_before_the_block_is_full(tmp_path):
    """When only full blocks were written, a kill lost minutes of records if traffic was low."""
    code = f"""
import time
from pepperhook.container import FileMetadata
from pepperhook.container.retention import Retention
from pepperhook.container.ring import SegmentRing
from pepperhook.container.segment_directory import SegmentDirectory
directory = SegmentDirectory({str(tmp_path)!r}, "b", "trc", Retention.from_settings(60.0, 10.0))
ring = SegmentRing(directory, None, flush_interval_s=0.05)
ring.start()
ring.open_segment(FileMetadata("trace", 1, "b", 0, 1, 1))
for number in range(20):
    ring.append(b"\\xc0", number)
    time.sleep(0.02)
print("written", flush=True)
time.sleep(60)
"""
    with running_until_killed(code) as process:
        assert process.stdout.readline() == b"written\n"
        path = next(tmp_path.glob("*.trc"))
        for _ in range(1000):
            with ContainerReader(path) as reader:
                # Each record is one byte.
                count = sum(len(block.content) for block in reader.record_blocks())
            if count == 20:
                break
            time.sleep(0.01)
        assert count == 20


def test_intact_blocks_are_readable_after_a_kill_during_segment_rotation(tmp_path):
    code = f"""
import msgspec
from pepperhook.container import FileMetadata, frame_record
from pepperhook.container.retention import Retention
from pepperhook.container.ring import SegmentRing
from pepperhook.container.segment_directory import SegmentDirectory
from pepperhook.container.segment_writer import AppendRecord, FlushPending
directory = SegmentDirectory({str(tmp_path)!r}, "b0", "trc", Retention.from_settings(60, 64))
ring = SegmentRing(directory, None)
ring.start()
number = 0
while True:
    ring.open_segment(FileMetadata("trace", 1, "b0"))
    for _ in range(20):
        record = frame_record(msgspec.msgpack.encode(number))
        ring.writer.queue.put(AppendRecord(record, number, {{"ids": number}}))
        ring.writer.queue.put(FlushPending())
        number += 1
    if number == 400:
        print("writing", flush=True)
"""
    with running_until_killed(code) as process:
        assert process.stdout.readline() == b"writing\n"

    paths, numbers = sorted(tmp_path.glob("*.trc")), []
    for path in paths:
        try:
            numbers += read_records(path)
        except UnreadableFileError as error:
            # Only the last segment may lack a complete metadata block.
            assert path == paths[-1], error
    assert numbers == list(range(len(numbers)))
    assert len(numbers) > 100
