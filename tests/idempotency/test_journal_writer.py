"""Rotation and deletion of segments, and failures to write."""

import asyncio
import errno
import os

import pytest

from pepperhook.idempotency.journal import writer
from pepperhook.idempotency.journal.errors import JournalWriteError
from pepperhook.idempotency.journal.record import Record, RecordKind
from pepperhook.idempotency.journal.recovery import recover
from pepperhook.idempotency.journal.segments import segment_numbers
from tests.idempotency.journals import make_journal, make_record, number_of, write_one_by_one


async def test_full_segments_are_followed_by_new_ones_and_all_records_are_recovered(tmp_path):
    records = [make_record(number, body=bytes(200)) for number in range(40)]
    await write_one_by_one(tmp_path, records, segment_bytes=2000)
    assert len(segment_numbers(tmp_path)) > 3
    assert len(recover(tmp_path, 0).records) == 40

    later = [make_record(number, RecordKind.NEVER_RAN) for number in range(20)]
    journal = await write_one_by_one(tmp_path, later)

    kinds = [record.kind for record in recover(tmp_path, 0).records.values()]
    assert kinds.count(RecordKind.NEVER_RAN) == 20
    assert journal.statistics.groups == 20


async def test_segments_are_deleted_when_the_windows_of_their_records_are_over(tmp_path):
    records = [make_record(number, body=bytes(200)) for number in range(40)]
    await write_one_by_one(tmp_path, records, segment_bytes=2000)
    assert len(segment_numbers(tmp_path)) > 4

    records = [make_record(number) for number in range(30)]
    await write_one_by_one(tmp_path, records, retention_ns=0, segment_bytes=500)

    assert len(segment_numbers(tmp_path)) <= 4


async def test_full_disk_fails_waiting_records_and_the_journal_resumes_when_there_is_space(
    tmp_path,
):
    is_full = False
    events = []

    def sync(descriptor):
        if is_full:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        os.fdatasync(descriptor)

    journal = make_journal(
        tmp_path, log_event=lambda event, **_fields: events.append(event), sync=sync
    )
    journal.open()
    journal.start(asyncio.get_running_loop())
    await journal.append_durably(make_record(1))

    is_full = True
    for number in (2, 3):
        with pytest.raises(JournalWriteError) as raised:
            await journal.append_durably(make_record(number))
        assert "No space left" in str(raised.value)

    is_full = False
    journal.append(make_record(4))  # is written, though nothing waits for it
    await asyncio.sleep(0.1)
    await journal.append_durably(make_record(5))
    journal.close()

    assert events == ["journal_write_failed", "journal_write_restored"]
    assert [number_of(key) for key in recover(tmp_path, 0).records] == [1, 4, 5]


async def test_records_dropped_for_a_slow_disk_are_counted_and_the_rest_is_written(
    tmp_path, monkeypatch
):
    """Guards against dropping records beyond MAX_QUEUED_RECORDS without counting them."""
    monkeypatch.setattr(writer, "MAX_QUEUED_RECORDS", 3)
    journal = make_journal(tmp_path)
    journal.open()
    for number in range(5):
        journal.append(make_record(number))

    assert journal.statistics.dropped == 2
    journal.start(asyncio.get_running_loop())
    journal.close()
    assert journal.statistics.records == 3


async def test_unexpected_write_error_fails_its_record_and_the_journal_continues(
    tmp_path,
):
    """Guards against an error other than OSError ending the writer's thread.

    Its futures were then never done.
    """
    journal = make_journal(tmp_path)
    journal.open()
    original_persist = journal.persist

    def break_once(_records):
        journal.persist = original_persist
        raise ValueError("unexpected")

    journal.persist = break_once
    journal.start(asyncio.get_running_loop())
    with pytest.raises(JournalWriteError, match="unexpected"):
        await asyncio.wait_for(journal.append_durably(make_record(1)), 5)
    # After a write error, append_durably() fails at once. append() still queues record 3, and
    # writing it clears the error.
    while True:
        try:
            await asyncio.wait_for(journal.append_durably(make_record(2)), 5)
            break
        except JournalWriteError:
            journal.append(make_record(3))
            await asyncio.sleep(0.01)
    journal.close()


async def test_record_that_cannot_be_encoded_fails_alone(tmp_path):
    """Guards against one such record failing all others in its block, and those after it."""
    events = []
    journal = make_journal(tmp_path, log_event=lambda event, **_fields: events.append(event))
    journal.open()
    odd = Record(RecordKind.STARTED, b"odd", b"print", "pay", "a\udce7", 0)
    futures = [
        queue_before_start(journal, record) for record in (make_record(1), odd, make_record(2))
    ]
    journal.append(odd)
    journal.start(asyncio.get_running_loop())

    results = await asyncio.gather(*futures, return_exceptions=True)
    await journal.append_durably(make_record(3))
    journal.close()

    assert [type(result) for result in results] == [type(None), JournalWriteError, type(None)]
    assert events == ["journal_record_refused"] * 2
    assert list(recover(tmp_path, 0).records) == [make_record(number).key for number in (1, 2, 3)]


def queue_before_start(journal, record):
    """Queue a record before the writer's thread runs, so that all are in one group."""
    journal._loop = asyncio.get_running_loop()
    return journal.append_durably(record)
