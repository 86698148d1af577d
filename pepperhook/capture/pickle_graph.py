"""Reads the pickles of states as data: nothing that a stream names is ever called.

The standard library's reader calls what a stream names, with arguments of the stream, so a reader
that lets some names through lets all through that can be reached from these. This one knows only
the opcodes that make data, and hands each class, object and bound method that the stream describes
to a factory, which decides by closed tables.
"""

import pickletools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from pepperhook.capture.state_errors import StateRefusedError


@dataclass(frozen=True, slots=True)
class GlobalName:
    """A class or function that the stream names; only a name."""

    module: str
    name: str


GETATTR = GlobalName("builtins", "getattr")
DEQUE = GlobalName("collections", "deque")
FROZENSET = GlobalName("builtins", "frozenset")


class GraphFactory(Protocol):
    """Makes what a stream describes. Each raises StateRefusedError for what it does not know."""

    def check(self, named: GlobalName) -> None:
        """Check a class that the stream names."""

    def new(self, named: GlobalName, arguments: tuple[Any, ...]) -> Any:
        """Return an object of a class; its fields follow by ``fill``."""

    def value(self, named: GlobalName, arguments: tuple[Any, ...]) -> Any:
        """Return a member of an enum, or a record that is described by its values."""

    def fill(self, made: Any, state: Any) -> None:
        """Set the fields of an object."""

    def method(self, owner: Any, name: str) -> Any:
        """Return what stands for a bound method."""


class _Mark:
    """Where a run of values begins on the stack."""


MARK = _Mark()


def read(data: bytes, factory: GraphFactory) -> Any:
    """Return what a stream describes. Raises StateRefusedError."""
    try:
        return _Machine(factory).run(data)
    except StateRefusedError:
        raise
    except Exception as error:
        # What a malformed stream leads to: an empty stack, a value of a wrong type, bad text.
        raise StateRefusedError(f"the state can't be read: {error}") from error


class _Machine:
    """The stack and the memo of one stream."""

    def __init__(self, factory: GraphFactory) -> None:
        self.factory = factory
        self.stack: list[Any] = []
        self.memo: dict[int, Any] = {}

    def run(self, data: bytes) -> Any:
        """Carry out the stream."""
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
                raise StateRefusedError(f"the state has the opcode {opcode.name}, which is no data")
        result = self.pop()
        if isinstance(result, GlobalName):
            self.refuse(result)
        return result

    @staticmethod
    def refuse(named: GlobalName) -> None:
        text = f"the state names {named.module}.{named.name}, which is no part of a policy"
        raise StateRefusedError(text)

    def pop(self) -> Any:
        value = self.stack.pop()
        if value is MARK:
            raise StateRefusedError("a mark in the place of a value")
        return value

    def pop_to_mark(self) -> list[Any]:
        """Take the values behind the last mark, and the mark."""
        at = len(self.stack) - 1
        while self.stack[at] is not MARK:
            at -= 1
            if at < 0:
                raise StateRefusedError("a run of values without a mark")
        values = self.stack[at + 1 :]
        del self.stack[at:]
        return values

    # The memo.

    def memoize(self, _argument: Any) -> None:
        self.memo[len(self.memo)] = self.stack[-1]

    def put(self, argument: Any) -> None:
        self.memo[argument] = self.stack[-1]

    def get(self, argument: Any) -> None:
        self.stack.append(self.memo[argument])

    # Containers.

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
        top = self.stack[-1]
        if isinstance(top, deque):
            top.extend(values)
        elif isinstance(top, list):
            list.extend(top, values)
        else:
            raise StateRefusedError("values are added to what is no list")

    def set_item(self, _argument: Any) -> None:
        value, key = self.pop(), self.pop()
        self.update_top([key, value])

    def set_items(self, _argument: Any) -> None:
        self.update_top(self.pop_to_mark())

    def update_top(self, values: list[Any]) -> None:
        top = self.stack[-1]
        if type(top) is not dict:
            raise StateRefusedError("pairs are added to what is no map")
        for key, value in zip(values[::2], values[1::2], strict=True):
            top[key] = value

    def add_all(self, _argument: Any) -> None:
        values, top = self.pop_to_mark(), self.stack[-1]
        if type(top) is not set:
            raise StateRefusedError("values are added to what is no set")
        top.update(values)

    # Classes and objects.

    def stack_global(self, _argument: Any) -> None:
        name, module = self.pop(), self.pop()
        self.push_global(module, name)

    def global_(self, argument: str) -> None:
        module, _, name = argument.partition(" ")
        self.push_global(module, name)

    def push_global(self, module: Any, name: Any) -> None:
        if not (isinstance(module, str) and isinstance(name, str)):
            raise StateRefusedError("a name that is no text")
        named = GlobalName(module, name)
        if named not in (GETATTR, DEQUE, FROZENSET):
            self.factory.check(named)
        self.stack.append(named)

    def reduce(self, _argument: Any) -> None:
        arguments, named = self.pop(), self.pop()
        if not (isinstance(named, GlobalName) and type(arguments) is tuple):
            raise StateRefusedError("the state calls what is no class")
        if named == GETATTR:
            owner, name = arguments
            made = self.factory.method(owner, name)
        elif named == DEQUE:
            made = _deque(*arguments)
        elif named == FROZENSET:
            made = _frozenset(*arguments)
        else:
            made = self.factory.value(named, arguments)
        self.stack.append(made)

    def new_object(self, _argument: Any) -> None:
        arguments, named = self.pop(), self.pop()
        if not (isinstance(named, GlobalName) and type(arguments) is tuple):
            raise StateRefusedError("the state makes an object of what is no class")
        if named in (GETATTR, DEQUE, FROZENSET):
            self.refuse(named)
        self.stack.append(self.factory.new(named, arguments))

    def build(self, _argument: Any) -> None:
        state = self.pop()
        self.factory.fill(self.stack[-1], state)


def _deque(values: Any = (), maxlen: Any = None) -> deque[Any]:
    if type(values) not in (list, tuple) or type(maxlen) not in (int, type(None)):
        raise StateRefusedError("a deque of what is no list")
    return deque(values, maxlen)


def _frozenset(values: Any = ()) -> frozenset[Any]:
    if type(values) not in (list, tuple, set):
        raise StateRefusedError("a set of what is no list")
    return frozenset(values)


Operation = Callable[[_Machine, Any], None]
CONSTANTS: dict[str, Any] = {"NONE": None, "NEWTRUE": True, "NEWFALSE": False, "EMPTY_TUPLE": ()}
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
