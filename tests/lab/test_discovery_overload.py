"""The scenario `discovery-overload`: its audit, its checks and its injected defects."""

import pytest

from pepperhook import tomlfile
from pepperhook.actions import WatchEndpoints
from pepperhook.balancer import Balancer
from pepperhook.domain import PollFailure, Upstream, UpstreamState
from pepperhook.lab import defects, events, experiment
from pepperhook.lab.endpoint_audit import EndpointAudit, quantile
from pepperhook.lab.experiment import Experiment
from pepperhook.lab.proofs import PROOFS
from pepperhook.lab.proofs.discovery_overload import OverloadChecks, evenly_loaded, reduced
from pepperhook.lab.scenario_run import ROOT
from pepperhook.policy import endpoints
from pepperhook.poll_backoff import PollBackoff
from tests.policy.simulation import make_settings
from tests.test_lab import EXPERIMENT

S, MS = 10**9, 10**6
GRACE = 450 * MS
SCENARIO = experiment.read(ROOT / "proofs" / "discovery-overload.toml")
START = 100 * S
REACHABLE_AT = START + 10 * S  # end of the outage of the discovery service


def attempt_row(at, upstream=0, caller=0, identity="a"):
    return events.UpstreamWork(0, upstream, caller, identity, 0, at, at, at, "served", at, 0, "n")


def state_row(state, at, upstream=0):
    return events.StateChange(at, f"listed {state}", 0, upstream)


def poll_row(at, caller=0, status=200, reached_at=None):
    reached_at = at if reached_at is None else reached_at
    return events.EndpointListPoll(0, caller, at, True, status == 200, reached_at, status)


# The audit.


def late_sends(*rows, unreachable=()):
    return EndpointAudit(rows).late_sends(unreachable, endpoints.NOTIFIED_AFTER, GRACE)


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_a_send_is_late_only_after_the_change_counts_as_notified(state):
    last = 10 * S + endpoints.NOTIFIED_AFTER + GRACE
    assert not late_sends(state_row(state, 10 * S), attempt_row(last))
    late_rows = late_sends(state_row(state, 10 * S), attempt_row(last + 1, caller=3))
    assert [(row.balancer, row.upstream, row.late_ns) for row in late_rows] == [(3, 0, 1)]


def test_a_send_is_not_late_if_the_service_was_unreachable_until_shortly_before():
    rows = state_row("draining", 10 * S), attempt_row(20 * S)
    assert late_sends(*rows) and not late_sends(*rows, unreachable=[(9 * S, 18 * S)])
    assert late_sends(*rows, unreachable=[(11 * S, 18 * S)]), "it was reachable when it changed"
    assert not late_sends(*rows, unreachable=[(14 * S, 18 * S), (9 * S, 14 * S)])


def test_sends_to_an_upstream_that_is_ready_again_or_to_another_one_are_not_late():
    assert not late_sends(
        state_row("draining", 10 * S), state_row("ready", 30 * S), attempt_row(40 * S)
    )
    assert not late_sends(state_row("draining", 10 * S), attempt_row(40 * S, upstream=1))
    assert late_sends(state_row("ready", 0), state_row("draining", 10 * S), attempt_row(40 * S))


def test_only_polls_that_reached_the_service_count_as_load():
    rows = [
        poll_row(REACHABLE_AT + at * MS, reached_at=REACHABLE_AT + at * MS) for at in (0, 999, 1000)
    ]
    rows += [poll_row(REACHABLE_AT - 1), poll_row(REACHABLE_AT + 5, reached_at=0, status=0)]
    assert EndpointAudit(rows).polls_by_second(REACHABLE_AT) == {0: 2, 1: 1}


