"""Discovery fails for a while, and upstreams that drain meanwhile pass health checks.

A balancer may send by health checks for as long as discovery cannot be reached, and no longer.
"""

from __future__ import annotations

from typing import Any

from msgspec.structs import replace

from pepperhook.lab import events
from pepperhook.lab.audit import LIST_READ_TOLERANCE_NS
from pepperhook.lab.endpoint_audit import SECOND, EndpointAudit
from pepperhook.lab.experiment import Experiment, FaultType, Variant
from pepperhook.lab.proofs.base import Proof
from pepperhook.lab.proofs.discovery_overload import evenly_loaded
from pepperhook.policy import endpoints

NS_PER_US = 1000
MILLISECOND = 10**6
MIN_SERVED = 0.95  # of all requests
# Polls a second in the failure, compared with those of the fleet's watches without a failure.
MAX_POLL_RATIO = 1.2
# How discovery fails: polls are answered 503 at once; connections are closed.
FAILURES: tuple[FaultType, ...] = ("discovery_refused", "discovery_outage")
QUICK_FAILURES = FAILURES[:1]


class DiscoveryFaultsProof(Proof):
    """While discovery fails, service goes on by upstreams that pass health checks, and nothing is
    sent to one that drains later than 6 s after discovery has it and can be reached, though it
    passes health checks."""

    name = "discovery-faults"
    plants = {
        "trust-without-end": "health checks count until the next answer after a failed poll, and "
        "pauses between polls grow",
        "no-trust-in-checks": "nothing is sent by health checks",
    }

    def run(self) -> tuple[bool, dict[str, Any]]:
        """Play one run for each way to fail."""
        figures, problems = {}, []
        failures = FAILURES if self.full else QUICK_FAILURES
        self.run_count = len(failures)
        for failure in failures:
            scenario = failing(evenly_loaded(self.scenario), failure)
            result = self.play(scenario, Variant(name="pepperhook", defect=self.plant), failure)
            audit = EndpointAudit(events.read(self.last_folder))
            checks = FailureChecks(scenario, audit, result)
            figures[failure] = checks.figures()
            problems += [f"{failure}: {problem}" for problem in checks.failed_checks()]
        return not problems, {"wrong": problems, **figures}


def failing(scenario: Experiment, failure: FaultType) -> Experiment:
    """Return the scenario with another way for discovery to fail."""
    first, *others = scenario.faults
    return replace(scenario, faults=[replace(first, type=failure), *others])


class FailureChecks:
    """The checks and figures of one run."""

    def __init__(self, scenario: Experiment, audit: EndpointAudit, result: dict[str, Any]) -> None:
        """Compute what the checks need."""
        failure = scenario.faults[0]
        self.failed_at = result["start"] + int(failure.start_s * SECOND)
        self.returned_at = self.failed_at + int(failure.duration_s * SECOND)
        grace_us = int(scenario.safety["drainGraceUs"])
        self.late_sends = audit.late_sends(
            [(self.failed_at, self.returned_at)],
            endpoints.NOTIFIED_AFTER,
            grace_us * NS_PER_US + LIST_READ_TOLERANCE_NS,
        )
        self.served_share = result["figures"]["served"]
        # From when the watches that were open have ended.
        retried_at = self.failed_at + endpoints.MAX_WATCH_WAIT
        polls = [poll for poll in audit.polls if retried_at <= poll.at < self.returned_at]
        self.polls_per_s = len(polls) * SECOND / (self.returned_at - retried_at)
        self.watches_per_s = scenario.tiers[0].balancers * SECOND / endpoints.MAX_WATCH_WAIT
        self.findings = {finding["name"]: finding["count"] for finding in result["findings"]}

    def failed_checks(self) -> list[str]:
        """Return the names of the checks that do not hold."""
        checks = {
            "rule 3: sent after a change counted as notified": not self.late_sends,
            "too little was served": self.served_share >= MIN_SERVED,
            "too many polls": self.polls_per_s <= MAX_POLL_RATIO * self.watches_per_s,
        }
        return [name for name, holds in checks.items() if not holds] + sorted(self.findings)

    def figures(self) -> dict[str, Any]:
        """Return the figures that are reported besides the checks."""
        return {
            "late_sends": len(self.late_sends),
            "latest_send_ms": max((send.late_ns for send in self.late_sends), default=0)
            // MILLISECOND,
            "served_share": round(self.served_share, 3),
            "polls_per_s": round(self.polls_per_s, 1),
            "polls_per_s_without_failure": round(self.watches_per_s, 1),
            "rules_broken": self.findings,
        }
