"""The value of a request: its priority weight per unit of work, reduced beyond its tenant's quota."""

from pepperhook.decision_notes import OverQuotaNote
from pepperhook.domain import Request
from pepperhook.pipeline import Stage
from pepperhook.statistics import DecayingMoments
from pepperhook.units import SECOND

QUOTA_SPAN = 10 * SECOND  # time constant of the tenants' request rates


class Priority(Stage):
    """Sets the value of each request once, on arrival."""

    def _set_up(self, now: int) -> None:
        self.tenant_rates = [DecayingMoments(QUOTA_SPAN, now) for _ in self.settings.tenants]

    def handle(self, now: int, request: Request) -> bool:
        """Set the value of the request, and record value and cost in the statistics."""
        # Weights per request are divided by the mean service time. Quotas apply only in the first tier.
        value = request.service_class.priority_weight
        if not self.settings.weight_is_per_work:
            value *= SECOND / self.balancer.service_times.mean_service_time(now, request.service_class)
        if request.tenant is not None and self.settings.tier == 0:
            value *= self._quota_factor(now, request, request.tenant)
        request.value = value
        self.balancer.capacity.values.add(now, value)
        self.balancer.service_times.record_cost(now, request)
        return self.inner.handle(now, request)

    def _quota_factor(self, now: int, request: Request, tenant: int) -> float:
        # Read before this request is added, which would make a low rate appear to exceed the quota.
        rate = self.tenant_rates[tenant].rate(now)
        self.tenant_rates[tenant].add(now)
        quota = self.settings.tenants[tenant].quota_per_s / self.balancer.fleet_size
        # While the rate exceeds the quota, a random fraction 1 - quota / rate of requests loses value.
        if not quota or self.balancer.random() * rate <= quota:
            return 1.0
        self.balancer.note(request, OverQuotaNote, rate, quota)
        return self.settings.excess_weight_factor
