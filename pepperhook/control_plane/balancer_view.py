"""Reads the state that a balancer's safety checks need from the running policy."""

from collections.abc import Iterable
from typing import Any

from pepperhook.control_plane.balancer_settings import DOCUMENT_EFFECTS, NS_PER_MS
from pepperhook.control_plane.listed_endpoints import ListedEndpoints, name_of
from pepperhook.control_plane.safety_checks import BalancerView, ServiceClassState
from pepperhook.domain import ServiceClass, Upstream
from pepperhook.settings import Names, Settings

MIN_LATENCY_SAMPLES = 20  # with fewer responses, the latency of a service class is not used


def read_balancer_view(
    policy: Any,
    startup: Settings,
    names: Names,
    extensions: Iterable[str],
    endpoints: ListedEndpoints,
) -> BalancerView:
    """Return the balancer's present state.

    ``startup`` are the settings that it was started with, which a document overrides.
    """
    times = policy.service_times
    now = policy.now
    return BalancerView(
        service_classes={
            name: _service_class_state(startup.service_classes[number])
            for name, number in names.service_classes.items()
        },
        tenants=frozenset(names.tenants),
        extensions=frozenset(extensions),
        upstream_capacity={
            name_of(upstream): _capacity(policy, upstream)
            for upstream in endpoints.ready_upstreams()
        },
        in_flight=policy.capacity.level.mean,
        usual_latency_ms={
            name: times.mean_service_time(now, startup.service_classes[number]) / NS_PER_MS
            for name, number in names.service_classes.items()
            if times.durations[number].weight >= MIN_LATENCY_SAMPLES
        },
    )


def _service_class_state(service_class: ServiceClass) -> ServiceClassState:
    return ServiceClassState(
        time_limit_ms=service_class.time_limit_ns / NS_PER_MS,
        latency_objective_ms=service_class.objective_ns / NS_PER_MS,
        effect=DOCUMENT_EFFECTS[service_class.effect],
    )


def _capacity(policy: Any, upstream: Upstream) -> float:
    """Return how many attempts an upstream can have in flight, as computed by the policy.

    That is this balancer's fair share of the capacity, or the mean concurrency of the attempts that
    the upstream served (Little's law: their durations per time), whichever is larger.
    """
    concurrency = 0.0
    if upstream.is_known:
        concurrency = upstream.completed.total / upstream.completed.span_ns
    capacity: float = max(policy.subset.fair_share, concurrency)
    return capacity
