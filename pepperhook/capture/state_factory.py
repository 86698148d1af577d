"""Creates the objects of a stored state: only classes in a fixed table, set field by field."""

from dataclasses import fields, is_dataclass
from enum import Enum
from inspect import getattr_static
from types import FunctionType, MethodType
from typing import Any

from pepperhook.capture.pickle_graph import GlobalName
from pepperhook.capture.policy_build import PolicyBuild
from pepperhook.capture.state_errors import StateRefusedError

# Class names by module. A PolicyBuild may replace these modules by its own.
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
    "pepperhook.policy.drain_check": {"DrainCheck"},
    "pepperhook.policy.outlier": {"OutlierDetector"},
    "pepperhook.policy.priority": {"Priority"},
    "pepperhook.policy.retry_budget": {"RetryBudget"},
    "pepperhook.policy.selection": {"Selection"},
    "pepperhook.policy.slow_start": {"SlowStart"},
    "pepperhook.policy.subset": {"Subset"},
    "pepperhook.poll_backoff": {"PollBackoff"},
    "pepperhook.policy.endpoint_knowledge": {"EndpointKnowledge"},
    "pepperhook.service_times": {"ServiceTimeModel", "ServiceTimes"},
    "pepperhook.settings": {"ReportSource", "Settings", "TenantQuota"},
    "pepperhook.statistics": {"DecayingMean", "DecayingMoments"},
    "pepperhook.unserved_requests": {"UnservedRequest", "UnservedRequests"},
    "pepperhook.value_queue": {"ValueQueue"},
}
# The methods that timers call; a state can refer to no others.
CALLBACKS = frozenset(
    ("_adjust", "_finish", "_give_up", "_review", "_time_out", "_watch", "repeat")
)


class StateFactory:
    """Creates objects of the classes that a build's policy consists of (a GraphFactory)."""

    def __init__(self, build: PolicyBuild) -> None:
        """Create objects of the classes of ``build``."""
        self.build = build
        self.classes: dict[GlobalName, type] = {}  # those that the state has named
        self.created: set[type] = set()  # classes of the objects created so far

    def check_class(self, global_name: GlobalName) -> None:
        """Check that a class is part of a policy. Raises StateRefusedError."""
        kind = self.build.find_class(global_name.module, global_name.name)
        is_listed = global_name.name in CLASSES.get(global_name.module, ())
        if kind is None or not (is_listed or kind is self.build.make_policy):
            text = (
                f"the state names {global_name.module}.{global_name.name}, "
                "which is not part of a policy"
            )
            raise StateRefusedError(text)
        self.classes[global_name] = kind

    def new_object(self, global_name: GlobalName, arguments: tuple[Any, ...]) -> Any:
        """Return an object without its fields, or a named tuple. Raises StateRefusedError."""
        kind = self.classes[global_name]
        if issubclass(kind, tuple):
            if len(arguments) != len(getattr(kind, "_fields", ())):
                raise StateRefusedError(
                    f"{global_name.name}: the tuple has {len(arguments)} values"
                )
            return tuple.__new__(kind, arguments)
        if arguments or issubclass(kind, Enum):
            raise StateRefusedError(f"{global_name.name}: the object is created with arguments")
        self.created.add(kind)
        return list.__new__(kind) if issubclass(kind, list) else object.__new__(kind)

    def enum_member(self, global_name: GlobalName, arguments: tuple[Any, ...]) -> Any:
        """Return the member of an enum with this value. Raises StateRefusedError."""
        kind = self.classes[global_name]
        members = getattr(kind, "_value2member_map_", {}) if issubclass(kind, Enum) else {}
        if len(arguments) != 1 or arguments[0] not in members:
            raise StateRefusedError(
                f"the state calls {global_name.module}.{global_name.name}, which is not allowed"
            )
        return members[arguments[0]]

    def bound_method(self, owner: Any, name: str) -> Any:
        """Return a timer callback as a bound method. Raises StateRefusedError."""
        kind = type(owner)
        function = getattr_static(kind, name, None) if isinstance(name, str) else None
        is_callback = name in CALLBACKS and isinstance(function, FunctionType)
        if kind not in self.created or not is_callback:
            raise StateRefusedError(f"the state names {name!r:.40}, which is not a timer callback")
        return MethodType(function, owner)

    def set_fields(self, target: Any, stored: Any) -> None:
        """Set the fields of an object. Raises StateRefusedError."""
        if type(target) not in self.created:
            raise StateRefusedError(
                "the state sets fields of a value that is not a policy's object"
            )
        for name, value in _stored_fields(target, stored):
            _check_field(type(target), name)
            object.__setattr__(target, name, value)


def _stored_fields(target: Any, stored: Any) -> list[tuple[Any, Any]]:
    """Return the names and values of stored fields.

    They are stored as a dict, as a pair of dicts (attributes and slots; either may be None), or for
    a dataclass with slots as the list of its values.
    """
    if isinstance(stored, dict):
        return list(stored.items())
    if type(stored) is tuple and len(stored) == 2:  # noqa: PLR2004  attributes and slots
        parts = [part for part in stored if part is not None]
        if all(type(part) is dict for part in parts):
            return [pair for part in parts for pair in part.items()]
    if type(stored) is list and is_dataclass(target) and len(stored) == len(fields(target)):
        names = (field.name for field in fields(target))
        return list(zip(names, stored, strict=True))
    raise StateRefusedError(f"{type(target).__name__}: the stored fields are malformed")


def _check_field(kind: type, name: Any) -> None:
    """Check that a name is a field of a class's objects and does not hide a class attribute.

    Raises StateRefusedError.
    """
    if not isinstance(name, str) or name.startswith("__"):
        raise StateRefusedError(f"{kind.__name__}: {name!r:.40} is not a field")
    class_attribute = getattr_static(kind, name, None)
    is_slot = type(class_attribute).__name__ == "member_descriptor"
    has_dict = any("__dict__" in vars(base) for base in kind.__mro__)
    is_shadowing = class_attribute is not None and not is_slot
    if is_shadowing or not (is_slot or has_dict):
        raise StateRefusedError(f"{kind.__name__}: {name!r:.40} is not a field")
