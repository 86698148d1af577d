"""Subsetting: the few upstreams that this balancer sends to, chosen on a hash ring by its fleet index."""

from collections.abc import Sequence
from math import ceil, exp

from pepperhook.domain import EndpointUpdate, Upstream
from pepperhook.endpoint_ring import EndpointRing, choose_members
from pepperhook.pipeline import Component
from pepperhook.units import SECOND

MIN_SIZE, MIN_SIZE_FREE_CONNECTIONS = 3, 8  # the latter where connections and handshakes cost nothing
BALANCERS_PER_UPSTREAM = 4  # each upstream is in the subsets of at least so many balancers
CONCURRENCY_PER_MEMBER = 0.7  # mean attempts in flight per member above which the subset grows
DEMAND_DECAY = 0.98  # factor of the peak demand from one review to the next
CROSS_ZONE_SCALE = 0.013  # cross-zone price at which a remote upstream is 1/e as likely
KEEP_GONE = 60 * SECOND  # how long gone upstreams keep their position on the ring
CONCURRENCY_PER_UPSTREAM = 3  # attempts that all balancers together may always have at one upstream


class Subset(Component):
    """Holds the endpoint list and chooses the members of the subset from it."""

    def _set_up(self, now: int) -> None:
        self.ring = EndpointRing(KEEP_GONE)
        self.same_zone: list[Upstream] = []
        self.members: list[Upstream] = []
        self.demand = 0.0  # decaying peak of the mean attempts in flight that this balancer needs
        self.fair_share = 1.0  # attempts in flight per upstream that this balancer may always have

    def apply(self, now: int, whole: bool, updates: Sequence[EndpointUpdate]) -> None:
        """Apply an endpoint list; ``whole``: upstreams that it does not name are gone."""
        for upstream, _, started_at in updates:
            self.balancer.slow_start.record_start(now, upstream, started_at)
        self.ring.apply(now, whole, updates)
        self.same_zone = self.ring.in_zone(self.settings.zone)

    def update(self, now: int) -> None:
        """Recompute demand and fair share, and choose the members again."""
        needed = self.balancer.retry_budget.rate.rate(now) * max(self.balancer.service_times.best) / SECOND
        self.demand = max(DEMAND_DECAY * self.demand, needed)
        ready_count = len(self.ring.ready)
        size = self._size(ready_count)
        # The concurrency is divided among the balancers, because many balancers with few attempts each could
        # together overload an upstream.
        memberships = self.balancer.fleet_size * max(1, min(ready_count, size))
        self.fair_share = CONCURRENCY_PER_UPSTREAM * ready_count / memberships
        # While members are unreachable, choose_members continues round the whole ring to reach MIN_SIZE.
        rings = (self.same_zone, self._same_zone_size(size, ready_count)), (self.ring.positions, ready_count)
        self.members = choose_members(rings, self.balancer.index, self.balancer.fleet_size, size, MIN_SIZE)

    def _size(self, ready_count: int) -> int:
        is_free = self.settings.connection_price == self.settings.handshake_price == 0
        smallest = MIN_SIZE_FREE_CONNECTIONS if is_free else MIN_SIZE
        # Also one for each position of the ring, where gone upstreams are included. Divisions round up.
        min_memberships = max(BALANCERS_PER_UPSTREAM * ready_count, len(self.ring.positions))
        return max(
            smallest,
            -(-min_memberships // self.balancer.fleet_size),
            ceil(self.demand / CONCURRENCY_PER_MEMBER),
        )

    def _same_zone_size(self, size: int, ready_count: int) -> int:
        # Only as many members as are needed to cover the whole ring may be from other zones, which reduces
        # cross-zone traffic; the division rounds up.
        for_coverage = -(-ready_count // self.balancer.fleet_size)
        return min(len(self.same_zone), round((1 - self.remote_proximity()) * (size - for_coverage)))

    def remote_proximity(self) -> float:
        """Return the proximity factor (0 to 1) of an upstream in another zone."""
        return exp(-self.settings.cross_zone_price / CROSS_ZONE_SCALE)