def test_a_balancer_is_notified_at_its_first_successful_poll_after_the_outage():
    rows = [
        poll_row(REACHABLE_AT + 3 * S, caller=1),
        poll_row(REACHABLE_AT + 2 * S, caller=1),
        poll_row(REACHABLE_AT + 1, caller=1, status=503),
        poll_row(REACHABLE_AT + 1, caller=0, reached_at=REACHABLE_AT - 1),
    ]
    assert EndpointAudit(rows).notified_at(REACHABLE_AT, 2) == {1: REACHABLE_AT + 2 * S}


def test_age_of_the_list_counts_from_the_last_answer_or_the_end_of_the_last_watch():
    rows = [poll_row(1 * S), events.HeldWatch(0, 0, 1 * S, 5 * S), poll_row(7 * S, status=503)]
    sends = [attempt_row(at * S) for at in (1, 4, 5, 8)] + [attempt_row(9 * S, caller=1)]
    assert EndpointAudit(rows + sends).list_ages_ns(0) == [0, 0, 0, 3 * S]


def test_quantile_is_zero_without_values_and_else_the_value_at_the_rank():
    assert quantile([], 0.5) == 0
    assert [quantile([1, 2, 3, 4], fraction) for fraction in (0.0, 0.5, 1.0)] == [1, 3, 4]


# The checks.


def make_checks(*rows, scenario=SCENARIO):
    return OverloadChecks(scenario, EndpointAudit(rows), START)


def answered_polls(scenario=SCENARIO, after_s=5.0):
    return [
        poll_row(REACHABLE_AT + int((after_s + 0.1 * caller) * S), caller)
        for caller in range(scenario.tiers[0].balancers)
    ]


def test_run_without_faults_passes_all_checks_in_both_sizes():
    assert make_checks(*answered_polls()).failed_checks(True) == []
    quick = reduced(SCENARIO)
    assert make_checks(*answered_polls(quick), scenario=quick).failed_checks(False) == []


def test_the_quick_size_reduces_the_capacity_and_the_load_in_proportion():
    quick = reduced(SCENARIO)
    for rate in quick.discovery.calls_per_s, quick.discovery.lines_per_s, quick.load[0].rate:
        assert rate > 0
    assert quick.tiers[0].balancers / SCENARIO.tiers[0].balancers == 0.5
    assert quick.discovery.calls_per_s / SCENARIO.discovery.calls_per_s == 0.5
    assert make_checks(scenario=quick).bound_s == make_checks().bound_s
    experiment.check(quick)


def test_each_balancer_gets_an_equal_share_of_the_load():
    scenario = evenly_loaded(SCENARIO)
    experiment.check(scenario)
    assert [row.balancer for row in scenario.load] == list(range(SCENARIO.tiers[0].balancers))
    assert sum(row.rate for row in scenario.load) == pytest.approx(SCENARIO.load[0].rate)


def test_run_with_a_late_send_fails_that_check():
    row = attempt_row(REACHABLE_AT + endpoints.NOTIFIED_AFTER + S)
    failed_checks = make_checks(
        *answered_polls(), state_row("draining", REACHABLE_AT), row
    ).failed_checks(True)
    assert failed_checks == ["rule 3: sent after a change counted as notified"]


def test_run_with_polls_over_twice_the_capacity_in_a_second_fails_that_check():
    max_polls = int(2 * SCENARIO.discovery.calls_per_s)
    rows = [poll_row(REACHABLE_AT + at, status=503) for at in range(max_polls + 1)]
    assert make_checks(*answered_polls(), *rows[1:]).failed_checks(True) == []
    assert make_checks(*answered_polls(), *rows).failed_checks(True) == [
        "the service got too many polls in a second"
    ]


