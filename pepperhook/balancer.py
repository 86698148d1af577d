"""The balancer: builds the pipeline, and passes each call of the host to its handler."""

from collections.abc import Sequence

from pepperhook.domain import Attempt, EndpointUpdate, Outcome, PollFailure, Request, Upstream
from pepperhook.pipeline import link
from pepperhook.policy.admission import AdmissionQueue
from pepperhook.policy.capacity import SERVICE_TIME_MODEL, Capacity
from pepperhook.policy.completion import Completion
from pepperhook.policy.drain_check import DrainCheck
from pepperhook.policy.endpoints import Endpoints
from pepperhook.policy.guard import Guard
from pepperhook.policy.load_query import LoadQueries
from pepperhook.policy.outlier import REVIEW_PERIOD, OutlierDetector
from pepperhook.policy.priority import Priority
from pepperhook.policy.retry_budget import RetryBudget
from pepperhook.policy.selection import Selection
from pepperhook.policy.slow_start import SlowStart
from pepperhook.policy.subset import Subset
from pepperhook.policy_interface import Policy
from pepperhook.service_times import ServiceTimes
from pepperhook.settings import Settings


class Balancer(Policy):
    """The load balancing policy, made of pipeline stages and the components that they share."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        """Create a balancer without endpoints."""
        super().__init__(settings, seed, now)
        self.service_times = ServiceTimes(SERVICE_TIME_MODEL, settings.service_classes, now)
        self.subset = Subset(self)
        self.slow_start = SlowStart(self)
        self.outliers = OutlierDetector(self)
        self.drain_check = DrainCheck(self)
        self.load_queries = LoadQueries(self)
        self.capacity = Capacity(self)
        self.completion = Completion(self)
        self.priority = Priority(self)
        self.admission = AdmissionQueue(self)
        self.retry_budget = RetryBudget(self)
        self.selection = Selection(self)
        self.guard = Guard(self)
        link(
            self.completion,
            self.priority,
            self.admission,
            self.retry_budget,
            self.selection,
            self.guard,
        )
        self.endpoints = Endpoints(self)
        self.configure(settings)
        self.call_every(REVIEW_PERIOD, self._review)

    def configure(self, settings: Settings) -> None:
        """Apply settings, and recompute the values that are derived from them."""
        self.settings.replace_with(settings)
        self.fleet_size, self.index = settings.position
        self.completion.configure()
        self.load_queries.configure()

    def _review(self, now: int) -> None:
        """Update the members and their weights, then send queued requests if there is capacity."""
        self.endpoints.review(now)
        self._update_members(now)
        self.admission.release(now)

    def _update_members(self, now: int) -> None:
        self.subset.update(now)
        self.outliers.review(now)

    def may_send(self, now: int, attempt: Attempt) -> bool:
        """Return whether the first byte of an attempt may still be written."""
        return self.guard.may_write(now, attempt.request, attempt.upstream, attempt)

    def on_endpoints_changed(
        self, now: int, whole: bool, updates: Sequence[EndpointUpdate]
    ) -> None:
        """Apply the endpoint list and update the members of the subset."""
        self.drain_check.endpoints_change(now, updates)
        self.subset.apply(now, whole, updates)
        self._update_members(now)

    def on_endpoints_confirmed(self, at: int) -> None:
        """Extend the time for which the endpoint list is valid."""
        self.endpoints.confirm(at)

    def on_endpoint_poll_failed(self, now: int, failure: PollFailure, retry_after_ns: int) -> None:
        """Schedule the next watch."""
        self.endpoints.poll_failed(now, failure, retry_after_ns)

    def on_endpoint_service_moved(self, now: int) -> None:
        """Open a watch on the new service."""
        self.endpoints.restart_watch(now)

    def on_request(self, now: int, request: Request) -> None:
        """Pass the request to the outermost stage."""
        self.completion.handle(now, request)

    def on_attempt_ended(self, now: int, attempt: Attempt) -> None:
        """Pass the outcome to the innermost stage."""
        self.guard.attempt_ended(now, attempt)

    def on_client_left(self, now: int, request: Request) -> None:  # noqa: ARG002 signature of all calls
        """Remove the request from the queue, and cancel useless attempts."""
        self.completion.client_left(request)

    def on_health_check_ended(self, now: int, upstream: Upstream, outcome: Outcome) -> None:
        """Update the upstream's health, then continue requests that waited for its load report."""
        self.outliers.check_ended(now, upstream, outcome)
        self.drain_check.check_ended(upstream, outcome)
        self.load_queries.check_ended(now, upstream)

    def on_reconfigured(self, now: int, settings: Settings) -> None:
        """Apply other settings and update the members of the subset."""
        self.configure(settings)
        self._update_members(now)
