"""Makes the objects of a stored state: classes of a closed table, filled field by field."""

from dataclasses import fields, is_dataclass
from enum import Enum
from inspect import getattr_static
from types import FunctionType, MethodType
from typing import Any

from pepperhook.capture.pickle_graph import GlobalName
from pepperhook.capture.policy_build import PolicyBuild
from pepperhook.capture.state_errors import StateRefusedError

# By module; a build may have its own classes of these names.
CLASSES = {
    "pepperhook.balancer": {"Balancer"},
    "pepperhook.domain": {
        "Attempt",
        "Effect",
        "Outcome",
        "PollFailure",
        "RepeatGroup",
        "Request",
        "ServiceClass",
        "Upstream",
        "UpstreamState",
    },
    "pepperhook.endpoint_ring": {"EndpointRing"},
    "pepperhook.policy.admission": {"AdmissionQueue"},
    "pepperhook.policy.capacity": {"Capacity"},
    "pepperhook.policy.completion": {"Completion"},
    "pepperhook.policy.endpoints": {"Endpoints"},
    "pepperhook.policy.guard": {"Guard"},
    "pepperhook.policy.load_query": {"LoadQueries"},
    "pepperhook.policy.outlier": {"OutlierDetector"},
    "pepperhook.policy.priority": {"Priority"},
    "pepperhook.policy.retry_budget": {"RetryBudget"},
    "pepperhook.policy.selection": {"Selection"},
    "pepperhook.policy.slow_start": {"SlowStart"},
    "pepperhook.policy.subset": {"Subset"},
    "pepperhook.poll_backoff": {"PollBackoff"},
    "pepperhook.service_times": {"ServiceTimeModel", "ServiceTimes"},
    "pepperhook.settings": {"ReportSource", "Settings", "TenantQuota"},
    "pepperhook.statistics": {"DecayingMean", "DecayingMoments"},
    "pepperhook.unserved_requests": {"UnservedRequest", "UnservedRequests"},
    "pepperhook.value_queue": {"ValueQueue"},
}
# The methods that timers hold; a state can name no others.
CALLBACKS = frozenset(
    ("_adjust", "_finish", "_give_up", "_review", "_time_out", "_watch", "repeat")
)


class StateFactory:
    """Makes objects of the classes that a build's policy consists of."""

    def __init__(self, build: PolicyBuild) -> None:
        """Make objects of the classes of ``build``."""
        self.build = build
        self.classes: dict[GlobalName, type] = {}  # that the state has named
        self.made: set[type] = set()

    def check(self, named: GlobalName) -> None:
        """Check a class that the state names. Raises StateRefusedError."""
        found = self.build.find_class(named.module, named.name)
        is_listed = named.name in CLASSES.get(named.module, ())
        if found is None or not (is_listed or found is self.build.make):
            text = f"the state names {named.module}.{named.name}, which is no part of a policy"
            raise StateRefusedError(text)
        self.classes[named] = found

    def new(self, named: GlobalName, arguments: tuple[Any, ...]) -> Any:
        """Return an object without its fields, or a named tuple. Raises StateRefusedError."""
        kind = self.classes[named]
        if issubclass(kind, tuple):
            if len(arguments) != len(getattr(kind, "_fields", ())):
                raise StateRefusedError(f"{named.name}: a record of {len(arguments)} values")
            return tuple.__new__(kind, arguments)
        if arguments or issubclass(kind, Enum):
            raise StateRefusedError(f"{named.name}: an object with arguments")
        self.made.add(kind)
        return list.__new__(kind) if issubclass(kind, list) else object.__new__(kind)

    def value(self, named: GlobalName, arguments: tuple[Any, ...]) -> Any:
        """Return a member of an enum. Raises StateRefusedError."""
        kind = self.classes[named]
        members = getattr(kind, "_value2member_map_", {}) if issubclass(kind, Enum) else {}
        if len(arguments) != 1 or arguments[0] not in members:
            raise StateRefusedError(f"the state calls {named.module}.{named.name}")
        return members[arguments[0]]

    def method(self, owner: Any, name: str) -> Any:
        """Return a timer's callback. Raises StateRefusedError."""
        kind = type(owner)
        function = getattr_static(kind, name, None) if isinstance(name, str) else None
        is_callback = name in CALLBACKS and isinstance(function, FunctionType)
        if kind not in self.made or not is_callback:
            raise StateRefusedError(f"the state names {name!r:.40}, which is no timer's callback")
        return MethodType(function, owner)

    def fill(self, made: Any, state: Any) -> None:
        """Set the fields of an object. Raises StateRefusedError."""
        if type(made) not in self.made:
            raise StateRefusedError("fields of what is no object of a policy")
        for name, value in _pairs(made, state):
            _check_field(type(made), name)
            object.__setattr__(made, name, value)


def _pairs(made: Any, state: Any) -> list[tuple[Any, Any]]:
    """Return names and values of a state, in any of the three forms that objects are stored in."""
    if isinstance(state, dict):
        return list(state.items())
    if type(state) is tuple and len(state) == 2:  # noqa: PLR2004  attributes, and slots
        parts = [part for part in state if part is not None]
        if all(type(part) is dict for part in parts):
            return [pair for part in parts for pair in part.items()]
    if type(state) is list and is_dataclass(made) and len(state) == len(fields(made)):
        names = (row.name for row in fields(made))
        return list(zip(names, state, strict=True))
    raise StateRefusedError(f"{type(made).__name__}: no fields")


def _check_field(kind: type, name: Any) -> None:
    """Check that a name is a field of objects of a class, and nothing that code relies on."""
    if not isinstance(name, str) or name.startswith("__"):
        raise StateRefusedError(f"{kind.__name__}: {name!r:.40} is no field")
    on_class = getattr_static(kind, name, None)
    is_slot = type(on_class).__name__ == "member_descriptor"
    has_attributes = any("__dict__" in vars(base) for base in kind.__mro__)
    is_shadowing = on_class is not None and not is_slot
    if is_shadowing or not (is_slot or has_attributes):
        raise StateRefusedError(f"{kind.__name__}: {name!r:.40} is no field")
