"""Recovery of a journal after truncation, damage and reboots, and from foreign files."""

import time
from pathlib import Path

import pytest

from pepperhook.idempotency.journal import recovery
from pepperhook.idempotency.journal.errors import JournalUnusableError
from pepperhook.idempotency.journal.record import BLOCK_HEADER, SIGNATURE, RecordKind
from pepperhook.idempotency.journal.recovery import recover
from pepperhook.idempotency.journal.writer import PendingRecord
from tests.idempotency.journals import (
    block_ends,
    key_of,
    make_journal,
    make_record,
    write_one_by_one,
)

RECORDS = 5
FIRST_OF_LAST_THREE = 2


@pytest.fixture
def records():
    return [
        make_record(number, RecordKind.COMPLETED, body=b"b%d" % number) for number in range(RECORDS)
    ]


async def test_acknowledged_records_survive_a_cut_at_every_byte_of_the_last_three(
    tmp_path, records
):
    await write_one_by_one(tmp_path, records)
    path = tmp_path / "1.log"
    whole = path.read_bytes()
    ends = block_ends(whole)
    assert len(ends) == 1 + RECORDS
    assert ends[-1] == len(whole)

    for cut in range(ends[FIRST_OF_LAST_THREE], len(whole) + 1):
        path.write_bytes(whole[:cut])

        recovered = recover(tmp_path, 0)

        intact = [end for end in ends if end <= cut]
        assert list(recovered.records) == [record.key for record in records[: len(intact) - 1]]
        assert recovered.truncated_bytes == cut - intact[-1]
        assert path.stat().st_size == intact[-1]
        assert not recovered.has_rebooted


async def test_damage_is_reported_unless_it_is_in_the_payload_of_the_last_block(tmp_path, records):
    await write_one_by_one(tmp_path, records)
    path = tmp_path / "1.log"
    whole = path.read_bytes()
    ends = block_ends(whole)
    last_payload = ends[-2] + BLOCK_HEADER.size

    for offset in range(ends[FIRST_OF_LAST_THREE], len(whole)):
        damaged = bytearray(whole)
        damaged[offset] ^= 0x10
        path.write_bytes(damaged)
        if offset >= last_payload:
            assert len(recover(tmp_path, 0).records) == RECORDS - 1
            continue
        with pytest.raises(JournalUnusableError) as raised:
            recover(tmp_path, 0)
        assert "1.log" in str(raised.value)
        assert "byte" in str(raised.value)


async def test_zeros_after_the_last_block_are_cut_off(tmp_path, records):
    await write_one_by_one(tmp_path, records)
    path = tmp_path / "1.log"
    path.write_bytes(path.read_bytes() + bytes(5000))

    recovered = recover(tmp_path, 0)

    assert recovered.truncated_bytes == 5000
    assert len(recovered.records) == RECORDS


def problem_of(directory):
    """Return the one-line error of a journal that can't be opened."""
    with pytest.raises(JournalUnusableError) as raised:
        make_journal(directory).open()
    problem = str(raised.value)
    assert "\n" not in problem
    assert str(directory) in problem
    return problem


def write_segment(directory: Path, data):
    directory.mkdir()
    (directory / "1.log").write_bytes(data)


def test_journal_of_a_newer_version_is_reported_in_one_line(tmp_path):
    write_segment(tmp_path / "newer", SIGNATURE + b"2\n")

    assert "version 2; this program reads version 1" in problem_of(tmp_path / "newer")


def test_foreign_file_is_reported_in_one_line(tmp_path):
    write_segment(tmp_path / "foreign", b"something else\n")

    assert "is not a journal" in problem_of(tmp_path / "foreign")


def test_file_in_place_of_the_journal_directory_is_reported_in_one_line(tmp_path):
    path = tmp_path / "file"
    path.write_text("")

    problem = problem_of(path)

    assert "exists" in problem or "directory" in problem


def test_journal_that_is_already_open_is_reported_in_one_line(tmp_path):
    first = make_journal(tmp_path / "both")
    first.open()

    assert "another process" in problem_of(tmp_path / "both")

    first.close()


@pytest.fixture
def journal_with_one_record(tmp_path):
    """Return the directory of a journal with one record, written at 5 ns."""
    journal = make_journal(tmp_path)
    journal.open()
    journal.write_group([PendingRecord(make_record(1, recorded_ns=5), None, 0.0)])
    journal.close()
    return tmp_path


def test_setting_the_wall_clock_does_not_change_recorded_times(
    journal_with_one_record, monkeypatch
):
    monkeypatch.setattr(time, "time_ns", lambda: 0)

    recovered = recover(journal_with_one_record, 77)

    assert recovered.records[key_of(1)].recorded_ns == 5


def test_windows_restart_after_a_reboot(journal_with_one_record, monkeypatch):
    monkeypatch.setattr(recovery, "boot_id", lambda: "another")

    recovered = recover(journal_with_one_record, 77)

    assert recovered.has_rebooted
    assert recovered.records[key_of(1)].recorded_ns == 77
