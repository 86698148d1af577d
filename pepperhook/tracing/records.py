"""The record types of a trace file: one record per request and balancer.

A single record, a RequestTrace, is also called a trace.

Records are encoded as MessagePack arrays, so a field is identified by its position. New fields may
only be added at the end: a reader fills those that an older record lacks with their defaults, and
an older reader ignores the extra ones. The fields keep the names of the stored formats
(``docs/formats/record.md``), because exports use them as column and attribute names.
"""

from enum import StrEnum
from typing import NamedTuple
from zlib import crc32

import msgspec
from msgspec import Struct

from pepperhook.container import FileMetadata, frame_record
from pepperhook.container.index import IndexKey

CONTENT = "trace"
CONTENT_VERSION = 1
NS_PER_US = 1000
UNKNOWN_US = -1  # in place of a time that is not known, or not known yet
OPEN_ATTEMPT = "open"  # printed and exported for an attempt without an outcome

_ENCODER = msgspec.msgpack.Encoder()


class RequestOutcome(StrEnum):
    """How a request ended, in the words of stored traces."""

    SERVED = "fulfilled"
    LATE = "late"  # served after its latency objective; ``final`` is then SERVED
    REJECTED = "shed"
    FAILED = "broken off"
    CLIENT_LEFT = "left"
    OPEN = "open"  # the balancer stopped before the request ended


class CandidateSource(StrEnum):
    """The set of upstreams that a selection chose from, in the words of stored traces."""

    SUBSET = "slice"
    ALL_READY = "ring"  # used if no member of the subset was usable


class WaitEnd(StrEnum):
    """How a wait in the admission queue ended, if the policy gave no reason of its own."""

    SENT = "sent"  # an attempt was sent
    TIME_UP = "time up"  # the request was rejected or failed


class Candidate(NamedTuple):
    """One of the upstreams that a selection compared."""

    upstream: str
    weight: float  # its weight times its proximity
    load: float  # attempts in flight or reported load, relative to the operator's weight
    latency_score: float  # relative; higher for a slow or failing upstream


class Selection(Struct, array_like=True, omit_defaults=True):
    """How the upstream of an attempt was chosen."""

    where: str = ""  # a CandidateSource
    usable: int = 0  # upstreams that were ready and allowed
    fit: int = 0  # usable upstreams that had capacity
    pair: list[Candidate] = []  # the upstreams that were compared


class RetryDecision(Struct, array_like=True, omit_defaults=True):
    """Whether a retry followed an attempt, and the state of the retry budget."""

    verdict: str = ""  # a decision_notes.RetryVerdict
    drawn: float | None = None  # random number; None if none was drawn
    most: float = 0.0  # a drawn number below this grants the retry
    B: float = 0.0  # the retry budget
    f: float = 0.0  # the fraction of attempts that fail


class AttemptTrace(Struct, array_like=True, omit_defaults=True):
    """One attempt. Times are in microseconds since the request was accepted."""

    upstream: str
    sent: int
    ended: int = UNKNOWN_US
    outcome: str = ""  # a word of stored_words.OUTCOMES; empty while the attempt is open
    drawn: Selection | None = None  # how its upstream was chosen
    again: RetryDecision | None = None  # whether a retry followed


class QueueWait(Struct, array_like=True, omit_defaults=True):
    """One wait in the admission queue. Times are in microseconds since the request was accepted."""

    begun: int
    until: int = UNKNOWN_US
    place: int = 0  # position in the queue, from 0
    queue: int = 0  # length of the queue when the wait began
    usable: int = 0  # usable upstreams, none of which had capacity
    end: str = ""  # a WaitEnd, a decision_notes.RejectionReason, or the final outcome


class RequestTrace(Struct, array_like=True, omit_defaults=True):
    """One request at one balancer, from its acceptance to the end of its last attempt."""

    id: str
    parent: str  # id of the request that caused this one, derived from ``id``; empty if none
    grade: str  # its service class
    customer: str  # its tenant
    # When it was accepted, in nanoseconds of the balancer's clock, a monotonic clock that is set to
    # Unix time once.
    taken: int
    limit: int  # microseconds from acceptance to the deadline
    goal: int  # latency objective in microseconds
    worth: float  # its value to the policy, see policy/priority.py
    final: str  # a RequestOutcome other than LATE
    answered: int  # microseconds from acceptance to the final outcome; UNKNOWN_US before it
    late: bool = False  # served, but after its latency objective
    reason: str = ""  # why it was rejected or failed
    waits: list[QueueWait] = []
    sent: list[AttemptTrace] = []  # the attempts in the order in which they were sent
    share: tuple[float, float] | None = None  # the tenant's rate and quota, if it was over quota
    cut: int = 0  # attempts and waits that are omitted because there were too many
    root: str = ""  # id of the first request in the chain of parents; empty if that is ``id``

    @property
    def end_ns(self) -> int:
        """The last known end of the request or an attempt, in nanoseconds of the balancer's clock.

        If no end is known, this is a microsecond before acceptance.
        """
        return self.taken + NS_PER_US * max(
            [self.answered, *(attempt.ended for attempt in self.sent)]
        )

    @property
    def outcome(self) -> str:
        """The RequestOutcome: LATE for a request served late, else ``final``."""
        return RequestOutcome.LATE.value if self.late else self.final

    def time_ns(self, offset_us: int) -> int:
        """Convert microseconds since acceptance to nanoseconds of the balancer's clock."""
        return self.taken + NS_PER_US * offset_us

    def attempt_end_us(self, attempt: AttemptTrace) -> int:
        """Return when an attempt ended or, if that is unknown, when the request did."""
        return attempt.ended if attempt.ended >= 0 else max(self.answered, attempt.sent)

    def wait_end_us(self, wait: QueueWait) -> int:
        """Return when a wait ended or, if that is unknown, when the request did."""
        return wait.until if wait.until >= 0 else self.answered


class SourcedTrace(NamedTuple):
    """A record and the metadata of the file that it was read from."""

    metadata: FileMetadata
    trace: RequestTrace


def encode(trace: RequestTrace) -> bytes:
    """Encode a record for appending to a container."""
    return frame_record(_ENCODER.encode(trace))


def id_checksum(request_id: str) -> int:
    """Return the checksum by which an id is indexed and sampled."""
    return crc32(request_id.encode())


def index_keys(trace: RequestTrace) -> dict[str, IndexKey]:
    """Return the keys by which an index finds a record.

    Ids are indexed by checksum because there are as many of them as records.
    """
    keys: dict[str, IndexKey] = {
        "grade": trace.grade,
        "customer": trace.customer,
        "outcome": trace.outcome,
        "ids": id_checksum(trace.id),
    }
    if trace.parent:
        keys["parents"] = id_checksum(trace.parent)
    return keys
