"""Run every variant of an experiment with every seed, and compare variants in pairs of equal seed.

Variants alternate, so that a machine that slows down affects all of them alike.
"""

import json
import shutil

import msgspec
import numpy

from pepperhook.lab import experiment
from pepperhook.lab.scenario_run import ScenarioRun, Worktrees, write_atomically

BLOCK_S = 5  # seconds drawn together by the bootstrap, as consecutive seconds are correlated
RESAMPLES = 2000  # bootstrap resamples
MAX_RUNS_WITH_ROWS = 12  # with more runs, the event rows of each are deleted after it
FIGURES = ("goodput", "served", "shed", "failed", "lost", "worst_ten_seconds")
OUTCOMES = ("served", "shed", "failed", "gone", "lost")


def play(scenario, folder, seed, repeats, only_variants, report_progress):
    """Run the experiment and return the results.

    ``only_variants`` has the names of the variants to run, all if empty.
    ``report_progress(text, share)`` is called with the progress.

    Each result is stored as soon as its run is over; an interrupt skips the remaining runs.
    """
    variants = [
        variant
        for variant in scenario.variants
        if not only_variants or variant.name in only_variants
    ]
    folder.mkdir(parents=True, exist_ok=True)
    write_atomically(folder / "experiment.json", msgspec.json.encode(scenario))
    worktrees, results, count = Worktrees(), [], repeats * len(variants)
    try:
        for round_number in range(repeats):
            # Rotated in each round, so that no variant always runs first.
            order = (
                variants[round_number % len(variants) :] + variants[: round_number % len(variants)]
            )
            for variant in order:
                done_share, label = (
                    len(results) / count,
                    f"{variant.name}, seed {seed + round_number}",
                )
                run = ScenarioRun(
                    scenario,
                    variant,
                    seed + round_number,
                    folder / f"{variant.name}-{seed + round_number}",
                    worktrees,
                    lambda what, share, done_share=done_share, label=label: report_progress(
                        f"{label}: {what}", done_share + share / count
                    ),
                )
                results.append(run.play())
                for rows in run.folder.glob("*.rows"):
                    rows.unlink() if repeats * len(variants) > MAX_RUNS_WITH_ROWS else None
                if results[-1]["interrupted"]:
                    return results
    except KeyboardInterrupt:
        pass
    finally:
        worktrees.close()
        for path in folder.iterdir():
            # A run without a result is of no use to a report.
            if path.is_dir() and not (path / "result.json").exists():
                shutil.rmtree(path)
    return results


def read(folder):
    """Return the experiment and the results in a folder. Raises OSError or ValueError."""
    scenario = msgspec.json.decode(
        (folder / "experiment.json").read_bytes(), type=experiment.Experiment
    )
    paths = sorted(folder.glob("*/result.json"))
    if not paths:
        raise ValueError("no result.json is in it")
    return scenario, [json.loads(path.read_text()) for path in paths]


def usable(results):
    """Return the results that are neither void nor interrupted."""
    return [result for result in results if not result["void"] and not result["interrupted"]]


def block_earnings(result):
    """Return the earned value of each block of seconds, and the possible value."""
    earned, possible = (numpy.array(result["seconds"][name]) for name in ("earned", "possible"))
    starts = range(0, len(earned), BLOCK_S)
    return (
        numpy.array([values[at : at + BLOCK_S].sum() for at in starts])
        for values in (earned, possible)
    )


def interval(base, other):
    """Return the difference in goodput, other minus base, and its 95% interval (low, high).

    It is a paired bootstrap over blocks of seconds of all seeds: the block bootstrap of Kuensch
    (1989), with blocks that don't overlap.
    """
    seeds = sorted(base.keys() & other.keys())
    rows = []
    for seed in seeds:
        (earned, possible), (other_earned, other_possible) = (
            block_earnings(base[seed]),
            block_earnings(other[seed]),
        )
        length = min(len(possible), len(other_possible))
        rows += list(
            zip(earned[:length], possible[:length], other_earned[:length], other_possible[:length])
        )
    table = numpy.array(rows)
    rng = numpy.random.default_rng(1)
    resamples = table[rng.integers(0, len(table), (RESAMPLES, len(table)))].sum(axis=1)
    difference = resamples[:, 2] / numpy.maximum(1e-9, resamples[:, 3]) - resamples[
        :, 0
    ] / numpy.maximum(1e-9, resamples[:, 1])
    sums = table.sum(axis=0)
    return (
        sums[2] / max(1e-9, sums[3]) - sums[0] / max(1e-9, sums[1]),
        *(float(bound) for bound in numpy.percentile(difference, [2.5, 97.5])),
    )


