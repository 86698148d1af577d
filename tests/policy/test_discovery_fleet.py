"""A fleet of balancers in an outage of discovery, in virtual time: trust, service and polls."""

import pytest

from pepperhook.policy.endpoints import MAX_WATCH_WAIT, NOTIFIED_AFTER
from pepperhook.units import SECOND
from tests.policy.discovery_fleet import START, DiscoveryFleet, Service

OUTAGE_AT = START + 20 * SECOND + SECOND // 7  # at no multiple of a poll's wait
OBSERVED_AFTER = 8 * SECOND  # the return, longer than the notification time
LONGEST_ROUND = 24 * SECOND  # of polls that are refused by an overloaded service
MIN_SERVED_SHARE = 0.95  # of time and balancers in an outage
# A fleet polls in an outage about as often as its watches do without one.
MAX_POLL_RATIO = 1.1


def run_outage(size, outage_s, refuses_after_ns):
    """Run a fleet whose discovery is down, with a change of the list within the outage."""
    returns_at = OUTAGE_AT + outage_s * SECOND
    service = Service(
        outages=[(OUTAGE_AT, returns_at)],
        refuses_after_ns=refuses_after_ns,
        changed_at=OUTAGE_AT + SECOND,
    )
    fleet = DiscoveryFleet(size, service)
    fleet.run(returns_at + OBSERVED_AFTER)
    return fleet, returns_at


@pytest.mark.parametrize("refuses_after_ns", [0, SECOND, 2 * SECOND])
@pytest.mark.parametrize("size, outage_s", [(1, 20), (10, 20), (102, 8), (102, 20)])
def test_fleet_keeps_rule_3_and_its_service_in_an_outage(size, outage_s, refuses_after_ns):
    # Trust in health checks lasted until the next poll, which came up to 25 s after the return.
    fleet, returns_at = run_outage(size, outage_s, refuses_after_ns)

    assert fleet.latest_permission() <= returns_at + NOTIFIED_AFTER
    assert fleet.served_share(OUTAGE_AT, returns_at) >= MIN_SERVED_SHARE
    assert fleet.served_share(returns_at, returns_at + OBSERVED_AFTER) >= MIN_SERVED_SHARE
    assert fleet.all_current_at() <= returns_at + NOTIFIED_AFTER


@pytest.mark.parametrize("refuses_after_ns", [0, SECOND, 2 * SECOND])
def test_fleet_polls_about_as_often_in_an_outage_as_without_one(refuses_after_ns):
    # Polls that come again at once would bury a service that is back.
    size = 102
    fleet, returns_at = run_outage(size, 20, refuses_after_ns)

    mean, _ = fleet.polls_per_second(OUTAGE_AT + SECOND, returns_at)
    assert mean <= MAX_POLL_RATIO * size * SECOND / MAX_WATCH_WAIT


def test_fleet_gets_its_list_from_a_service_with_less_capacity_than_its_watches_need():
    # Each refused poll came again after 3 s, and the service worked in vain: nobody was answered.
    changed_at = OUTAGE_AT
    fleet = DiscoveryFleet(102, Service(calls_per_s=25, changed_at=changed_at))
    fleet.run(changed_at + LONGEST_ROUND)

    assert fleet.all_current_at() is not None
    assert fleet.latest_permission() <= changed_at + NOTIFIED_AFTER, "the service can be reached"


def test_change_in_a_short_return_between_two_outages_ends_the_trust():
    # A balancer whose slot is not within the return takes the two outages for one.
    ends_at = OUTAGE_AT + 6 * SECOND
    again_at = ends_at + SECOND
    outages = [(OUTAGE_AT, ends_at), (again_at, again_at + 12 * SECOND)]
    fleet = DiscoveryFleet(102, Service(outages=outages, changed_at=OUTAGE_AT + SECOND))
    fleet.run(again_at + 20 * SECOND)

    assert fleet.latest_permission() <= ends_at + NOTIFIED_AFTER
