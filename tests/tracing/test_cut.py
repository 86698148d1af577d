"""Copying the matching records of traces to a new file."""

import pytest

from pepperhook.container import ContainerWriter
from pepperhook.tracing.cut import cut
from pepperhook.tracing.filter import TraceFilter
from pepperhook.tracing.reader import open_trace_file
from pepperhook.units import MILLISECOND
from tests.tracing.traces import BASE, read_file, request_trace, write_file


@pytest.fixture
def path(tmp_path):
    return write_file(tmp_path / "a.trc", [request_trace(number) for number in range(40)])


def test_cut_copies_the_requests_of_a_time_window(path, tmp_path):
    window = TraceFilter(begin=BASE + 100 * MILLISECOND, end=BASE + 200 * MILLISECOND)

    count = cut([path], tmp_path / "c.trc", window)

    ids = [trace.id for trace in read_file(tmp_path / "c.trc")]
    assert count == 10
    assert ids == [f"id{number:05d}" for number in range(10, 20)]


def test_cut_of_several_files_has_no_balancer_name(path, tmp_path):
    count = cut([path, path], tmp_path / "c.trc", TraceFilter(ids=frozenset(["id00007"])))

    with open_trace_file(tmp_path / "c.trc") as reader:
        metadata = reader.metadata
    assert count == 2
    assert (metadata.name, metadata.extra) == ("", {"cut_of": 2})


def test_failed_cut_leaves_an_existing_file_unchanged(path, tmp_path, monkeypatch):
    (tmp_path / "c.trc").write_bytes(b"before")

    def fail_on_full_disk(_):
        raise OSError(28, "No space left on device", "x")

    monkeypatch.setattr(ContainerWriter, "flush", fail_on_full_disk)
    with pytest.raises(OSError):
        cut([path], tmp_path / "c.trc", TraceFilter())

    assert (tmp_path / "c.trc").read_bytes() == b"before"
    assert sorted(file.name for file in tmp_path.iterdir()) == ["a.trc", "c.trc"]
