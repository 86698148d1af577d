"""Serializes the complete state of a policy, so that a capture can begin while the policy runs.

The state is pickled with the standard library, which is fast, and read back as pure data by
``pickle_graph``: only classes in a fixed table are allowed, and nothing that a state names is
called. A state is stored with its shape, a digest of the names of its classes and attributes. A
build whose policy has another shape refuses the state, except for the shapes that ``legacy_state``
converts. States are compared by walking both object graphs in parallel, so that differences in
shared references are found too.
"""

import pickle
from collections import deque
from collections.abc import Iterable
from enum import Enum
from hashlib import blake2b
from typing import Any

from msgspec import Struct

from pepperhook.capture import legacy_state, pickle_graph
from pepperhook.capture.policy_build import PolicyBuild
from pepperhook.capture.state_errors import StateRefusedError
from pepperhook.capture.state_factory import CLASSES, StateFactory
from pepperhook.domain import Attempt, Request, Upstream

SCALAR_TYPES = (int, float, str, bytes, bool, type(None))
# Modules with classes that no state contains, but that are part of a policy's shape.
SUPPORT_MODULES = ("pepperhook.decision_notes", "pepperhook.pipeline", "pepperhook.scheduler")
# Objects of these classes are created and discarded while a policy runs.
TRANSIENT_CLASSES = (Request, Attempt, Upstream)


def is_policy_part(module_name: str) -> bool:
    """Return whether the classes of a module are part of a policy's shape."""
    is_support = module_name in SUPPORT_MODULES
    return module_name in CLASSES or is_support or module_name.startswith("pepperhook.policy.")


def attribute_names(obj: object) -> list[str]:
    """Return the sorted names of the attributes that are set on an object, including slots."""
    if isinstance(obj, Struct):
        return sorted(obj.__struct_fields__)
    names = set(getattr(obj, "__dict__", ()))
    for kind in type(obj).__mro__:
        slots = kind.__dict__.get("__slots__", ())
        slot_names = (slots,) if isinstance(slots, str) else slots
        names.update(name for name in slot_names if hasattr(obj, name))
    return sorted(names)


def shape(policy: Any) -> str:
    """Return a digest of the classes that a policy consists of, and of their attribute names.

    Of the transient classes, only the names used in the constructors are included.
    """
    visited: set[int] = set()
    rows: set[tuple[str, tuple[str, ...]]] = {
        (kind.__name__, kind.__init__.__code__.co_names) for kind in TRANSIENT_CLASSES
    }
    pending = [policy]
    while pending:
        obj = pending.pop()
        kind = type(obj)
        is_part = is_policy_part(kind.__module__) or obj is policy
        if id(obj) in visited or not is_part or isinstance(obj, (*TRANSIENT_CLASSES, Enum)):
            continue
        visited.add(id(obj))
        attributes = attribute_names(obj)
        rows.add((kind.__name__, tuple(attributes)))
        # The first element of a list is enough, as all elements are of the same class.
        for name in attributes:
            value = getattr(obj, name)
            pending += value[:1] if isinstance(value, list) else [value]
    return blake2b(repr(sorted(rows)).encode(), digest_size=8).hexdigest()


def find_objects(policy: Any, kinds: Iterable[type]) -> dict[type, list[Any]]:
    """Return all objects of these classes that are reachable from a policy, each once."""
    objects: dict[type, list[Any]] = {kind: [] for kind in kinds}
    visited: set[int] = set()
    pending = [policy]
    while pending:
        obj = pending.pop()
        if isinstance(obj, SCALAR_TYPES) or id(obj) in visited:
            continue
        visited.add(id(obj))
        if type(obj) in objects:
            objects[type(obj)].append(obj)
        if isinstance(obj, dict):
            pending += [*obj.keys(), *obj.values()]
        elif isinstance(obj, (list, tuple, deque)):
            pending += obj
        elif hasattr(obj, "__self__"):
            pending.append(obj.__self__)
        else:
            pending += [getattr(obj, name) for name in attribute_names(obj)]
    return objects


def serialize(policy: Any, host_objects: Any) -> bytes:
    """Return the state of a policy as bytes.

    ``host_objects`` are the objects that the host, the process that calls the policy, refers to.
    They are stored in the same pickle, so that objects shared with the policy stay shared.
    """
    notes = getattr(policy, "notes", None)
    if notes is not None:
        policy.notes = None  # notes for tracing are not part of the state
    try:
        return pickle.dumps((policy, host_objects), protocol=5)
    finally:
        if notes is not None:
            policy.notes = notes


