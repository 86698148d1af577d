"""Load queries: where upstreams report their load, two are queried before an attempt is sent."""

from pepperhook.domain import IN_FLIGHT, Request, Upstream
from pepperhook.pipeline import Component
from pepperhook.statistics import weighted_order
from pepperhook.units import MILLISECOND

# How long a request waits for the reports of a round; maximum age of a report.
MAX_WAIT, REPORT_VALID = 4 * MILLISECOND, 8 * MILLISECOND
MAX_ROUNDS, QUERIED_TOGETHER = 3, 2  # rounds per request; upstreams per round
IDLE = 0.5  # reported requests in flight below which no other upstream is queried


class LoadQueries(Component):
    """Sends load queries, and holds requests until the reports arrive."""

    def _set_up(self, now: int) -> None:
        self.enabled = False
        self.running: dict[Request, list[Upstream]] = {}

    def configure(self) -> None:
        """Enable load queries if health checks report the requests in flight."""
        self.enabled = IN_FLIGHT in self.settings.health_check_figures

    def reported_in_flight(self, now: int, upstream: Upstream) -> float | None:
        """Return the requests in flight that an upstream reported lately, or None."""
        if self.enabled and upstream.load_report and now - upstream.load_report_at < REPORT_VALID:
            return upstream.load_report.get(IN_FLIGHT)
        return None

    def start(self, now: int, request: Request, usable: list[Upstream]) -> bool:
        """Query two more upstreams; return whether the request waits for their reports.

        This balancer's own attempts do not show the load that other balancers put on an upstream.
        """
        reports = {u: self.reported_in_flight(now, u) for u in usable}
        unreported = [u for u in usable if reports[u] is None]
        has_idle = any(in_flight is not None and in_flight < IDLE for in_flight in reports.values())
        may_not_query = request in self.running or request.load_query_rounds >= MAX_ROUNDS
        if may_not_query or has_idle or not unreported:
            request.load_query_rounds = 0
            return False
        request.load_query_rounds += 1
        drawn = weighted_order(unreported, Upstream.draw_weight, self.balancer.random)
        self.running[request] = queried = drawn[:QUERIED_TOGETHER]
        for upstream in queried:
            self.balancer.outliers.check(upstream)
        self.balancer.call_at(now + MAX_WAIT, self._finish, request)
        return True

    def _finish(self, now: int, request: Request) -> None:
        queried = self.running.pop(request, None)
        if queried and not (request.finished or self.balancer.admission.handle(now, request)):
            self.balancer.completion.finish(now, request)

    def check_ended(self, now: int, upstream: Upstream) -> None:
        """Continue with the requests for which all queried upstreams have reported."""
        for request, queried in list(self.running.items()):
            if upstream in queried and all(self.reported_in_flight(now, u) is not None for u in queried):
                self._finish(now, request)
