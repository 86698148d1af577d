"""Clusters in virtual time. All randomness comes from a seed, so every run is the same."""

import random

import pytest

from pepperhook.lab.gossip import Network, converged_network
from pepperhook.membership.fleet_position import FleetPosition
from pepperhook.membership.messages import MemberState
from pepperhook.membership.settings import NS_PER_MS, NS_PER_S, ProtocolSettings
from tests.membership.helpers import assert_consistent, state_of

FORGET_AFTER_NS = 20 * NS_PER_S
MEMBERS = 12
FAULT_INTERVAL_S = 0.7
FAULTS = 60
CHECK_INTERVAL = 7  # network events between checks of all members


def no_cut(_sender: str, _receiver: str) -> bool:
    """Cut no link between members."""
    return False


def run_for(network: Network, seconds: float) -> None:
    """Run the network for a number of virtual seconds."""
    network.run(network.now / NS_PER_S + seconds)


def split(network: Network, side: set[str]) -> None:
    """Split a network in two, in both directions."""
    network.is_blocked = lambda sender, receiver: (sender in side) != (receiver in side)


class FaultInjector:
    """Injects random faults of members and network, and checks the members' state throughout."""

    def __init__(self, seed: int):
        self.random = random.Random(seed)
        settings = ProtocolSettings(forget_after_ns=FORGET_AFTER_NS)
        self.network = Network(MEMBERS, seed, loss=0.1, settings=settings)
        self.start_incarnations = dict.fromkeys(range(MEMBERS), 1)
        self.highest_incarnations: dict[str, int] = {}
        for number in range(MEMBERS):
            start_s = self.random.uniform(0, 3)
            self.network.call_at(start_s, lambda number=number: self.network.start_member(number))
        for index in range(FAULTS):
            self.network.call_at(4 + index * FAULT_INTERVAL_S, self.inject)

    def inject(self) -> None:
        """Inject one random fault, or end one."""
        number = self.random.randrange(MEMBERS)
        fault = self.random.choice(("kill", "stop", "leave", "cut", "heal"))
        if fault == "cut":
            self.cut_one_way()
        elif fault == "heal":
            self.network.is_blocked = no_cut
        else:
            self.fail_or_restore(f"m{number:04}", number, fault)

    def cut_one_way(self) -> None:
        """Cut the links from a random subset of the members to the rest."""
        side = {f"m{number:04}" for number in range(MEMBERS) if self.random.random() < 0.5}
        self.network.is_blocked = lambda sender, receiver: sender in side and receiver not in side

    def fail_or_restore(self, name: str, number: int, fault: str) -> None:
        """Kill or stop a member, or have it leave; if it is not running, restore it instead."""
        network = self.network
        if name not in network.members:
            # Its clock may not have advanced since its previous run.
            self.start_incarnations[number] += self.random.choice((0, 1, 1000))
            network.start_member(number, self.start_incarnations[number])
        elif name in network.paused:
            network.resume(name)
        elif fault == "stop":
            network.pause(name)
        elif fault == "kill":
            network.kill(name)
        else:
            local = network.members[name].protocol.table.local
            self.highest_incarnations[name] = local.incarnation + 1  # leaving raises it once more
            network.leave(name)

    def run(self, until_s: float) -> None:
        """Run, and check the members' state at intervals."""
        while self.network.events and self.network.now < until_s * NS_PER_S:
            self.network.step()
            self.record_incarnations()
            if self.network.event_count % CHECK_INTERVAL == 0:
                self.check()

    def record_incarnations(self) -> None:
        """Record the highest incarnation of each member."""
        for name, member in self.network.members.items():
            incarnation = member.protocol.table.local.incarnation
            self.highest_incarnations[name] = max(
                self.highest_incarnations.get(name, 0), incarnation
            )

    def check(self) -> None:
        """Check each member's state, and that only a member itself raises its incarnation."""
        for member in self.network.members.values():
            assert_consistent(member.protocol)
            for name, other in member.protocol.table.others.items():
                assert other.record.incarnation <= self.highest_incarnations[name]

    def heal(self) -> None:
        """End all faults."""
        self.network.is_blocked = no_cut
        self.network.loss = 0.0
        for name in list(self.network.paused):
            self.network.resume(name)


@pytest.mark.parametrize("seed", range(4))
def test_state_stays_consistent_under_faults_and_members_agree_after_them(seed):
    injector = FaultInjector(seed)

    injector.run(until_s=50)
    injector.heal()
    run_for(injector.network, 60)

    assert len(injector.network.members) > 2
    assert injector.network.has_converged()


def test_runs_with_the_same_seed_give_the_same_statistics():
    def run_and_measure():
        network = converged_network(15, 8, loss=0.05)
        network.kill("m0007")
        run_for(network, 20)
        return network.figures()

    assert run_and_measure() == run_and_measure()


def test_under_datagram_loss_only_killed_members_are_declared_lost_by_all():
    network = converged_network(40, 2, loss=0.05)

    network.kill("m0020")
    network.kill("m0021")
    run_for(network, 40)

    figures = network.figures()
    detection_times_ns = [death.known for death in figures.deaths]
    assert len(detection_times_ns) == 2
    assert all(time_ns is not None and time_ns < 30 * NS_PER_S for time_ns in detection_times_ns)
    assert figures.falsely_lost == 0
    assert network.has_converged()


