"""The rate limit at the balancer's hook points.

A request over its tenant's limit is rejected before the policy has it, with advice when to retry.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pepperhook.rate_limit.errors import UnknownTenantError
from pepperhook.rate_limit.limiter import RateLimit, RateLimiter
from pepperhook.scheduler import random_fraction
from pepperhook.server.messages import FinalResponse, ResponseKind

if TYPE_CHECKING:
    from pepperhook.domain import Request
    from pepperhook.operator_config.schema import RateLimitTable, TenantLimit
    from pepperhook.server.config import Config
    from pepperhook.server.messages import RequestMessage

EXTENSION_NAME = "customers"  # as the operator's file and the log have it
UNKNOWN_TENANT = "unknown"


@dataclass(frozen=True, slots=True)
class EnforcedLimits:
    """The limits in force, or those that may come into force."""

    limiter: RateLimiter
    spread: float  # of the advised delay, as a fraction of it


class RateLimitExtension:
    """The extension; it stores a bucket for each tenant of the settings, and one more."""

    listed_as = "quotas"  # in what ``check`` and the log print of the extensions that are on

    def __init__(self, table: RateLimitTable, config: Config) -> None:
        """Start with the limits of ``table``. Raises UnknownTenantError."""
        tenants = config.names.tenants
        settings = config.settings
        self._start_table = table
        self._tenant_names = sorted(tenants, key=tenants.__getitem__)
        self._fleet_size = settings.fleet_size
        # Without permission to advise, or to advise that long, the permission holds here too.
        self._max_retry_after_ns = (
            settings.max_retry_after_ns if settings.may_advise_retry_after else 0
        )
        self._seed = config.seed
        self._draws = 0
        self.limits = self.prepare(table)

    def prepare(self, table: RateLimitTable | None) -> EnforcedLimits:
        """Return other limits, or with None those of the start, with full buckets.

        Nothing changes yet. Raises UnknownTenantError.
        """
        if table is None:
            table = self._start_table
        for name in table.each:
            if name not in self._tenant_names:
                raise UnknownTenantError(name, self._tenant_names)
        limits = [table.each.get(name, table.default) for name in self._tenant_names]
        limiter = RateLimiter(
            [_rate_limit(limit) for limit in limits],
            _rate_limit(table.unknown),
            1 / max(1, self._fleet_size) if table.of == "fleet" else 1.0,
        )
        return EnforcedLimits(limiter, table.spread)

    @property
    def limiter(self) -> RateLimiter:
        """The limits' buckets."""
        return self.limits.limiter

    def arrived(
        self, now: int, request: Request, _message: RequestMessage | None
    ) -> FinalResponse | None:
        """Reject a request that is over its tenant's limit."""
        wait_ns = self.limiter.admit(now, request.tenant)
        if not wait_ns:
            return None
        # No attempt was made, so a retry is harmless whatever the effect of the request is.
        return FinalResponse(ResponseKind.REJECTED, retry_after_ns=self._retry_after_ns(wait_ns))

    def _retry_after_ns(self, wait_ns: int) -> int:
        """Add a random part to the wait, so that the rejected do not all return at once."""
        # Draws of its own: taken from the policy's, a limit would change the policy's decisions.
        self._draws += 1
        fraction = random_fraction(b"quotas %d %d" % (self._seed, self._draws))
        return min(int(wait_ns * (1 + self.limits.spread * fraction)), self._max_retry_after_ns)

    def told(self) -> dict[str, Any]:
        """Return the counters for the operator."""
        names = [*self._tenant_names, UNKNOWN_TENANT]
        buckets = [*self.limiter.buckets, self.limiter.unknown]
        limited = [
            (name, bucket)
            for name, bucket in zip(names, buckets, strict=True)
            if bucket is not None
        ]
        return {
            "name": EXTENSION_NAME,
            "let": sum(bucket.admitted for _, bucket in limited),
            **{f"shed_{name}": bucket.rejected for name, bucket in limited if bucket.rejected},
        }


def _rate_limit(quota: TenantLimit | None) -> RateLimit | None:
    return None if quota is None else RateLimit(quota.per_second, quota.burst)
