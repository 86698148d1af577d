"""The request context across tiers: remaining time, retry allowance and loop detection."""

from msgspec.structs import replace

from pepperhook.lab import experiment, matrix
from pepperhook.lab.experiment import Variant
from pepperhook.lab.proofs.base import Proof
from pepperhook.lab.report import LINE_COLOURS, ORIGIN_NOTE, Plots


class ChainProof(Proof):
    """The request context that balancers forward from tier to tier prevents late work, retries at
    several tiers and loops, and costs no goodput."""

    name = "chain"
    plants = {
        "time-kept": "the forwarded time limit is not reduced by the time already spent",
        "tries-unsplit": "each tier and each attempt has the whole retry allowance",
        "forged-believed": "the request context is trusted whoever sent it",
        "hops-unchecked": "loops are not detected",
    }
    MAX_AMPLIFICATION = 1.2  # requests that the last tier receives per client request
    MIN_REDUCTION = 0.8  # by the context, of the attempts that run after their client has left
    MIN_GOODPUT_DIFFERENCE = -0.01  # to runs without the context
    FAILURES = (0.0, 0.1, 0.3, 0.5)  # failure chances of the last tier
    MAX_VISITS = 2  # to the first tier by one looping request: the original and a retry

    @property
    def seeds(self):
        """The seeds of the runs."""
        return [self.seed, self.seed + 1, self.seed + 2] if self.full else [self.seed]

    def variant_with_context(self, **options):
        """Return the variant that forwards the context; ``is_loop`` is set for the loop scenario.

        Its requests return to the first tier, which therefore is not configured as an entry.
        """
        keys = [
            {"id": "k2", "secret": "lab secret number two"},
            {"id": "k1", "secret": "lab secret number one"},
        ]
        return Variant(
            name="on",
            operator={"chain": {"service": "x", "hop_secret": "lab", "keys": keys}},
            operator_by_tier=[
                {
                    "chain": {
                        "service": f"tier{tier}",
                        "entry": tier == 0 and not options.get("is_loop"),
                    }
                }
                for tier in range(3)
            ],
            defect=self.plant,
            **{key: value for key, value in options.items() if key != "is_loop"},
        )

    def scenarios(self):
        """Return the scenarios by name."""
        seconds = self.scenario.seconds if self.full else 8.0
        base = replace(self.scenario, seconds=seconds)
        last = base.tiers[2]

        def with_fault(kind, **options):
            return replace(
                base,
                faults=[
                    experiment.Fault(
                        type=kind, start_s=1.0, duration_s=seconds - 2.0, tier=2, **options
                    )
                ],
            )

        scenarios = {
            f"fail {chance:g}": replace(
                base, tiers=[*base.tiers[:2], replace(last, failure_rate=chance)]
            )
            for chance in self.FAILURES
        }
        # The whole last tier nearly stalls, repeatedly. It cancels work whose balancer has closed
        # the connection, so after its client has left work goes on only while a balancer waits.
        cancelling = replace(
            last, cancels_on_disconnect=True, machine=replace(last.machine, cancel_stops=True)
        )
        scenarios["slow"] = replace(
            base,
            tiers=[*base.tiers[:2], cancelling],
            faults=[
                experiment.Fault(
                    type="slow",
                    start_s=float(at),
                    duration_s=1.2,
                    tier=2,
                    target_fraction=1.0,
                    size=0.02,
                )
                for at in range(1, int(seconds) - 1, 3)
            ],
        )
        scenarios["hung"] = with_fault("hang", target_fraction=0.45)
        # Two entry balancers with one service class each: only the tiers behind them choose between
        # requests of high and low value. The lower tiers have shorter latency objectives. With one
        # objective for all tiers the admission queues of the entries, whose size follows from the
        # objective and the throughput, would be full before those of a lower tier, which would have
        # no requests to choose from.
        classes = [
            replace(
                service_class,
                goal_ms=700.0,
                inner_goal_ms=80.0,
                client_limit_ms=1200.0,
                time_limit_ms=1500.0,
            )
            for service_class in base.service_classes
        ]
        scenarios["overloaded"] = replace(
            base,
            service_classes=classes,
            tiers=[
                replace(base.tiers[0], balancers=2),
                base.tiers[1],
                replace(cancelling, machine=replace(cancelling.machine, cores=0.25)),
            ],
            load=[
                replace(base.load[0], rate=300.0, service_class="look", balancer=0),
                replace(base.load[0], rate=60.0, service_class="sale", balancer=1),
            ],
        )
        scenarios["forged"] = replace(base, load=[replace(base.load[0], rate=80.0)])
        circle = replace(base.service_classes[0], name="circle", share=1.0)
        scenarios["loops"] = replace(
            base,
            service_classes=[*base.service_classes, circle],
            load=[replace(base.load[0], rate=60.0)],
            tiers=[
                *base.tiers[:2],
                replace(last, loop_service_class="circle", forwards_remaining_time=False),
            ],
        )
        return scenarios

    def run(self):
        """Play each scenario with the context and without it."""
        scenarios = self.scenarios()
        runs, variant_without_context = [], Variant(name="off")
        others = {
            "half": self.variant_with_context(header_handling=["pass", "drop"]),
            "naive": Variant(name="naive", module="retries", options={"retries": 3}),
            "budget": Variant(name="budget", module="budget", options={"retries": 3}),
        }
        names = list(scenarios) if self.full else ["fail 0.3", "hung", "forged", "loops"]
        for name in names:
            header_handling = ["change"] if name == "forged" else []
            for seed in self.seeds if name != "loops" else self.seeds[:1]:
                runs.append(
                    (
                        scenarios[name],
                        self.variant_with_context(
                            header_handling=header_handling, is_loop=name == "loops"
                        ),
                        f"{name}: on {seed}",
                        {"seed": seed},
                    )
                )
                if name != "loops":
                    runs.append(
                        (
                            scenarios[name],
                            variant_without_context,
                            f"{name}: off {seed}",
                            {"seed": seed},
                        )
                    )
            if self.full and name not in ("loops", "forged"):
                runs += [
                    (scenarios[name], variant, f"{name}: {key} {self.seed}", {})
                    for key, variant in others.items()
                ]
        return self.judge(names, self.play_concurrently(runs, 4))

    def judge(self, names, results):
        """Return whether the scenario holds, and its figures."""
        table, problems = [], []

        def check(holds, problem):
            if not holds:
                problems.append(problem)

        def total(runs, key):
            return round(sum(run["figures"][key] for run in runs.values()), 4)

        for name in names:
            by_variant = {}  # variant: results by seed
            for key, result in results.items():
                if key.startswith(f"{name}: "):
                    by_variant.setdefault(key.partition(": ")[2].split()[0], {})[result["seed"]] = (
                        result
                    )
            for key, runs in by_variant.items():
                received = sum(run["figures"]["dispatches"]["2"] for run in runs.values())
                row = {
                    "day": name,
                    "variant": key,
                    "seeds": len(runs),
                    "wishes": total(runs, "wishes"),
                    "goodput": round(total(runs, "goodput") / len(runs), 4),
                    "served": round(total(runs, "served") / len(runs), 4),
                    "amplification": round(received / total(runs, "wishes"), 4),
                    "outlived": total(runs, "outlived"),
                    "outlived_s": total(runs, "outlived_s"),
                }
                if name != "loops" and key != "off":
                    row["against_off"] = [
                        round(float(bound), 4) for bound in matrix.interval(by_variant["off"], runs)
                    ]
                table.append(row)
                for run in runs.values() if key in ("on", "half") else ():
                    for finding in run["findings"]:
                        check(False, f"{name}: {key}: {finding['name']}")
            figures = next(row for row in table if (row["day"], row["variant"]) == (name, "on"))
            increased = total(by_variant["on"], "tries_grew")
            # A context that was changed on the way is rejected, and the tier then uses its own
            # retry budget: a few attempts may have more retries than their parent.
            max_increased = 0.01 * figures["wishes"] if name == "forged" else 0
            check(
                increased <= max_increased,
                f"{name}: {increased} attempts had more retries left than their parent attempt",
            )
            if name == "loops":
                visits = max(run["figures"]["most_visits"] for run in by_variant["on"].values())
                check(visits <= self.MAX_VISITS, f"loops: {visits} visits to the first tier")
                continue
            difference, low, high = figures["against_off"]
            if name == "forged":
                # A forged context must have no effect: no less is served than without one.
                check(low > -0.05, f"forged: goodput {difference:+.3f}")
                continue
            if name.startswith("fail"):
                amplification = figures["amplification"]
                check(
                    amplification <= self.MAX_AMPLIFICATION,
                    f"{name}: amplification {amplification}",
                )
            if name in ("slow", "hung"):
                outlived_off, outlived_on = (
                    total(by_variant["off"], "outlived"),
                    figures["outlived"],
                )
                check(
                    outlived_off >= 20,
                    f"{name}: without the context only {outlived_off} attempts ran after their "
                    "client had left, too few for a result",
                )
                check(
                    outlived_on <= outlived_off * (1 - self.MIN_REDUCTION),
                    f"{name}: {outlived_off} attempts ran after their client had left without the "
                    f"context, {outlived_on} with it",
                )
            if name == "overloaded":
                check(low > 0, f"overloaded: goodput {difference:+.3f} [{low:+.3f}, {high:+.3f}]")
            else:
                # The quick size is too short for an interval so narrow: its upper end is compared.
                check(
                    (low if self.full else high) > self.MIN_GOODPUT_DIFFERENCE,
                    f"{name}: goodput {difference:+.3f} [{low:+.3f}, {high:+.3f}]",
                )
            if "half" in by_variant:
                _, _, upper = matrix.interval(by_variant["off"], by_variant["half"])
                check(
                    upper > self.MIN_GOODPUT_DIFFERENCE,
                    f"{name}: with every second node dropping it, less goodput than without",
                )
        return not problems, {
            "wrong": problems,
            "table": table,
            "bound_of_naive": {
                f"{chance:g}": round((1 - chance**4) / (1 - chance), 3) for chance in self.FAILURES
            },
        }

    def write(self, folder, result):
        """Write the measurement's page and plots."""
        rows, plots = result["figures"]["table"], Plots()
        names = [
            name
            for name in dict.fromkeys(row["day"] for row in rows)
            if name not in ("loops", "forged")
        ]
        variants = list(dict.fromkeys(row["variant"] for row in rows))
        for key, plot_name, unit in (
            ("goodput", "goodput", "goodput by earnings"),
            ("amplification", "amplification", "attempts at the last tier / client requests"),
            ("outlived_s", "outlived", "seconds of work after the client had left"),
        ):
            figure, axes = plots.figure(8.5, 3.0)
            for position, variant in enumerate(variants):
                values = [
                    next(
                        (
                            row[key] / row["seeds"]
                            for row in rows
                            if (row["day"], row["variant"]) == (name, variant)
                        ),
                        0,
                    )
                    if key == "outlived_s"
                    else next(
                        (
                            row[key]
                            for row in rows
                            if (row["day"], row["variant"]) == (name, variant)
                        ),
                        0,
                    )
                    for name in names
                ]
                axes.bar(
                    [index + position * 0.16 for index in range(len(names))],
                    values,
                    0.15,
                    color=LINE_COLOURS[position],
                    label=variant,
                )
            axes.set(
                ylabel=unit, xticks=[index + 0.32 for index in range(len(names))], xticklabels=names
            )
            axes.legend(frameon=False, fontsize=8, loc="upper left", bbox_to_anchor=(1, 1))
            figure.savefig(folder / f"chain-{plot_name}.svg", metadata={"Date": None})
        lines = [
            "# Request context across tiers, measured",
            "",
            "Three tiers of three, five and seven upstreams, a balancer for each caller; nodes",
            "neither forward the remaining time nor cancel the work of a client that left. Clients",
            "wait 350 ms, the service classes allow 800 ms. `on`: the request context is",
            "forwarded; `half`: every second node drops it; `naive`: three immediate retries;",
            f"`budget`: three within a plain 20% budget. {ORIGIN_NOTE}",
            f"Seeds from {result['seed']}; "
            "`pepperhook lab prove chain --full --write docs/measurements`.",
            "",
            "| scenario | variant | runs | requests | goodput | against off (95%) | "
            "amplification | attempts after the client had left | s |",
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
        ]
        for row in rows:
            against = row.get("against_off")
            lines.append(
                f"| {row['day']} | {row['variant']} | {row['seeds']} | {row['wishes']:.0f} | {row['goodput']:.3f} | "
                + ("" if against is None else "{:+.3f} [{:+.3f}, {:+.3f}]".format(*against))
                + f" | {row['amplification']:.3f} | {row['outlived']:.0f} | {row['outlived_s']:.1f} |"
            )
        bound = ", ".join(
            f"{chance}: {value}" for chance, value in result["figures"]["bound_of_naive"].items()
        )
        lines += [
            "",
            f"The paper's bound for naive retries at one failing tier, by chance: {bound}.",
            "",
            "![goodput](chain-goodput.svg)",
            "![amplification](chain-amplification.svg)",
            "![work after the client had left](chain-outlived.svg)",
            "",
            f"Holds: {result['holds']}. {'; '.join(result['figures']['wrong'])}",
        ]
        (folder / "chain.md").write_text("\n".join(lines).rstrip() + "\n", encoding="utf-8")
