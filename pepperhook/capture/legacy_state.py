"""States that version 0.2 stored, translated to today's classes.

0.2 had all decisions in one module, with other names, and plain maps for the settings. Its pickles
are read into stand-ins first, as their graphs have cycles, and then copied object by object; what
was one object stays one. Nothing that they name is called.
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
from pepperhook.policy.capacity import SERVICE_TIMES
from pepperhook.policy.endpoints import NOTIFIED_AFTER
from pepperhook.service_times import ServiceTimes
from pepperhook.statistics import DecayingMean, DecayingMoments
from pepperhook.stored_words import OUTCOME_OF
from pepperhook.unserved_requests import UnservedRequest, UnservedRequests
from pepperhook.value_queue import ValueQueue

Made = TypeVar("Made")
SHAPES = frozenset(("97d25dcfc6463a83",))
MODULES = ("pepperhook.model", "pepperhook.policy")
# What 0.2 did not keep: a replay from there on has it, a state that 0.2 stored has the defaults.
NOT_KEPT = frozenset(
    ("good_until", "health_check_began_at", "is_confirmed", "planned_at", "shown_ready_at")
)
KEEP_GONE_NS = 60 * 10**9  # in 0.2
# Attributes by what they were called.
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
CALLBACKS = {
    "due": ("", "repeat"),
    "review": ("", "_review"),
    "adjust": ("retry_budget", "_adjust"),
    "drop": ("admission", "_time_out"),
    "give_up": ("completion", "_give_up"),
    "looked": ("load_queries", "_finish"),
    "ask": ("endpoints", "_watch"),
}
COMPONENTS = {
    "subset": "pepperhook.policy.subset.Subset",
    "slow_start": "pepperhook.policy.slow_start.SlowStart",
    "outliers": "pepperhook.policy.outlier.OutlierDetector",
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
PIPELINE = ("completion", "priority", "admission", "retry_budget", "selection", "guard")


class LegacyObject:
    """Stands in for an object of 0.2: has its attributes, and nothing else."""

    def set_attributes(self, stored: Any) -> None:
        """Take the attributes, those of slots too. Raises StateRefusedError."""
        for part in stored if isinstance(stored, tuple) else (stored,):
            if not isinstance(part, (dict, type(None))):
                raise StateRefusedError("attributes that are no map")
            for name, value in (part or {}).items():
                if not isinstance(name, str) or name.startswith("__"):
                    raise StateRefusedError(f"{name!r:.40} is no attribute")
                self.__dict__[name] = value

    def __getattr__(self, name: str) -> Any:
        """Raise for what 0.2 did not store."""
        raise StateRefusedError(f"the state's {type(self).__name__} has no {name}")


class LegacyMethod:
    """A bound method of 0.2, by its name."""

    def __init__(self, owner: LegacyObject, name: str) -> None:
        """Stand for ``owner.name``."""
        self.owner = owner
        self.name = name


@cache
def missing_attributes(shape_digest: str) -> frozenset[str]:
    """Return the attributes that a stored state of this shape says nothing of."""
    return NOT_KEPT if shape_digest in SHAPES else frozenset()


def legacy_class(name: str) -> type:
    """Return the stand-in for a class of 0.2."""
    return type(name, (LegacyObject,), {})


class LegacyFactory:
    """Makes stand-ins of the classes of 0.2."""

    def check(self, named: GlobalName) -> None:
        """Check a class that the state names. Raises StateRefusedError."""
        if named.module not in MODULES:
            text = f"the state names {named.module}.{named.name}, which is no part of a policy"
            raise StateRefusedError(text)

    def new(self, named: GlobalName, arguments: tuple[Any, ...]) -> LegacyObject:
        """Return a stand-in without its attributes. Raises StateRefusedError."""
        if arguments:
            raise StateRefusedError(f"{named.name}: an object with arguments")
        made: LegacyObject = legacy_class(named.name)()
        return made

    def value(self, named: GlobalName, _arguments: tuple[Any, ...]) -> Any:
        """Refuse: 0.2 stored no values that a class makes."""
        raise StateRefusedError(f"the state calls {named.module}.{named.name}")

    def method(self, owner: Any, name: str) -> LegacyMethod:
        """Return what stands for a bound method; its name is looked up in CALLBACKS."""
        return LegacyMethod(owner, name)

    def fill(self, made: Any, state: Any) -> None:
        """Set the attributes, those of slots too. Raises StateRefusedError."""
        if not isinstance(made, LegacyObject):
            raise StateRefusedError("fields of what is no object")
        made.set_attributes(state)


def thaw(data: bytes, build: PolicyBuild) -> tuple[Any, Any]:
    """Return the policy and the host's references of a state of 0.2."""
    module, (requests, attempts, upstreams) = pickle_graph.read(data, LegacyFactory())
    converter = Converter(build)
    policy = converter.balancer(module)
    known = (
        [converter.request(one) for one in requests],
        [converter.attempt(one) for one in attempts],
        [converter.upstream(one) for one in upstreams],
    )
    return policy, known


