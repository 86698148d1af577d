"""The amplification by retries, compared with the paper's formulas (2) and (3)."""

from msgspec.structs import replace

from pepperhook.lab import defects
from pepperhook.lab.experiment import Variant
from pepperhook.lab.proofs.base import Proof
from pepperhook.lab.report import LINE_COLOURS, ORIGIN_NOTE, Plots


class AmplificationProof(Proof):
    """Naive retries amplify the load as the paper's formulas (2) and (3) predict, and pepperhook's
    retries amplify it little."""

    name = "amplification"
    plants = {
        "fewer-tries": "the naive balancer retries twice, not three times",
        "stuck": "a request that failed once fails at each retry",
        "granted-always": "the policy retries whatever rule 2 allows, without a budget",
        "budget-unhalved": "the policy never halves the retry budget",
    }
    TOLERANCE = 0.05  # of the naive amplification, relative to the formula
    # The retries per first attempt that pepperhook may add in each tier. With f at 0.3 or more the
    # retry budget B is halved each second, from 0.2 on, so only the first seconds allow retries.
    MAX_RETRY_FRACTION = 0.02

    def run(self):
        """Play each case with naive retries and with pepperhook's."""
        cases = (
            [(chance, depth) for depth in (1, 2, 3) for chance in (0.3, 0.5)]
            if self.full
            else [(0.5, 1), (0.3, 2), (0.3, 3)]
        )
        runs, pepperhook_variant = (
            [],
            Variant(
                name="pepperhook", defect=self.plant if self.plant in defects.DEFECTS else None
            ),
        )
        for chance, depth in cases:
            scenario = self.scenario_with(chance, depth)
            runs += [
                (
                    scenario,
                    Variant(
                        name="naive",
                        module="retries",
                        options={"retries": 2 if self.plant == "fewer-tries" else 3},
                    ),
                    f"naive p={chance} d={depth}",
                    {},
                ),
                (scenario, pepperhook_variant, f"pepperhook p={chance} d={depth}", {}),
            ]
        results = self.play_concurrently(runs, 2)
        table, holds = [], True
        for chance, depth in cases:
            formula = ((1 - chance**4) / (1 - chance)) ** depth
            naive, pepperhook = (
                results[f"{variant} p={chance} d={depth}"] for variant in ("naive", "pepperhook")
            )
            naive_amplification = naive["figures"]["amplification"][str(depth - 1)]
            findings = [finding for result in (naive, pepperhook) for finding in result["findings"]]
            amplification = pepperhook["figures"]["amplification"][str(depth - 1)]
            is_bounded = amplification <= 1 + self.MAX_RETRY_FRACTION * depth
            holds = (
                holds
                and abs(naive_amplification / formula - 1) <= self.TOLERANCE
                and is_bounded
                and not findings
            )
            table.append(
                {
                    "chance": chance,
                    "tiers": depth,
                    "formula": round(formula, 3),
                    "naive": naive_amplification,
                    "off": round(naive_amplification / formula - 1, 4),
                    "wishes": naive["figures"]["wishes"],
                    "pepperhook": amplification,
                    "pepperhook_at_most": 1 + self.MAX_RETRY_FRACTION * depth,
                    "naive_served": naive["figures"]["served"],
                    "pepperhook_served": pepperhook["figures"]["served"],
                    "rules_broken": [finding["name"] for finding in findings],
                }
            )
        return holds, {"retries": 3, "tolerance": self.TOLERANCE, "table": table}

    def write(self, folder, result):
        """Write the measurement's page and plot."""
        rows, plots = result["figures"]["table"], Plots()
        figure, axes = plots.figure(7.5, 3.4)
        for position, (key, name) in enumerate(
            (
                ("formula", "formula (3)"),
                ("naive", "three naive retries"),
                ("pepperhook", "pepperhook"),
            )
        ):
            axes.bar(
                [index + position * 0.27 for index in range(len(rows))],
                [row[key] for row in rows],
                0.26,
                color=LINE_COLOURS[position],
                label=name,
            )
        axes.set(
            ylabel="attempts received / first attempts, last tier",
            xticks=[index + 0.27 for index in range(len(rows))],
            xticklabels=[
                f"p {row['chance']}\n{row['tiers']} tier{'s'[: row['tiers'] > 1]}" for row in rows
            ],
        )
        axes.legend(frameon=False, fontsize=9)
        figure.savefig(folder / "amplification.svg", metadata={"Date": None})
        lines = [
            "# Amplification by naive retries, and by pepperhook",
            "",
            "Formula (2) of the paper gives what one tier with failure chance p and n retries",
            "receives for each first attempt, (1 - p^(n+1)) / (1 - p); formula (3) is its d-th",
            "power, for d tiers. Measured with n = 3 at the last of one to three tiers of four",
            "upstreams, with a balancer for each caller. As the formulas assume, each tier fails",
            "by itself with chance p and hides failures behind it; chance depends on the id of the",
            "request, so a seed always gives the same run.",
            f"{ORIGIN_NOTE}",
            f"Seed {result['seed']}; "
            "`pepperhook lab prove amplification --full --write docs/measurements`.",
            "",
            "| p | tiers | formula | three naive retries | deviation | pepperhook | requests | "
            "served, naive | served, pepperhook |",
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
        ]
        lines += [
            f"| {row['chance']} | {row['tiers']} | {row['formula']:.3f} | {row['naive']:.3f} | {row['off']:+.1%} | "
            f"{row['pepperhook']:.3f} | {row['wishes']} | {row['naive_served']:.3f} | {row['pepperhook_served']:.3f} |"
            for row in rows
        ]
        lines += [
            "",
            "![amplification](amplification.svg)",
            "",
            "The cost: where every upstream of a tier fails by chance and has capacity for the",
            "retries, naive retries serve nearly all requests, and pepperhook serves only what",
            "first attempts do: f is about p, over its bound of 0.05 or 0.3, so the budget does",
            "not refill. If all upstreams fail alike, that is treated as overload.",
            "`docs/standing.md` lists this as a weakness.",
        ]
        (folder / "amplification.md").write_text("\n".join(lines) + "\n", encoding="utf-8")

    def scenario_with(self, chance, depth):
        """Return the scenario with ``depth`` tiers that fail with the given chance."""
        tier = replace(
            self.scenario.tiers[0], failure_rate=chance, failures_are_sticky=self.plant == "stuck"
        )
        tiers = [replace(tier, upstreams=4) for _ in range(depth)]
        # Enough requests that the variance of the amplification, since each request is a branching
        # process, stays well under the tolerance.
        requests = (4000, 6000, 9000)[depth - 1] if self.full else (1000, 1500, 2000)[depth - 1]
        rate = (500, 300, 120)[depth - 1]
        seconds = requests / rate
        return replace(
            self.scenario,
            tiers=tiers,
            seconds=seconds,
            load=[replace(self.scenario.load[0], rate=float(rate))],
        )
