"""A policy's whole state as bytes and back: from where a capture may begin in the middle of a life.

Pickled by the standard library, which is quick, and read back as data (``pickle_graph``): classes
come from a closed table, and nothing that a state names is called. A state goes with its shape, the
names of all classes and attributes in it: a build whose own policy has another shape refuses it,
but for the shapes that ``legacy_state`` translates. Equality is by a walk over both graphs
together, which also sees what is shared.
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

PLAIN = (int, float, str, bytes, bool, type(None))
# They have parts of a policy that no state holds, but that belong to its shape.
SUPPORT_MODULES = ("pepperhook.decision_notes", "pepperhook.pipeline", "pepperhook.scheduler")
COMES_AND_GOES = (Request, Attempt, Upstream)


def is_own(module: str) -> bool:
    """Return whether a module is one whose classes a state may hold."""
    is_support = module in SUPPORT_MODULES
    return module in CLASSES or is_support or module.startswith("pepperhook.policy.")


def names(thing: object) -> list[str]:
    """Return the attributes that an object has, slots and all, sorted."""
    if isinstance(thing, Struct):
        return sorted(thing.__struct_fields__)
    found = set(getattr(thing, "__dict__", ()))
    for kind in type(thing).__mro__:
        slots = kind.__dict__.get("__slots__", ())
        listed = (slots,) if isinstance(slots, str) else slots
        found.update(name for name in listed if hasattr(thing, name))
    return sorted(found)


def shape(module: Any) -> str:
    """Return a digest of the classes that make up a policy's own parts, and of their attributes.

    Objects that come and go (requests, timers) count by their constructors only.
    """
    seen: set[int] = set()
    rows: set[tuple[str, tuple[str, ...]]] = {
        (kind.__name__, kind.__init__.__code__.co_names) for kind in COMES_AND_GOES
    }
    todo = [module]
    while todo:
        thing = todo.pop()
        kind = type(thing)
        is_part = is_own(kind.__module__) or thing is module
        if id(thing) in seen or not is_part or isinstance(thing, (*COMES_AND_GOES, Enum)):
            continue
        seen.add(id(thing))
        attributes = names(thing)
        rows.add((kind.__name__, tuple(attributes)))
        # Of a container's elements only the kind of the first counts: all are of one class.
        for name in attributes:
            value = getattr(thing, name)
            todo += value[:1] if isinstance(value, list) else [value]
    return blake2b(repr(sorted(rows)).encode(), digest_size=8).hexdigest()


def find(module: Any, kinds: Iterable[type]) -> dict[type, list[Any]]:
    """Return all objects of these classes that a policy reaches, each once."""
    found: dict[type, list[Any]] = {kind: [] for kind in kinds}
    seen: set[int] = set()
    todo = [module]
    while todo:
        thing = todo.pop()
        if isinstance(thing, PLAIN) or id(thing) in seen:
            continue
        seen.add(id(thing))
        if type(thing) in found:
            found[type(thing)].append(thing)
        if isinstance(thing, dict):
            todo += [*thing.keys(), *thing.values()]
        elif isinstance(thing, (list, tuple, deque)):
            todo += thing
        elif hasattr(thing, "__self__"):
            todo.append(thing.__self__)
        else:
            todo += [getattr(thing, name) for name in names(thing)]
    return found


def freeze(module: Any, known: Any) -> bytes:
    """Return the state; ``known``: the host's references, which must stay the same objects."""
    notes = getattr(module, "notes", None)
    if notes is not None:
        module.notes = None  # who traces is no part of a state
    try:
        return pickle.dumps((module, known), protocol=5)
    finally:
        if notes is not None:
            module.notes = notes


def clone(module: Any, known: Any) -> tuple[Any, Any]:
    """Return a copy of a policy in this process, with the host's references into it.

    By the quick reader, as nothing of it was ever outside: what is stored is for ``thaw`` alone.
    """
    copied: tuple[Any, Any] = pickle.loads(freeze(module, known))
    return copied


def thaw(data: bytes, build: PolicyBuild, shape_digest: str | None = None) -> tuple[Any, Any]:
    """Return the policy and the host's references of a state. Raises StateRefusedError."""
    try:
        if shape_digest in legacy_state.SHAPES:
            return legacy_state.thaw(data, build)
        policy, known = pickle_graph.read(data, StateFactory(build))
    except StateRefusedError:
        raise
    except Exception as problem:
        raise StateRefusedError(f"the state can't be read: {problem}") from problem
    return policy, known


def differences(
    one: Any, other: Any, most: int = 5, ignored: frozenset[str] = frozenset()
) -> list[str]:
    """Return where two graphs differ: values, order, or what is shared; else nothing.

    ``ignored``: attributes that are not compared.
    """
    return Comparison(most, ignored).run(one, other)


class Comparison:
    """A walk over two graphs together."""

    def __init__(self, most: int, ignored: frozenset[str]) -> None:
        """Stop at ``most`` differences; pass over the attributes ``ignored``."""
        self.most = most
        self.ignored = ignored
        self.twins: dict[int, int] = {}
        self.back: dict[int, int] = {}
        self.found: list[str] = []
        self.todo: list[tuple[str, Any, Any]] = []

    def run(self, one: Any, other: Any) -> list[str]:
        """Compare from these two on."""
        self.todo = [("module", one, other)]
        while self.todo and len(self.found) < self.most:
            self.compare(*self.todo.pop())
        return self.found

    def compare(self, path: str, a: Any, b: Any) -> None:
        """Compare two objects, and plan for what they hold."""
        if type(a).__name__ != type(b).__name__:
            self.found.append(f"{path}: {type(a).__name__} and {type(b).__name__}")
        elif isinstance(a, PLAIN):
            if a != b or repr(a) != repr(b):
                self.found.append(f"{path}: {a!r} and {b!r}")
        elif self.twins.get(id(a), id(b)) != id(b) or self.back.get(id(b), id(a)) != id(a):
            self.found.append(f"{path}: not the same object as elsewhere")
        elif id(a) not in self.twins:
            self.twins[id(a)] = id(b)
            self.back[id(b)] = id(a)
            self.descend(path, a, b)

    def descend(self, path: str, a: Any, b: Any) -> None:
        """Plan the comparison of what two objects of one kind hold."""
        if isinstance(a, (list, tuple, deque)):
            self.compare_lengths(path, a, b)
            pairs = enumerate(zip(a, b, strict=False))
            self.todo += [(f"{path}[{at}]", x, y) for at, (x, y) in pairs]
        elif isinstance(a, dict):
            self.compare_lengths(path, a, b)
            for at, ((k, x), (m, y)) in enumerate(zip(a.items(), b.items(), strict=False)):
                name: object = k if isinstance(k, PLAIN) else at
                self.todo += [(f"{path} key {at}", k, m), (f"{path}[{name}]", x, y)]
        elif callable(a) and hasattr(a, "__self__"):
            if a.__name__ != b.__name__:
                self.found.append(f"{path}: {a.__name__} and {b.__name__}")
            self.todo.append((f"{path}.self", a.__self__, b.__self__))
        else:
            mine, its = names(a), names(b)
            if mine != its:
                self.found.append(f"{path}: attributes {mine} and {its}")
            shared = [name for name in mine if hasattr(b, name) and name not in self.ignored]
            self.todo += [(f"{path}.{name}", getattr(a, name), getattr(b, name)) for name in shared]

    def compare_lengths(self, path: str, a: Any, b: Any) -> None:
        """Note where two containers hold different numbers of things."""
        if len(a) != len(b):
            self.found.append(f"{path}: {len(a)} and {len(b)} of them")