class Converter:
    """Copies a graph of 0.2; each object once."""

    def __init__(self, build: PolicyBuild) -> None:
        """Make objects of the classes of ``build``."""
        self.build = build
        self.made: dict[int, Any] = {}
        self.policy: Any = None

    def once(self, old: Any, kind: type[Made], fill: Callable[[Any, Made], None]) -> Made:
        """Return the copy of ``old``; its attributes are filled in when it is known already."""
        if id(old) in self.made:
            known: Made = self.made[id(old)]
            return known
        new = self.made[id(old)] = kind.__new__(kind)
        fill(old, new)
        return new

    @staticmethod
    def copy(old: Any, new: Any, names: dict[str, str]) -> None:
        """Copy plain attributes under their new names."""
        for was, name in names.items():
            setattr(new, name, getattr(old, was))

    def moments(self, old: Any) -> DecayingMoments:
        """Convert decaying sums."""
        return self.once(old, DecayingMoments, lambda a, b: self.copy(a, b, MOMENTS))

    def mean(self, old: Any) -> DecayingMean:
        """Convert a decaying mean."""
        return self.once(old, DecayingMean, lambda a, b: self.copy(a, b, MEAN))

    def service_class(self, old: dict[str, Any]) -> ServiceClass:
        """Convert the map of a service class."""
        if id(old) in self.made:
            known: ServiceClass = self.made[id(old)]
            return known
        new = self.made[id(old)] = stored_settings.decode_class(old)
        return new

    def request(self, old: Any) -> Request:
        """Convert a request with its attempts."""
        return self.once(old, Request, self.fill_request)

    def fill_request(self, old: Any, new: Request) -> None:
        """Fill in a request."""
        self.copy(old, new, REQUEST)
        new.service_class = self.service_class(old.grade)
        new.attempts = [self.attempt(one) for one in old.dispatches]

    def attempt(self, old: Any) -> Attempt:
        """Convert an attempt."""
        return self.once(old, Attempt, self.fill_attempt)

    def fill_attempt(self, old: Any, new: Attempt) -> None:
        """Fill in an attempt."""
        self.copy(old, new, ATTEMPT)
        new.outcome = None if old.outcome is None else OUTCOME_OF[old.outcome]
        new.upstream = self.upstream(old.upstream)
        new.request = self.request(old.operation)

    def upstream(self, old: Any) -> Upstream:
        """Convert an upstream; its statistics are unset while no list has named it."""
        return self.once(old, Upstream, self.fill_upstream)

    def fill_upstream(self, old: Any, new: Upstream) -> None:
        """Fill in an upstream."""
        self.copy(old, new, UPSTREAM)
        new.state = UpstreamState(old.state)
        new.is_known = old.times is not None
        new.health_check_began_at = new.shown_ready_at = 0  # 0.2 did not keep them
        for was, name in UPSTREAM_STATISTICS.items():
            if new.is_known:
                setattr(new, name, self.moments(getattr(old, was)))
        new.in_flight = {self.attempt(one): True for one in old.pending}

    def balancer(self, old: Any) -> Any:
        """Convert the policy itself."""
        make: Any = self.build.make
        new = self.policy = make.__new__(make)
        new.seed, new.now, new.counter = old.seed, old.now, old.counter
        new.actions, new.notes, new.next_wake_at = [], None, old.wanted
        new.settings = stored_settings.decode(old.settings, self.service_class)
        new.fleet_size, new.index = old.balancers, old.index
        for name, path in COMPONENTS.items():
            module, _, kind_name = path.rpartition(".")
            kind: Any = self.build.find_class(module, kind_name)
            if kind is None:
                raise StateRefusedError(f"this policy has no {path}")
            component = kind.__new__(kind)
            component.balancer, component.settings = new, new.settings
            setattr(new, name, component)
        link(*(getattr(new, name) for name in PIPELINE))
        self.fill_stages(old, new)
        self.fill_selection(old.pick, new)
        new.timers = [self.timer(*row) for row in old.agenda]
        return new

    def fill_stages(self, old: Any, new: Any) -> None:
        """Fill in what the stages hold of their own."""
        self.fill_completion(old.answers, new.completion)
        new.priority.tenant_rates = [self.moments(one) for one in old.answers.inner.asked]
        new.admission.queue = ValueQueue(self.request(one) for one in old.gate.queue)
        budget = new.retry_budget
        budget.B, budget.f, budget.f_by_class = old.budget.B, old.budget.f, list(old.budget.grades)
        budget.rate = self.moments(old.budget.rate)
        budget.steady_rate = self.moments(old.budget.steady)
        budget.rejections = self.moments(old.budget.refused)
        endpoints, discovery = new.endpoints, old.discovery
        endpoints.polls = bool(discovery.asks)
        endpoints.is_watching = endpoints.is_confirmed = discovery.watching
        endpoints.notified_after = min(NOTIFIED_AFTER, discovery.within)
        endpoints.good_until = discovery.asked + endpoints.notified_after
        endpoints.backoff = endpoints.make_backoff()
        # 0.2 had no more than one timer that opens a watch, and gave it no argument.
        endpoints.planned_at = None

    def fill_completion(self, old: Any, new: Any) -> None:
        """Fill in what is known of requests that ended unserved."""
        new.unserved = UnservedRequests(len(old.unserved), old.unserved[0].maxlen)
        for kept, rows in zip(new.unserved.by_class, old.unserved, strict=True):
            kept.extend(UnservedRequest(*row) for row in rows)
        new.given_up = self.moments(old.ends)
        new.client_waits = self.moments(old.backs)
        new.margin = old.lead

    def fill_selection(self, old: Any, new: Any) -> None:
        """Fill in what one stage of 0.2 held: subset, times, capacity and load queries."""
        subset, capacity = new.subset, new.capacity
        times = new.service_times = ServiceTimes(SERVICE_TIMES, (), 0)
        times.best = list(old.best)
        times.durations = [self.moments(one) for one in old.grades]
        times.costs = [self.moments(one) for one in old.costs]
        subset.ring = self.ring(old)
        subset.same_zone = [self.upstream(one) for one in old.home]
        subset.members = [self.upstream(one) for one in old.members]
        subset.demand, subset.fair_share = old.out, old.part
        capacity.level = self.mean(old.mean_out)
        capacity.latency_pressure = old.crowd
        capacity.values = self.moments(old.values)
        new.load_queries.enabled = bool(old.sees)
        new.load_queries.running = {
            self.request(request): [self.upstream(one) for one in asked]
            for request, asked in old.looks.items()
        }

    def ring(self, old: Any) -> EndpointRing:
        """Convert the endpoint list."""
        new = EndpointRing(KEEP_GONE_NS)
        new.listed = {self.upstream(one): at for one, at in old.listed.items()}
        new.seen = {self.upstream(one): at for one, at in old.seen.items()}
        new.positions = [self.upstream(one) for one in old.places]
        new.ready = [self.upstream(one) for one in old.ring]
        return new

    def timer(self, at: int, counter: int, method: LegacyMethod, about: Any) -> tuple[Any, ...]:
        """Convert a timer with its argument."""
        if method.name == "due":
            period, repeated = about
            return at, counter, self.callback(method), (period, self.callback(repeated))
        argument = None if about is None else self.request(about)
        return at, counter, self.callback(method), argument

    def callback(self, method: LegacyMethod) -> Any:
        """Return the method that is called today."""
        component, name = CALLBACKS[method.name]
        owner = getattr(self.policy, component) if component else self.policy
        return getattr(owner, name)