def interval_over_seeds(base, other, key):
    """Return the mean difference of a figure and its 95% interval, bootstrapped over the seeds.

    With a single seed the interval is infinite.
    """
    pairs = [
        (base[seed]["figures"].get(key), other[seed]["figures"].get(key))
        for seed in sorted(base.keys() & other.keys())
    ]
    differences = numpy.array(
        [
            other_value - base_value
            for base_value, other_value in pairs
            if base_value is not None and other_value is not None
        ]
    )
    if not len(differences):
        return 0.0, 0.0, 0.0
    if len(differences) == 1:
        return float(differences[0]), float("-inf"), float("inf")
    rng = numpy.random.default_rng(1)
    resamples = differences[rng.integers(0, len(differences), (RESAMPLES, len(differences)))].mean(
        axis=1
    )
    return (
        float(differences.mean()),
        *(float(bound) for bound in numpy.percentile(resamples, [2.5, 97.5])),
    )


def by_variant(results):
    """Return the usable results as {variant: {seed: result}}.

    Interrupted runs are used only for a variant that has no complete one.
    """
    by_name = {}
    for result in [
        result for result in results if result["interrupted"] and not result["void"]
    ] + usable(results):
        by_name.setdefault(result["variant"], {})[result["seed"]] = result
    for runs in by_name.values():
        if any(not result["interrupted"] for result in runs.values()):
            for seed in [seed for seed, result in runs.items() if result["interrupted"]]:
                del runs[seed]
    return by_name


def mean(results, key):
    """Return the mean of a figure over the results that have it; None if there are none."""
    known = [result["figures"][key] for result in results if result["figures"].get(key) is not None]
    return round(float(numpy.mean(known)), 4) if known else None


def compare(results, base, other):
    """Return the differences of all figures between two variants, with 95% intervals."""
    by_name = by_variant(results)
    if base not in by_name or other not in by_name:
        return {"base": base, "other": other, "seeds": [], "figures": {}}
    figures = {}
    for key in FIGURES:
        difference, low, high = (
            interval(by_name[base], by_name[other])
            if key == "goodput"
            else interval_over_seeds(by_name[base], by_name[other], key)
        )
        figures[key] = {
            "base": mean(by_name[base].values(), key),
            "other": mean(by_name[other].values(), key),
            "difference": round(difference, 4),
            "low": round(low, 4),
            "high": round(high, 4),
        }
    return {
        "base": base,
        "other": other,
        "seeds": sorted(by_name[base].keys() & by_name[other].keys()),
        "figures": figures,
    }


def summary(scenario, results):
    """Return a machine-readable summary, with a row per variant.

    Each is compared with the first variant that has results.
    """
    by_name, rows, first_variant = by_variant(results), [], None
    for variant in scenario.variants:
        by_seed = by_name.get(variant.name)
        if not by_seed:
            continue
        first_variant = first_variant or variant.name
        findings = {}
        for result in by_seed.values():
            for finding in result["findings"]:
                findings[finding["name"]] = findings.get(finding["name"], 0) + finding["count"]
        runs = list(by_seed.values())
        amplification = {
            str(tier): round(
                float(
                    numpy.mean(
                        [result["figures"]["amplification"][str(tier)] or 0 for result in runs]
                    )
                ),
                4,
            )
            for tier in range(len(scenario.tiers))
        }
        rows.append(
            {
                "variant": variant.name,
                "seeds": sorted(by_seed),
                **{key: mean(runs, key) for key in FIGURES},
                "wasted_work_s": round(
                    float(numpy.mean([result["figures"]["wasted_work_s"] for result in runs])), 3
                ),
                "outlived": round(
                    float(numpy.mean([result["figures"]["outlived"] for result in runs])), 1
                ),
                "after_client_left": round(
                    float(numpy.mean([result["figures"]["after_client_left"] for result in runs])),
                    1,
                ),
                "amplification": amplification,
                "served_ms": {
                    percentile: round(
                        float(
                            numpy.mean([result["load"]["served_ms"][percentile] for result in runs])
                        ),
                        2,
                    )
                    for percentile in ("p50", "p99")
                },
                "first_tier_cpu_ms": round(
                    float(numpy.mean([result["first_tier_cpu_ms"] for result in runs])), 3
                ),
                "findings": findings,
                "against_first": compare(results, first_variant, variant.name)["figures"]["goodput"]
                if variant.name != first_variant
                else None,
            }
        )
    void = [f"{result['variant']}, seed {result['seed']}" for result in results if result["void"]]
    return {
        "experiment": scenario.name,
        "seconds": scenario.seconds,
        "variants": rows,
        "void": void,
        "interrupted": any(result["interrupted"] for result in results),
    }
