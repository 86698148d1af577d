"""The mass: what is harmless in one balancer and harmful in all."""

from msgspec.structs import replace

from pepperhook.lab import experiment, planted
from pepperhook.lab.day import ROOT
from pepperhook.lab.experiment import Variant
from pepperhook.lab.proofs.base import Proof

DAYS = ("roll", "herd", "zone")
# Of what all balancers together ask for beside operations, for each operation served.
MOST = {"probes_per_served": 0.1, "connections_per_served": 0.3, "asks_per_served": 0.4}
SERVED = {"roll": 0.85, "herd": 0.7, "zone": 0.7}  # of the day's earnings
SPREAD = 0.12  # of the waits between one balancer's probes of one upstream, their deviation over their mean
WAITS = 10  # below so many waits, over all days, the spread says nothing
# Of what a warm fellow is sent, what one that is up cold may be, over its first four seconds.
COLD = {"roll": 0.11, "herd": 0.15, "zone": 0.045}
LEAVE_MS = 300  # new connections go on coming for a while when a balancer is told to leave, and none is to leave sooner


class MassProof(Proof):
    """A fleet with little traffic each, unevenly dealt, through a roll, a herd and a lost zone: no rule is broken, and what
    all balancers together ask of upstreams and of the list stays small."""

    name = "mass"
    plants = {
        "cold-unheeded": "the decisions hold nothing to be cold",
        "cold-alone": "the decisions reckon a cold upstream's allowance as if one balancer were its only caller",
        "probes-unspread": "the decisions leave chance out of the waits between probes",
        "list-hasty": "the decisions ask for a list that can't be had again at once",
        "drains-unheeded": "the decisions take an upstream that drains for ready",
        "ends-at-once": "a balancer ends at SIGTERM, whatever is under way",
    }

    def told(self):
        self.days = {
            name: experiment.read(ROOT / "experiments" / f"mass-{name}.toml") for name in DAYS
        }
        return self.days[DAYS[0]]

    def run(self):
        variant = Variant(
            name="pepperhook", plant=self.plant if self.plant in planted.FAULTS else None
        )
        shift = self.seed - self.day.seed
        rows = [
            (day if self.full else thinned(day), variant, name, {"seed": day.seed + shift})
            for name, day in self.days.items()
        ]
        results = self.side_by_side(rows, 1 if self.full else 3)
        holds, told = True, {}
        for name, result in results.items():
            figures, broken = result["figures"], {f["name"]: f["count"] for f in result["findings"]}
            sums = figures["sums"]
            over = [key for key, most in MOST.items() if (sums[key] or 0) > most]
            pushed = figures["cold"]["share"] is None or figures["cold"]["share"] > COLD[name]
            hasty = name == "roll" and (figures["shortest_leave_ms"] or 0) < LEAVE_MS
            poor = figures["goodput"] < SERVED[name]
            holds = holds and not broken and not over and not pushed and not hasty and not poor
            told[name] = {
                "wishes": figures["wishes"],
                "goodput": figures["goodput"],
                "rules_broken": broken,
                "over_their_bounds": over,
                "poor": poor,
                "cold_sent_too_much": pushed,
                "left_too_soon": hasty,
                "shortest_leave_ms": figures["shortest_leave_ms"],
                "cold": figures["cold"],
                "amplification": figures["amplification"],
                "core_wait_ms": result["core_wait"]["worst_ms"],
                **sums,
            }
        # Of all days together: how often a balancer meets one that is not fit hangs on its slice.
        waits = sum(one["probe_waits"] for one in told.values())
        spread = sum(
            one["probe_waits"] * (one["probe_wait_spread"] or 0) for one in told.values()
        ) / max(1, waits)
        holds = holds and waits > 0 and (waits < WAITS or spread >= SPREAD)
        return holds, {
            "probe_waits": waits,
            "probe_wait_spread": round(spread, 3),
            "balancers": sum(experiment.callers(rows[0][0], tier) for tier in range(2)),
            "days": told,
        }


def thinned(day):
    """The same day for fewer: every tier, its traffic and what is asked of the list at half."""
    tiers = [
        replace(tier, upstreams=tier.upstreams // 2, balancers=max(1, tier.balancers // 2))
        for tier in day.tiers
    ]
    load = [replace(row, rate=row.rate / 2) for row in day.load]
    return replace(
        day,
        tiers=tiers,
        load=load,
        discovery=replace(day.discovery, answer_ms=day.discovery.answer_ms * 2),
        troubles=[
            row
            if row.who is None
            else replace(row, who=[n for n in row.who if n < tiers[row.tier].upstreams] or [0])
            for row in day.troubles
        ],
    )
