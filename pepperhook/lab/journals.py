"""Measure the cost of storing idempotency keys.

It compares two journals by their write speed, the time of a recovery and the memory per entry. The
journal in use is ``pepperhook.idempotency.journal``. The alternative that was considered is sqlite3
of the standard library in WAL mode, with the same groups of records in its own thread. Both sync
each group to the disk that the folder is on.
"""

import asyncio
import gc
import sqlite3
import statistics
import subprocess
import sys
import time

from pepperhook.idempotency.journal.record import Record, RecordKind
from pepperhook.idempotency.journal.writer import Journal, PendingRecord

CONCURRENCY = 64  # concurrent requests, each waiting for a record
RESPONSE_BODY = b"0.3.29.1c7.1\n" * 8


class Sqlite(Journal):
    """Journal in sqlite3: a table with the key as primary key, written in the same groups.

    Each group is a transaction and synced to disk (synchronous=FULL).
    """

    def __init__(self, path):
        super().__init__(path, lambda: 0, lambda *_, **__: None)
        self.database = sqlite3.connect(path, check_same_thread=False, isolation_level=None)
        self.database.execute("pragma journal_mode=wal")
        self.database.execute("pragma synchronous=full")
        self.database.execute(
            "create table if not exists keys (key blob primary key, kind int, fingerprint blob, "
            "grade text, customer text, at int, body blob, type text) without rowid"
        )

    def persist(self, records):
        """Write a group of records in one transaction."""
        self.database.execute("begin immediate")
        self.database.executemany(
            "insert or replace into keys values (?, ?, ?, ?, ?, ?, ?, ?)",
            [row_of(record) for record in records],
        )
        self.database.execute("commit")

    def close(self):
        """Stop the thread and close the database."""
        super().close()
        self.database.close()


def row_of(record):
    """Return a record as a row of the table."""
    return (
        record.key,
        int(record.kind),
        record.fingerprint,
        record.service_class,
        record.tenant,
        record.recorded_ns,
        record.body,
        record.content_type,
    )


def records(count, begin=0):
    """Yield a STARTED and a COMPLETED record for each of ``count`` keys."""
    for number in range(begin, begin + count):
        key = number.to_bytes(16, "big")
        yield Record(RecordKind.STARTED, key, key, "sale", "acme", number)
        yield Record(
            RecordKind.COMPLETED, key, key, "sale", "acme", number, RESPONSE_BODY, "text/plain"
        )


async def append_all(journal, count):
    """Append the records of ``count`` requests, CONCURRENCY of them at a time.

    Return the seconds in total, and those that each request waited for its first record.
    """
    loop, waits = asyncio.get_running_loop(), []
    journal.start(loop)

    async def append_in_turn(numbers):
        for number in numbers:
            started, completed = records(1, number)
            wait_started_at = time.perf_counter()
            await journal.append_durably(started)
            waits.append(time.perf_counter() - wait_started_at)
            journal.append(completed)

    begin = time.perf_counter()
    await asyncio.gather(
        *(append_in_turn(range(first, count, CONCURRENCY)) for first in range(CONCURRENCY))
    )
    total_s = time.perf_counter() - begin
    await loop.run_in_executor(None, journal.close)
    return total_s, waits


def measure_writing(open_new, count):
    """Return the speed, CPU time and waits of writing the records of ``count`` requests."""
    cpu_before, (total_s, waits) = time.process_time(), (0, [])
    journal = open_new()
    total_s, waits = asyncio.run(append_all(journal, count))
    waits.sort()
    return {
        "operations_per_s": round(count / total_s),
        "core_us": round((time.process_time() - cpu_before) / count * 1e6, 1),
        "wait_p50_ms": round(statistics.median(waits) * 1000, 2),
        "wait_p99_ms": round(waits[int(len(waits) * 0.99)] * 1000, 2),
        "groups": journal.statistics.groups,
    }


def open_journal(folder):
    """Return an open journal of the kind in use."""
    journal = Journal(folder, lambda: 10**15, lambda *_, **__: None)
    journal.open()
    return journal


