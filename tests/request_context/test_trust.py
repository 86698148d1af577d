"""Which contexts a balancer accepts, and how it reports those that it rejects."""

from collections import Counter

import pytest

from pepperhook.request_context.context_header import read_context, write_context
from pepperhook.request_context.context_reader import (
    LOG_INTERVAL_NS,
    ContextReader,
    TrustedNetworks,
)
from pepperhook.request_context.errors import RejectionReason
from pepperhook.server.extensions import Extensions
from pepperhook.server.field_value import FieldValue
from tests.request_context.contexts import KEYS, NO_KEYS, full_context, make_context
from tests.request_context.tiers import LOOPBACK_NETWORK, make_extension, signed
from tests.server.balancers import RunningBalancer
from tests.server.peers import ScriptedPeer, always, make_response

# Allows more than the policy of the balancer, if the context is accepted.
HIGH_LIMITS = {"retries": 9, "priority_weight": 9.0}
NO_TIME_LEFT = 'v=1, id="a", p="0", depth=1, left=0'


async def test_invalid_values_have_no_effect_and_are_counted():
    extension = make_extension("m")
    valid = signed(make_context("c", remaining_ms=5, **HIGH_LIMITS))
    invalid = [
        valid.replace("left=5,", "left=1,"),
        write_context(make_context("c", remaining_ms=0, **HIGH_LIMITS), NO_KEYS),
        "nonsense",
        "v=1" * 900,
        f"{valid}\r\nPepperhook-Chain: {valid}",
    ]
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], Extensions([extension])) as balancer,
    ):
        statuses = [(await balancer.request(Pepperhook_Chain=value))[0] for value in invalid]

    assert statuses == [200] * 5
    assert len(peer.requests) == 5
    assert extension.policy.rejected_values == {
        RejectionReason.FORGED: 1,
        RejectionReason.UNTRUSTED: 1,
        RejectionReason.UNKNOWN_VERSION: 1,
        RejectionReason.OVERSIZED: 1,
        RejectionReason.AMBIGUOUS: 1,
    }


async def test_context_with_a_changed_request_id_is_forged():
    extension = make_extension("m")
    forged = signed(make_context("c", remaining_ms=0)).replace('id="c"', 'id="d"')
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], Extensions([extension])) as balancer,
    ):
        assert (await balancer.request(Pepperhook_Chain=forged))[0] == 200

    assert len(peer.requests) == 1
    assert extension.policy.rejected_values == {RejectionReason.FORGED: 1}


async def test_request_with_a_signed_context_without_time_left_is_rejected():
    expired = signed(make_context("t", remaining_ms=0, **HIGH_LIMITS))
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], Extensions([make_extension("m")])) as balancer,
    ):
        assert (await balancer.request(X_Timeout_Ms="2000", Pepperhook_Chain=expired))[0] == 503
        assert balancer.counters["chain late"] == 1

    assert not peer.requests


async def test_value_whose_key_id_is_not_a_string_is_ignored():
    extension = make_extension("m")
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], Extensions([extension])) as balancer,
    ):
        value = f"{NO_TIME_LEFT}, k=(1 2), mac=:aGk=:"
        assert (await balancer.request(Pepperhook_Chain=value))[0] == 200

    assert extension.policy.rejected_values == {RejectionReason.UNTRUSTED: 1}


async def test_entry_ignores_contexts_and_sends_no_result_to_clients():
    extension = make_extension("e", entry=True, trust=[LOOPBACK_NETWORK])
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], Extensions([extension])) as balancer,
    ):
        assert (await balancer.request(Pepperhook_Chain=NO_TIME_LEFT))[0] == 200
        assert b"Pepperhook-Chain-Result" not in balancer.response_head


async def test_caller_that_drops_contexts_is_logged_and_counted_once(caplog):
    extension = make_extension("m", keys=False, trust=[LOOPBACK_NETWORK])
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], Extensions([extension])) as balancer,
    ):
        for _ in range(20):
            assert (await balancer.request())[0] == 200
        # The contexts that such a caller does send are still applied.
        assert (await balancer.request(Pepperhook_Chain=NO_TIME_LEFT))[0] == 503
        assert balancer.counters["chain callers that drop it"] == 1

    assert "chain_dropped" in caplog.text


class RecordingLog:
    def __init__(self):
        self.warnings = []

    def warning(self, event, **pairs):
        self.warnings.append((event, pairs))


def make_reader(log, *networks):
    return ContextReader(TrustedNetworks(networks), KEYS, Counter(), log)


def test_rejected_values_are_logged_once_per_interval_with_their_count():
    log = RecordingLog()
    reader = make_reader(log)

    for now in (0, 1, 2, LOG_INTERVAL_NS):
        reader.read(now, read_context, [FieldValue.ascii("nonsense")], "192.0.2.1")

    assert [(event, pairs["count"]) for event, pairs in log.warnings] == [
        ("chain_not_believed", 1),
        ("chain_not_believed", 3),
    ]
    assert f"{log.warnings[0][1]['why']}" == "of another version"
    assert log.warnings[0][1]["peer"] == "192.0.2.1"


@pytest.mark.parametrize(
    "peer, is_accepted",
    [("192.0.2.1", True), ("198.51.100.1", False), ("no address", False), (None, False)],
)
def test_value_without_a_mac_is_accepted_only_from_a_trusted_network(peer, is_accepted):
    reader = make_reader(RecordingLog(), "192.0.2.0/24")
    value = write_context(full_context(), NO_KEYS)

    for _ in range(2):  # the second time from the cache
        contexts = reader.read(0, read_context, [FieldValue.ascii(value)], peer)
        assert contexts == ([full_context()] if is_accepted else [])


def test_malformed_network_is_an_error_that_names_it():
    with pytest.raises(ValueError, match="here"):
        make_extension("m", trust=["here"])
