"""Recent requests that ended unserved, by which clients' retries are recognised."""

from collections import deque
from typing import NamedTuple

from pepperhook.domain import Request


class UnservedRequest(NamedTuple):
    """Record of a request that ended without a response of an upstream; times in nanoseconds."""

    accepted_at: int
    ended_at: int
    tenant: int | None


class UnservedRequests:
    """The last unserved requests of each service class."""

    def __init__(self, classes: int, max_kept: int) -> None:
        """Create empty records for ``classes`` service classes, of ``max_kept`` requests each."""
        self.by_class = [deque[UnservedRequest](maxlen=max_kept) for _ in range(classes)]

    def add(self, now: int, request: Request) -> None:
        """Record a request that ends unserved at ``now``."""
        ended = UnservedRequest(request.accepted_at, now, request.tenant)
        self.by_class[request.service_class.number].append(ended)

    def find_original(
        self, now: int, request: Request, tolerance: int, is_marked: bool
    ) -> UnservedRequest | None:
        """Return the latest request that this one may retry, or None.

        The time limit of a client includes its retries, so a request of the same tenant that was
        accepted one time limit before this one's deadline, within ``tolerance`` nanoseconds, is the
        original, unless it was accepted less than ``tolerance`` ago. If there is none and this one
        is marked as a retry, the original is the latest request of the tenant that was accepted
        within the time limit.
        """
        limit = request.service_class.time_limit_ns
        first_accepted_at = request.deadline - limit
        matching = None
        within_limit = None
        for earlier in self.by_class[request.service_class.number]:
            if earlier.tenant != request.tenant:
                continue
            if abs(earlier.accepted_at - first_accepted_at) < tolerance < now - earlier.accepted_at:
                matching = earlier
            if is_marked and now - earlier.accepted_at < limit:
                within_limit = earlier
        return matching or within_limit
