"""Copies of traces with pseudonyms in place of names."""

import pytest
from msgspec.structs import replace

from pepperhook.tracing.errors import KeyTooShortError, OverwritesInputError
from pepperhook.tracing.merge import merge
from pepperhook.tracing.pseudonyms import NameKind, Pseudonyms
from pepperhook.tracing.reader import open_trace_file
from pepperhook.tracing.strip import strip
from pepperhook.units import SECOND
from tests.tracing.traces import read_file, summary_of, two_tiers, write_file

KEY = b"a key of the installation"


@pytest.fixture
def front_traces(tmp_path):
    """The requests of seven tenants at the first tier."""
    _, _, requests, _ = two_tiers(tmp_path, SECOND)
    return [
        replace(trace, customer=f"customer-{number % 7}") for number, trace in enumerate(requests)
    ]


@pytest.fixture
def back_traces(tmp_path):
    return two_tiers(tmp_path, SECOND)[3]


@pytest.fixture
def paths(tmp_path, front_traces, back_traces):
    front = write_file(tmp_path / "f.trc", front_traces, "front")
    return [front, write_file(tmp_path / "b.trc", back_traces, "back", 1)]


def content_of(path):
    """Return the raw bytes of a file, followed by its decompressed blocks."""
    with open_trace_file(path) as reader:
        return path.read_bytes() + b"".join(block.content for block in reader.blocks())


def test_stripped_files_contain_no_original_name(paths, tmp_path, front_traces, back_traces):
    files = strip(paths, tmp_path / "out", KEY)

    assert [file.records for file in files] == [60, 60]
    content = b"".join(content_of(tmp_path / "out" / path.name) for path in paths)
    for trace in front_traces + back_traces:
        assert trace.id.encode() not in content
        assert trace.customer.encode() not in content


def test_stripped_files_keep_all_counts(paths, tmp_path, front_traces):
    strip(paths, tmp_path / "out", KEY)

    stripped = read_file(tmp_path / "out" / "f.trc")
    figures, original = summary_of(stripped), summary_of(front_traces)
    assert figures["grades"] == original["grades"]
    assert figures["reasons"] == original["reasons"]
    assert len({trace.customer for trace in stripped}) == 7
    assert len({trace.id for trace in stripped}) == 60


def test_stripped_calls_still_refer_to_their_parents(paths, tmp_path):
    files = strip(paths, tmp_path / "out", KEY)

    requests, calls = (read_file(file.path) for file in files)
    assert [call.parent for call in calls] == [request.id for request in requests]
    merged = merge([file.path for file in files], tmp_path / "m.trc")
    assert merged.clocks[1].pairs == 60


def test_same_key_gives_the_same_pseudonyms_and_another_key_gives_others(paths, tmp_path):
    first, repeated, other = (
        {trace.id for trace in read_file(strip(paths[:1], tmp_path / name, key)[0].path)}
        for name, key in (("first", KEY), ("repeated", KEY), ("other", KEY + b"!"))
    )

    assert first == repeated
    assert not first & other


def test_short_key_is_rejected():
    with pytest.raises(KeyTooShortError, match="at least 16 bytes"):
        Pseudonyms(b"short")


def test_strip_does_not_overwrite_its_input(paths, tmp_path):
    with pytest.raises(OverwritesInputError, match="over itself"):
        strip(paths, tmp_path, KEY)


def test_id_and_tenant_with_equal_names_have_different_pseudonyms():
    pseudonyms = Pseudonyms(KEY)

    as_id, as_tenant = (pseudonyms.pseudonym(kind, "x") for kind in NameKind)

    assert as_id != as_tenant


def test_pseudonym_of_an_empty_name_is_empty():
    assert Pseudonyms(KEY).pseudonym(NameKind.ID, "") == ""
