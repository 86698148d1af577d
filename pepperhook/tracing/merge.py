"""Merges the traces of several balancers into one file, and corrects their clocks.

A call is a request with a parent, see ``clock_matching``.
"""

import heapq
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import Any, NamedTuple

from msgspec import Struct
from msgspec.structs import replace

from pepperhook.container import FileMetadata
from pepperhook.tracing.clock_matching import ClockMatcher, Source, group_by_balancer
from pepperhook.tracing.clock_offsets import Offset, estimate_offsets
from pepperhook.tracing.reader import StrPath, open_trace_file, read_traces
from pepperhook.tracing.records import CONTENT, CONTENT_VERSION, RequestTrace
from pepperhook.tracing.trace_file import (
    ReportProgress,
    append_trace,
    ignore_progress,
    replacing_trace_file,
)

MAX_TRACKED_REQUESTS = 200_000  # kept in memory to find calls that precede their attempts
MAX_RECENT_RECORDS = 4096  # above this, entries too old to have a duplicate are removed
NS_PER_S = 10**9
MERGED_TIER = -1  # stored as the tier of a file with records of several tiers


class Merged(Struct):
    """The result of a merge."""

    lives: int  # records that were written
    doubled: int  # duplicate records that were omitted
    clocks: list[Offset]
    unmatched: int  # calls that could not be used to bound a clock offset
    # Calls that precede their attempt even on the corrected clocks, because bounds of the offsets
    # contradict each other or a clock drifted.
    before_their_dispatch: int


class _Row(NamedTuple):
    """A record with its sort key; tier, source and number together are unique to a record."""

    accepted_ns: int  # on the corrected clock
    tier: int
    source: int  # index in the list of sources
    number: int  # of the record within its source
    trace: RequestTrace


def merge(
    paths: Iterable[StrPath], out: StrPath, report_progress: ReportProgress = ignore_progress
) -> Merged:
    """Write the records of several balancers to ``out``, sorted by time of acceptance.

    Times are converted to the clock of the first balancer by tier and name. The offsets of the
    other clocks are estimated from calls and the attempts that they were made for. Duplicate
    records are written once. Raises UnreadableFileError.
    """
    sources = group_by_balancer(paths)
    matcher = ClockMatcher(sources, report_progress)
    matcher.run()
    clocks = estimate_offsets([source.name for source in sources], matcher.bounds)
    merged = Merged(0, 0, list(clocks.values()), matcher.unmatched, 0)
    recent = _RecentRecords(sources)
    report_progress("writing", 1.0)
    with replacing_trace_file(out, _metadata_of(sources, clocks)) as writer:
        for row in heapq.merge(*_sorted_sources(sources, clocks)):
            if recent.is_duplicate(row):
                merged.doubled += 1
            else:
                append_trace(writer, row.trace)
                merged.lives += 1
    merged.before_their_dispatch = count_early_calls(out)
    return merged


def count_early_calls(path: StrPath) -> int:
    """Count the calls in a merged file that were accepted before their parent sent any attempt."""
    first_sent: dict[str, int] = {}  # time of the first attempt in nanoseconds, by request id
    # Acceptance times of the calls whose parent has not been read yet, by the parent's id.
    pending_calls: dict[str, list[int]] = {}
    count = 0
    with open_trace_file(path) as reader:
        for trace in read_traces(reader):
            if trace.parent in first_sent:
                count += trace.taken < first_sent[trace.parent]
            elif trace.parent:
                pending_calls.setdefault(trace.parent, []).append(trace.taken)
            if trace.sent:
                sent = first_sent[trace.id] = trace.time_ns(trace.sent[0].sent)
                count += sum(accepted < sent for accepted in pending_calls.pop(trace.id, ()))
            _limit_size(first_sent)
            _limit_size(pending_calls)
    return count


def _limit_size(entries: dict[str, Any]) -> None:
    """Remove the older half of the entries if there are more than MAX_TRACKED_REQUESTS."""
    if len(entries) > MAX_TRACKED_REQUESTS:
        for request_id in list(entries)[: MAX_TRACKED_REQUESTS // 2]:
            del entries[request_id]


def _metadata_of(sources: Sequence[Source], clocks: Mapping[str, Offset]) -> FileMetadata:
    extra = {
        "of": [source.name for source in sources],
        "ahead": {name: clock.ahead for name, clock in clocks.items()},
    }
    return FileMetadata(CONTENT, CONTENT_VERSION, "", MERGED_TIER, extra=extra)


class _RecentRecords:
    """The records that were written recently, to detect duplicates."""

    def __init__(self, sources: Sequence[Source]) -> None:
        """Keep each record for as long as a duplicate of it may follow."""
        self._names = [source.name for source in sources]
        longest_ns = max((source.longest_ns for source in sources), default=0)
        self._window_ns = 2 * longest_ns + NS_PER_S
        # Time of acceptance, by which old entries are removed. The keys are the balancer's name,
        # the request id and that time; all times are on the corrected clock.
        self._accepted: dict[tuple[str, str, int], int] = {}

    def is_duplicate(self, row: _Row) -> bool:
        """Return whether a record was written before; add it if not."""
        key = (self._names[row.source], row.trace.id, row.trace.taken)
        if key in self._accepted:
            return True
        self._accepted[key] = row.accepted_ns
        if len(self._accepted) > MAX_RECENT_RECORDS:
            oldest_ns = row.accepted_ns - self._window_ns
            self._accepted = {key: ns for key, ns in self._accepted.items() if ns > oldest_ns}
        return False


def _sorted_sources(
    sources: Sequence[Source], clocks: Mapping[str, Offset]
) -> list[Iterator[_Row]]:
    return [
        _sorted_rows(source, index, clocks[source.name].ahead)
        for index, source in enumerate(sources)
    ]


def _sorted_rows(source: Source, index: int, ahead_ns: int) -> Iterator[_Row]:
    """Yield the records of a balancer by time of acceptance, on the corrected clock.

    A file has them in the order in which the requests ended, so a record is buffered for as long as
    the longest request lasted.
    """
    buffer: list[_Row] = []
    for number, trace in enumerate(source.traces()):
        corrected = replace(trace, taken=trace.taken - ahead_ns)
        heapq.heappush(buffer, _Row(corrected.taken, source.tier, index, number, corrected))
        # No record that follows in the file was accepted before this time.
        complete_until_ns = corrected.end_ns - source.longest_ns
        while buffer and buffer[0].accepted_ns < complete_until_ns:
            yield heapq.heappop(buffer)
    while buffer:
        yield heapq.heappop(buffer)
