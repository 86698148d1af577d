"""The subsets of upstreams that the balancers of a fleet send to."""

import pytest

from pepperhook.domain import EndpointUpdate, Upstream, UpstreamState
from tests.policy.simulation import PolicySimulation


def test_subsets_of_a_fleet_cover_all_upstreams():
    covered = set()
    for index in range(4):
        members = PolicySimulation(10, index=index, fleet_size=4).balancer.subset.members
        assert len(members) >= 3
        covered |= {upstream.address for upstream in members}

    assert len(covered) == 8


def test_subsets_prefer_the_own_zone_and_still_cover_all_upstreams():
    for zones in ([n % 2 for n in range(12)], [0] * 11 + [1], [0] * 12):
        covered, same_zone = set(), 0
        for index in range(12):
            simulation = PolicySimulation(15, index=index, fleet_size=12, cross_zone_price=0.05)
            simulation.replace_endpoints(
                [Upstream(bytes([n] * 6), zone=zone) for n, zone in enumerate(zones)]
            )
            members = simulation.balancer.subset.members
            assert len(members) == len(set(members)) == 4
            covered |= {upstream.address for upstream in members}
            same_zone += sum(upstream.zone == 0 for upstream in members)

        assert covered == {bytes([n] * 6) for n in range(12)}
        # On average three of the four members of each of the 12 balancers are in zone 0.
        assert same_zone >= 36


@pytest.mark.parametrize("index", range(0, 96, 7))
def test_subset_keeps_its_members_when_other_upstreams_are_gone(index):
    # Guards against the loss of a zone that shifts all subsets, so that all connections have to be
    # replaced.
    upstreams = [Upstream(bytes([n] * 6)) for n in range(24)]
    lost = set(upstreams[::3])
    simulation = PolicySimulation(10, index=index, fleet_size=96)
    simulation.replace_endpoints(upstreams)
    before = set(simulation.balancer.subset.members)

    gone = [EndpointUpdate(upstream, UpstreamState.GONE, 0) for upstream in lost]
    simulation.perform(simulation.balancer.endpoints_changed(simulation.now, False, gone))

    after = set(simulation.balancer.subset.members)
    assert before - lost <= after
    assert not lost & after