def clone(policy: Any, host_objects: Any) -> tuple[Any, Any]:
    """Return a copy of a policy, and of the host's objects that it shares.

    The fast standard unpickler is safe here, as the bytes never leave the process. Stored states
    must be read with ``deserialize``.
    """
    copied: tuple[Any, Any] = pickle.loads(serialize(policy, host_objects))
    return copied


def deserialize(
    data: bytes, build: PolicyBuild, shape_digest: str | None = None
) -> tuple[Any, Any]:
    """Return the policy of a stored state, and the host's objects.

    A state is converted if ``shape_digest`` is that of a legacy state. Raises StateRefusedError.
    """
    try:
        if shape_digest in legacy_state.SHAPES:
            return legacy_state.deserialize(data, build)
        policy, host_objects = pickle_graph.read(data, StateFactory(build))
    except StateRefusedError:
        raise
    except Exception as error:
        raise StateRefusedError(f"the state can't be read: {error}") from error
    return policy, host_objects


def differences(
    left: Any, right: Any, limit: int = 5, ignored: frozenset[str] = frozenset()
) -> list[str]:
    """Return up to ``limit`` differences of two object graphs, a line for each.

    Values, order and shared references are compared, except the attributes ``ignored``. A line has
    the path of the difference and, where there are values, the left one before the right one.
    """
    return Comparison(limit, ignored).run(left, right)


class Comparison:
    """Walks two object graphs in parallel and collects their differences."""

    def __init__(self, limit: int, ignored: frozenset[str]) -> None:
        """Stop after ``limit`` differences; skip the attributes ``ignored``."""
        self.limit = limit
        self.ignored = ignored
        # The id() of each visited object, mapped to that of its counterpart in the other graph.
        self.right_of: dict[int, int] = {}
        self.left_of: dict[int, int] = {}
        self.differences: list[str] = []
        self.pending: list[tuple[str, Any, Any]] = []  # path, left and right object

    def run(self, left: Any, right: Any) -> list[str]:
        """Compare two objects and everything reachable from them."""
        self.pending = [("policy", left, right)]
        while self.pending and len(self.differences) < self.limit:
            self.compare(*self.pending.pop())
        return self.differences

    def compare(self, path: str, a: Any, b: Any) -> None:
        """Compare two objects, and schedule the comparison of their contents."""
        if type(a).__name__ != type(b).__name__:
            self.differences.append(f"{path}: {type(a).__name__} and {type(b).__name__}")
        elif isinstance(a, SCALAR_TYPES):
            if a != b or repr(a) != repr(b):
                self.differences.append(f"{path}: {a!r} and {b!r}")
        elif self.right_of.get(id(a), id(b)) != id(b) or self.left_of.get(id(b), id(a)) != id(a):
            self.differences.append(f"{path}: one side shares an object where the other does not")
        elif id(a) not in self.right_of:
            self.right_of[id(a)] = id(b)
            self.left_of[id(b)] = id(a)
            self.descend(path, a, b)

    def descend(self, path: str, a: Any, b: Any) -> None:
        """Schedule the comparison of the contents of two objects of the same type."""
        if isinstance(a, (list, tuple, deque)):
            self.compare_lengths(path, a, b)
            pairs = enumerate(zip(a, b, strict=False))
            self.pending += [(f"{path}[{index}]", x, y) for index, (x, y) in pairs]
        elif isinstance(a, dict):
            self.compare_lengths(path, a, b)
            for index, ((a_key, x), (b_key, y)) in enumerate(
                zip(a.items(), b.items(), strict=False)
            ):
                name: object = a_key if isinstance(a_key, SCALAR_TYPES) else index
                self.pending += [(f"{path} key {index}", a_key, b_key), (f"{path}[{name}]", x, y)]
        elif callable(a) and hasattr(a, "__self__"):
            if a.__name__ != b.__name__:
                self.differences.append(f"{path}: {a.__name__} and {b.__name__}")
            self.pending.append((f"{path}.self", a.__self__, b.__self__))
        else:
            a_names, b_names = attribute_names(a), attribute_names(b)
            if a_names != b_names:
                self.differences.append(f"{path}: attributes {a_names} and {b_names}")
            common = [name for name in a_names if hasattr(b, name) and name not in self.ignored]
            self.pending += [
                (f"{path}.{name}", getattr(a, name), getattr(b, name)) for name in common
            ]

    def compare_lengths(self, path: str, a: Any, b: Any) -> None:
        """Report different lengths of two collections."""
        if len(a) != len(b):
            self.differences.append(f"{path}: {len(a)} and {len(b)} elements")
