"""Judges a soak run: the auditor's findings, and what the processes hold after a quiet time."""

import re
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from msgspec import Struct

from pepperhook.lab.audit import STAMPED_LATE
from pepperhook.lab.soak.play import Problem, SoakDay
from pepperhook.lab.soak.resources import Resources
from pepperhook.server.app import CONNECTION_KB, PROCESS_MB, SocketBudget

# A poll of the endpoint list may be just ending while the next begins.
SPARE = 2
MAX_EXCUSED_SHARE = 0.003  # of the requests; beyond, the stand-ins stood still too often to judge
KB_PER_MB = 1024
RELOAD = re.compile(r"event=reload(?:ed|_refused) .*")
LAST_FILE = "wait_for_a_restart=sockets"  # what the log says of the file that comes last
FAULT = re.compile(r"event=(module_fault|background_fault|h2_fault|dispatch_fault)\b.*")


class Verdict(Struct):
    """What became of one seed."""

    seed: int
    holds: bool
    void: str  # why nothing is to be concluded; empty where it is
    requests: int
    problems: dict[str, list[str]]
    played: dict[str, Any]
    folder: str = ""
    excused: dict[str, int] = {}  # what the auditor excused, and how often


def judge(day: SoakDay, result: dict[str, Any]) -> Verdict:
    """Return the verdict of a run that was played."""
    problems: dict[str, list[str]] = {}
    for finding in result["findings"]:
        problems[f"rule {finding['rule']}: {finding['name']}"] = finding["examples"]
    for name, example in [*day.problems, *_resources(day), *_logs(day), *_files(day)]:
        problems.setdefault(name, []).append(example)
    void = ""
    if result["void"]:
        wait = result["core_wait"]
        void = (
            f"{wait['who']} waited {wait['worst_ms']} ms for a core, {wait['stolen']:.0%} was taken"
        )
    requests = result["figures"].get("tries", 0)
    excused = result["excused"]
    if excused.get(STAMPED_LATE, 0) > MAX_EXCUSED_SHARE * requests:
        void = f"excused too often: {STAMPED_LATE}, {excused[STAMPED_LATE]} of {requests}"
    return Verdict(
        seed=day.run.seed,
        holds=not problems,
        void=void,
        requests=requests,
        problems=problems,
        played=_played(day),
        excused=excused,
    )


def _played(day: SoakDay) -> dict[str, Any]:
    run = day.run
    return {
        "tiers": [[tier.balancers, tier.upstreams] for tier in run.experiment.tiers],
        "clients": run.experiment.clients.protocol,
        "faults": [trouble.what for trouble in run.experiment.troubles],
        "restarts": len(run.restarts),
        "odd_rows": run.experiment.discovery.odd_rows,
        "signals": sum(len(series.names) for series in run.signals),
        "crowd": 0 if run.crowd is None else run.crowd.clients,
    }


def _resources(day: SoakDay) -> Iterable[Problem]:
    # One that was restarted is compared with another that began in the same way: with itself as
    # it began, as all begin alike.
    for name, after in day.after.items():
        before = day.before.get(name)
        if before is None:
            yield "not measured", f"balancer {name}"
            continue
        yield from compare(f"balancer {name[0]}.{name[1]}", before, after, day.sockets)


def compare(who: str, before: Resources, after: Resources, sockets: int) -> Iterable[Problem]:
    """Yield what is held after the quiet time that was not held after the start."""
    if after.descriptors > before.descriptors + SPARE:
        yield "descriptors left", f"{who}: {after.descriptors}, {before.descriptors} at the start"
    if after.connections > before.connections + SPARE:
        yield "connections left", f"{who}: {after.connections}, {before.connections} at the start"
    if after.tasks > before.tasks + SPARE:
        yield "tasks left", f"{who}: {after.tasks}, {before.tasks} at the start"
    if after.under_way > 0 or after.waiting > 0:
        yield "requests left", f"{who}: {after.under_way} under way, {after.waiting} waiting"
    bound = memory_bound_mb(sockets)
    if after.memory_mb > max(bound, before.memory_mb + bound - PROCESS_MB):
        yield "memory", f"{who}: {after.memory_mb} MB, {before.memory_mb} at the start"


def memory_bound_mb(sockets: int) -> float:
    """Return what README has a balancer take at the worst: the program, and all its clients."""
    clients = SocketBudget.of(sockets, None).clients.hard
    return float(PROCESS_MB + clients * CONNECTION_KB / KB_PER_MB)


def _logs(day: SoakDay) -> Iterable[Problem]:
    """Yield what the balancers themselves took for defects."""
    for balancer in day.balancers.values():
        path = Path(balancer.log)
        if path.exists():
            found = FAULT.search(path.read_text(errors="replace"))
            if found is not None:
                yield "fault in the log", f"{path.name}: {found.group(0)[:200]}"


def _files(day: SoakDay) -> Iterable[Problem]:
    """Yield where the file that came with the last SIGHUP is not the one in force."""
    for number, pid in day.last_series.items():
        balancer = day.balancers[0, number]
        if balancer.process.pid != pid:
            continue  # restarted since
        text = Path(balancer.log).read_text(errors="replace")
        reloads = RELOAD.findall(text)
        if not reloads or LAST_FILE not in reloads[-1]:
            yield "signal lost", f"balancer {number}: {reloads[-1:]}"
