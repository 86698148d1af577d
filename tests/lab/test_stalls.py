"""A stalled stand-in must not be reported as a balancer that sends to a draining upstream.

Scenario h2 failed in CI with "timed 1-1: sent after drain 1" and passed in the next run; it did not
fail in 688 further runs, some under load. Stopping one process around the drain for 0.4 to 1.0 s
reproduced it in 6 of 12 runs when that was the stand-in of the upstreams, and in none of 12 when it
was the balancer, or the discovery service (6 of these void). With LB_LOG=debug, in seconds of the
run, the stand-in stopped from 4.75 to 5.35:

    4.751  last_check id=17.2e2 upstream=t0-03 may_send=True
    4.755  last_check id=17.2e4 upstream=t0-03 may_send=True
    4.801  discovery wrote "t0-03 draining"; list_applied version=3 rows=t0-03:draining
    5.350  the stand-in resumes, 596 ms late
    5.351  it stamps the first bytes of 17.2e2 and 17.2e4, 550 ms after the drain was written

The balancer had sent both attempts before the drain, but the stand-in stamped their bytes only when
it could read them. The counters of waits for a core do not detect every such stall: they make a run
void only from 400 ms on, and do not show a process that waits for a disk.
"""

import asyncio
import time

import pytest

from pepperhook.lab import audit, events, stand_ins
from pepperhook.lab.endpoint_audit import EndpointAudit
from pepperhook.lab.stalls import BACKLOG_NS, Stalls, upstream_process_name
from tests.test_lab import make_attempt_row, make_experiment, make_list_entry_row, make_work_row

MS = 10**6
DRAIN_MS = 1000
STAMPED_MS = 1550  # when the stand-in stamped the first byte of the attempt
UPSTREAMS = upstream_process_name(0)


def make_stall_row(ended_ms, late_ms, process=UPSTREAMS):
    """Return a stall that ended at ``ended_ms`` after about ``late_ms``."""
    return events.Stall(process, ended_ms * MS, late_ms * MS)


def audit_stalls(*stalls):
    """Audit an attempt stamped 550 ms after its upstream was listed as draining."""
    rows = [
        make_attempt_row(at=900, duration=STAMPED_MS - 880),
        make_work_row(at=STAMPED_MS),
        make_list_entry_row(0, "ready"),
        make_list_entry_row(DRAIN_MS, "draining"),
        *stalls,
    ]
    return audit.Auditor(make_experiment(), rows, 0).audit()


def rule_3_findings(report):
    """Return the names of the findings against rule 3."""
    return [finding.name for finding in report.findings if finding.rule == 3]


def test_attempt_stamped_late_without_a_stall_is_a_finding():
    assert rule_3_findings(audit_stalls()) == ["sent after drain"]


def test_attempt_that_may_have_arrived_before_the_drain_during_a_stall_is_excused():
    report = audit_stalls(make_stall_row(ended_ms=STAMPED_MS, late_ms=600))

    assert rule_3_findings(report) == []
    assert report.excused["first byte stamped late by a stand-in that stood still"] == 1


@pytest.mark.parametrize(
    "row",
    [
        make_stall_row(STAMPED_MS, 600, process="discovery"),
        make_stall_row(STAMPED_MS, 600, process=upstream_process_name(1)),
        # Its backlog was processed before the byte was stamped.
        make_stall_row(STAMPED_MS - BACKLOG_NS // MS - 1, 600),
        # It began after the byte was stamped.
        make_stall_row(STAMPED_MS + 700, 600),
        # Even the earliest possible arrival is after the drain and its grace.
        make_stall_row(STAMPED_MS, 70),
    ],
)
def test_attempt_is_a_finding_if_no_stall_can_have_delayed_its_stamp_enough(row):
    assert rule_3_findings(audit_stalls(row)) == ["sent after drain"]


def test_attempt_allowed_at_its_stamped_time_is_neither_a_finding_nor_excused():
    rows = [
        make_attempt_row(at=900, duration=STAMPED_MS - 880),
        make_work_row(at=STAMPED_MS),
        make_list_entry_row(0, "gone"),
        make_list_entry_row(STAMPED_MS - 50, "ready"),
        make_stall_row(STAMPED_MS, 600),
    ]

    report = audit.Auditor(make_experiment(), rows, 0).audit()

    assert rule_3_findings(report) == [] and not report.excused


def test_endpoint_audit_reports_no_late_attempt_that_a_stall_can_explain():
    rows = [
        events.StateChange(DRAIN_MS * MS, "listed draining", 0, 0),
        make_work_row(at=STAMPED_MS),
    ]

    def late_sends(*stalls):
        return EndpointAudit([*rows, *stalls]).late_sends((), 100 * MS, 300 * MS)

    assert len(late_sends()) == 1
    assert not late_sends(make_stall_row(STAMPED_MS, 600))
    assert len(late_sends(make_stall_row(STAMPED_MS, 70))) == 1


def test_earliest_arrival_is_the_stamp_itself_where_no_stall_covers_it():
    assert Stalls([]).earliest_arrival(UPSTREAMS, 5) == 5
    assert Stalls([make_stall_row(100, 60)]).earliest_arrival(UPSTREAMS, 300 * MS) == 300 * MS


async def test_stand_in_records_a_stall_of_its_event_loop(tmp_path):
    event_log = events.EventLog(tmp_path / "a.rows")
    monitor = asyncio.create_task(stand_ins.record_stalls(UPSTREAMS, event_log))
    await asyncio.sleep(0.05)
    rows_before = len(event_log.rows)

    stalled_at = time.monotonic_ns()
    time.sleep(0.2)  # blocks the event loop on purpose
    while len(event_log.rows) == rows_before:
        await asyncio.sleep(0)
    monitor.cancel()

    row = event_log.rows[rows_before]
    assert row.process == UPSTREAMS
    assert row.at - row.late_ns <= stalled_at + 15 * MS
    assert row.late_ns >= 180 * MS
    event_log.close()
