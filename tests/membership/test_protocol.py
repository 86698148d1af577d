"""The failure detector of one member: probes, relayed probes, suspicion and stalls."""

import pytest

from pepperhook.membership.local_health import MAX_SCORE
from pepperhook.membership.messages import MemberState, Message, MessageType
from pepperhook.membership.protocol import SwimProtocol
from pepperhook.membership.settings import NS_PER_MS, NS_PER_S
from tests.membership.helpers import (
    LOCAL,
    assert_consistent,
    make_protocol,
    of_type,
    record,
    state_of,
    suspect,
)


def begin_probe(protocol: SwimProtocol) -> str:
    """Begin a probe period, and return the name of the probed member."""
    outgoing = protocol.tick(protocol.next_period_ns)
    return outgoing[0].message.target


def run_unanswered_probe(protocol: SwimProtocol) -> str:
    """Run a probe that gets no answer while all helpers send NACKs; return the target's name."""
    target = begin_probe(protocol)
    timeout_at = protocol.probe.timeout_at_ns
    for request in of_type(protocol.tick(timeout_at), MessageType.PING_REQ):
        nack = Message(MessageType.NACK, request.sequence, record(request.target), LOCAL)
        protocol.receive(timeout_at + 200 * NS_PER_MS, nack)
    protocol.tick(protocol.next_period_ns)
    return target


class TestProbe:
    """A member's own probes."""

    def test_a_period_begins_with_a_ping(self):
        protocol = make_protocol("abcde")

        ping = protocol.tick(protocol.next_period_ns)[0].message

        assert ping.type == MessageType.PING
        assert ping.target == protocol.probe.member.record.name
        assert ping.sequence == protocol.probe.sequence

    def test_a_member_that_does_not_answer_is_probed_through_three_others(self):
        protocol = make_protocol("abcde")
        target = begin_probe(protocol)

        outgoing = protocol.tick(protocol.probe.timeout_at_ns)

        requests = of_type(outgoing, MessageType.PING_REQ)
        assert len(requests) == len(outgoing) == 3
        assert target not in {request.target for request in requests}
        assert {request.payload.name for request in requests} == {target}

    def test_a_member_that_no_helper_reaches_is_suspected_and_the_health_score_stays_0(self):
        protocol = make_protocol("abcde")

        target = run_unanswered_probe(protocol)

        assert state_of(protocol, target) == MemberState.SUSPECT
        assert protocol.counters.suspected == 1
        assert protocol.local_health.score == 0
        assert_consistent(protocol)

    def test_an_ack_relayed_by_a_helper_ends_the_probe(self):
        protocol = make_protocol("ab")
        target = begin_probe(protocol)
        helper = "b" if target == "a" else "a"

        ack = Message(MessageType.ACK, protocol.probe.sequence, record(helper), LOCAL, target)
        protocol.receive(protocol.next_period_ns, ack)

        assert protocol.probe is None


class TestSuspicion:
    """Confirmation and timeout of suspicions."""

    def test_only_a_new_accuser_shortens_a_suspicion(self):
        protocol = make_protocol("abcde")
        target = run_unanswered_probe(protocol)
        accuser = "b" if target != "b" else "c"
        now = protocol.next_period_ns
        suspicion = protocol.view.suspicions.suspicions[target]
        first_deadline = suspicion.deadline_ns

        protocol.view.merge(now, suspect(target), accuser)
        second_deadline = suspicion.deadline_ns
        protocol.view.merge(now, suspect(target), accuser)

        assert second_deadline < first_deadline
        assert suspicion.deadline_ns == second_deadline

    def test_a_suspicion_that_times_out_makes_the_member_lost(self):
        protocol = make_protocol("abcde")
        target = run_unanswered_probe(protocol)
        accuser = "b" if target != "b" else "c"
        protocol.view.merge(protocol.next_period_ns, suspect(target), accuser)
        deadline = protocol.view.suspicions.suspicions[target].deadline_ns

        while protocol.next_deadline() <= deadline:
            protocol.tick(protocol.next_deadline())

        assert state_of(protocol, target) == MemberState.LOST
        assert target not in protocol.table.present_names()
        assert protocol.counters.lost == 1
        assert_consistent(protocol)


