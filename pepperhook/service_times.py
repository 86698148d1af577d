"""What requests usually take, by service class, and how much dearer one is than its class."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import log

from pepperhook.domain import Attempt, Request, ServiceClass
from pepperhook.statistics import DecayingMoments
from pepperhook.units import MILLISECOND

PRIOR_OBSERVATIONS = 2


@dataclass(frozen=True, slots=True)
class ServiceTimeModel:
    """How service times are estimated; the two parts of an expected time add up to 1."""

    span_ns: int  # time constant of the means
    assumed_part: float  # of the objective, while little is known
    fixed_part: float  # of an expected time, whatever the request's cost
    cost_part: float  # of an expected time, in proportion to the request's cost
    growth: float  # factor by which a served request may raise the best time


class ServiceTimes:
    """Means by service class, from observations of this balancer alone."""

    def __init__(self, model: ServiceTimeModel, classes: Sequence[ServiceClass], now: int) -> None:
        """Start from the latency objectives."""
        self.model = model
        self.best: list[float] = [service_class.objective_ns for service_class in classes]
        self.durations = [DecayingMoments(model.span_ns, now) for _ in classes]
        self.costs = [DecayingMoments(model.span_ns, now) for _ in classes]

    def relative_cost(self, now: int, request: Request) -> float:
        """Return the request's announced cost in means of its class."""
        if not request.cost_ns:
            return 1.0
        costs = self.costs[request.service_class.number]
        return request.cost_ns / costs.mean(now, request.cost_ns, PRIOR_OBSERVATIONS)

    def expected_service_time(self, now: int, request: Request) -> float:
        """Return what this request should take."""
        in_proportion = self.model.cost_part * self.relative_cost(now, request)
        return self.mean_service_time(now, request.service_class) * (self.model.fixed_part + in_proportion)

    def mean_service_time(self, now: int, service_class: ServiceClass) -> float:
        """Return what a request of the class takes on the mean."""
        assumed = self.model.assumed_part * service_class.objective_ns
        durations = self.durations[service_class.number]
        return max(MILLISECOND, durations.mean(now, assumed, PRIOR_OBSERVATIONS))

    def best_service_time(self, now: int, service_class: ServiceClass) -> float:
        """Return the best that a request of the class took, or its mean where that is less."""
        return min(self.best[service_class.number], self.mean_service_time(now, service_class))

    def log_relative_age(self, now: int, attempt: Attempt) -> float:
        """Return the logarithm of an attempt's age in expected times."""
        return log(max(1, now - attempt.sent_at) / self.expected_service_time(now, attempt.request))

    def record_cost(self, now: int, request: Request) -> None:
        """Count the cost that a request announces, if it does."""
        if request.cost_ns:
            self.costs[request.service_class.number].add(now, request.cost_ns)

    def record_served(self, now: int, attempt: Attempt) -> None:
        """Learn from an attempt that was served: of its upstream's latency, then of its class."""
        expected = self.expected_service_time(now, attempt.request)
        attempt.upstream.latency.add(now, log(max(1, attempt.duration_ns) / expected))
        service_class = attempt.request.service_class
        number = service_class.number
        self.durations[number].add(now, attempt.duration_ns)
        # Against objectives so long that an upstream is crowded well within them.
        grown = self.model.growth * self.best[number]
        self.best[number] = min(self.mean_service_time(now, service_class), grown)
