"""Audit of a run whose discovery service is overloaded, from the event rows of its stand-ins.

The general auditor (``audit``) checks rule 3 against the list that was sent to a balancer. Here a
balancer is assumed to know of a change a fixed time after the discovery service has it, whether or
not its polls succeed.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from pepperhook.lab import events
from pepperhook.lab.stalls import Stalls, upstream_process_name

SECOND = 10**9
READY = "ready"
LISTED = "listed "  # prefix of the name of a StateChange row of the endpoint list
OVERLOADED_STATUS = 503

ProcessId = tuple[int, int]  # tier and number of a balancer or an upstream
Span = tuple[int, int]  # begin and end


@dataclass(frozen=True, slots=True)
class Change:
    """One change of an upstream's state in the endpoint list."""

    at: int
    state: str  # such as "ready" or "draining"


@dataclass(frozen=True, slots=True)
class LateSend:
    """One attempt that reached a draining or removed upstream later than rule 3 allows."""

    request: str
    balancer: int
    upstream: int
    late_ns: int  # past the latest allowed arrival


class EndpointAudit:
    """Evaluates the rows of one run; times are nanoseconds of the machine's monotonic clock."""

    def __init__(self, rows: Iterable[events.Event]) -> None:
        """Group the rows by type, and by process where a check needs it."""
        self.works: list[events.UpstreamWork] = []
        # Polls, watches included.
        self.polls: list[events.EndpointListPoll] = []
        self.list_entries: list[events.EndpointListEntry] = []
        self.changes: dict[ProcessId, list[Change]] = defaultdict(list)
        # Spans in which the service confirmed a balancer's list, by balancer: while it held a
        # watch, or at the moment of an answer.
        self.confirmed_spans: dict[ProcessId, list[Span]] = defaultdict(list)
        rows = list(rows)
        self.stalls = Stalls(rows)
        for row in rows:
            self._add(row)
        for spans in self.confirmed_spans.values():
            spans.sort()

    def _add(self, row: events.Event) -> None:
        """Store one row where the checks look for it."""
        match row:
            case events.UpstreamWork():
                self.works.append(row)
            case events.EndpointListEntry():
                self.list_entries.append(row)
            case events.HeldWatch():
                self.confirmed_spans[row.tier, row.caller].append((row.started_at, row.ended_at))
            case events.EndpointListPoll():
                self.polls.append(row)
                if row.answered:
                    self.confirmed_spans[row.tier, row.caller].append((row.at, row.at))
            case events.StateChange() if row.name.startswith(LISTED):
                change = Change(row.at, row.name.removeprefix(LISTED))
                self.changes[row.tier, row.process_number].append(change)

    def late_sends(
        self, unreachable: Sequence[Span], notified_after_ns: int, grace_ns: int
    ) -> list[LateSend]:
        """Return the attempts that reached upstreams too late after these stopped being ready.

        This is rule 3. A balancer is assumed to know a change ``notified_after_ns`` after the
        service has it and can be reached, outside of the spans ``unreachable``. The drain grace of
        ``grace_ns`` begins then.
        """
        late = []
        for work in self.works:
            change = self._latest_change(work)
            if change is None or change.state == READY:
                continue
            allowed_until = reachable_at(change.at, unreachable) + notified_after_ns + grace_ns
            arrived_at = self.stalls.earliest_arrival(
                upstream_process_name(work.tier), work.first_byte_at
            )
            if arrived_at > allowed_until:
                late_ns = arrived_at - allowed_until
                late.append(LateSend(work.id, work.caller, work.upstream, late_ns))
        return late

    def _latest_change(self, work: events.UpstreamWork) -> Change | None:
        """Return the latest change of the upstream's state before the attempt arrived, if any."""
        changes = [
            change
            for change in self.changes[work.tier, work.upstream]
            if change.at <= work.first_byte_at
        ]
        return max(changes, key=lambda change: change.at, default=None)

    def list_ages_ns(self, since: int) -> list[int]:
        """Return, ascending, the age of the balancer's list at each attempt from ``since`` on.

        The age is the time since the service last confirmed the list, by an answer or by holding a
        watch. Attempts of a balancer without a confirmed list are left out.
        """
        ages = []
        for work in self.works:
            if work.first_byte_at < since:
                continue
            spans = self.confirmed_spans[work.tier, work.caller]
            started_count = bisect_right(spans, work.first_byte_at, key=lambda span: span[0])
            confirmed_until = max((ended_at for _, ended_at in spans[:started_count]), default=None)
            if confirmed_until is not None:
                ages.append(max(0, work.first_byte_at - confirmed_until))
        return sorted(ages)

    def polls_by_second(self, since: int) -> Counter[int]:
        """Count the polls and watches that reached the service in each second from ``since`` on."""
        return Counter(
            (poll.reached_at - since) // SECOND for poll in self.polls if poll.reached_at >= since
        )

    def notified_at(self, since: int, balancers: int) -> dict[int, int]:
        """Return when each balancer of the first tier got its first list after ``since``.

        Balancers numbered ``balancers`` or higher are left out.
        """
        first_at: dict[int, int] = {}
        for poll in self.polls:
            if not poll.tier and poll.answered and poll.reached_at >= since:
                first_at[poll.caller] = min(poll.at, first_at.get(poll.caller, poll.at))
        return {caller: at for caller, at in first_at.items() if caller < balancers}

    def count_refused_polls(self, spans: Sequence[Span]) -> tuple[int, int]:
        """Return two counts: polls and watches that ended within the spans, and those with 503.

        Polls that did not reach the service are left out.
        """
        polls = [
            poll
            for poll in self.polls
            if poll.reached_at and any(begin <= poll.at < end for begin, end in spans)
        ]
        return len(polls), sum(poll.status == OVERLOADED_STATUS for poll in polls)


def reachable_at(at: int, unreachable: Iterable[Span]) -> int:
    """Return the first time from ``at`` on that is in none of the spans."""
    for begin, end in sorted(unreachable):
        if begin <= at < end:
            at = end
    return at


def quantile(ordered: Sequence[int], fraction: float) -> int:
    """Return the value below which ``fraction`` of the values lie; 0 where there are none."""
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0
