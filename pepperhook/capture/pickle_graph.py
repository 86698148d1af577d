"""Reads the pickles of states as pure data: nothing that a pickle names is ever called.

The standard library's unpickler calls what a pickle names, with arguments from the pickle. Allowing
only certain names is not enough: from an allowed class, everything reachable through its attributes
can be called. This reader supports only the opcodes that build data. A factory creates the objects
and bound methods that a pickle describes, and accepts only classes and methods in fixed tables.
"""

import pickletools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from pepperhook.capture.state_errors import StateRefusedError


@dataclass(frozen=True, slots=True)
class GlobalName:
    """The name of a class or function in a pickle; it is never resolved here."""

    module: str
    name: str


GETATTR = GlobalName("builtins", "getattr")
DEQUE = GlobalName("collections", "deque")
FROZENSET = GlobalName("builtins", "frozenset")


class GraphFactory(Protocol):
    """Creates what a pickle describes. Each method raises StateRefusedError for unknown names."""

    def check_class(self, global_name: GlobalName) -> None:
        """Check that a state may contain a class of this name."""

    def new_object(self, global_name: GlobalName, arguments: tuple[Any, ...]) -> Any:
        """Return a new object of a class; ``set_fields`` sets its fields later."""

    def enum_member(self, global_name: GlobalName, arguments: tuple[Any, ...]) -> Any:
        """Return the member of an enum class with this value."""

    def set_fields(self, target: Any, stored: Any) -> None:
        """Set the fields of an object from its stored state."""

    def bound_method(self, owner: Any, name: str) -> Any:
        """Return a bound method of ``owner``, or a stand-in."""


class _Mark:
    """Marks the beginning of a sequence of values on the stack."""


MARK = _Mark()


def read(data: bytes, factory: GraphFactory) -> Any:
    """Return the object that a pickle describes. Raises StateRefusedError."""
    try:
        return _Machine(factory).run(data)
    except StateRefusedError:
        raise
    except Exception as error:
        # A malformed pickle causes various errors: an empty stack, wrong types, invalid UTF-8.
        raise StateRefusedError(f"the state can't be read: {error}") from error


class _Machine:
    """The unpickling machine: the stack and the memo of one pickle."""

    def __init__(self, factory: GraphFactory) -> None:
        self.factory = factory
        self.stack: list[Any] = []
        self.memo: dict[int, Any] = {}

    def run(self, data: bytes) -> Any:
        """Execute the opcodes of a pickle, and return the resulting object."""
        for opcode, argument, _ in pickletools.genops(data):
            if opcode.name == "STOP":
                break
            if opcode.name in CONSTANTS:
                self.stack.append(CONSTANTS[opcode.name])
            elif opcode.name in LITERALS:
                self.stack.append(argument)
            elif opcode.name in OPERATIONS:
                OPERATIONS[opcode.name](self, argument)
            else:
                raise StateRefusedError(
                    f"the state has the opcode {opcode.name}, which is not allowed"
                )
        result = self.pop()
        if isinstance(result, GlobalName):
            self.refuse(result)
        return result

    @staticmethod
    def refuse(global_name: GlobalName) -> None:
        """Raise StateRefusedError for a name."""
        text = (
            f"the state names {global_name.module}.{global_name.name}, "
            "which is not part of a policy"
        )
        raise StateRefusedError(text)

    def pop(self) -> Any:
        """Remove and return the top of the stack, which must be a value."""
        value = self.stack.pop()
        if value is MARK:
            raise StateRefusedError("the state has a mark in place of a value")
        return value

    def pop_to_mark(self) -> list[Any]:
        """Remove the last mark and everything above it, and return these values."""
        index = len(self.stack) - 1
        while self.stack[index] is not MARK:
            index -= 1
            if index < 0:
                raise StateRefusedError("the state has a sequence of values without a mark")
        values = self.stack[index + 1 :]
        del self.stack[index:]
        return values

    # Memo opcodes.

    def memoize(self, _argument: Any) -> None:
        self.memo[len(self.memo)] = self.stack[-1]

    def put(self, argument: Any) -> None:
        self.memo[argument] = self.stack[-1]

    def get(self, argument: Any) -> None:
        self.stack.append(self.memo[argument])

    # Opcodes of lists, tuples, dicts and sets.

    def mark(self, _argument: Any) -> None:
        self.stack.append(MARK)

    def empty_list(self, _argument: Any) -> None:
        self.stack.append([])

    def empty_dict(self, _argument: Any) -> None:
        self.stack.append({})

    def empty_set(self, _argument: Any) -> None:
        self.stack.append(set())

    def tuple_of(self, _argument: Any) -> None:
        self.stack.append(tuple(self.pop_to_mark()))

    def tuple_of_last(self, count: int) -> None:
        values = [self.pop() for _ in range(count)]
        self.stack.append(tuple(reversed(values)))

    def frozenset_of(self, _argument: Any) -> None:
        self.stack.append(frozenset(self.pop_to_mark()))

    def append(self, _argument: Any) -> None:
        value = self.pop()
        self.extend_top([value])

    def append_all(self, _argument: Any) -> None:
        self.extend_top(self.pop_to_mark())

    def extend_top(self, values: list[Any]) -> None:
        """Append values to the list or deque on top of the stack."""
        top = self.stack[-1]
        if isinstance(top, deque):
            top.extend(values)
        elif isinstance(top, list):
            list.extend(top, values)
        else:
            raise StateRefusedError("the state appends values to an object that is not a list")

    def set_item(self, _argument: Any) -> None:
        value, key = self.pop(), self.pop()
        self.update_top([key, value])

    def set_items(self, _argument: Any) -> None:
        self.update_top(self.pop_to_mark())

    def update_top(self, values: list[Any]) -> None:
        """Set items of the dict on top of the stack; keys and values alternate."""
        top = self.stack[-1]
        if type(top) is not dict:
            raise StateRefusedError("the state sets items of an object that is not a dict")
        for key, value in zip(values[::2], values[1::2], strict=True):
            top[key] = value

    def add_all(self, _argument: Any) -> None:
        values, top = self.pop_to_mark(), self.stack[-1]
        if type(top) is not set:
            raise StateRefusedError("the state adds values to an object that is not a set")
        top.update(values)

    # Opcodes of classes and objects.

    def stack_global(self, _argument: Any) -> None:
        name, module = self.pop(), self.pop()
        self.push_global(module, name)

    def global_(self, argument: str) -> None:
        module, _, name = argument.partition(" ")
        self.push_global(module, name)

    def push_global(self, module: Any, name: Any) -> None:
        """Push a class name that the factory accepts, or one of the supported functions."""
        if not (isinstance(module, str) and isinstance(name, str)):
            raise StateRefusedError("the state has a class name that is not a string")
        global_name = GlobalName(module, name)
        if global_name not in (GETATTR, DEQUE, FROZENSET):
            self.factory.check_class(global_name)
        self.stack.append(global_name)

    def reduce(self, _argument: Any) -> None:
        """Push a bound method, deque, frozenset or enum member, which pickles store as calls."""
        arguments, global_name = self.pop(), self.pop()
        if not (isinstance(global_name, GlobalName) and type(arguments) is tuple):
            raise StateRefusedError("the state contains a call of something that is not a class")
        if global_name == GETATTR:
            owner, name = arguments
            result = self.factory.bound_method(owner, name)
        elif global_name == DEQUE:
            result = _deque(*arguments)
        elif global_name == FROZENSET:
            result = _frozenset(*arguments)
        else:
            result = self.factory.enum_member(global_name, arguments)
        self.stack.append(result)

    def new_object(self, _argument: Any) -> None:
        arguments, global_name = self.pop(), self.pop()
        if not (isinstance(global_name, GlobalName) and type(arguments) is tuple):
            raise StateRefusedError("the state creates an object of something that is not a class")
        if global_name in (GETATTR, DEQUE, FROZENSET):
            self.refuse(global_name)
        self.stack.append(self.factory.new_object(global_name, arguments))

    def build(self, _argument: Any) -> None:
        """Set the fields of the object below the top from the state on top."""
        stored = self.pop()
        self.factory.set_fields(self.stack[-1], stored)


