"""A fleet polls a discovery service that has just recovered from an outage.

Without backoff and jitter its polls would overload the service again.
"""

from __future__ import annotations

from typing import Any

from msgspec.structs import replace

from pepperhook.lab import events
from pepperhook.lab.audit import LIST_READ_TOLERANCE_NS
from pepperhook.lab.call_queue import CallQueue
from pepperhook.lab.endpoint_audit import SECOND, EndpointAudit, quantile
from pepperhook.lab.experiment import Experiment, Load, Variant
from pepperhook.lab.proofs.base import Proof
from pepperhook.policy import endpoints

MILLISECOND = 10**6
NS_PER_US = 1000
MAX_LOAD = 2.0  # times the capacity in polls: the most polls in one second
# With the longest backoff a balancer polls once per interval, at its own offset (its turn), and
# waits up to 1.25 intervals if its turn has just passed.
MAX_TURN_WAIT_S = 1.25 * (endpoints.NOTIFIED_AFTER << endpoints.MAX_DOUBLINGS) / SECOND
# The least fraction of the fleet with a current list at the end of the quick size, which ends
# before each balancer has had its turn.
MIN_QUICK_SHARE = 0.6
QUICK_SECONDS = 32.0
QUICK_DIVISOR = 2


class DiscoveryOverloadProof(Proof):
    """After an outage of the discovery service a partly restarted fleet does not overload it with
    polls, has a current endpoint list as soon as the service's capacity allows, and never breaks
    rule 3."""

    name = "discovery-overload"
    plants = {
        "polls-in-step": "each balancer polls again after the same short pause if a poll fails",
        "stale-by-last-call": "the list counts as current for a while after a poll, failed or not",
        "drains-held-serving": "every upstream counts as serving while the list is stale",
    }

    def run(self) -> tuple[bool, dict[str, Any]]:
        """Play the scenario once and check its result."""
        scenario = evenly_loaded(self.scenario if self.full else reduced(self.scenario))
        result = self.play(scenario, Variant(name="pepperhook", defect=self.plant), "overload")
        audit = EndpointAudit(events.read(self.last_folder))
        checks = OverloadChecks(scenario, audit, result["start"])
        findings = {finding["name"]: finding["count"] for finding in result["findings"]}
        problems = checks.failed_checks(self.full) + sorted(findings)
        return not problems, {
            "wrong": problems,
            "balancers": checks.balancers,
            **checks.figures(),
            "requests": result["figures"]["wishes"],
            "served": result["figures"]["served"],
            "rules_broken": findings,
            "core_wait_ms": result["core_wait"]["worst_ms"],
        }


def evenly_loaded(scenario: Experiment) -> Experiment:
    """Return the scenario with the same request rate at each balancer.

    The rate of the scenario is so low that clients which choose a balancer for each connection
    would leave most balancers without any request.
    """
    balancers = scenario.tiers[0].balancers
    rate = sum(row.rate for row in scenario.load) / balancers
    return replace(scenario, load=[Load(rate=rate, balancer=number) for number in range(balancers)])


def reduced(scenario: Experiment) -> Experiment:
    """Return the scenario for part of the fleet, with the capacity and the load in proportion."""
    fraction, discovery = 1 / QUICK_DIVISOR, scenario.discovery
    tier = replace(scenario.tiers[0], balancers=scenario.tiers[0].balancers // QUICK_DIVISOR)
    return replace(
        scenario,
        seconds=QUICK_SECONDS,
        tiers=[tier],
        load=[replace(row, rate=row.rate * fraction) for row in scenario.load],
        discovery=replace(
            discovery,
            calls_per_s=(discovery.calls_per_s or 0) * fraction,
            lines_per_s=(discovery.lines_per_s or 0) * fraction,
            max_waiting=discovery.max_waiting // QUICK_DIVISOR,
        ),
    )


class OverloadChecks:
    """The checks and figures of one run of the scenario."""

    def __init__(self, scenario: Experiment, audit: EndpointAudit, start: int) -> None:
        """Compute what the checks need; ``start`` is on the machine's monotonic clock, in ns."""
        outage = next(fault for fault in scenario.faults if fault.type == "discovery_outage")
        self.scenario, self.audit, self.start = scenario, audit, start
        self.ends_at = start + int(scenario.seconds * SECOND)
        self.outage_at = start + int(outage.start_s * SECOND)
        self.reachable_from = self.outage_at + int(outage.duration_s * SECOND)
        self.balancers = scenario.tiers[0].balancers
        self.calls_per_s = scenario.discovery.calls_per_s or 0.0
        grace_us = int(scenario.safety["drainGraceUs"])
        self.late_sends = audit.late_sends(
            [(self.outage_at, self.reachable_from)],
            endpoints.NOTIFIED_AFTER,
            grace_us * NS_PER_US + LIST_READ_TOLERANCE_NS,
        )
        self.most_calls = max(audit.polls_by_second(self.reachable_from).values(), default=0)
        self.notified_at = audit.notified_at(self.reachable_from, self.balancers)

    @property
    def bound_s(self) -> float:
        """Seconds after the outage within which each balancer must have a current list.

        In this time the service can answer them all, and each has had its turn to poll.
        """
        queue = CallQueue.of(self.scenario.discovery)
        list_cost_s = queue.cost_s(self.scenario.tiers[0].upstreams) if queue is not None else 0.0
        return float(self.balancers * list_cost_s + MAX_TURN_WAIT_S)

    @property
    def up_to_date(self) -> float:
        """The fraction of the fleet with a current list within the bound and before the end."""
        until = self.reachable_from + int(self.bound_s * SECOND)
        return sum(at <= until for at in self.notified_at.values()) / self.balancers

    def failed_checks(self, is_full: bool) -> list[str]:
        """Return the names of the checks that do not hold."""
        checks = {
            "rule 3: sent after a change counted as notified": not self.late_sends,
            "the service got too many polls in a second": self.most_calls
            <= MAX_LOAD * self.calls_per_s,
            "too few balancers have a current list": self.up_to_date
            >= (1.0 if is_full else MIN_QUICK_SHARE),
        }
        return [name for name, holds in checks.items() if not holds]

    def quiet_spans(self) -> list[tuple[int, int]]:
        """Return the spans before the outage and after the last balancer had a current list."""
        spans = [(self.start, self.outage_at)]
        if len(self.notified_at) == self.balancers:
            spans.append((max(self.notified_at.values()), self.ends_at))
        return spans

    def figures(self) -> dict[str, Any]:
        """Return the figures that are reported besides the checks."""
        ages = self.audit.list_ages_ns(self.start)
        polls, refused = self.audit.count_refused_polls(self.quiet_spans())
        last = max(self.notified_at.values(), default=self.reachable_from)
        return {
            "late_sends": len(self.late_sends),
            "latest_send_ms": max((send.late_ns for send in self.late_sends), default=0)
            // MILLISECOND,
            "capacity_calls_per_s": self.calls_per_s,
            "most_calls_per_s": self.most_calls,
            "up_to_date": round(self.up_to_date, 3),
            "last_notified_s": round((last - self.reachable_from) / SECOND, 2),
            "bound_s": round(self.bound_s, 2),
            "list_age_ms": {
                f"p{fraction * 100:g}": quantile(ages, fraction) // MILLISECOND
                for fraction in (0.5, 0.9, 0.99, 1.0)
            },
            "quiet_polls": polls,
            "quiet_polls_refused": refused,
        }
