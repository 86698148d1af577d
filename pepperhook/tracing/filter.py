"""Selects records of traces, and the blocks of a file that may contain them, without I/O."""

from collections.abc import Mapping
from typing import Any

from msgspec import Struct

from pepperhook.container import IndexEntry, contains_key
from pepperhook.tracing.records import RequestOutcome, RequestTrace, id_checksum


class TraceFilter(Struct, kw_only=True):
    """Conditions that a record must all meet; a field with its default value accepts any record."""

    begin: int | None = None  # accepted at or after this time, in nanoseconds
    end: int | None = None  # accepted before this time
    grades: frozenset[str] = frozenset()  # service classes
    customers: frozenset[str] = frozenset()  # tenants
    outcomes: frozenset[str] = frozenset()  # values of RequestOutcome; SERVED also matches LATE
    upstreams: frozenset[str] = frozenset()  # one of them got an attempt
    reason: str = ""  # substring of the reason
    # A record matches if its own id is in ``ids`` or its parent's id is in ``parents``.
    ids: frozenset[str] = frozenset()
    parents: frozenset[str] = frozenset()

    def matches(self, trace: RequestTrace) -> bool:
        """Return whether a record meets all conditions."""
        return (
            self._matches_time(trace)
            and (not self.grades or trace.grade in self.grades)
            and (not self.customers or trace.customer in self.customers)
            and (not self.outcomes or not self.outcomes.isdisjoint((trace.final, trace.outcome)))
            and (
                not self.upstreams
                or any(attempt.upstream in self.upstreams for attempt in trace.sent)
            )
            and self.reason in trace.reason
            and self._matches_id(trace)
        )

    def may_match_block(self, entry: IndexEntry) -> bool:
        """Return whether a block may contain a match, according to its index entry."""
        if self.begin is not None and entry.last_time_ns < self.begin:
            return False
        if self.end is not None and entry.first_time_ns >= self.end:
            return False
        return (
            _may_contain(entry.keys, "grade", self.grades)
            and _may_contain(entry.keys, "customer", self.customers)
            and _may_contain(entry.keys, "outcome", self._indexed_outcomes())
            and self._may_contain_id(entry.keys)
        )

    def _matches_time(self, trace: RequestTrace) -> bool:
        is_after_begin = self.begin is None or trace.taken >= self.begin
        return is_after_begin and (self.end is None or trace.taken < self.end)

    def _matches_id(self, trace: RequestTrace) -> bool:
        accepts_any_id = not self.ids and not self.parents
        return accepts_any_id or trace.id in self.ids or trace.parent in self.parents

    def _indexed_outcomes(self) -> frozenset[str]:
        # A late request counts as served, but the index lists it only as late.
        if RequestOutcome.SERVED in self.outcomes:
            return self.outcomes | {RequestOutcome.LATE}
        return self.outcomes

    def _may_contain_id(self, keys: Mapping[str, Any]) -> bool:
        if not self.ids and not self.parents:
            return True
        return _contains_checksum(keys, "ids", self.ids) or _contains_checksum(
            keys, "parents", self.parents
        )


def _may_contain(keys: Mapping[str, Any], name: str, wanted_values: frozenset[str]) -> bool:
    return not wanted_values or not wanted_values.isdisjoint(keys.get(name, ()))


def _contains_checksum(keys: Mapping[str, Any], name: str, ids: frozenset[str]) -> bool:
    indexed = keys.get(name, b"")
    return any(contains_key(indexed, id_checksum(request_id)) for request_id in ids)
