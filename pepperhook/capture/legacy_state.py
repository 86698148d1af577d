"""Converts states stored by version 0.2 to the current classes.

Version 0.2 had the whole policy in one module, used other names, and kept settings in plain dicts.
As the object graphs have cycles, a pickle is first read into stand-in objects, which are then
converted one by one; shared references stay shared. Nothing that a pickle names is called.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import cache
from typing import Any, TypeVar

from pepperhook.capture import pickle_graph, stored_settings
from pepperhook.capture.pickle_graph import GlobalName
from pepperhook.capture.policy_build import PolicyBuild
from pepperhook.capture.state_errors import StateRefusedError
from pepperhook.domain import (
    Attempt,
    Request,
    ServiceClass,
    Upstream,
    UpstreamState,
)
from pepperhook.endpoint_ring import EndpointRing
from pepperhook.pipeline import link
from pepperhook.policy.capacity import SERVICE_TIME_MODEL
from pepperhook.policy.endpoint_knowledge import EndpointKnowledge
from pepperhook.policy.endpoints import NOTIFIED_AFTER
from pepperhook.service_times import ServiceTimes
from pepperhook.statistics import DecayingMean, DecayingMoments
from pepperhook.stored_words import OUTCOME_OF
from pepperhook.unserved_requests import UnservedRequest, UnservedRequests
from pepperhook.value_queue import ValueQueue

Converted = TypeVar("Converted")
SHAPES = frozenset(("97d25dcfc6463a83",))  # of the states that 0.2 stored
MODULES = ("pepperhook.model", "pepperhook.policy")  # of the classes that 0.2 stored
# Attributes that 0.2 did not store: a replayed policy has values for them, a converted state has
# defaults, so a comparison of the two ignores them.
MISSING_ATTRIBUTES = frozenset(
    (
        "knowledge",
        "health_check_began_at",
        "is_confirmed",
        "planned_at",
        "shown_ready_at",
        "watch_began_at",
        "is_reported_stale",
        "is_trust_reported",
        "drains_pass_checks",
        "next_check_at",
        "checked",
        "client_connection",
    )
)
KEEP_GONE_NS = 60 * 10**9  # how long 0.2 kept the position of an upstream that was gone
# For each class: the attribute names of 0.2, mapped to the current ones.
MOMENTS = {
    "span": "span_ns",
    "at": "updated_at",
    "weight": "weight",
    "total": "total",
    "squares": "squares",
}
MEAN = {"span": "span_ns", "at": "updated_at", "mean": "mean"}
REQUEST = {
    "id": "id",
    "customer": "tenant",
    "key": "key",
    "not_after": "deadline",
    "cost": "cost_ns",
    "repeat": "is_retry",
    "taken": "accepted_at",
    "goal_at": "objective_at",
    "value": "value",
    "out": "open_attempts",
    "over": "finished",
    "streaming": "streaming",
    "waiting": "queued",
    "rounds": "load_query_rounds",
}
ATTEMPT = {"number": "number", "sent": "sent_at", "took": "duration_ns"}
UPSTREAM = {
    "address": "address",
    "zone": "zone",
    "cell": "cell",
    "units": "units",
    "kind": "kind",
    "launched": "started_at",
    "faulty": "is_outlier",
    "slow": "latency_score",
    "near": "proximity",
    "told": "operator_weight",
    "dark_since": "unreachable_since",
    "probing": "health_check_running",
    "probe_after": "health_check_due_at",
    "warm_from": "slow_start_since",
    "allowance": "warm_up_credit",
    "allowed_at": "credit_updated_at",
    "weight": "weight",
    "report": "load_report",
    "report_at": "load_report_at",
}
UPSTREAM_STATISTICS = {
    "times": "latency",
    "faults": "failures",
    "done": "completed",
    "ghosts": "abandoned",
}
# Callbacks of timers in 0.2, mapped to the current component ("" for the policy) and method.
CALLBACKS = {
    "due": ("", "repeat"),
    "review": ("", "_review"),
    "adjust": ("retry_budget", "_adjust"),
    "drop": ("admission", "_time_out"),
    "give_up": ("completion", "_give_up"),
    "looked": ("load_queries", "_finish"),
    "ask": ("endpoints", "_watch"),
}
# Classes of the components, by their attribute of the policy.
COMPONENTS = {
    "subset": "pepperhook.policy.subset.Subset",
    "slow_start": "pepperhook.policy.slow_start.SlowStart",
    "outliers": "pepperhook.policy.outlier.OutlierDetector",
    "drain_check": "pepperhook.policy.drain_check.DrainCheck",
    "load_queries": "pepperhook.policy.load_query.LoadQueries",
    "capacity": "pepperhook.policy.capacity.Capacity",
    "completion": "pepperhook.policy.completion.Completion",
    "priority": "pepperhook.policy.priority.Priority",
    "admission": "pepperhook.policy.admission.AdmissionQueue",
    "retry_budget": "pepperhook.policy.retry_budget.RetryBudget",
    "selection": "pepperhook.policy.selection.Selection",
    "guard": "pepperhook.policy.guard.Guard",
    "endpoints": "pepperhook.policy.endpoints.Endpoints",
}
# Components that are stages of the pipeline, the outermost first.
PIPELINE = ("completion", "priority", "admission", "retry_budget", "selection", "guard")


class LegacyObject:
    """Stand-in for an object of 0.2, with its attributes and no methods of its class."""

    def set_attributes(self, stored: Any) -> None:
        """Set the stored attributes, including slots. Raises StateRefusedError."""
        for part in stored if isinstance(stored, tuple) else (stored,):
            if not isinstance(part, (dict, type(None))):
                raise StateRefusedError("the stored attributes of an object are not a dict")
            for name, value in (part or {}).items():
                if not isinstance(name, str) or name.startswith("__"):
                    raise StateRefusedError(f"{name!r:.40} is not a valid attribute name")
                self.__dict__[name] = value

    def __getattr__(self, name: str) -> Any:
        """Raise StateRefusedError for an attribute that is missing in the state."""
        raise StateRefusedError(f"the stored {type(self).__name__} has no attribute {name}")


class LegacyMethod:
    """Stand-in for a bound method of 0.2."""

    def __init__(self, owner: LegacyObject, name: str) -> None:
        """Represent ``owner.name``."""
        self.owner = owner
        self.name = name


@cache
def missing_attributes(shape_digest: str) -> frozenset[str]:
    """Return the names of attributes that a stored state of this shape does not contain."""
    return MISSING_ATTRIBUTES if shape_digest in SHAPES else frozenset()


def legacy_class(name: str) -> type:
    """Return a stand-in class with this name."""
    return type(name, (LegacyObject,), {})


class LegacyFactory:
    """Creates stand-ins for the objects of 0.2 (a GraphFactory)."""

    def check_class(self, global_name: GlobalName) -> None:
        """Check that a class is from a module of 0.2. Raises StateRefusedError."""
        if global_name.module not in MODULES:
            text = (
                f"the state names {global_name.module}.{global_name.name}, "
                "which is not part of a policy"
            )
            raise StateRefusedError(text)

    def new_object(self, global_name: GlobalName, arguments: tuple[Any, ...]) -> LegacyObject:
        """Return a stand-in without attributes. Raises StateRefusedError if there are arguments."""
        if arguments:
            raise StateRefusedError(f"{global_name.name}: the object is created with arguments")
        stand_in: LegacyObject = legacy_class(global_name.name)()
        return stand_in

    def enum_member(self, global_name: GlobalName, _arguments: tuple[Any, ...]) -> Any:
        """Raise StateRefusedError: states of 0.2 contain no enum members."""
        raise StateRefusedError(
            f"the state calls {global_name.module}.{global_name.name}, which is not allowed"
        )

    def bound_method(self, owner: Any, name: str) -> LegacyMethod:
        """Return a stand-in for a bound method; the converter looks its name up in CALLBACKS."""
        return LegacyMethod(owner, name)

    def set_fields(self, target: Any, stored: Any) -> None:
        """Set the attributes of a stand-in, including slots. Raises StateRefusedError."""
        if not isinstance(target, LegacyObject):
            raise StateRefusedError("the state sets fields of a value that is not an object")
        target.set_attributes(stored)


def deserialize(data: bytes, build: PolicyBuild) -> tuple[Any, Any]:
    """Return the policy of a state of 0.2, and the host's requests, attempts and upstreams."""
    legacy_policy, (requests, attempts, upstreams) = pickle_graph.read(data, LegacyFactory())
    converter = Converter(build)
    policy = converter.convert_policy(legacy_policy)
    host_objects = (
        [converter.convert_request(request) for request in requests],
        [converter.convert_attempt(attempt) for attempt in attempts],
        [converter.convert_upstream(upstream) for upstream in upstreams],
    )
    return policy, host_objects


