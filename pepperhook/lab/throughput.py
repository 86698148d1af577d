"""Measure the throughput and latency of a balancer on one core.

It compares the four pairings of HTTP/1.1 and HTTP/2 for clients and upstreams. Each round runs
every pairing twice, in an order that rotates: with closed-loop clients that saturate the balancer
(requests per second and core), and with an open loop at half of that rate (latency, counted from
the intended send time). The first counts only if the balancer was the bottleneck, the second only
if the load generator was not.
"""

import statistics

from msgspec.structs import replace

from pepperhook.lab.experiment import Clients, Experiment, Load, ServiceClass, Tier, Variant
from pepperhook.lab.machine import Spec
from pepperhook.lab.scenario_run import RunError, ScenarioRun

PAIRINGS = {
    "1-1": ("http/1.1", "http/1.1"),
    "1-2": ("http/1.1", "h2"),
    "2-1": ("h2", "http/1.1"),
    "2-2": ("h2", "h2"),
}
MIN_BUSY_CORES = 0.9  # the balancer was the bottleneck if it used at least this share of a core
CLIENTS, UPSTREAMS = 48, 6
WORK_MS = 0.5  # of each request, at an upstream


def make_experiment(seconds, **more):
    """Return the experiment, without its load."""
    machine = Spec(cores=64.0, slots=1000, queue=1000)
    return Experiment(
        version=1,
        name="speed",
        seconds=float(seconds),
        service_classes=[
            ServiceClass(name="look", time_limit_ms=2000, goal_ms=1000, work_ms=WORK_MS)
        ],
        tiers=[Tier(upstreams=UPSTREAMS, machine=machine)],
        **more,
    )


def run_pairing(experiment, pairing, seed, folder):
    """Return the result of a run and the cores that the balancer used. Raises RunError."""
    clients, upstreams = PAIRINGS[pairing]
    experiment = replace(experiment, clients=replace(experiment.clients, protocol=clients))
    operator = None if pairing == "1-1" else {"h2": {"upstreams": upstreams}}
    result = ScenarioRun(experiment, Variant(name=pairing, operator=operator), seed, folder).play()
    if result["interrupted"]:
        raise KeyboardInterrupt
    if result["findings"]:
        raise RunError(f"{pairing}: {result['findings'][0]['name']}")
    cpu_s = sum(row["cpu_s"] - row["start_cpu_s"] for row in result["costs"].values())
    return result, cpu_s / experiment.seconds


def measure(rounds, seconds, seed, folder, report_progress):
    """Return the figures by pairing: medians over the rounds, and the ratios to 1-1 in each round.

    Raises RunError.
    """
    names, rows = list(PAIRINGS), {name: [] for name in PAIRINGS}
    for round_number in range(rounds):
        for index, name in enumerate(names[round_number % 4 :] + names[: round_number % 4]):
            report_progress(
                f"round {round_number + 1} of {rounds}: {name}", (round_number + index / 4) / rounds
            )
            saturated, cores = run_pairing(
                make_experiment(seconds, clients=Clients(closed_loop_clients=CLIENTS)),
                name,
                seed + round_number,
                folder / f"{name}-{round_number}-full",
            )
            if cores < MIN_BUSY_CORES:
                raise RunError(
                    f"{name}: the balancer used {cores:.2f} of a core; "
                    "something else was the bottleneck"
                )
            figures = saturated["figures"]
            rate = figures["wishes"] * figures["served"] / seconds / cores
            half_rate, half_rate_cores = run_pairing(
                make_experiment(seconds, load=[Load(rate=rate / 2)]),
                name,
                seed + round_number,
                folder / f"{name}-{round_number}-half",
            )
            if half_rate["void"]:
                raise RunError(
                    f"{name}: the load generator was late at {rate / 2:.0f} requests per second"
                )
            rows[name].append(
                {
                    "a_core_per_s": rate,
                    "core_ms": 1000 / rate,
                    "served": figures["served"],
                    "half_per_s": rate / 2,
                    "half_core": half_rate_cores,
                    "half_p50_ms": half_rate["load"]["latency_ms"]["p50"],
                    "half_p99_ms": half_rate["load"]["latency_ms"]["p99"],
                    "half_served": half_rate["figures"]["served"],
                    "half_core_ms": half_rate["first_tier_cpu_ms"],
                    "rss_mb": max(row["rss_mb"] for row in saturated["costs"].values()),
                }
            )
    figures_by_name = {}
    for name, pairing_rows in rows.items():
        figures_by_name[name] = {
            key: round(statistics.median(row[key] for row in pairing_rows), 4)
            for key in pairing_rows[0]
        }
        for key in "core_ms", "half_core_ms":
            ratios = [row[key] / base[key] for row, base in zip(pairing_rows, rows["1-1"])]
            figures_by_name[name][f"{key}_ratios"] = [round(ratio, 3) for ratio in sorted(ratios)]
    return {"rounds": rounds, "seconds": seconds, "clients": CLIENTS, "pairings": figures_by_name}