def test_full_size_fails_without_one_current_list_and_quick_size_only_without_many():
    rows = answered_polls()[:-1]
    assert make_checks(*rows).failed_checks(True) == ["too few balancers have a current list"]
    assert make_checks(*rows).failed_checks(False) == []
    assert make_checks(*rows[: len(rows) // 2]).failed_checks(False) == [
        "too few balancers have a current list"
    ]


def test_run_fails_if_balancers_get_a_current_list_after_the_bound():
    assert make_checks(*answered_polls(after_s=make_checks().bound_s)).failed_checks(True)


def test_quiet_polls_exclude_those_between_the_outage_and_the_last_current_list():
    rows = answered_polls()
    end = max(row.at for row in rows)
    other_polls = [
        poll_row(START + S),
        poll_row(REACHABLE_AT + S, status=503),
        poll_row(end + S, status=503),
    ]
    figures = make_checks(*rows, *other_polls).figures()
    assert (figures["quiet_polls"], figures["quiet_polls_refused"]) == (3, 1)


# The effects of the injected defects on the policy.


@pytest.fixture
def inject(monkeypatch):
    """Return a function that injects a defect by name until the test ends."""
    monkeypatch.setattr(PollBackoff, "next_poll", PollBackoff.next_poll)
    for name in ("poll_failed", "is_stale"):
        monkeypatch.setattr(endpoints.Endpoints, name, getattr(endpoints.Endpoints, name))
    return lambda name: defects.DEFECTS[name]()


def make_fleet(size, now):
    """Return balancers of one fleet, each with its only upstream, which is listed as ready."""
    balancers = []
    for index in range(size):
        balancer = Balancer(
            make_settings(
                index=index,
                fleet_size=size,
                polls_endpoints=True,
                endpoint_poll_within_ns=12 * S,
            ),
            index,
            now,
        )
        upstream = Upstream(b"u")
        balancer.endpoints_changed(now, True, [(upstream, UpstreamState.READY, 0)])
        balancers.append((balancer, upstream))
    return balancers


def time_of_next_poll(balancer, failed_at):
    """Return when a balancer whose first poll fails at ``failed_at`` polls again."""
    balancer.wake(failed_at)  # the first poll, which fails
    balancer.endpoint_poll_failed(failed_at, PollFailure.REFUSED)
    now = failed_at
    while now < failed_at + 60 * S:
        now += 10 * MS
        if any(isinstance(action, WatchEndpoints) for action in balancer.wake(now)):
            return now
    raise AssertionError("the balancer does not poll within 60 s of the failed poll")


def polls_in_the_busiest_second(balancers):
    seconds = [time_of_next_poll(balancer, 15 * S) // S for balancer, _ in balancers]
    return max(seconds.count(second) for second in seconds)


def test_polls_come_at_the_same_time_only_with_the_defect_polls_in_step(inject):
    assert polls_in_the_busiest_second(make_fleet(12, 9 * S)) <= 4
    inject("polls-in-step")
    assert polls_in_the_busiest_second(make_fleet(12, 9 * S)) == 12


def is_stale_after_failed_polls(balancer, upstream):
    for second in range(10, 22, 3):
        balancer.endpoint_poll_failed(second * S, PollFailure.REFUSED)
    return balancer.endpoints.is_stale(22 * S, upstream)


def test_upstream_is_stale_after_failed_polls_unless_stale_by_last_call_is_injected(inject):
    assert is_stale_after_failed_polls(*make_fleet(1, 9 * S)[0])
    inject("stale-by-last-call")
    assert not is_stale_after_failed_polls(*make_fleet(1, 9 * S)[0])


def test_upstream_is_stale_after_failed_polls_unless_drains_held_serving_is_injected(inject):
    assert is_stale_after_failed_polls(*make_fleet(1, 9 * S)[0])
    inject("drains-held-serving")
    assert not is_stale_after_failed_polls(*make_fleet(1, 9 * S)[0])


def test_each_defect_of_the_scenario_can_be_injected():
    proof = PROOFS["discovery-overload"]
    assert len(proof.plants) >= 2 and set(proof.plants) <= set(defects.DEFECTS)


def test_drain_fault_takes_a_size_from_the_experiment_file():
    text = EXPERIMENT + "[[troubles]]\nwhat = 'drain'\nat = 1\nsize = 0.2\n"
    assert tomlfile.decode(text, Experiment).faults[0].size == 0.2