def _deque(values: Any = (), maxlen: Any = None) -> deque[Any]:
    if type(values) not in (list, tuple) or type(maxlen) not in (int, type(None)):
        raise StateRefusedError("the state has a deque with invalid arguments")
    return deque(values, maxlen)


def _frozenset(values: Any = ()) -> frozenset[Any]:
    if type(values) not in (list, tuple, set):
        raise StateRefusedError("the state has a frozenset with invalid arguments")
    return frozenset(values)


Operation = Callable[[_Machine, Any], None]
# Opcodes that push a constant.
CONSTANTS: dict[str, Any] = {"NONE": None, "NEWTRUE": True, "NEWFALSE": False, "EMPTY_TUPLE": ()}
# Opcodes that push their argument.
LITERALS = frozenset(
    (
        "BINBYTES",
        "BINBYTES8",
        "BINFLOAT",
        "BININT",
        "BININT1",
        "BININT2",
        "BINUNICODE",
        "BINUNICODE8",
        "LONG1",
        "LONG4",
        "SHORT_BINBYTES",
        "SHORT_BINUNICODE",
    )
)
OPERATIONS: dict[str, Operation] = {
    "PROTO": lambda _machine, _argument: None,
    "FRAME": lambda _machine, _argument: None,
    "MEMOIZE": _Machine.memoize,
    "BINPUT": _Machine.put,
    "LONG_BINPUT": _Machine.put,
    "BINGET": _Machine.get,
    "LONG_BINGET": _Machine.get,
    "MARK": _Machine.mark,
    "EMPTY_LIST": _Machine.empty_list,
    "EMPTY_DICT": _Machine.empty_dict,
    "EMPTY_SET": _Machine.empty_set,
    "TUPLE": _Machine.tuple_of,
    "TUPLE1": lambda machine, _argument: machine.tuple_of_last(1),
    "TUPLE2": lambda machine, _argument: machine.tuple_of_last(2),
    "TUPLE3": lambda machine, _argument: machine.tuple_of_last(3),
    "FROZENSET": _Machine.frozenset_of,
    "APPEND": _Machine.append,
    "APPENDS": _Machine.append_all,
    "SETITEM": _Machine.set_item,
    "SETITEMS": _Machine.set_items,
    "ADDITEMS": _Machine.add_all,
    "STACK_GLOBAL": _Machine.stack_global,
    "GLOBAL": _Machine.global_,
    "REDUCE": _Machine.reduce,
    "NEWOBJ": _Machine.new_object,
    "BUILD": _Machine.build,
}
