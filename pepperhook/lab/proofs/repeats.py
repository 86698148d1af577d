"""Idempotency keys at the entry balancers."""

import statistics

from msgspec.structs import replace

from pepperhook.lab import experiment, journals
from pepperhook.lab.experiment import Clients, Load, Variant
from pepperhook.lab.proofs.base import Proof
from pepperhook.lab.report import LINE_COLOURS, ORIGIN_NOTE, Plots


class RepeatsProof(Proof):
    """Repeats of requests with an idempotency key are executed once per key, through kills,
    crashes, hangs and a full store."""

    name = "repeats"
    plants = {
        "evicts-running": "when the store is full, entries of running requests are evicted, too",
        "record-after": "the record is written after the attempt",
        "first-calls-off": "when the first client leaves, the attempt is cancelled",
        "all-dispatched": "when the first was never executed, all waiting requests are sent",
    }
    MIN_REPEATED_KEYS = 10_000  # in the full size
    MIN_REPLAYED = 0.2  # client attempts answered with a stored response, per key that was served

    def variant(self, **options):
        """Return the variant with idempotency keys.

        Its store has room for about a quarter of the keys that are within their retry window during
        a rush.
        """
        repeats = {
            "entries": 220 if self.full else 120,
            "mb": 4.0,
            "binding_s": 8.0,
            "retriable_s": 0.0,
            "journal": "{folder}/journal-{number}",
            "peers": "{folder}/peers-{tier}.toml",
        }
        return Variant(name="on", operator={"repeats": {**repeats, **options}}, defect=self.plant)

    def scenario_with(self, seconds, kills, rushes, base, rush, outages=(), pauses=()):
        """Return the scenario with faults and load; times are in seconds, rates per second.

        ``kills`` has rows (time, balancer), ``rushes`` rows (time, duration) of the rate ``rush``
        beside ``base``. All upstreams refuse connections at the ``outages`` and pause at the
        ``pauses``.
        """

        def fault(kind, at, duration, **options):
            return experiment.Fault(type=kind, start_s=at, duration_s=duration, **options)

        faults = [
            fault("kill_balancer", at, 0.5, target_numbers=[balancer]) for at, balancer in kills
        ]
        for at in range(2, int(seconds) - 4, 10):
            # Slow upstreams have many requests in flight when a balancer is killed. A crash, a hang
            # and a drain at the same time reject or block requests that repeats wait for.
            faults += [
                fault("slow", at, 6.0, target_numbers=[0, 1, 5], size=0.1),
                fault("hang", at + 6, 1.5, target_numbers=[2]),
                fault("crash", at + 3, 2.0, target_numbers=[3]),
                fault("drain", at + 1, 4.0, target_numbers=[4]),
            ]
        # All upstreams pause: attempts have started, and if a balancer is killed at that moment,
        # they end when no process knows of them any more.
        faults += [fault("pause", at, 0.6, target_fraction=1.0) for at in pauses]
        # No upstream accepts connections: requests are queued and rejected while repeats wait for
        # them.
        faults += [fault("refused", at, 0.3, target_fraction=1.0) for at in outages]
        load = [replace(self.scenario.load[0], rate=base)] + [
            Load(rate=rush, start_s=at, duration_s=duration) for at, duration in rushes
        ]
        return replace(self.scenario, seconds=seconds, faults=faults, load=load)

    def run(self):
        """Play the scenario with keys, without them and with a store that has room for all."""
        runs, results = [], {}
        if self.full:
            scenario = self.scenario_with(
                120.0,
                ((9, 0), (26, 1), (45, 0), (62, 1), (83, 0), (104, 1)),
                ((5, 50), (60, 50)),
                80.0,
                70.0,
            )
            short_scenario = self.scenario_with(30.0, ((9, 0), (17, 1)), ((5, 20),), 80.0, 70.0)
            # The long scenario is played alone: its load is near the capacity of two balancers.
            results = self.play_concurrently([(scenario, self.variant(), "on", {})], 1)
        else:
            scenario = short_scenario = self.scenario_with(
                13.0,
                ((4.0, 0), (8.5, 1)),
                ((1.5, 9),),
                35.0,
                50.0,
                (7.0, 12.0),
                (1.9, 3.5, 8.0, 11.0),
            )
            runs = [(scenario, self.variant(), "on", {})]
        if not self.plant:
            runs += [
                (short_scenario, Variant(name="off"), "off", {}),
                (short_scenario, self.variant(entries=100_000), "roomy", {}),
            ]
        results = {**results, **self.play_concurrently(runs, 3)} if runs else results
        problems, table = [], []
        for name, result in results.items():
            keys, findings = (
                result["figures"]["keys"],
                {finding["name"]: finding["count"] for finding in result["findings"]},
            )
            table.append(
                {
                    "day": name,
                    "goodput": result["figures"]["goodput"],
                    "p50": result["load"]["served_ms"]["p50"],
                    "p99": result["load"]["served_ms"]["p99"],
                    **keys,
                    "findings": findings,
                    "excused": result["excused"],
                    "core_ms": result["first_tier_cpu_ms"],
                }
            )
            if name != "off":
                problems += [f"{name}: {finding} {count}" for finding, count in findings.items()]
        with_keys = table[0]
        if self.full and with_keys["duplicated"] < self.MIN_REPEATED_KEYS:
            problems.append(f"only {with_keys['duplicated']} keys were sent more than once")
        if not self.plant:
            if with_keys["answered_again"] < self.MIN_REPLAYED * with_keys["keys_served"]:
                problems.append(
                    f"only {with_keys['answered_again']} attempts got a stored response"
                )
            if not table[1]["findings"].get("ran twice under one key"):
                problems.append(
                    "without keys nothing was executed twice: the comparison shows nothing"
                )
            if not with_keys["keys_only_shed"]:
                problems.append("the store was never full")
        figures = {"wrong": problems, "table": table}
        if self.full and not self.plant:
            figures["cost"] = self.cost()
            journal_folder = self.folder / "journals"
            journal_folder.mkdir()
            figures["journals"] = journals.measure(journal_folder, self.report_progress)
        return not problems, figures

    def cost(self, rounds=3):
        """Measure the CPU time and latency of keyed requests without faults or repeats.

        The variants are played in turn.
        """
        scenario = replace(
            self.scenario,
            seconds=8.0,
            clients=Clients(duplicates=0),
            load=[Load(rate=150.0)],
            service_classes=[
                replace(service_class, work_ms=2.0, spread=0.0)
                for service_class in self.scenario.service_classes[1:2]
            ],
        )
        in_memory = {"entries": 100_000, "binding_s": 600.0}
        variants = [
            Variant(name="without"),
            Variant(name="in memory", operator={"repeats": in_memory}),
            Variant(
                name="durable",
                operator={"repeats": {**in_memory, "journal": "{folder}/journal-{number}"}},
            ),
        ]
        samples = {variant.name: [] for variant in variants}
        self.run_count, self.runs_done = rounds * len(variants), 0
        for round_number in range(rounds):
            for variant in variants[round_number:] + variants[:round_number]:
                result = self.play(
                    scenario,
                    variant,
                    f"cost-{variant.name}-{round_number}",
                    seed=self.seed + round_number,
                )
                samples[variant.name].append(
                    (
                        result["first_tier_cpu_ms"],
                        result["load"]["served_ms"]["p50"],
                        result["load"]["served_ms"]["p99"],
                        max(row["rss_mb"] for row in result["costs"].values()),
                    )
                )
        return {
            name: [round(statistics.median(column), 3) for column in zip(*rows)]
            for name, rows in samples.items()
        }

    def write(self, folder, result):
        """Write the measurement's page and plot."""
        figures = result["figures"]
        lines = [
            "# Idempotency keys, measured",
            "",
            "Two entry balancers before six upstreams; clients send up to five copies of each sale",
            "and hold under one key to either balancer, at unfavourable moments, and 30% of them",
            "leave before the response. Upstreams crash, hang, drain and become slow, each",
            "balancer is killed with SIGKILL three times (`on`; once in the shorter runs), and a",
            "rush has four times the keys that the store has room for. `off`: without keys;",
            "`roomy`: with room for all of them.",
            f"{ORIGIN_NOTE} Seed {result['seed']}; "
            "`pepperhook lab prove repeats --full --write docs/measurements`.",
            "",
            "| scenario | keys | sent more than once | client attempts | executions | "
            "keys executed once | answered with a stored response | attempts rejected | "
            "keys only rejected | failed attempts | goodput | p50 ms | p99 ms | broken rules |",
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
        ]
        for row in figures["table"]:
            broken = (
                ", ".join(f"{name}: {count}" for name, count in row["findings"].items()) or "none"
            )
            lines.append(
                f"| {row['day']} | {row['keys']} | {row['duplicated']} | {row['tries']} | {row['runs']} | {row['ran_once']} | "
                f"{row['answered_again']} | {row['shed_tries']} | {row['keys_only_shed']} | {row['failed_tries']} | "
                f"{row['goodput']:.3f} | {row['p50']:.1f} | {row['p99']:.1f} | {broken} |"
            )
        if "cost" in figures:
            lines += [
                "",
                "Requests with a key each, no faults, no repeats, medians of three rounds in turn:",
                "",
                "| | core ms an operation | p50 ms | p99 ms | resident MB |",
                "| --- | --- | --- | --- | --- |",
            ]
            lines += [
                f"| {name} | " + " | ".join(f"{value:.2f}" for value in row) + " |"
                for name, row in figures["cost"].items()
            ]
        if "journals" in figures:
            writing, reading = figures["journals"]["writing"], figures["journals"]["reading"]
            lines += [
                "",
                "The journal compared with sqlite3 (WAL, synchronous=FULL), 64 requests waiting at",
                "a time, each with a record before and one after, synced in groups:",
                "",
                "| | operations a second | core µs an operation | wait p50 ms | wait p99 ms |",
                "| --- | --- | --- | --- | --- |",
            ]
            lines += [
                f"| {name} | {row['operations_per_s']:.0f} | {row['core_us']:.1f} | {row['wait_p50_ms']:.1f} | "
                f"{row['wait_p99_ms']:.1f} |"
                for name, r in writing.items()
            ]
            lines += [
                "",
                "Recovery, from the files to a store that accepts requests, bodies of 104 bytes:",
                "",
                "| | entries | seconds | bytes of memory an entry |",
                "| --- | --- | --- | --- |",
            ]
            lines += [
                f"| {row['journal']} | {row['entries']:,} | {row['seconds']:.2f} | {row['bytes_an_entry']} |"
                for row in reading
            ]
            plots = Plots()
            chart, axes = plots.figure(6.0, 3.0)
            for position, name in enumerate(("own", "sqlite")):
                journal_rows = [row for row in reading if row["journal"] == name]
                axes.plot(
                    [row["entries"] for row in journal_rows],
                    [row["seconds"] for row in journal_rows],
                    marker="o",
                    color=LINE_COLOURS[position],
                    label=name,
                )
            axes.set(
                xscale="log",
                yscale="log",
                xlabel="entries",
                ylabel="seconds until the entries are recovered",
            )
            axes.legend(frameon=False)
            chart.savefig(folder / "repeats-recovery.svg", metadata={"Date": None})
            lines += ["", "![recovery](repeats-recovery.svg)"]
        lines += ["", f"Holds: {result['holds']}. {'; '.join(figures['wrong'])}"]
        (folder / "repeats.md").write_text("\n".join(lines).rstrip() + "\n", encoding="utf-8")
