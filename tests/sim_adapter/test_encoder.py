"""Tests that actions are encoded byte for byte as the simulator's protocol specifies."""

import pytest

from pepperhook.actions import (
    CancelAttempt,
    FailRequest,
    FetchEndpoints,
    HealthCheck,
    OperatorNote,
    RejectRequest,
    StartAttempt,
    WakeAt,
    WatchEndpoints,
)
from pepperhook.domain import Attempt, Effect, Request, ServiceClass, Upstream
from pepperhook.sim_adapter.encoder import encode_action
from pepperhook.units import MICROSECOND

SERVICE_CLASS = ServiceClass(number=0, time_limit_ns=0, objective_ns=0, effect=Effect.SAFE)
REQUEST = Request(0x000B5C525D3A91C4, SERVICE_CLASS, None, None, 0)
ATTEMPT = Attempt(REQUEST, Upstream(bytes.fromhex("0a124a071f93")), 0)


@pytest.mark.parametrize(
    "action, encoded",
    [
        (
            StartAttempt(ATTEMPT, 80_000 * MICROSECOND),
            "06 00000012 000b5c525d3a91c4 0a124a07 1f93 00013880",
        ),
        (OperatorNote("two servers known"), "01 00000013 0011 74776f2073657276657273206b6e6f776e"),
        (HealthCheck(Upstream(bytes.fromhex("0a9011f21fbc"))), "0c 00000006 0a9011f2 1fbc"),
        (CancelAttempt(ATTEMPT), "02 0000000a 000b5c525d3a91c4 0000"),
        (RejectRequest(REQUEST, 5 * MICROSECOND), "00 0000000c 000b5c525d3a91c4 00000005"),
        (FailRequest(REQUEST), "07 00000008 000b5c525d3a91c4"),
        (WatchEndpoints(wait_ns=0), "08 00000001 01"),
        (FetchEndpoints(), "09 00000000"),
    ],
)
def test_action_is_encoded_as_specified(action, encoded):
    assert encode_action(action) == bytes.fromhex(encoded)


def test_wake_time_is_rounded_up_and_timeout_is_at_least_one_microsecond():
    shortest_timeout = encode_action(StartAttempt(ATTEMPT, 1))
    wake = encode_action(WakeAt(1001))

    assert shortest_timeout.endswith(bytes.fromhex("00000001"))
    assert wake == bytes.fromhex("05 0000000c 0000000000000002 00000000")


def test_object_that_is_not_an_action_is_a_type_error():
    with pytest.raises(TypeError, match="int is not an action"):
        encode_action(3)