def fill(folder, count):
    """Write a journal and a table with ``count`` entries each, without syncing to disk."""
    journal = open_journal(folder / "own")
    journal.segments.sync = lambda descriptor: None
    rows = []
    for record in records(count):
        rows.append(PendingRecord(record, None, 0.0))
        if len(rows) >= 64:
            journal.write_group(rows)
            rows = []
    if rows:
        journal.write_group(rows)
    journal.close()
    sqlite = Sqlite(folder / "other.db")
    sqlite.database.execute("begin")
    sqlite.database.executemany(
        "insert or replace into keys values (?, ?, ?, ?, ?, ?, ?, ?)",
        (row_of(record) for record in records(count)),
    )
    sqlite.database.execute("commit")
    sqlite.close()


RECOVERY_SCRIPT = """
import gc, logging, sys, time
from pathlib import Path
from types import SimpleNamespace
import psutil
from pepperhook.domain import Effect, ServiceClass
from pepperhook.idempotency.extension import Idempotency
from pepperhook.idempotency.journal.record import Record
from pepperhook.idempotency.journal.recovery import Recovery, recover
from pepperhook.idempotency.restoration import restore
from pepperhook.lab.journals import Sqlite
from pepperhook.operator_config.schema import IdempotencyTable
from pepperhook.server.structured_logging import Log
from pepperhook.settings import Names, Settings, TenantQuota
folder, which = Path(sys.argv[1]), sys.argv[2]
before = psutil.Process().memory_info().rss
at = time.perf_counter()
gc.disable()
if which == "own":
    recovery = recover(folder / "own", 0)
else:
    rows = Sqlite(folder / "other.db").database.execute("select * from keys")
    records = {row[0]: Record(row[1], row[0], *row[2:]) for row in rows}
    recovery = Recovery(records, 0, False, 0.0)
    del records
names = Names(service_classes={"sale": 0}, tenants={"acme": 0}, zones={}, kinds={})
sale = ServiceClass(0, 10 ** 9, 10 ** 9, effect=Effect.UNSAFE)
settings = Settings(service_classes=[sale], tenants=[TenantQuota(share=1.0)])
config = SimpleNamespace(settings=settings, names=names)
table = IdempotencyTable(max_entries=10 ** 7, max_mb=10000.0, unsafe_window_s=1e9)
store = Idempotency(table, config, Log(logging.getLogger("x"))).store
restore(store, recovery, ["acme"], 0, 0)
seconds = time.perf_counter() - at
del recovery
gc.enable()
gc.collect()
count = len(store.recovered)
print(count, seconds, (psutil.Process().memory_info().rss - before) / count)
"""


def measure_recovery(folder, journal_kind):
    """Measure a recovery in a new process.

    Return the number of entries, the seconds until the store is restored, and the bytes of memory
    per entry with a response body of about a hundred bytes.
    """
    output = subprocess.run(
        [sys.executable, "-c", RECOVERY_SCRIPT, str(folder), journal_kind],
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    count, seconds, entry_bytes = output.split()
    return {
        "entries": int(count),
        "seconds": round(float(seconds), 3),
        "bytes_an_entry": round(float(entry_bytes)),
    }


def measure(
    folder, report_progress, counts=(10_000, 100_000, 1_000_000), requests=20_000, rounds=3
):
    """Measure writing, then recovery by the number of entries.

    The journals alternate in writing, so that a disk that slows down affects both.
    """
    writing = {"own": [], "sqlite": []}
    for round_number in range(rounds):
        report_progress(f"writing, round {round_number + 1} of {rounds}", round_number / rounds / 2)
        pairs = [
            ("own", lambda: open_journal(folder / f"w{round_number}")),
            ("sqlite", lambda: Sqlite(folder / f"w{round_number}.db")),
        ]
        for name, open_new in pairs[round_number % 2 :] + pairs[: round_number % 2]:
            writing[name].append(measure_writing(open_new, requests))
            gc.collect()
    reading = []
    figures = {
        "writing": {
            name: {key: statistics.median(row[key] for row in rows) for key in rows[0]}
            for name, rows in writing.items()
        },
        "reading": reading,
    }
    for index, count in enumerate(counts):
        report_progress(f"reading {count:,} entries", 0.5 + index / len(counts) / 2)
        count_folder = folder / str(count)
        count_folder.mkdir()
        fill(count_folder, count)
        for journal_kind in "own", "sqlite":
            reading.append(
                {"journal": journal_kind, **measure_recovery(count_folder, journal_kind)}
            )
    return figures
