"""Evaluates a soak run: audit findings, leaked resources, log errors and lost SIGHUPs."""

import re
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from msgspec import Struct

from pepperhook.lab import events
from pepperhook.lab.audit import LIST_READ_TOLERANCE_NS, STAMPED_LATE
from pepperhook.lab.endpoint_audit import SECOND, EndpointAudit
from pepperhook.lab.soak.play import Problem, SoakScenarioRun
from pepperhook.lab.soak.resources import Resources
from pepperhook.policy.endpoints import NOTIFIED_AFTER
from pepperhook.server.app import SocketBudget

# Allowed growth of a count: one poll of the endpoint list may be ending while the next begins.
COUNT_TOLERANCE = 2
MAX_EXCUSED_SHARE = 0.003  # of requests, excused as a stand-in stalled; above it, the run is void
KB_PER_MB = 1024
PROCESS_MB = 36  # of a balancer without connections
CONNECTION_KB = 160  # of a client connection that soak clients use
RELOAD_EVENT = re.compile(r"event=reload(?:ed|_refused) .*")
LAST_RELOAD_MARK = "wait_for_a_restart=sockets"  # in the log line of the last config file
UNREACHABLE_FAULTS = ("discovery_outage", "discovery_refused")
DRAIN_GRACE_US, NS_PER_US = 300_000, 1000
FAULT_EVENT = re.compile(r"event=(module_fault|background_fault|h2_fault|dispatch_fault)\b.*")


class Verdict(Struct):
    """Result of one seed."""

    seed: int
    holds: bool  # whether no problem was found
    void: str  # why the run is inconclusive; empty if it is conclusive
    requests: int
    problems: dict[str, list[str]]  # examples by the problem's name
    played: dict[str, Any]  # summary of what the seed drew
    folder: str = ""  # with logs and results; deleted unless the run failed
    excused: dict[str, int] = {}  # number of excused audit findings by name


def judge(scenario_run: SoakScenarioRun, result: dict[str, Any]) -> Verdict:
    """Return the verdict of a completed run."""
    problems: dict[str, list[str]] = {}
    for finding in result["findings"]:
        problems[f"rule {finding['rule']}: {finding['name']}"] = finding["examples"]
    for name, example in [
        *scenario_run.problems,
        *_resource_problems(scenario_run),
        *_logged_faults(scenario_run),
        *_lost_sighups(scenario_run),
        *_late_sends(scenario_run, result["start"]),
    ]:
        problems.setdefault(name, []).append(example)
    void = ""
    if result["void"]:
        wait = result["core_wait"]
        void = (
            f"{wait['who']} waited {wait['worst_ms']} ms for a core, "
            f"{wait['stolen']:.0%} of the CPU time was stolen"
        )
    requests = result["figures"].get("tries", 0)
    excused = result["excused"]
    if excused.get(STAMPED_LATE, 0) > MAX_EXCUSED_SHARE * requests:
        void = f"excused too often: {STAMPED_LATE}, {excused[STAMPED_LATE]} of {requests}"
    return Verdict(
        seed=scenario_run.run.seed,
        holds=not problems,
        void=void,
        requests=requests,
        problems=problems,
        played=_summary(scenario_run),
        excused=excused,
    )


def _summary(scenario_run: SoakScenarioRun) -> dict[str, Any]:
    run = scenario_run.run
    return {
        "tiers": [[tier.balancers, tier.upstreams] for tier in run.experiment.tiers],
        "clients": run.experiment.clients.protocol,
        "faults": [fault.type for fault in run.experiment.faults],
        "restarts": len(run.restarts),
        "odd_rows": run.experiment.discovery.adds_unknown_state,
        "signals": sum(len(series.names) for series in run.signals),
        "crowd": 0 if run.crowd is None else run.crowd.clients,
    }


