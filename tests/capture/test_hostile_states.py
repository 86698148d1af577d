"""A stored state makes data and nothing else, whatever is in its bytes.

What happened: a state of some 100 bytes ran any code in whoever opened the capture that held it
(``record info``, ``record replay``, the shadow's tools). The reader was an unpickler that let
``getattr`` and the classes of the policy through, and an unpickler calls what it names:
``getattr(Request.__init__, "__globals__")`` leads to ``eval``. Now no callable is ever taken from
the stream: classes come from a closed table, objects are filled field by field, and of methods only
the callbacks of timers can be named.
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
from tests.capture.captured_world import CapturedWorld

LEGACY_SHAPE = "97d25dcfc6463a83"


class Get:
    """Pickles as ``getattr(owner, name)``."""

    def __init__(self, owner, name):
        self.pair = (owner, name)

    def __reduce__(self):
        return getattr, self.pair

    def __call__(self):
        raise AssertionError("only a callable may be pickled as one")


class Call(Get):
    """Pickles as ``function(*arguments)``."""

    def __init__(self, function, *arguments):
        self.pair = (function, arguments)

    def __reduce__(self):
        return self.pair


def eval_of(text):
    """Return what runs ``text`` in an unpickler that lets getattr through."""
    global_names = Get(Get(Request, "__init__"), "__globals__")
    builtins = Call(Get(global_names, "__getitem__"), "__builtins__")
    return Call(Call(Get(builtins, "__getitem__"), "eval"), text)


def built(module, name, value):
    """Return the stream of an object with any state."""
    named = b"".join(b"\x8c%c%s" % (len(text), text.encode()) for text in (module, name))
    return b"\x80\x05" + named + b"\x93)\x81" + pickle.dumps(value, protocol=3)[2:-1] + b"b."


MARKER = "hostile_state_ran"
HOSTILE = {
    "eval by getattr": eval_of(f"__import__('sys').__setattr__({MARKER!r}, True)"),
    "constructor": Call(Balancer, None, 1, 2),
    "statistics' constructor": Call(DecayingMoments, 1, 2),
    "method of an object": Call(Get(DecayingMoments(1, 2), "add"), 5),
    "method that is no callback": Get(DecayingMoments(1, 2), "decay"),
    "attribute of a class": Get(Request, "__slots__"),
    "foreign class": OrderedDict(a=1),
    "foreign function": Call(sys.setrecursionlimit, 1000),
    "deque of a number": Call(deque, 7),
}
RAW = {
    "persistent id": b"Pid\n.",
    "extension code": b"\x82\x01.",
    "instance by name": b"(ios\nsystem\n.",
    "global by name": b"cos\nsystem\n.",
    "dotted name": b"\x80\x05\x8c\x11pepperhook.domain\x8c\x10Request.__init__\x93.",
    "nothing": b"",
    "no end": b"\x80\x05N",
    "empty stack": b"\x80\x05a.",
    "missing memo": b"\x80\x05h\x07.",
    "bad text": b"\x80\x05\x8c\x01\xff.",
    "huge length": b"\x80\x05\x8e\xff\xff\xff\xff\xff\xff\xff\x7fx.",
    "shadowed method": built("pepperhook.balancer", "Balancer", {"accept": 7, "now": 1}),
    "dunder attribute": built("pepperhook.balancer", "Balancer", {"__class__": 7}),
    "unknown slot": built("pepperhook.domain", "Request", (None, {"not_a_slot": 1})),
    "state that is no map": built("pepperhook.domain", "Request", 7),
    "state of a list": built("pepperhook.balancer", "Balancer", [1, 2]),
    "fields of a class": b"\x80\x05\x8c\x11pepperhook.domain\x8c\x07Request\x93}b.",
    "unhashable key": b"\x80\x05}]Ns.",
}


@pytest.mark.parametrize("shape", [None, LEGACY_SHAPE])
@pytest.mark.parametrize("name", HOSTILE)
def test_hostile_objects_are_refused_and_nothing_is_called(name, shape):
    data = pickle.dumps((HOSTILE[name], ([], [], [])), protocol=5)
    sys.__dict__.pop(MARKER, None)

    with pytest.raises(StateRefusedError):
        state.deserialize(data, policy_build.current_build(), shape)

    assert not hasattr(sys, MARKER)


@pytest.mark.parametrize("shape", [None, LEGACY_SHAPE])
@pytest.mark.parametrize("name", RAW)
def test_malformed_streams_are_refused(name, shape):
    with pytest.raises(StateRefusedError):
        state.deserialize(RAW[name], policy_build.current_build(), shape)


@pytest.fixture(scope="module")
def stored_state(tmp_path_factory):
    """The bytes of a real state."""
    world = CapturedWorld(8, tmp_path_factory.mktemp("capture") / "a")
    world.run(100)
    policy = world.recorder.module
    found = state.find_objects(policy, (Request, Attempt, Upstream))
    return state.serialize(policy, tuple(found.values()))


def test_a_sound_state_is_read_whole(stored_state):
    policy, known = state.deserialize(stored_state, policy_build.current_build())
    again = state.serialize(policy, known)

    assert isinstance(policy, Balancer) and len(known) == 3
    assert not state.differences(pickle.loads(stored_state), (policy, known))
    assert not state.differences(state.deserialize(again, policy_build.current_build())[0], policy)


@settings(max_examples=300, deadline=None)
@given(data=st.data())
def test_mutated_states_are_read_or_refused_and_call_nothing(stored_state, data):
    mutated = bytearray(stored_state)
    for _ in range(data.draw(st.integers(1, 4))):
        position = data.draw(st.integers(0, len(mutated) - 1))
        mutated[position : position + data.draw(st.integers(0, 3))] = data.draw(
            st.binary(max_size=3)
        )
    thaw_watched(bytes(mutated))


opcodes = st.sampled_from(
    [bytes([code]) for code in b"().0]}aesutbRNQcioP\x81\x85\x86\x87\x93\x94"]
)
pieces = st.sampled_from(
    [b"\x8c\x0eos", b"\x8c\x08builtins\x8c\x07getattr\x93", b"K\x01", b"h\x00"]
)


@settings(max_examples=500, deadline=None)
@given(st.lists(opcodes | pieces | st.binary(max_size=4), max_size=30))
def test_made_up_streams_are_read_or_refused_and_call_nothing(parts):
    thaw_watched(b"\x80\x05" + b"".join(parts))


def thaw_watched(data):
    """Read a state; anything but a value or StateRefusedError fails, and so does a call."""
    called = []

    def note_call(frame, event, _argument):
        file = frame.f_code.co_filename
        if event == "call" and "/pepperhook/policy" in file or file.endswith("/balancer.py"):
            called.append(frame.f_code.co_qualname)

    sys.setprofile(note_call)
    try:
        state.deserialize(data, policy_build.current_build())
    except StateRefusedError:
        pass
    finally:
        sys.setprofile(None)
    assert not called


# Records of a capture.

words = st.sampled_from(["new", "state", "upstream", "operation", "call", "fleet", "take", "wake"])
scalars = words | st.integers(-3, 3) | st.none() | st.booleans() | st.binary(max_size=4)
stored = st.recursive(
    scalars,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(words, inner, max_size=3),
    max_leaves=8,
)
SETTINGS = {"grades": [], "customers": []}


@settings(max_examples=200, deadline=None)
@given(st.lists(st.lists(stored, max_size=8), max_size=4))
def test_made_up_records_are_replayed_or_refused(tmp_path_factory, records):
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
    policy, known = state.deserialize(stored_state, policy_build.current_build())
    policy.timers = [(0, 1, policy.repeat, (0, policy._review))]
    driver = replay.Driver(Balancer)

    with pytest.raises(StateRefusedError, match="period"):
        driver.restore_state(
            state.shape(policy), state.serialize(policy, known), [], [], [], 0, [0, 0, 0]
        )
