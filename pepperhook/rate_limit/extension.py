"""Applies the rate limits at the balancer's hook points.

A request over its tenant's limit is rejected with a Retry-After delay before it reaches the policy.
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
    from pepperhook.settings import Settings

EXTENSION_NAME = "customers"  # key in the operator's file, and name in the log's counters
UNKNOWN_TENANT = "unknown"


@dataclass(frozen=True, slots=True)
class EnforcedLimits:
    """The limits in force, or limits that ``prepare`` built and that can replace them."""

    limiter: RateLimiter
    spread: float  # maximum random addition to the Retry-After delay, as a fraction of it


class RateLimitExtension:
    """Rejects requests over their tenant's limit.

    It stores one bucket for each tenant in the settings, and one that all unknown tenants share.
    """

    listed_as = "quotas"  # name in the log's and ``pepperhook check``'s list of extensions

    def __init__(self, table: RateLimitTable, config: Config) -> None:
        """Apply the limits of ``table``. Raises UnknownTenantError."""
        tenants = config.names.tenants
        settings = config.settings
        self._initial_table = table
        self._tenant_names = sorted(tenants, key=tenants.__getitem__)
        # As configured at the start: limits are not split anew when the fleet size changes.
        self._fleet_size = settings.fleet_size
        self._max_retry_after_ns = 0
        self.reconfigured(settings)
        self._seed = config.seed
        self._draw_count = 0
        self.limits = self.prepare(table)  # the control plane assigns other prepared limits

    def prepare(self, table: RateLimitTable | None) -> EnforcedLimits:
        """Build the limits of ``table``, with full buckets, but do not apply them yet.

        None stands for the table that the extension was created with. Raises UnknownTenantError.
        """
        if table is None:
            table = self._initial_table
        for name in table.each:
            if name not in self._tenant_names:
                raise UnknownTenantError(name, self._tenant_names)
        limits = [table.each.get(name, table.default) for name in self._tenant_names]
        limiter = RateLimiter(
            [_to_rate_limit(limit) for limit in limits],
            _to_rate_limit(table.unknown),
            fraction=1 / max(1, self._fleet_size) if table.of == "fleet" else 1.0,
        )
        return EnforcedLimits(limiter, table.spread)

    def reconfigured(self, settings: Settings) -> None:
        """Apply the settings' permission and maximum for Retry-After delays, here too."""
        self._max_retry_after_ns = (
            settings.max_retry_after_ns if settings.may_advise_retry_after else 0
        )

    @property
    def limiter(self) -> RateLimiter:
        """Return the rate limiter in force."""
        return self.limits.limiter

    def arrived(
        self, now: int, request: Request, _message: RequestMessage | None
    ) -> FinalResponse | None:
        """Reject a request that is over its tenant's limit; return None to pass it on."""
        wait_ns = self.limiter.admit(now, request.tenant)
        if not wait_ns:
            return None
        # No attempt was made, so the client can retry whatever the effect of the request is.
        return FinalResponse(ResponseKind.REJECTED, retry_after_ns=self._retry_after_ns(wait_ns))

    def _retry_after_ns(self, wait_ns: int) -> int:
        """Add random jitter to the wait, so that rejected clients do not all retry at once."""
        # The random sequence is separate from the policy's, so that the policy's decisions do not
        # change.
        self._draw_count += 1
        fraction = random_fraction(b"quotas %d %d" % (self._seed, self._draw_count))
        return min(int(wait_ns * (1 + self.limits.spread * fraction)), self._max_retry_after_ns)

    def told(self) -> dict[str, Any]:
        """Return the counters for the log.

        ``let`` counts the admitted requests, and ``shed_NAME`` the rejected ones of a tenant.
        """
        names = [*self._tenant_names, UNKNOWN_TENANT]
        buckets = [*self.limiter.buckets, self.limiter.unknown]
        named_buckets = [
            (name, bucket)
            for name, bucket in zip(names, buckets, strict=True)
            if bucket is not None
        ]
        return {
            "name": EXTENSION_NAME,
            "let": sum(bucket.admitted for _, bucket in named_buckets),
            **{
                f"shed_{name}": bucket.rejected for name, bucket in named_buckets if bucket.rejected
            },
        }


def _to_rate_limit(limit: TenantLimit | None) -> RateLimit | None:
    return None if limit is None else RateLimit(limit.per_second, limit.burst)
