"""Reading a stored state never runs code, whatever its bytes are.

With the former reader, an unpickler that allowed ``getattr`` and the policy's classes, a state of
about 100 bytes could run arbitrary code in each tool that opened its capture (``record info``,
``record replay``, the tools of the shadow extension): ``getattr(Request.__init__, "__globals__")``
leads to ``eval``. The reader therefore accepts no callable from a state: classes are looked up in a
fixed table, objects are set field by field, and only timer callbacks can be named as methods.
"""

import pickle
import sys
from collections import OrderedDict, deque

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pepperhook.balancer import Balancer
from pepperhook.capture import policy_build, replay, state
from pepperhook.capture.recorder import ENCODER
from pepperhook.capture.state_errors import StateRefusedError
from pepperhook.container import (
    ContainerWriter,
    FileMetadata,
    UnreadableFileError,
    frame_record,
)
from pepperhook.domain import Attempt, Request, Upstream
from pepperhook.statistics import DecayingMoments
from tests.capture.captured_simulation import CapturedSimulation

LEGACY_SHAPE = "97d25dcfc6463a83"


class PickledGetattr:
    """Pickles as ``getattr(owner, name)``."""

    def __init__(self, owner, name):
        self.reduced = (owner, name)

    def __reduce__(self):
        return getattr, self.reduced

    def __call__(self):
        raise AssertionError("pickle requires a callable, but must never call it")


class PickledCall(PickledGetattr):
    """Pickles as ``function(*arguments)``."""

    def __init__(self, function, *arguments):
        self.reduced = (function, arguments)

    def __reduce__(self):
        return self.reduced


def pickled_eval(text):
    """Return an object whose pickle evaluates ``text`` in an unpickler that allows getattr."""
    global_names = PickledGetattr(PickledGetattr(Request, "__init__"), "__globals__")
    builtins = PickledCall(PickledGetattr(global_names, "__getitem__"), "__builtins__")
    return PickledCall(PickledCall(PickledGetattr(builtins, "__getitem__"), "eval"), text)


def pickled_object(module, name, value):
    """Return the pickle of an object of class ``module.name`` with the state ``value``."""
    class_name = b"".join(b"\x8c%c%s" % (len(text), text.encode()) for text in (module, name))
    return b"\x80\x05" + class_name + b"\x93)\x81" + pickle.dumps(value, protocol=3)[2:-1] + b"b."


MARKER = "hostile_state_ran"  # attribute of sys, set if a hostile state runs code
HOSTILE_OBJECTS = {
    "eval by getattr": pickled_eval(f"__import__('sys').__setattr__({MARKER!r}, True)"),
    "constructor": PickledCall(Balancer, None, 1, 2),
    "constructor of statistics": PickledCall(DecayingMoments, 1, 2),
    "bound method": PickledCall(PickledGetattr(DecayingMoments(1, 2), "add"), 5),
    "method that is not a callback": PickledGetattr(DecayingMoments(1, 2), "decay"),
    "attribute of a class": PickledGetattr(Request, "__slots__"),
    "foreign class": OrderedDict(a=1),
    "foreign function": PickledCall(sys.setrecursionlimit, 1000),
    "deque of a number": PickledCall(deque, 7),
}
MALFORMED_AND_DISALLOWED_PICKLES = {
    "persistent id": b"Pid\n.",
    "extension code": b"\x82\x01.",
    "INST opcode": b"(ios\nsystem\n.",
    "GLOBAL opcode of a foreign function": b"cos\nsystem\n.",
    "dotted name": b"\x80\x05\x8c\x11pepperhook.domain\x8c\x10Request.__init__\x93.",
    "empty": b"",
    "no STOP opcode": b"\x80\x05N",
    "empty stack": b"\x80\x05a.",
    "missing memo entry": b"\x80\x05h\x07.",
    "invalid UTF-8": b"\x80\x05\x8c\x01\xff.",
    "huge length": b"\x80\x05\x8e\xff\xff\xff\xff\xff\xff\xff\x7fx.",
    "field that hides a method": pickled_object(
        "pepperhook.balancer", "Balancer", {"accept": 7, "now": 1}
    ),
    "dunder field": pickled_object("pepperhook.balancer", "Balancer", {"__class__": 7}),
    "unknown slot": pickled_object("pepperhook.domain", "Request", (None, {"not_a_slot": 1})),
    "state that is an integer": pickled_object("pepperhook.domain", "Request", 7),
    "state that is a list": pickled_object("pepperhook.balancer", "Balancer", [1, 2]),
    "fields of a class": b"\x80\x05\x8c\x11pepperhook.domain\x8c\x07Request\x93}b.",
    "unhashable key": b"\x80\x05}]Ns.",
}


