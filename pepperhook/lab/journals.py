"""What keeping keys costs: memory an entry, two journals beside each other, and how long they take to be read again.

The journal in use is ``pepperhook.idempotency.journal``; the other is what was weighed against it, sqlite3 of the standard library in
WAL mode, with the same groups in a thread of its own. Both sync each group to the disk that the folder is on.
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

WAITING = 64  # records that wait at a time: as many operations under way
BODY = b"0.3.29.1c7.1\n" * 8


class Sqlite(Journal):
    """The other one, by the same thread and groups: a table by key, a transaction a group, synced each (synchronous=FULL)."""

    def __init__(self, path):
        super().__init__(path, 0, lambda *_, **__: None)
        self.base = sqlite3.connect(path, check_same_thread=False, isolation_level=None)
        self.base.execute("pragma journal_mode=wal")
        self.base.execute("pragma synchronous=full")
        self.base.execute(
            "create table if not exists keys (key blob primary key, kind int, print blob, grade text, "
            "customer text, at int, body blob, type text) without rowid"
        )

    def persist(self, records):
        self.base.execute("begin immediate")
        self.base.executemany(
            "insert or replace into keys values (?, ?, ?, ?, ?, ?, ?, ?)",
            [row_of(record) for record in records],
        )
        self.base.execute("commit")

    def close(self):
        super().close()
        self.base.close()


def row_of(record):
    """A record as the table has it."""
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
    """As they come: begun, and some tens later ended."""
    for number in range(begin, begin + count):
        key = number.to_bytes(16, "big")
        yield Record(RecordKind.STARTED, key, key, "sale", "acme", number)
        yield Record(RecordKind.COMPLETED, key, key, "sale", "acme", number, BODY, "text/plain")


async def spans(it, count):
    """Seconds that each of ``count`` operations waited for its first record, WAITING of them at a time."""
    loop, waits = asyncio.get_running_loop(), []
    it.start(loop)

    async def one(numbers):
        for number in numbers:
            begun, ended = records(1, number)
            at = time.perf_counter()
            await it.append_durably(begun)
            waits.append(time.perf_counter() - at)
            it.append(ended)

    begin = time.perf_counter()
    await asyncio.gather(*(one(range(at, count, WAITING)) for at in range(WAITING)))
    took = time.perf_counter() - begin
    await loop.run_in_executor(None, it.close)
    return took, waits


def write(make, count):
    cpu, (took, waits) = time.process_time(), (0, [])
    it = make()
    took, waits = asyncio.run(spans(it, count))
    waits.sort()
    return {
        "operations_per_s": round(count / took),
        "core_us": round((time.process_time() - cpu) / count * 1e6, 1),
        "wait_p50_ms": round(statistics.median(waits) * 1000, 2),
        "wait_p99_ms": round(waits[int(len(waits) * 0.99)] * 1000, 2),
        "groups": it.statistics.groups,
    }


def own(folder):
    it = Journal(folder, 10**15, lambda *_, **__: None)
    it.open()
    return it


def fill(folder, count):
    """A log and a table with ``count`` entries each, written without waiting for the disk."""
    it = own(folder / "own")
    it.segments.sync = lambda descriptor: None
    rows = []
    for record in records(count):
        rows.append(PendingRecord(record, None, 0.0))
        if len(rows) >= 64:
            it.write_group(rows)
            rows = []
    if rows:
        it.write_group(rows)
    it.close()
    other = Sqlite(folder / "other.db")
    other.base.execute("begin")
    other.base.executemany(
        "insert or replace into keys values (?, ?, ?, ?, ?, ?, ?, ?)",
        (row_of(record) for record in records(count)),
    )
    other.base.execute("commit")
    other.close()


READ = """
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
    rows = Sqlite(folder / "other.db").base.execute("select * from keys")
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


def read(folder, which):
    """Entries, seconds from the files to a store that is full, and bytes of memory an entry with a body of a hundred bytes."""
    said = subprocess.run(
        [sys.executable, "-c", READ, str(folder), which], capture_output=True, text=True, check=True
    ).stdout
    count, seconds, size = said.split()
    return {
        "entries": int(count),
        "seconds": round(float(seconds), 3),
        "bytes_an_entry": round(float(size)),
    }


def measure(folder, tell, counts=(10_000, 100_000, 1_000_000), requests=20_000, rounds=3):
    """Writing in turn, so that a disk that slows down slows both; then reading by the number of entries."""
    writing = {"own": [], "sqlite": []}
    for turn in range(rounds):
        tell(f"writing, round {turn + 1} of {rounds}", turn / rounds / 2)
        pairs = [
            ("own", lambda: own(folder / f"w{turn}")),
            ("sqlite", lambda: Sqlite(folder / f"w{turn}.db")),
        ]
        for name, make in pairs[turn % 2 :] + pairs[: turn % 2]:
            writing[name].append(write(make, requests))
            gc.collect()
    reading = []
    told = {
        "writing": {
            name: {key: statistics.median(row[key] for row in rows) for key in rows[0]}
            for name, rows in writing.items()
        },
        "reading": reading,
    }
    for at, count in enumerate(counts):
        tell(f"reading {count:,} entries", 0.5 + at / len(counts) / 2)
        place = folder / str(count)
        place.mkdir()
        fill(place, count)
        for which in "own", "sqlite":
            reading.append({"journal": which, **read(place, which)})
    return told
