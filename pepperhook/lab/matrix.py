"""Variants by seeds: played in turn, so that a machine that slows down slows all alike, and compared pair by pair."""

import json
import shutil

import msgspec
import numpy

from pepperhook.lab import experiment
from pepperhook.lab.day import Day, Worktrees, store

BLOCK_S = 5  # seconds that are drawn together: what happens in one goes on in the next
DRAWS = 2000
FIGURES = ("goodput", "served", "shed", "failed", "lost", "worst_ten_seconds")
OUTCOMES = ("served", "shed", "failed", "gone", "lost")


def play(day, folder, seed, repeats, only, tell):
    """Results of all days played to their end. Each is on disk as soon as it is there; an interrupt ends the rest."""
    variants = [v for v in day.variants if not only or v.name in only]
    folder.mkdir(parents=True, exist_ok=True)
    store(folder / "experiment.json", msgspec.json.encode(day))
    worktrees, results, count = Worktrees(), [], repeats * len(variants)
    try:
        for turn in range(repeats):
            # Turned round each time, against one always coming first.
            order = variants[turn % len(variants) :] + variants[: turn % len(variants)]
            for variant in order:
                at, name = len(results) / count, f"{variant.name}, seed {seed + turn}"
                stand = Day(
                    day,
                    variant,
                    seed + turn,
                    folder / f"{variant.name}-{seed + turn}",
                    worktrees,
                    lambda what, share, at=at, name=name: tell(
                        f"{name}: {what}", at + share / count
                    ),
                )
                results.append(stand.play())
                for rows in stand.folder.glob("*.rows"):
                    rows.unlink() if repeats * len(variants) > 12 else None
                if results[-1]["interrupted"]:
                    return results
    except KeyboardInterrupt:
        pass
    finally:
        worktrees.close()
        for left in folder.iterdir():
            # What was begun and has no result is of no use to a report.
            if left.is_dir() and not (left / "result.json").exists():
                shutil.rmtree(left)
    return results


def read(folder):
    """The experiment and the results of a folder. Raises OSError or ValueError."""
    day = msgspec.json.decode((folder / "experiment.json").read_bytes(), type=experiment.Experiment)
    paths = sorted(folder.glob("*/result.json"))
    if not paths:
        raise ValueError("no result.json is in it")
    return day, [json.loads(path.read_text()) for path in paths]


def usable(results):
    return [result for result in results if not result["void"] and not result["interrupted"]]


def blocks(result):
    """Earned and possible of each block of seconds."""
    earned, possible = (numpy.array(result["seconds"][name]) for name in ("earned", "possible"))
    cut = range(0, len(earned), BLOCK_S)
    return (
        numpy.array([part[at : at + BLOCK_S].sum() for at in cut]) for part in (earned, possible)
    )


def interval(base, other):
    """The difference of goodput, other less base, with a 95% interval: a paired bootstrap over seeds' blocks of seconds
    (moving-block idea of Kuensch 1989, with blocks that don't overlap)."""
    seeds = sorted(base.keys() & other.keys())
    rows = []
    for seed in seeds:
        (earned, possible), (earned2, possible2) = blocks(base[seed]), blocks(other[seed])
        most = min(len(possible), len(possible2))
        rows += list(zip(earned[:most], possible[:most], earned2[:most], possible2[:most]))
    table = numpy.array(rows)
    rng = numpy.random.default_rng(1)
    draws = table[rng.integers(0, len(table), (DRAWS, len(table)))].sum(axis=1)
    difference = draws[:, 2] / numpy.maximum(1e-9, draws[:, 3]) - draws[:, 0] / numpy.maximum(
        1e-9, draws[:, 1]
    )
    whole = table.sum(axis=0)
    return (
        whole[2] / max(1e-9, whole[3]) - whole[0] / max(1e-9, whole[1]),
        *(float(x) for x in numpy.percentile(difference, [2.5, 97.5])),
    )