class Converter:
    """Converts an object graph of 0.2, each object once."""

    def __init__(self, build: PolicyBuild) -> None:
        """Create objects of the classes of ``build``."""
        self.build = build
        self.converted: dict[int, Any] = {}  # by the id() of the stand-in
        self.policy: Any = None

    def convert_once(
        self, old: Any, kind: type[Converted], fill: Callable[[Any, Converted], None]
    ) -> Converted:
        """Return the object converted from ``old``.

        A new object is registered before ``fill`` sets its attributes, as the graph has cycles.
        """
        if id(old) in self.converted:
            existing: Converted = self.converted[id(old)]
            return existing
        new = self.converted[id(old)] = kind.__new__(kind)
        fill(old, new)
        return new

    @staticmethod
    def copy_attributes(old: Any, new: Any, names: dict[str, str]) -> None:
        """Copy attributes without conversion; ``names`` maps old names to new ones."""
        for old_name, name in names.items():
            setattr(new, name, getattr(old, old_name))

    def convert_moments(self, old: Any) -> DecayingMoments:
        """Convert decaying moments."""
        return self.convert_once(
            old, DecayingMoments, lambda a, b: self.copy_attributes(a, b, MOMENTS)
        )

    def convert_mean(self, old: Any) -> DecayingMean:
        """Convert a decaying mean."""
        return self.convert_once(old, DecayingMean, lambda a, b: self.copy_attributes(a, b, MEAN))

    def convert_service_class(self, old: dict[str, Any]) -> ServiceClass:
        """Convert the dict of a service class."""
        if id(old) in self.converted:
            existing: ServiceClass = self.converted[id(old)]
            return existing
        new = self.converted[id(old)] = stored_settings.decode_class(old)
        return new

    def convert_request(self, old: Any) -> Request:
        """Convert a request with its attempts."""
        return self.convert_once(old, Request, self.fill_request)

    def fill_request(self, old: Any, new: Request) -> None:
        """Set the attributes of a converted request."""
        self.copy_attributes(old, new, REQUEST)
        new.client_connection = None
        new.service_class = self.convert_service_class(old.grade)
        new.attempts = [self.convert_attempt(attempt) for attempt in old.dispatches]

    def convert_attempt(self, old: Any) -> Attempt:
        """Convert an attempt."""
        return self.convert_once(old, Attempt, self.fill_attempt)

    def fill_attempt(self, old: Any, new: Attempt) -> None:
        """Set the attributes of a converted attempt."""
        self.copy_attributes(old, new, ATTEMPT)
        new.outcome = None if old.outcome is None else OUTCOME_OF[old.outcome]
        new.upstream = self.convert_upstream(old.upstream)
        new.request = self.convert_request(old.operation)

    def convert_upstream(self, old: Any) -> Upstream:
        """Convert an upstream; its statistics stay unset if it was in no endpoint list yet."""
        return self.convert_once(old, Upstream, self.fill_upstream)

    def fill_upstream(self, old: Any, new: Upstream) -> None:
        """Set the attributes of a converted upstream."""
        self.copy_attributes(old, new, UPSTREAM)
        new.state = UpstreamState(old.state)
        new.is_known = old.times is not None
        new.health_check_began_at = new.shown_ready_at = 0  # 0.2 did not store them
        for old_name, name in UPSTREAM_STATISTICS.items():
            if new.is_known:
                setattr(new, name, self.convert_moments(getattr(old, old_name)))
        new.in_flight = {self.convert_attempt(attempt): True for attempt in old.pending}

    def convert_policy(self, old: Any) -> Any:
        """Convert the policy itself."""
        policy_class: Any = self.build.make_policy  # has to be the class here
        new = self.policy = policy_class.__new__(policy_class)
        new.seed, new.now, new.counter = old.seed, old.now, old.counter
        new.actions, new.notes, new.next_wake_at = [], None, old.wanted
        new.settings = stored_settings.decode(old.settings, self.convert_service_class)
        new.fleet_size, new.index = old.balancers, old.index
        for name, path in COMPONENTS.items():
            module, _, kind_name = path.rpartition(".")
            kind: Any = self.build.find_class(module, kind_name)
            if kind is None:
                raise StateRefusedError(f"this build's policy has no class {path}")
            component = kind.__new__(kind)
            component.balancer, component.settings = new, new.settings
            setattr(new, name, component)
        link(*(getattr(new, name) for name in PIPELINE))
        self.fill_stages(old, new)
        self.fill_selection(old.pick, new)
        new.timers = [self.convert_timer(*row) for row in old.agenda]
        return new

    def fill_stages(self, old: Any, new: Any) -> None:
        """Set the state of the stages and of the endpoint polls."""
        self.fill_completion(old.answers, new.completion)
        new.priority.tenant_rates = [self.convert_moments(rate) for rate in old.answers.inner.asked]
        new.admission.queue = ValueQueue(
            self.convert_request(request) for request in old.gate.queue
        )
        budget = new.retry_budget
        budget.B, budget.f, budget.f_by_class = old.budget.B, old.budget.f, list(old.budget.grades)
        budget.rate = self.convert_moments(old.budget.rate)
        budget.steady_rate = self.convert_moments(old.budget.steady)
        budget.rejections = self.convert_moments(old.budget.refused)
        endpoints, discovery = new.endpoints, old.discovery
        endpoints.polls = bool(discovery.asks)
        endpoints.is_watching = endpoints.is_confirmed = discovery.watching
        endpoints.notified_after = min(NOTIFIED_AFTER, discovery.within)
        endpoints.watch_began_at = discovery.asked
        endpoints.knowledge = EndpointKnowledge(
            endpoints.notified_after, discovery.asked + endpoints.notified_after
        )
        new.drain_check.drains_pass_checks, new.drain_check.checked = False, None
        new.drain_check.next_check_at = old.now
        endpoints.is_reported_stale = endpoints.is_trust_reported = False
        endpoints.backoff = endpoints.make_backoff()
        # 0.2 had at most one timer that opens a watch, and gave it no argument. A timer opens a
        # watch only if its argument is equal to planned_at, so that has to be None as well.
        endpoints.planned_at = None

    def fill_completion(self, old: Any, new: Any) -> None:
        """Set the state of the completion stage, with the requests that ended unserved."""
        new.unserved = UnservedRequests(len(old.unserved), old.unserved[0].maxlen)
        for requests, rows in zip(new.unserved.by_class, old.unserved, strict=True):
            requests.extend(UnservedRequest(*row) for row in rows)
        new.given_up = self.convert_moments(old.ends)
        new.client_waits = self.convert_moments(old.backs)
        new.margin = old.lead

    def fill_selection(self, old: Any, new: Any) -> None:
        """Set the state of subset, service times, capacity and load queries: one stage in 0.2."""
        subset, capacity = new.subset, new.capacity
        times = new.service_times = ServiceTimes(SERVICE_TIME_MODEL, (), 0)
        times.best = list(old.best)
        times.durations = [self.convert_moments(moments) for moments in old.grades]
        times.costs = [self.convert_moments(moments) for moments in old.costs]
        subset.ring = self.convert_ring(old)
        subset.same_zone = [self.convert_upstream(upstream) for upstream in old.home]
        subset.members = [self.convert_upstream(upstream) for upstream in old.members]
        subset.demand, subset.fair_share = old.out, old.part
        capacity.level = self.convert_mean(old.mean_out)
        capacity.latency_pressure = old.crowd
        capacity.values = self.convert_moments(old.values)
        new.load_queries.enabled = bool(old.sees)
        new.load_queries.running = {
            self.convert_request(request): [self.convert_upstream(upstream) for upstream in queried]
            for request, queried in old.looks.items()
        }

    def convert_ring(self, old: Any) -> EndpointRing:
        """Convert the endpoint list."""
        new = EndpointRing(KEEP_GONE_NS)
        new.listed = {self.convert_upstream(upstream): at for upstream, at in old.listed.items()}
        new.seen = {self.convert_upstream(upstream): at for upstream, at in old.seen.items()}
        new.positions = [self.convert_upstream(upstream) for upstream in old.places]
        new.ready = [self.convert_upstream(upstream) for upstream in old.ring]
        return new

    def convert_timer(
        self, at: int, counter: int, method: LegacyMethod, stored: Any
    ) -> tuple[Any, ...]:
        """Convert a timer with its argument: a repeated call, a request or None."""
        if method.name == "due":
            period, repeated = stored
            return (
                at,
                counter,
                self.convert_callback(method),
                (period, self.convert_callback(repeated)),
            )
        argument = None if stored is None else self.convert_request(stored)
        return at, counter, self.convert_callback(method), argument

    def convert_callback(self, method: LegacyMethod) -> Any:
        """Return the current method for a timer callback of 0.2."""
        component, name = CALLBACKS[method.name]
        owner = getattr(self.policy, component) if component else self.policy
        return getattr(owner, name)
