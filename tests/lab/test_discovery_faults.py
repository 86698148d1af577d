"""The scenario `discovery-faults`: its checks, its faults and its injected defects."""

import pytest
from msgspec.structs import replace

from pepperhook.lab import defects, events, experiment
from pepperhook.lab.endpoint_audit import EndpointAudit
from pepperhook.lab.instances import Transition
from pepperhook.lab.proofs import PROOFS
from pepperhook.lab.proofs.discovery_faults import FAILURES, FailureChecks, failing
from pepperhook.lab.scenario_run import ROOT
from pepperhook.lab.upstream import Upstream
from pepperhook.policy import endpoint_knowledge, endpoints

S = 10**9
START = 100 * S
SCENARIO = experiment.read(ROOT / "proofs" / "discovery-faults.toml")
RETURNED_AT = START + 17 * S


def make_checks(*rows, served=1.0):
    result = {"start": START, "figures": {"served": served}, "findings": []}
    return FailureChecks(SCENARIO, EndpointAudit(rows), result)


def drain_and_send(sent_at):
    return (
        events.StateChange(START + 6 * S, "listed draining", 0, 0),
        events.UpstreamWork(0, 0, 0, "a", 0, *[sent_at] * 3, "served", sent_at, 0, "n"),
    )


def test_send_is_late_only_after_the_change_counts_as_notified():
    grace = 450 * 10**6
    assert not make_checks(*drain_and_send(RETURNED_AT + 6 * S + grace)).failed_checks()
    assert make_checks(*drain_and_send(RETURNED_AT + 6 * S + grace + 1)).failed_checks() == [
        "rule 3: sent after a change counted as notified"
    ]


def test_run_in_which_little_is_served_fails():
    assert make_checks(served=0.94).failed_checks() == ["too little was served"]


def test_run_with_more_polls_than_watches_need_fails():
    polls_allowed = int(1.2 * 16 / 3 * 12)
    polls = [
        events.EndpointListPoll(0, 0, RETURNED_AT - S, True, False, 0, 503)
        for _ in range(polls_allowed + 1)
    ]
    assert make_checks(*polls[1:]).failed_checks() == []
    assert make_checks(*polls).failed_checks() == ["too many polls"]


@pytest.mark.parametrize("failure", FAILURES)
def test_scenario_can_be_played_with_each_failure(failure):
    scenario = failing(SCENARIO, failure)
    experiment.check(scenario)
    assert [fault.type for fault in scenario.faults] == [failure, "drain"]


def test_each_defect_of_the_scenario_can_be_injected(monkeypatch):
    knowledge = endpoint_knowledge.EndpointKnowledge
    monkeypatch.setattr(knowledge, "record_unreachable", knowledge.record_unreachable)
    monkeypatch.setattr(endpoints, "LONGEST_ROUNDS", endpoints.LONGEST_ROUNDS)

    def unreachable_until(name):
        defects.DEFECTS[name]()
        observed = knowledge(6 * S, 0)
        observed.record_unreachable(S)
        return observed.unreachable_until

    plants = PROOFS["discovery-faults"].plants
    assert {name: unreachable_until(name) > 7 * S for name in plants} == {
        "trust-without-end": True,
        "no-trust-in-checks": False,
    }


@pytest.mark.parametrize("passes_checks", [False, True])
async def test_draining_upstream_passes_health_checks_only_where_the_tier_says_so(passes_checks):
    [tier] = SCENARIO.tiers
    tiers = [replace(tier, passes_checks_while_draining=passes_checks)]
    upstream = Upstream.__new__(Upstream)  # without its machine and sockets
    upstream.tier, upstream.unready, upstream.scenario = 0, False, replace(SCENARIO, tiers=tiers)

    await upstream.apply_transition(Transition.DRAIN)

    assert (b" 200 " in upstream.probe_response(b"/ping")) == passes_checks