def plain_interval(base, other, key):
    """The mean difference of a figure over seeds, bootstrapped over these; of one seed there is no interval."""
    pairs = [
        (base[s]["figures"].get(key), other[s]["figures"].get(key))
        for s in sorted(base.keys() & other.keys())
    ]
    differences = numpy.array([b - a for a, b in pairs if a is not None and b is not None])
    if not len(differences):
        return 0.0, 0.0, 0.0
    if len(differences) == 1:
        return float(differences[0]), float("-inf"), float("inf")
    rng = numpy.random.default_rng(1)
    draws = differences[rng.integers(0, len(differences), (DRAWS, len(differences)))].mean(axis=1)
    return (float(differences.mean()), *(float(x) for x in numpy.percentile(draws, [2.5, 97.5])))


def by_variant(results):
    named = {}
    # One that was interrupted stands for its variant only where nothing else does.
    for result in [r for r in results if r["interrupted"] and not r["void"]] + usable(results):
        named.setdefault(result["variant"], {})[result["seed"]] = result
    for runs in named.values():
        if any(not result["interrupted"] for result in runs.values()):
            for seed in [seed for seed, result in runs.items() if result["interrupted"]]:
                del runs[seed]
    return named


def mean(results, key):
    known = [r["figures"][key] for r in results if r["figures"].get(key) is not None]
    return round(float(numpy.mean(known)), 4) if known else None


def compare(results, base, other):
    named = by_variant(results)
    if base not in named or other not in named:
        return {"base": base, "other": other, "seeds": [], "figures": {}}
    figures = {}
    for key in FIGURES:
        middle, low, high = (
            interval(named[base], named[other])
            if key == "goodput"
            else plain_interval(named[base], named[other], key)
        )
        figures[key] = {
            "base": mean(named[base].values(), key),
            "other": mean(named[other].values(), key),
            "difference": round(middle, 4),
            "low": round(low, 4),
            "high": round(high, 4),
        }
    return {
        "base": base,
        "other": other,
        "seeds": sorted(named[base].keys() & named[other].keys()),
        "figures": figures,
    }


def summary(day, results):
    """What a program may read of an experiment: a row a variant, with intervals against the first."""
    named, rows, first = by_variant(results), [], None
    for variant in day.variants:
        mine = named.get(variant.name)
        if not mine:
            continue
        first = first or variant.name
        findings = {}
        for result in mine.values():
            for finding in result["findings"]:
                findings[finding["name"]] = findings.get(finding["name"], 0) + finding["count"]
        runs = list(mine.values())
        amplification = {
            str(t): round(
                float(numpy.mean([r["figures"]["amplification"][str(t)] or 0 for r in runs])), 4
            )
            for t in range(len(day.tiers))
        }
        rows.append(
            {
                "variant": variant.name,
                "seeds": sorted(mine),
                **{key: mean(runs, key) for key in FIGURES},
                "wasted_work_s": round(
                    float(numpy.mean([r["figures"]["wasted_work_s"] for r in runs])), 3
                ),
                "outlived": round(float(numpy.mean([r["figures"]["outlived"] for r in runs])), 1),
                "after_client_left": round(
                    float(numpy.mean([r["figures"]["after_client_left"] for r in runs])), 1
                ),
                "amplification": amplification,
                "served_ms": {
                    p: round(float(numpy.mean([r["load"]["served_ms"][p] for r in runs])), 2)
                    for p in ("p50", "p99")
                },
                "first_tier_cpu_ms": round(
                    float(numpy.mean([r["first_tier_cpu_ms"] for r in runs])), 3
                ),
                "findings": findings,
                "against_first": compare(results, first, variant.name)["figures"]["goodput"]
                if variant.name != first
                else None,
            }
        )
    void = [f"{r['variant']}, seed {r['seed']}" for r in results if r["void"]]
    return {
        "experiment": day.name,
        "seconds": day.seconds,
        "variants": rows,
        "void": void,
        "interrupted": any(r["interrupted"] for r in results),
    }