def _late_sends(scenario_run: SoakScenarioRun, start: int) -> Iterable[Problem]:
    """Yield a problem for each attempt that came after a change counted as notified.

    The audit's own check of rule 3 goes by the lists that were sent to a balancer.
    """
    scenario = scenario_run.run.experiment
    unreachable = [
        (start + int(fault.start_s * SECOND), start + int(end_s * SECOND))
        for fault in scenario.faults
        if fault.type in UNREACHABLE_FAULTS
        for end_s in [fault.start_s + fault.duration_s]
    ]
    grace_us = int(scenario.safety.get("drainGraceUs", DRAIN_GRACE_US))
    grace_ns = grace_us * NS_PER_US + LIST_READ_TOLERANCE_NS
    audit = EndpointAudit(events.read(scenario_run.folder))
    for send in audit.late_sends(unreachable, NOTIFIED_AFTER, grace_ns):
        example = f"{send.request} at {send.upstream}: {send.late_ns / SECOND:.2f} s late"
        yield "rule 3: sent after a change counted as notified", example


def _resource_problems(scenario_run: SoakScenarioRun) -> Iterable[Problem]:
    # After a restart, ``before`` was measured on the previous process. The figures are comparable,
    # as all processes of a balancer start in the same way.
    for key, after in scenario_run.resources_after.items():
        before = scenario_run.resources_before.get(key)
        if before is None:
            yield "not measured", f"balancer {key}"
            continue
        yield from compare(f"balancer {key[0]}.{key[1]}", before, after, scenario_run.sockets)


def compare(label: str, before: Resources, after: Resources, sockets: int) -> Iterable[Problem]:
    """Yield a problem for each resource above its limit.

    Limits: for counts COUNT_TOLERANCE above the start, for requests none left, for memory
    ``memory_bound_mb``, or as much growth as it allows.

    ``label`` names the process in the examples; ``sockets`` is its limit of file descriptors.
    """
    if after.descriptors > before.descriptors + COUNT_TOLERANCE:
        yield "descriptors left", f"{label}: {after.descriptors}, {before.descriptors} at the start"
    if after.connections > before.connections + COUNT_TOLERANCE:
        yield "connections left", f"{label}: {after.connections}, {before.connections} at the start"
    if after.tasks > before.tasks + COUNT_TOLERANCE:
        yield "tasks left", f"{label}: {after.tasks}, {before.tasks} at the start"
    if after.under_way > 0 or after.waiting > 0:
        yield "requests left", f"{label}: {after.under_way} under way, {after.waiting} waiting"
    bound = memory_bound_mb(sockets)
    if after.memory_mb > max(bound, before.memory_mb + bound - PROCESS_MB):
        yield "memory", f"{label}: {after.memory_mb} MB, {before.memory_mb} at the start"


def memory_bound_mb(sockets: int) -> float:
    """Return the memory limit that README states: the process and all its client connections."""
    clients = SocketBudget.of(sockets).clients.hard
    return float(PROCESS_MB + clients * CONNECTION_KB / KB_PER_MB)


def _logged_faults(scenario_run: SoakScenarioRun) -> Iterable[Problem]:
    """Yield the first internal error that each balancer logged."""
    for balancer in scenario_run.balancers.values():
        path = Path(balancer.log)
        if path.exists():
            match = FAULT_EVENT.search(path.read_text(errors="replace"))
            if match is not None:
                yield "fault in the log", f"{path.name}: {match.group(0)[:200]}"


def _lost_sighups(scenario_run: SoakScenarioRun) -> Iterable[Problem]:
    """Yield a problem for each balancer whose last reload is not that of its last SIGHUP."""
    for number, pid in scenario_run.signalled_pids.items():
        balancer = scenario_run.balancers[0, number]
        if balancer.process.pid != pid:
            continue  # restarted after the signals
        text = Path(balancer.log).read_text(errors="replace")
        reloads = RELOAD_EVENT.findall(text)
        if not reloads or LAST_RELOAD_MARK not in reloads[-1]:
            yield "signal lost", f"balancer {number}: {reloads[-1:]}"
