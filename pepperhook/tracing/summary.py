"""Computes figures of traces by service class, tenant, upstream and reason.

Memory does not grow with the number of records: latencies are counted in HdrHistograms, one for
each service class and upstream, and of the tenants, of which there may be a million, only the most
frequent ones are kept.
"""

from collections import Counter
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]
from msgspec import Struct

from pepperhook.tracing.heavy_hitters import SpaceSaving
from pepperhook.tracing.records import OPEN_ATTEMPT, AttemptTrace, RequestOutcome, RequestTrace

MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
MAX_KEYS = 2000  # names of one kind that are counted separately; the rest are counted as OTHERS
MAX_TENANTS = 1000  # tenants that are counted at the same time
DEFAULT_TENANTS = 10
US_PER_MS = 1000
OTHERS = "others"

FiguresT = TypeVar("FiguresT", "RequestFigures", "AttemptFigures")


class Latencies:
    """A latency histogram in bounded memory."""

    def __init__(self) -> None:
        """Create an empty histogram."""
        self._histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def record(self, latency_us: int) -> None:
        """Add a latency; one outside the histogram's range counts as the nearest limit."""
        self._histogram.record_value(max(1, min(MAX_LATENCY_US, latency_us)))

    def percentile_ms(self, percentile: float) -> float | None:
        """Return a percentile (0 to 100) in milliseconds; None if there is no latency."""
        if not self._histogram.get_total_count():
            return None
        latency_us: int = self._histogram.get_value_at_percentile(percentile)
        return latency_us / US_PER_MS


class RequestRow(Struct):
    """The figures of some requests, with the field names of the output.

    Percentiles are those of the latency, in milliseconds.
    """

    lives: int  # requests
    finals: dict[str, int]  # requests by RequestOutcome
    tries: float  # mean number of attempts per request
    p50: float | None
    p90: float | None
    p99: float | None
    waited: int  # requests that waited in the admission queue


class AttemptRow(Struct):
    """The figures of attempts at one upstream, with the field names of the output.

    Percentiles are those of the latency, in milliseconds.
    """

    dispatches: int  # attempts
    outcomes: dict[str, int]  # attempts by outcome
    p50: float | None
    p99: float | None


class TenantRow(Struct):
    """The figures of one tenant, with the field names of the output."""

    customer: str  # the tenant
    lives: int  # requests
    too_high_by: int  # upper bound of the error: ``lives`` may be too high by this much
    not_served: int  # requests that were not served, or late


class RequestFigures:
    """Counts requests by outcome, with their attempts and latencies."""

    def __init__(self) -> None:
        """Create figures of no requests."""
        self.requests = 0
        self._attempts = 0
        self._queued = 0
        self._outcomes: Counter[str] = Counter()
        self._latencies = Latencies()

    def add(self, trace: RequestTrace) -> None:
        """Count one request."""
        self.requests += 1
        self._attempts += len(trace.sent)
        self._queued += bool(trace.waits)
        self._outcomes[trace.outcome] += 1
        if trace.answered >= 0:
            self._latencies.record(trace.answered)

    def row(self) -> RequestRow:
        """Return the figures."""
        return RequestRow(
            lives=self.requests,
            finals=dict(self._outcomes),
            tries=round(self._attempts / max(1, self.requests), 3),
            p50=self._latencies.percentile_ms(50),
            p90=self._latencies.percentile_ms(90),
            p99=self._latencies.percentile_ms(99),
            waited=self._queued,
        )


class AttemptFigures:
    """Counts the attempts at one upstream by outcome, with their latencies."""

    def __init__(self) -> None:
        """Create figures of no attempts."""
        self._attempts = 0
        self._outcomes: Counter[str] = Counter()
        self._latencies = Latencies()

    def add(self, attempt: AttemptTrace) -> None:
        """Count one attempt."""
        self._attempts += 1
        self._outcomes[attempt.outcome or OPEN_ATTEMPT] += 1
        if attempt.ended >= 0:
            self._latencies.record(attempt.ended - attempt.sent)

    def row(self) -> AttemptRow:
        """Return the figures."""
        return AttemptRow(
            dispatches=self._attempts,
            outcomes=dict(self._outcomes),
            p50=self._latencies.percentile_ms(50),
            p99=self._latencies.percentile_ms(99),
        )


class Summary:
    """Accumulates figures over records."""

    def __init__(self) -> None:
        """Create an empty summary."""
        self.total = RequestFigures()
        self._service_classes: dict[str, RequestFigures] = {}
        self._upstreams: dict[str, AttemptFigures] = {}
        self._tenants = SpaceSaving(MAX_TENANTS)
        self._reasons: Counter[str] = Counter()
        self._retry_verdicts: Counter[str] = Counter()
        self._counted_as_others = 0  # additions to the OTHERS of service classes and upstreams
        self._first_ns: int | None = None
        self._last_ns: int | None = None

    def add(self, trace: RequestTrace) -> None:
        """Add a record to all figures."""
        accepted = trace.taken
        self._first_ns = accepted if self._first_ns is None else min(self._first_ns, accepted)
        self._last_ns = accepted if self._last_ns is None else max(self._last_ns, accepted)
        self.total.add(trace)
        self._figures_for(self._service_classes, trace.grade, RequestFigures).add(trace)
        # Requests that were not served, or late, are marked.
        self._tenants.add(trace.customer, trace.outcome != RequestOutcome.SERVED)
        if trace.reason:
            _count(self._reasons, f"{trace.final}: {trace.reason}")
        for attempt in trace.sent:
            self._figures_for(self._upstreams, attempt.upstream, AttemptFigures).add(attempt)
            if attempt.again is not None:
                _count(self._retry_verdicts, attempt.again.verdict)

    def to_dict(self, max_tenants: int = DEFAULT_TENANTS) -> dict[str, Any]:
        """Return all figures in builtin types, under the names of the output."""
        figures: dict[str, Any] = msgspec.to_builtins(
            {
                "lives": self.total.requests,
                "first": self._first_ns,
                "last": self._last_ns,
                "all": self.total.row(),
                "grades": {
                    name: figures.row() for name, figures in sorted(self._service_classes.items())
                },
                "upstreams": {
                    name: figures.row() for name, figures in sorted(self._upstreams.items())
                },
                "customers": self._tenant_rows(max_tenants),
                "reasons": dict(self._reasons.most_common()),
                "again": dict(self._retry_verdicts.most_common()),
                "keys_not_told_apart": self._counted_as_others,
            }
        )
        return figures

    def _tenant_rows(self, limit: int) -> list[TenantRow]:
        return [
            TenantRow(hitter.name, hitter.count, hitter.overcount, hitter.marked)
            for hitter in self._tenants.most_frequent(limit)
        ]

    def _figures_for(
        self, by_name: dict[str, FiguresT], name: str, create: Callable[[], FiguresT]
    ) -> FiguresT:
        """Return the figures for a name, or those of OTHERS if there are too many names."""
        if name not in by_name and len(by_name) >= MAX_KEYS:
            self._counted_as_others += 1
            name = OTHERS
        if name not in by_name:
            by_name[name] = create()
        return by_name[name]


def _count(counter: Counter[str], key: str) -> None:
    counter[key if key in counter or len(counter) < MAX_KEYS else OTHERS] += 1
