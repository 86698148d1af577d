"""Service times by service class, and the relative cost of single requests."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import log

from pepperhook.domain import Attempt, Request, ServiceClass
from pepperhook.statistics import DecayingMoments
from pepperhook.units import MILLISECOND

PRIOR_OBSERVATIONS = 2  # virtual observations that the prior counts as


@dataclass(frozen=True, slots=True)
class ServiceTimeModel:
    """Parameters of the estimate; ``fixed_part`` and ``cost_part`` add up to 1."""

    span_ns: int  # time constant of the means
    assumed_part: float  # prior of the mean, as a fraction of the objective
    fixed_part: float  # fraction of the mean time that does not depend on the request's cost
    cost_part: float  # fraction of the mean time that is proportional to the request's cost
    growth: float  # largest factor by which one served request raises the best time


class ServiceTimes:
    """Statistics by service class, from observations of this balancer alone; in nanoseconds."""

    def __init__(self, model: ServiceTimeModel, classes: Sequence[ServiceClass], now: int) -> None:
        """Create statistics without observations; best times start at the latency objectives."""
        self.model = model
        # Lowest mean time by class; a served request raises it by at most the model's growth.
        self.best: list[float] = [service_class.objective_ns for service_class in classes]
        self.durations = [DecayingMoments(model.span_ns, now) for _ in classes]
        self.costs = [DecayingMoments(model.span_ns, now) for _ in classes]

    def relative_cost(self, now: int, request: Request) -> float:
        """Return the request's declared cost relative to its class's mean, 1.0 if it has none."""
        if not request.cost_ns:
            return 1.0
        costs = self.costs[request.service_class.number]
        return request.cost_ns / costs.mean(now, request.cost_ns, PRIOR_OBSERVATIONS)

    def expected_service_time(self, now: int, request: Request) -> float:
        """Return the expected service time of this request."""
        in_proportion = self.model.cost_part * self.relative_cost(now, request)
        return self.mean_service_time(now, request.service_class) * (
            self.model.fixed_part + in_proportion
        )

    def mean_service_time(self, now: int, service_class: ServiceClass) -> float:
        """Return the mean service time of a request of the class, at least 1 ms."""
        assumed = self.model.assumed_part * service_class.objective_ns
        durations = self.durations[service_class.number]
        return max(MILLISECOND, durations.mean(now, assumed, PRIOR_OBSERVATIONS))

    def best_service_time(self, now: int, service_class: ServiceClass) -> float:
        """Return the best service time of the class, or the mean if that is less."""
        return min(self.best[service_class.number], self.mean_service_time(now, service_class))

    def log_relative_age(self, now: int, attempt: Attempt) -> float:
        """Return the natural logarithm of an attempt's age divided by its expected service time."""
        return log(max(1, now - attempt.sent_at) / self.expected_service_time(now, attempt.request))

    def record_cost(self, now: int, request: Request) -> None:
        """Add the declared cost of a request, if any, to the mean of its class."""
        if request.cost_ns:
            self.costs[request.service_class.number].add(now, request.cost_ns)

    def record_served(self, now: int, attempt: Attempt) -> None:
        """Update the latency of the upstream and the times of the class with a served attempt."""
        expected = self.expected_service_time(now, attempt.request)
        attempt.upstream.latency.add(now, log(max(1, attempt.duration_ns) / expected))
        service_class = attempt.request.service_class
        number = service_class.number
        self.durations[number].add(now, attempt.duration_ns)
        # The best time is the reference besides the objective, because an overloaded upstream may
        # still meet a long objective.
        grown = self.model.growth * self.best[number]
        self.best[number] = min(self.mean_service_time(now, service_class), grown)
