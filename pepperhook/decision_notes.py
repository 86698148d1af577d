"""Reasons for decisions, recorded for traces while tracing is on."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple, Self

from pepperhook.domain import Upstream


class RetryVerdict(StrEnum):
    """Why a retry was granted or not."""

    GRANTED = "granted"
    BUDGET = "budget"  # the retry budget is exhausted
    OVERLOAD = "overload"  # upstreams reject attempts for lack of capacity
    EFFECT = "effect"  # the request might take effect twice
    OBJECTIVE = "goal"  # the retry would be served after the objective
    CHANCE = "chance"  # the random draw was not below the allowed probability


class RejectionReason(StrEnum):
    """Why a request ended without a response of an upstream."""

    TIME_UP = "time up"  # the objective or deadline was reached
    QUEUE_TIMEOUT = "waited in vain"  # no capacity within the maximum queue time
    LEAST_VALUABLE = "least worth"  # the queue was full of requests of higher value


class Candidate(NamedTuple):
    """One of the upstreams that were compared for a request."""

    address: bytes
    weight: float  # draw weight
    load: float
    latency_score: float


@dataclass(slots=True)
class SelectionNote:
    """Which upstreams were compared for a request."""

    from_subset: bool  # otherwise from all ready upstreams
    usable: int  # number of usable upstreams
    with_capacity: int  # number of those that have capacity
    candidates: list[Candidate]

    @classmethod
    def of(
        cls, from_subset: bool, usable: int, with_capacity: int, loads: dict[Upstream, float]
    ) -> Self:
        """Build the note from the candidates' loads."""
        candidates = [
            Candidate(u.address, u.weight * u.proximity, load, u.latency_score)
            for u, load in loads.items()
        ]
        return cls(from_subset, usable, with_capacity, candidates)


@dataclass(slots=True)
class QueuedNote:
    """The request was queued for admission, at this position."""

    position: int
    length: int


@dataclass(slots=True)
class RetryNote:
    """A retry was considered: verdict, random draw, allowed probability, and B and f then."""

    verdict: RetryVerdict
    drawn: float | None
    allowed: float
    budget: float
    failure_fraction: float


@dataclass(slots=True)
class OverQuotaNote:
    """The request exceeds its tenant's quota; rates in requests per second."""

    rate: float
    quota: float


@dataclass(slots=True)
class RejectionNote:
    """The request is rejected or fails without a response of an upstream."""

    reason: RejectionReason


DecisionNote = SelectionNote | QueuedNote | RetryNote | OverQuotaNote | RejectionNote
