"""Token buckets, one for each tenant, without I/O; callers pass the time in nanoseconds.

A bucket stores up to ``burst`` tokens and gains ``per_second`` of them each second; a request takes
one or is rejected. This is the token bucket of RFC 2698 and RFC 3290, counting requests instead of
bytes. As in the generic cell rate algorithm of ITU-T I.371, the only state is a time, ``empty_at``:
a bucket that was empty then and has only gained tokens since would store what this one stores now.
No token count is updated between requests, so rounding errors do not accumulate.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from pepperhook.units import SECOND


@dataclass(frozen=True, slots=True)
class RateLimit:
    """The number of requests admitted per second, and the number admitted at once."""

    per_second: float
    burst: float | None = None  # None: as many as in one second; always at least 1

    def scaled(self, fraction: float) -> "RateLimit":
        """Return the limit times ``fraction``, for one of the balancers that share it."""
        burst = None if self.burst is None else self.burst * fraction
        return RateLimit(self.per_second * fraction, burst)


class TokenBucket:
    """Enforces one limit, and counts the requests that it admitted and rejected."""

    __slots__ = ("admitted", "capacity_ns", "empty_at", "rejected", "token_interval_ns")

    def __init__(self, limit: RateLimit) -> None:
        """Start with a full bucket."""
        burst = limit.per_second if limit.burst is None else limit.burst
        self.token_interval_ns = max(1, round(SECOND / limit.per_second))
        self.capacity_ns = round(max(1.0, burst) * self.token_interval_ns)  # time to fill it
        self.empty_at: int | None = None  # tokens gained since are available; None: full
        self.admitted = 0
        self.rejected = 0

    def admit(self, now: int) -> int:
        """Take a token and return 0, or return the nanoseconds until one is available."""
        earliest_empty_at = now - self.capacity_ns  # for a bucket that is full now
        if self.empty_at is None:
            empty_at = earliest_empty_at
        else:
            empty_at = max(self.empty_at, earliest_empty_at)
        next_empty_at = empty_at + self.token_interval_ns
        if next_empty_at > now:
            self.rejected += 1
            return next_empty_at - now
        self.empty_at = next_empty_at
        self.admitted += 1
        return 0


class RateLimiter:
    """Stores one bucket for each tenant in the settings, and one that all unknown tenants share.

    Its memory does not grow with traffic. A bucket is None where there is no limit.
    """

    def __init__(
        self,
        tenant_limits: Sequence[RateLimit | None],
        unknown_limit: RateLimit | None,
        fraction: float = 1.0,
    ) -> None:
        """Create full buckets.

        ``tenant_limits`` is indexed by tenant number; ``fraction`` is the part of each limit that
        this balancer enforces.
        """
        self.buckets = [_make_bucket(limit, fraction) for limit in tenant_limits]
        self.unknown = _make_bucket(unknown_limit, fraction)

    def admit(self, now: int, tenant: int | None) -> int:
        """Admit a request and return 0, or return the nanoseconds until one is admitted.

        ``tenant`` is None for a tenant that the settings do not define.
        """
        bucket = self.unknown if tenant is None else self.buckets[tenant]
        return 0 if bucket is None else bucket.admit(now)


def _make_bucket(limit: RateLimit | None, fraction: float) -> TokenBucket | None:
    return None if limit is None else TokenBucket(limit.scaled(fraction))
