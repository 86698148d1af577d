"""Requests that ended unserved of late, by which a client's retry is recognised."""

from collections import deque
from typing import NamedTuple

from pepperhook.domain import Request


class UnservedRequest(NamedTuple):
    """What is kept of a request that ended without a response of an upstream."""

    accepted_at: int
    ended_at: int
    tenant: int | None


class UnservedRequests:
    """The last few of each service class."""

    def __init__(self, classes: int, kept: int) -> None:
        """Keep ``kept`` requests for each of so many classes."""
        self.by_class = [deque[UnservedRequest](maxlen=kept) for _ in range(classes)]

    def add(self, now: int, request: Request) -> None:
        """Keep a request that ends now."""
        ended = UnservedRequest(request.accepted_at, now, request.tenant)
        self.by_class[request.service_class.number].append(ended)

    def find_original(
        self, now: int, request: Request, tolerance: int, is_marked: bool
    ) -> UnservedRequest | None:
        """Return the request that this one retries, the latest of those that match.

        A client waits for its time limit in all, so an equal deadline, within ``tolerance``, shows
        the first request. Where none has it, a request that is marked as a retry is one of any
        within the limit.
        """
        limit = request.service_class.time_limit_ns
        begun = request.deadline - limit
        matching = None
        within_limit = None
        for one in self.by_class[request.service_class.number]:
            if one.tenant != request.tenant:
                continue
            if abs(one.accepted_at - begun) < tolerance < now - one.accepted_at:
                matching = one
            if is_marked and now - one.accepted_at < limit:
                within_limit = one
        return matching or within_limit
