"""The auditor: rows recorded twice, totals, cold starts and shutdown times."""

import pytest

from pepperhook.lab import audit, events
from pepperhook.units import MILLISECOND, SECOND
from tests.test_lab import make_attempt_row, make_experiment, make_work_row


def audit_rows(*rows):
    """Return the auditor's report on these rows."""
    return audit.Auditor(make_experiment(), list(rows), 0).audit()


def audit_figure(name, *rows):
    """Return the figure ``name`` for these rows and one served request."""
    return audit_rows(make_attempt_row(), make_work_row(), *rows).figures[name]


def test_row_recorded_twice_is_a_recording_fault_and_not_a_second_execution():
    findings = audit_rows(
        make_attempt_row(service_class=1),
        make_work_row(service_class=1),
        # The same arrival, recorded again with another end.
        make_work_row(service_class=1, outcome="given up", caller_left_at=111),
    ).findings

    assert [(finding.rule, finding.name) for finding in findings] == [
        (0, "a stand-in wrote one dispatch twice")
    ]


def test_totals_sum_over_balancers_but_health_check_intervals_are_per_balancer():
    health_checks = [
        events.Probe(0, 0, caller, (at * 1000 + caller * 50) * MILLISECOND)
        for caller in range(3)
        for at in range(5)
    ]
    connections = [events.AcceptedConnection(0, 0, 1, MILLISECOND)] * 4
    polls = [
        events.EndpointListPoll(0, 0, MILLISECOND, True, True),
        events.EndpointListPoll(0, 1, MILLISECOND, False, False),
    ]

    totals = audit_figure("sums", *health_checks, *connections, *polls)

    assert totals["probes_per_served"] == 15.0
    assert totals["connections_per_served"] == 4.0
    assert totals["asks_per_served"] == 2.0
    assert totals["probe_waits"] == 12
    assert totals["probe_wait_ms"] == 1000
    assert totals["probe_wait_spread"] == 0.0
    assert totals["asks_turned_away"] == 1


def test_pause_between_two_series_of_health_checks_is_not_counted_as_a_wait():
    health_checks = [events.Probe(0, 0, 0, at * MILLISECOND) for at in (0, 500, 2000, 9000, 10400)]

    totals = audit_figure("sums", *health_checks)

    # Intervals of 500, 1500 and 1400 ms.
    assert totals["probe_waits"] == 3
    assert totals["probe_wait_spread"] > 0.3


def make_work_rows(upstream, *seconds):
    """Return one attempt received by the upstream at each of these times."""
    return [
        make_work_row(at=int(at * 1000), identity=f"{upstream}-{at}", upstream=upstream)
        for at in seconds
    ]


def test_attempts_after_a_cold_start_are_compared_with_those_at_warm_upstreams():
    cold = audit_rows(
        events.StateChange(2 * SECOND, "crash", 0, 0),
        events.StateChange(5 * SECOND, "up cold", 0, 0),
        events.StateChange(3 * SECOND, "crash", 0, 3),
        *make_work_rows(0, 1, 1.5, 5.5, 8.9, 9.5),
        *make_work_rows(1, 5.1, 5.2, 6, 7, 8.5, 20),
        *make_work_rows(2, 4.9, 5.1, 8, 8.1, 9.1),
        *make_work_rows(3, 1, 2),
    ).figures["cold"]

    # In the four seconds after its start upstream 0 gets two attempts, upstreams 1 and 2 get five
    # and three. Upstream 3 has crashed itself and does not count as warm.
    assert cold == {"starts": 1, "sent": 2, "to_a_fellow": 4.0, "share": 0.5}


@pytest.mark.parametrize(
    "balancer_events, shortest_ms",
    [
        (
            [
                (1000, "balancer told to leave", 0),
                (1100, "balancer told to leave", 1),
                (1600, "balancer left", 1),
                (1400, "balancer left", 0),
                (1700, "balancer left", 1),
            ],
            400,
        ),
        ([], None),
    ],
)
def test_shortest_shutdown_lasts_from_the_signal_to_the_end_of_the_same_balancer(
    balancer_events, shortest_ms
):
    rows = [
        events.StateChange(at * MILLISECOND, name, 0, balancer)
        for at, name, balancer in balancer_events
    ]

    assert audit_figure("shortest_leave_ms", *rows) == shortest_ms
