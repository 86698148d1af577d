"""Zones of an experiment: their members, and the faults that concern a zone or its border."""

import pytest

from pepperhook import tomlfile
from pepperhook.lab import discovery, experiment
from pepperhook.lab.experiment import Plan
from pepperhook.lab.instances import Timeline
from pepperhook.lab.network import Network, Relay
from tests.lab.experiments import make_zoned_experiment

FAULTS = """
[[troubles]]
what = "crash"
at = 1
zone = 1
[[troubles]]
what = "released"
at = 1
for = 2
part = 1.0
over = 2
[[troubles]]
what = "kill_balancer"
tier = 1
at = 1
zone = 0
"""


@pytest.fixture
def zoned():
    """Return an experiment with two zones, a crash, a release in steps and a killed balancer."""
    return make_zoned_experiment(FAULTS)


@pytest.fixture
def plan(zoned):
    """Return the plan of the experiment."""
    return Plan(zoned, 1, 30)


def test_fault_of_a_zone_affects_only_upstreams_and_balancers_in_that_zone(zoned):
    targets = [experiment.fault_targets(zoned, fault) for fault in zoned.faults]

    assert targets == [[1, 3], [0, 1, 2, 3], [0, 2]]


def test_release_reaches_one_upstream_after_another(zoned):
    release = zoned.faults[1]

    assert list(experiment.fault_periods(zoned, release)) == [
        (0, 1, 3),
        (1, 1.5, 3.5),
        (2, 2, 4),
        (3, 2.5, 4.5),
    ]


def test_balancers_are_assigned_to_zones_in_turn(plan):
    assert [plan.settings(1, number)["locality"] for number in range(4)] == [0, 1, 0, 1]
    assert plan.settings(0, 0)["azs"] == ["a", "b"]


def test_endpoint_list_names_the_zone_of_each_upstream(plan):
    endpoint_list = discovery.EndpointList.__new__(discovery.EndpointList)
    endpoint_list.plan, endpoint_list.tier, endpoint_list.seq, endpoint_list.log = plan, 0, 1, []
    endpoint_list.rows = {f"h{number}": (number, "ready", 0) for number in range(4)}

    rows = endpoint_list.response_for(None, 0)[0]["hosts"]

    assert [row["site"] for row in rows] == ["a", "b", "a", "b"]


def test_released_upstream_drains_leaves_and_returns_under_another_id(plan):
    list_changes = [row for row in Timeline.of(plan.scenario, 0).listings if row.number == 0]

    assert [(row.at, row.number, row.host, row.state) for row in list_changes] == [
        (1, 0, "t0-00", "draining"),
        (2.0, 0, "t0-00", "gone"),
        (4.0, 0, "t0-00-r1", "ready"),
    ]


def test_fault_of_a_zone_that_does_not_exist_is_an_error():
    with pytest.raises(tomlfile.TomlFileError, match="there are 2 zones"):
        make_zoned_experiment('[[troubles]]\nwhat = "crash"\nat = 1\nzone = 2\n')


@pytest.mark.parametrize(
    "zones, crosses",
    [
        (("a", "a"), False),
        (("a", "b"), True),
        (("b", "a"), True),
        (("b", "b"), False),
    ],
)
def test_connection_crosses_a_zones_border_if_one_end_is_in_the_zone(zones, crosses):
    network = Network(Plan(make_zoned_experiment(), 1, 30), None)
    fault = experiment.Fault(type="net_apart", start_s=1, zone=1)  # zone 1 is "b"
    relay = Relay(network, None)
    relay.zones = zones

    assert network.crosses(relay, fault) is crosses
