"""Behaviour that is harmless in one balancer but harmful when a whole fleet does it at once."""

from msgspec.structs import replace

from pepperhook.lab import defects, experiment
from pepperhook.lab.experiment import Variant
from pepperhook.lab.proofs.base import Proof
from pepperhook.lab.scenario_run import ROOT

# A release (roll), a restart of most front balancers at once (herd), the loss of a zone (zone).
SCENARIOS = ("roll", "herd", "zone")
# The most health checks, connections and endpoint list polls of all balancers per served request.
MAX_PER_SERVED = {"probes_per_served": 0.1, "connections_per_served": 0.3, "asks_per_served": 0.4}
MIN_GOODPUT = {"roll": 0.85, "herd": 0.7, "zone": 0.7}
# The least standard deviation, relative to the mean, of the waits between the health checks of one
# upstream by one balancer.
MIN_SPREAD = 0.12
MIN_WAITS = 10  # with fewer waits, over all scenarios, the spread is not significant
# The load that an upstream may get in its first four seconds after a cold start, as a share of that
# of a warm upstream.
MAX_COLD_SHARE = {"roll": 0.11, "herd": 0.15, "zone": 0.045}
# The least time between the signal to shut down and the end of a balancer: new connections still
# arrive for a while after the signal.
MIN_LEAVE_MS = 300


class MassProof(Proof):
    """A fleet with little and uneven traffic per balancer breaks no rule through a release, a
    restart of most front balancers at once and the loss of a zone, and adds little load on the
    upstreams and the endpoint list."""

    name = "mass"
    plants = {
        "cold-unheeded": "the policy applies no slow start",
        "cold-alone": "the policy computes a cold upstream's capacity as if it had one caller only",
        "probes-unspread": "the policy adds no jitter to the waits between health checks",
        "list-hasty": "the policy polls the endpoint list again at once after a failed poll",
        "drains-unheeded": "the policy treats a draining upstream as ready",
        "ends-at-once": "a balancer exits at SIGTERM, whatever requests are in flight",
    }

    def read_scenario(self):
        """Read all scenarios and return the first."""
        self.scenarios = {
            name: experiment.read(ROOT / "experiments" / f"mass-{name}.toml") for name in SCENARIOS
        }
        return self.scenarios[SCENARIOS[0]]

    def run(self):
        """Play each scenario once and check its figures."""
        variant = Variant(
            name="pepperhook", defect=self.plant if self.plant in defects.DEFECTS else None
        )
        seed_shift = self.seed - self.scenario.seed
        runs = [
            (
                scenario if self.full else halved(scenario),
                variant,
                name,
                {"seed": scenario.seed + seed_shift},
            )
            for name, scenario in self.scenarios.items()
        ]
        results = self.play_concurrently(runs, 1 if self.full else 3)
        holds, reports = True, {}
        for name, result in results.items():
            figures = result["figures"]
            findings = {finding["name"]: finding["count"] for finding in result["findings"]}
            sums = figures["sums"]
            over_bounds = [key for key, bound in MAX_PER_SERVED.items() if (sums[key] or 0) > bound]
            cold_share = figures["cold"]["share"]
            cold_overloaded = cold_share is None or cold_share > MAX_COLD_SHARE[name]
            left_too_soon = name == "roll" and (figures["shortest_leave_ms"] or 0) < MIN_LEAVE_MS
            is_goodput_low = figures["goodput"] < MIN_GOODPUT[name]
            holds = (
                holds
                and not findings
                and not over_bounds
                and not cold_overloaded
                and not left_too_soon
                and not is_goodput_low
            )
            reports[name] = {
                "wishes": figures["wishes"],
                "goodput": figures["goodput"],
                "rules_broken": findings,
                "over_their_bounds": over_bounds,
                "poor": is_goodput_low,
                "cold_sent_too_much": cold_overloaded,
                "left_too_soon": left_too_soon,
                "shortest_leave_ms": figures["shortest_leave_ms"],
                "cold": figures["cold"],
                "amplification": figures["amplification"],
                "core_wait_ms": result["core_wait"]["worst_ms"],
                **sums,
            }
        # Over all scenarios, since one alone may have few health checks: whether a balancer checks
        # an outlier depends on its subset.
        waits = sum(report["probe_waits"] for report in reports.values())
        spread = sum(
            report["probe_waits"] * (report["probe_wait_spread"] or 0)
            for report in reports.values()
        ) / max(1, waits)
        holds = holds and waits > 0 and (waits < MIN_WAITS or spread >= MIN_SPREAD)
        return holds, {
            "probe_waits": waits,
            "probe_wait_spread": round(spread, 3),
            "balancers": sum(experiment.caller_count(runs[0][0], tier) for tier in range(2)),
            "days": reports,
        }


def halved(scenario):
    """Return the scenario with half the upstreams, balancers and traffic of each tier.

    The endpoint list takes twice as long to answer, so that it can answer half as many polls. A
    fault whose upstreams are all left out affects the first one.
    """
    tiers = [
        replace(tier, upstreams=tier.upstreams // 2, balancers=max(1, tier.balancers // 2))
        for tier in scenario.tiers
    ]
    load = [replace(row, rate=row.rate / 2) for row in scenario.load]
    return replace(
        scenario,
        tiers=tiers,
        load=load,
        discovery=replace(
            scenario.discovery, call_duration_ms=scenario.discovery.call_duration_ms * 2
        ),
        faults=[
            fault
            if fault.target_numbers is None
            else replace(
                fault,
                target_numbers=[
                    number
                    for number in fault.target_numbers
                    if number < tiers[fault.tier].upstreams
                ]
                or [0],
            )
            for fault in scenario.faults
        ],
    )