class TestRelayedProbe:
    """Probes on behalf of another member."""

    @pytest.fixture
    def helper(self):
        """A member that knows the requester ``a``."""
        return make_protocol("a")

    @pytest.fixture
    def request_for_z(self):
        """A request of ``a`` to probe ``z``."""
        return Message(MessageType.PING_REQ, 77, record("a"), LOCAL, record("z"))

    def test_a_helper_pings_the_target(self, helper, request_for_z):
        [outgoing] = helper.receive(10, request_for_z)

        assert outgoing.address == record("z").address
        assert (outgoing.message.type, outgoing.message.target) == (MessageType.PING, "z")

    def test_a_helper_relays_the_targets_answer(self, helper, request_for_z):
        [ping] = of_type(helper.receive(10, request_for_z), MessageType.PING)

        outgoing = helper.receive(20, Message(MessageType.ACK, ping.sequence, record("z"), LOCAL))

        [relayed] = [item for item in outgoing if item.message.sequence == 77]
        assert relayed.address == record("a").address
        assert (relayed.message.type, relayed.message.payload) == (MessageType.ACK, "z")
        assert not helper.relay.probes

    def test_a_helper_sends_a_nack_if_the_target_does_not_answer_in_time(
        self, helper, request_for_z
    ):
        helper.receive(30, request_for_z)

        outgoing = helper.tick(30 + helper.settings.probe_timeout_ns)

        nacks = of_type(outgoing, MessageType.NACK)
        assert [nack.sequence for nack in nacks] == [77]


def test_after_a_stall_suspicions_are_postponed_and_the_health_score_is_the_worst():
    protocol = make_protocol("abc")
    protocol.view.merge(0, suspect("c"), "b")
    deadline = protocol.view.suspicions.suspicions["c"].deadline_ns
    protocol.tick(protocol.next_period_ns)
    late = protocol.next_period_ns + 60 * NS_PER_S

    protocol.tick(late)

    assert protocol.counters.stalls == 1
    assert protocol.counters.suspected == 0
    assert protocol.counters.lost == 0
    assert protocol.view.suspicions.suspicions["c"].deadline_ns > deadline + 55 * NS_PER_S
    assert protocol.local_health.score == MAX_SCORE
    assert protocol.next_period_ns - late > 2 * NS_PER_S
    assert_consistent(protocol)


class TestPoorLocalHealth:
    """A member whose health is poor is heard all the same."""

    def test_a_refutation_is_sent_to_all_members_at_once(self):
        # It waited for the member's next probe, which poor local health had made nine times rarer.
        protocol = make_protocol("abcde")
        protocol.local_health.set_worst()
        update = suspect(LOCAL)

        message = Message(MessageType.ACK, 0, record("a"), LOCAL, None, [update], ["b"])
        outgoing = protocol.receive(0, message)

        assert {item.message.target for item in outgoing} == set("abcde")
        assert {item.message.sender.incarnation for item in outgoing} == {update.incarnation + 1}

    def test_pending_updates_are_sent_in_each_period_without_a_probe(self):
        protocol = make_protocol("abcde")
        protocol.local_health.set_worst()
        begin_probe(protocol)
        period_ns = protocol.settings.probe_period_ns

        for _ in range(3):
            now = protocol.next_deadline()
            while now < protocol.next_dissemination_ns:
                protocol.tick(now)
                now = protocol.next_deadline()
            [item] = protocol.tick(now)

            assert item.message.type == MessageType.ACK and item.message.sequence == 0
            assert item.message.updates
            assert protocol.next_dissemination_ns == now + period_ns
        assert protocol.next_period_ns > now

    def test_a_late_update_is_no_sign_of_a_stall(self):
        protocol = make_protocol("ab")
        protocol.local_health.set_worst()
        begin_probe(protocol)
        protocol.view.dissemination.transmissions.clear()
        later = protocol.next_dissemination_ns + 3 * protocol.settings.probe_period_ns

        protocol.probe = None
        protocol.view.merge(later, record("c"), "a")
        protocol.tick(later)

        assert protocol.counters.stalls == 0

    def test_the_accuser_notifies_the_suspect_at_once(self):
        protocol = make_protocol("abcde")
        target = begin_probe(protocol)
        protocol.tick(protocol.probe.timeout_at_ns)

        outgoing = protocol.tick(protocol.next_period_ns)

        [notice] = [item.message for item in outgoing if item.message.target == target]
        assert notice.updates[0].name == target
        assert notice.updates[0].state == MemberState.SUSPECT