def test_a_member_that_leaves_is_marked_as_left_by_all_and_suspected_by_none():
    network = converged_network(30, 3)

    network.leave("m0011")
    run_for(network, 6)

    assert network.has_converged()
    states = {state_of(member.protocol, "m0011") for member in network.members.values()}
    assert states == {MemberState.LEFT}
    assert network.figures().suspected == 0


def test_a_member_that_was_stalled_for_a_minute_rejoins_and_declares_nobody_lost():
    network = converged_network(20, 6)
    stalled = network.members["m0005"].protocol

    network.pause("m0005")
    run_for(network, 60)
    others = [m.protocol for name, m in network.members.items() if name != "m0005"]
    states = {state_of(protocol, "m0005") for protocol in others}
    network.resume("m0005")
    run_for(network, 30)

    assert states == {MemberState.LOST}
    assert network.has_converged()
    assert network.figures().falsely_lost == 0
    assert stalled.counters.stalls == 1


def test_a_member_that_can_send_but_not_receive_causes_no_other_to_be_declared_lost():
    network = converged_network(20, 7)
    other_names = {name for name in network.members if name != "m0003"}

    network.is_blocked = lambda _sender, receiver: receiver == "m0003"
    run_for(network, 90)

    for name in other_names:
        present = network.members[name].protocol.table.present_names()
        assert set(present) - {"m0003"} == other_names
    network.is_blocked = no_cut
    run_for(network, 60)
    assert network.has_converged()


def test_a_member_that_restarts_with_its_clock_set_back_rejoins():
    network = Network(6, 9)
    for number in range(6):
        network.start_member(number, 1000)
    network.run(5)
    network.kill("m0004")
    network.run(8)

    network.start_member(4, 3)
    network.run(30)

    assert network.has_converged()
    assert network.members["m0004"].protocol.table.local.incarnation > 1000


def test_a_hundred_members_join_through_three_seeds_at_bounded_load():
    network = Network(100, 10)
    for number in range(100):
        network.call_at(0.01 * number, lambda number=number: network.start_member(number))

    network.run(15)

    assert network.has_converged()
    busiest_datagrams_per_s = max(network.sent.values()) / 15
    assert busiest_datagrams_per_s < 60


class TestSplitNetwork:
    """Fleet positions of twenty members while eight of them are split from the rest."""

    @pytest.fixture
    def network(self):
        """Twenty members whose views agree."""
        return converged_network(20, 4)

    @pytest.fixture
    def positions(self, network):
        """The position of each member."""
        positions = {name: FleetPosition(name, 20, 20 * NS_PER_S) for name in network.members}
        self.update(network, positions)
        return positions

    def update(self, network, positions):
        """Apply each member's view to its position."""
        for name, member in network.members.items():
            table = member.protocol.table
            positions[name].update(network.now, table.present_names(), table.departed_names())
            positions[name].settle(network.now)

    def run_and_update(self, network, positions, seconds):
        """Run, and update the positions each second."""
        for _ in range(seconds):
            run_for(network, 1)
            self.update(network, positions)

    def test_only_the_larger_part_of_a_split_network_reduces_the_fleet_size(
        self, network, positions
    ):
        smaller = {f"m{number:04}" for number in range(8)}
        larger = set(network.members) - smaller

        split(network, smaller)
        self.run_and_update(network, positions, 90)

        present_counts = {
            len(network.members[name].protocol.table.present_names()) for name in smaller
        }
        assert present_counts == {8}
        assert {positions[name].count for name in smaller} == {20}
        assert {positions[name].count for name in larger} == {12}

    def test_positions_cover_the_whole_fleet_again_after_the_split_ends(self, network, positions):
        split(network, {f"m{number:04}" for number in range(8)})
        self.run_and_update(network, positions, 90)

        network.is_blocked = no_cut
        self.run_and_update(network, positions, 40)

        assert network.has_converged()
        assert {position.count for position in positions.values()} == {20}
        assert sorted(position.index for position in positions.values()) == list(range(20))


# The shortest suspicions of these clusters are 1.04, 1.18 and 1.42 s.
@pytest.mark.parametrize("members, stop_s", [(20, 1.0), (30, 1.0), (60, 1.2)])
def test_a_member_that_stops_for_less_than_a_suspicion_is_not_declared_lost(members, stop_s):
    # Its refutation waited for its own probes, which poor local health had made rarer.
    settings = ProtocolSettings(
        probe_period_ns=400 * NS_PER_MS, probe_timeout_ns=120 * NS_PER_MS, suspicion_multiplier=2.0
    )
    falsely_lost = 0
    for seed in range(6):
        network = converged_network(members, seed, settings=settings)
        for number in range(3, 9):
            network.pause(f"m{number:04}")
            network.run(network.now / NS_PER_S + stop_s)
            network.resume(f"m{number:04}")
            network.run(network.now / NS_PER_S + 8.0)
        falsely_lost += network.false_lost

    assert falsely_lost == 0