@pytest.mark.parametrize("shape", [None, LEGACY_SHAPE])
@pytest.mark.parametrize("name", HOSTILE_OBJECTS)
def test_hostile_objects_are_refused_and_nothing_is_called(name, shape):
    data = pickle.dumps((HOSTILE_OBJECTS[name], ([], [], [])), protocol=5)
    sys.__dict__.pop(MARKER, None)

    with pytest.raises(StateRefusedError):
        state.deserialize(data, policy_build.current_build(), shape)

    assert not hasattr(sys, MARKER)


@pytest.mark.parametrize("shape", [None, LEGACY_SHAPE])
@pytest.mark.parametrize("name", MALFORMED_AND_DISALLOWED_PICKLES)
def test_malformed_and_disallowed_pickles_are_refused(name, shape):
    with pytest.raises(StateRefusedError):
        state.deserialize(
            MALFORMED_AND_DISALLOWED_PICKLES[name], policy_build.current_build(), shape
        )


@pytest.fixture(scope="module")
def stored_state(tmp_path_factory):
    """Return a valid state as bytes."""
    simulation = CapturedSimulation(8, tmp_path_factory.mktemp("capture") / "a")
    simulation.run(100)
    policy = simulation.recorder.module
    objects = state.find_objects(policy, (Request, Attempt, Upstream))
    return state.serialize(policy, tuple(objects.values()))


def test_valid_state_is_read_completely(stored_state):
    policy, host_objects = state.deserialize(stored_state, policy_build.current_build())
    reserialized = state.serialize(policy, host_objects)

    assert isinstance(policy, Balancer) and len(host_objects) == 3
    assert not state.differences(pickle.loads(stored_state), (policy, host_objects))
    assert not state.differences(
        state.deserialize(reserialized, policy_build.current_build())[0], policy
    )


@settings(max_examples=300, deadline=None)
@given(data=st.data())
def test_mutated_states_are_read_or_refused_and_call_nothing(stored_state, data):
    mutated = bytearray(stored_state)
    for _ in range(data.draw(st.integers(1, 4))):
        position = data.draw(st.integers(0, len(mutated) - 1))
        mutated[position : position + data.draw(st.integers(0, 3))] = data.draw(
            st.binary(max_size=3)
        )
    assert_deserialization_calls_nothing(bytes(mutated))


# Opcodes of values, containers, objects and calls, supported or not.
opcodes = st.sampled_from(
    [bytes([code]) for code in b"().0]}aesutbRNQcioP\x81\x85\x86\x87\x93\x94"]
)
# The length byte of the first string is greater than its length.
fragments = st.sampled_from(
    [b"\x8c\x0eos", b"\x8c\x08builtins\x8c\x07getattr\x93", b"K\x01", b"h\x00"]
)


@settings(max_examples=500, deadline=None)
@given(st.lists(opcodes | fragments | st.binary(max_size=4), max_size=30))
def test_generated_pickles_are_read_or_refused_and_call_nothing(parts):
    assert_deserialization_calls_nothing(b"\x80\x05" + b"".join(parts))


def assert_deserialization_calls_nothing(data):
    """Read a state; fail on a call of a policy's function or an error but StateRefusedError."""
    called = []

    def record_call(frame, event, _argument):
        file = frame.f_code.co_filename
        if (event == "call" and "/pepperhook/policy" in file) or file.endswith("/balancer.py"):
            called.append(frame.f_code.co_qualname)

    sys.setprofile(record_call)
    try:
        state.deserialize(data, policy_build.current_build())
    except StateRefusedError:
        pass
    finally:
        sys.setprofile(None)
    assert not called


# Hostile records.

words = st.sampled_from(["new", "state", "upstream", "operation", "call", "fleet", "take", "wake"])
scalars = words | st.integers(-3, 3) | st.none() | st.booleans() | st.binary(max_size=4)
stored_values = st.recursive(
    scalars,
    lambda values: st.lists(values, max_size=4) | st.dictionaries(words, values, max_size=3),
    max_leaves=8,
)
SETTINGS = {"grades": [], "customers": []}


@settings(max_examples=200, deadline=None)
@given(st.lists(st.lists(stored_values, max_size=8), max_size=4))
def test_generated_records_are_replayed_or_refused(tmp_path_factory, records):
    path = tmp_path_factory.mktemp("capture") / "a"
    writer = ContainerWriter(path, FileMetadata("capture", 1))
    for record in [["new", SETTINGS, 1, 0], *records]:
        writer.append(frame_record(ENCODER.encode(record)), 0)
    writer.close()

    try:
        replay.replay_file(path, Balancer)
    except (StateRefusedError, UnreadableFileError):
        return


def test_state_with_a_timer_that_repeats_without_a_period_is_refused(stored_state):
    policy, host_objects = state.deserialize(stored_state, policy_build.current_build())
    policy.timers = [(0, 1, policy.repeat, (0, policy._review))]
    driver = replay.Driver(Balancer)

    with pytest.raises(StateRefusedError, match="period"):
        driver.restore_state(
            state.shape(policy), state.serialize(policy, host_objects), [], [], [], 0, [0, 0, 0]
        )
