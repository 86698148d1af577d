"""The ledger of what clients' messages hold in memory."""

import pytest

from pepperhook.server.memory_ledger import (
    BYTES_PER_MB,
    MIN_LEDGER_BYTES,
    RESERVED_FRACTION,
    MemoryLedger,
    message_bytes,
    resident_bytes,
)


class Holder:
    """A connection or stream."""

    def shed(self):
        """Do nothing."""


@pytest.fixture
def ledger():
    """Return a ledger for 100 bytes."""
    created = MemoryLedger(None)
    created.limit = 100
    return created


def test_sum_follows_growth_and_release(ledger):
    first, second = Holder(), Holder()

    ledger.hold(first, 40, is_unfinished=True)
    ledger.hold(first, 60, is_unfinished=True)
    ledger.hold(second, 41, is_unfinished=False)

    assert ledger.total == 101 and ledger.is_exceeded
    ledger.release(first)
    ledger.release(first)
    assert ledger.total == 41 and not ledger.is_exceeded
    assert ledger.peak == 101


def test_largest_unfinished_messages_are_shed_until_the_rest_is_well_under_the_limit(ledger):
    small, large, larger, complete = (Holder() for _ in range(4))
    ledger.hold(small, 5, is_unfinished=True)
    ledger.hold(large, 20, is_unfinished=True)
    ledger.hold(larger, 25, is_unfinished=True)
    ledger.hold(complete, 70, is_unfinished=False)

    assert ledger.largest_unfinished() == [larger, large]


def test_complete_message_is_never_shed(ledger):
    holder = Holder()
    ledger.hold(holder, 200, is_unfinished=True)
    ledger.hold(holder, 200, is_unfinished=False)

    assert ledger.largest_unfinished() == []


def test_limit_is_what_the_process_itself_leaves():
    ledger = MemoryLedger(64 * BYTES_PER_MB)

    ledger.measure_process(38 * BYTES_PER_MB)

    assert ledger.limit == 64 * BYTES_PER_MB * (1 - RESERVED_FRACTION) - 38 * BYTES_PER_MB


def test_resident_memory_that_messages_held_does_not_count_as_the_process_own():
    ledger = MemoryLedger(64 * BYTES_PER_MB)
    ledger.measure_process(38 * BYTES_PER_MB)
    limit = ledger.limit
    holder = Holder()
    ledger.hold(holder, 10 * BYTES_PER_MB, is_unfinished=True)
    ledger.release(holder)

    ledger.measure_process(47 * BYTES_PER_MB)
    assert ledger.limit == limit

    # More than messages ever held: the process itself has grown.
    ledger.measure_process(50 * BYTES_PER_MB)
    assert ledger.limit == limit - 2 * BYTES_PER_MB


def test_process_over_its_limit_serves_with_the_least():
    ledger = MemoryLedger(32 * BYTES_PER_MB)

    ledger.measure_process(38 * BYTES_PER_MB)

    assert ledger.limit == MIN_LEDGER_BYTES


def test_thresholds_are_reported_once_in_each_direction(ledger):
    holder = Holder()
    reports = []
    for size in (10, 81, 90, 60, 49, 10):
        ledger.hold(holder, size, is_unfinished=True)
        reports.append(ledger.crosses_threshold())

    assert reports == [False, True, False, False, True, False]


def test_short_fields_cost_more_than_their_text():
    assert message_bytes(500, 100, 0) > message_bytes(500, 1, 0) + 10_000


def test_resident_memory_is_that_of_this_process():
    before = resident_bytes()
    block = bytearray(b"x") * (32 * BYTES_PER_MB)

    assert resident_bytes() - before > 30 * BYTES_PER_MB
    del block
