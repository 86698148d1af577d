"""Matches calls with the attempts that they were made for, to bound the offsets of clocks.

A call is a request with a parent: the upstream of an attempt of the parent sent it to another
balancer.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from msgspec import Struct

from pepperhook.domain import Outcome
from pepperhook.stored_words import OUTCOMES
from pepperhook.tracing.clock_offsets import ClockPair, OffsetBounds
from pepperhook.tracing.reader import StrPath, open_trace_file, read_files
from pepperhook.tracing.records import RequestTrace
from pepperhook.tracing.sampling import RequestSampler
from pepperhook.tracing.trace_file import ReportProgress

MAX_BUFFERED_REQUESTS = 200_000  # whose attempts are buffered for matching with calls
# Outcomes of attempts that ended with a response, served or an error.
ANSWERED_OUTCOMES = (OUTCOMES[Outcome.SERVED], OUTCOMES[Outcome.ERROR])


class Source(Struct):
    """The trace files of one balancer, in the order in which they were created."""

    name: str
    tier: int
    paths: list[str]
    longest_ns: int = 0  # longest duration of a request; 0 until the files were read

    def traces(self) -> Iterator[RequestTrace]:
        """Yield the records of all files. Raises UnreadableFileError."""
        for row in read_files(self.paths):
            yield row.trace


class _SentAttempt(NamedTuple):
    """The first attempt of a request, timed by the clock of the balancer ``caller``."""

    caller: str
    sent_ns: int
    ended_ns: int | None  # None if it bounds no call's answer, see _first_attempt


def group_by_balancer(paths: Iterable[StrPath]) -> list[Source]:
    """Group trace files by balancer, sorted by tier and name. Raises UnreadableFileError."""
    files_by_balancer: defaultdict[tuple[int, str], list[tuple[int, str]]] = defaultdict(list)
    for path in paths:
        with open_trace_file(path) as reader:
            metadata = reader.metadata
        files_by_balancer[metadata.tier, metadata.name].append((metadata.created_ns, str(path)))
    return [
        Source(name, tier, [path for _, path in sorted(files)])
        for (tier, name), files in sorted(files_by_balancer.items())
    ]


class ClockMatcher:
    """Matches calls with the attempts that they were made for.

    Attempts are buffered by the id of their request. Beyond MAX_BUFFERED_REQUESTS only a sample of
    the requests is kept. It is selected by the checksum of their ids, so that the calls made for
    the sampled requests can be selected in the same way.
    """

    def __init__(self, sources: Sequence[Source], report_progress: ReportProgress) -> None:
        """Match the calls and attempts in the files of ``sources``."""
        self.bounds: dict[ClockPair, OffsetBounds] = {}
        # Calls that could not be used: they have no answer, or their attempt is in no file, is
        # ambiguous or ended without an answer.
        self.unmatched = 0
        self._sources = sources
        self._report_progress = report_progress
        self._attempts: dict[str, list[_SentAttempt]] = {}
        self._fraction = 1.0
        self._sampler = RequestSampler(self._fraction)

    def run(self) -> None:
        """Read all files twice: first the attempts, then the calls. Raises UnreadableFileError."""
        count = len(self._sources)
        for number, source in enumerate(self._sources):
            self._report_progress(f"{source.name}: reading", number / count / 2)
            for trace in source.traces():
                source.longest_ns = max(source.longest_ns, trace.end_ns - trace.taken)
                self._buffer_attempt(source, trace)
        for number, source in enumerate(self._sources):
            self._report_progress(f"{source.name}: matching", 0.5 + number / count / 2)
            for trace in source.traces():
                if trace.parent and self._sampler.includes(trace.parent):
                    self._match_call(source, trace)

    def _buffer_attempt(self, source: Source, trace: RequestTrace) -> None:
        if not trace.sent or not self._sampler.includes(trace.id):
            return
        self._attempts.setdefault(trace.id, []).append(_first_attempt(source.name, trace))
        if len(self._attempts) > MAX_BUFFERED_REQUESTS:
            self._halve_sample()

    def _halve_sample(self) -> None:
        self._fraction /= 2
        self._sampler = RequestSampler(self._fraction)
        self._attempts = {
            request_id: attempts
            for request_id, attempts in self._attempts.items()
            if self._sampler.includes(request_id)
        }

    def _match_call(self, source: Source, call: RequestTrace) -> None:
        buffered = self._attempts.get(call.parent, ())
        attempts = [attempt for attempt in buffered if attempt.caller != source.name]
        ended_ns = attempts[0].ended_ns if len(attempts) == 1 else None
        if ended_ns is None or call.answered < 0:
            self.unmatched += 1
            return
        caller, sent_ns, _ = attempts[0]
        bounds = self.bounds.setdefault((caller, source.name), OffsetBounds())
        bounds.add_pair(sent_ns, ended_ns, call.taken, call.time_ns(call.answered))


def _first_attempt(caller: str, trace: RequestTrace) -> _SentAttempt:
    """Return the first attempt of a request.

    Its end is given only if the call was certainly answered before it: the attempt was the only one
    and ended with a response. Among several attempts it is ambiguous which one a call was made for,
    and a call may continue after the caller abandoned its attempt.
    """
    first = trace.sent[0]
    is_end_usable = len(trace.sent) == 1 and first.ended >= 0 and first.outcome in ANSWERED_OUTCOMES
    ended_ns = trace.time_ns(first.ended) if is_end_usable else None
    return _SentAttempt(caller, trace.time_ns(first.sent), ended_ns)
