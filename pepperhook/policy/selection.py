"""Selection: the less loaded of two random upstreams that are usable and have capacity."""

from pepperhook.decision_notes import SelectionNote
from pepperhook.domain import Attempt, Outcome, Request, Upstream
from pepperhook.pipeline import Stage
from pepperhook.statistics import weighted_order

CHOICES = 2  # candidates that are drawn (power of two choices)
HEAVY_COST = 2.0  # relative cost above which all upstreams are compared, not two


class Selection(Stage):
    """Selects an upstream for each attempt."""

    def handle(self, now: int, request: Request) -> bool:
        """Send the request to the best candidate; return False if none has capacity."""
        load_queries, capacity = self.balancer.load_queries, self.balancer.capacity
        usable, from_subset = self._usable(now, request)
        if load_queries.enabled and load_queries.start(now, request, usable):
            return True
        priority_factor = capacity.priority_factor(now, request)
        reports = {u: load_queries.reported_in_flight(now, u) for u in usable}
        reporting = [u for u in usable if reports[u] is not None]
        with_capacity = [u for u in reporting or usable if capacity.allows(now, u, request, priority_factor)]
        cost = self.balancer.service_times.relative_cost(now, request)
        drawn = weighted_order(with_capacity, Upstream.draw_weight, self.balancer.random)[
            : None if cost > HEAVY_COST else CHOICES
        ]
        if reporting:
            loads = {
                u: (1 + (reports[u] or 0.0)) * u.latency_score / u.operator_weight for u in with_capacity
            }
        else:
            # Recent failures count as in flight: an upstream that fails quickly would look idle and
            # attract all requests.
            loads = {u: (len(u.in_flight) + u.failures.decay(now).total) / u.operator_weight for u in drawn}
        self.balancer.note(request, SelectionNote.of, from_subset, len(usable), len(with_capacity), loads)
        if not loads:
            return False
        # A request of high cost is valuable, as it stands for much work: it must not go to an upstream that
        # is too slow to serve it in time.
        ranks = {u: (loads[u] + cost) * u.latency_score if cost > HEAVY_COST else loads[u] for u in loads}
        return self.balancer.guard.send(now, request, min(loads, key=lambda u: (ranks[u], u.latency_score)))

    def _usable(self, now: int, request: Request) -> tuple[list[Upstream], bool]:
        # Falls back to all ready upstreams only if no member is usable, and not for lack of
        # capacity, because then all balancers would leave their subsets at the same time.
        tried, may_start = [a.upstream for a in request.attempts], self.balancer.guard.may_start
        subset = self.balancer.subset
        for upstreams in subset.members, subset.ring.ready:
            usable = [u for u in upstreams if u not in tried and u.weight and may_start(now, request, u)]
            if usable:
                break
        return usable, upstreams is subset.members  # the loop ended at the list that is used

    def attempt_ended(self, now: int, attempt: Attempt) -> None:
        """Record the outcome in the statistics, then pass it on."""
        target_time = self.balancer.capacity.target_time(attempt.request.service_class)
        self.balancer.capacity.record(attempt, target_time)
        if attempt.outcome is Outcome.SERVED:
            self.balancer.service_times.record_served(now, attempt)
            attempt.upstream.completed.add(now, target_time)
        self.balancer.outliers.record(now, attempt)
        self.outer.attempt_ended(now, attempt)
