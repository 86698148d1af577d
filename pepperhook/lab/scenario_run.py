"""Run one scenario: start stand-ins, balancers and load, inject faults, stop them, and audit.

ScenarioRun owns every process and ends each one by its own handle, also when the run is
interrupted.
"""

import json
import os
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from contextlib import contextmanager
from pathlib import Path

import msgspec
from msgspec.structs import replace

from pepperhook.lab import audit, events, experiment
from pepperhook.lab.instances import Timeline, Transition
from pepperhook.lab.load_generator import is_healthy

NS_PER_S = 10**9
START_TIMEOUT_S = 30  # startup timeout of every process
# A later tier's balancer starts this long before the upstream that calls through it.
BALANCER_LEAD_S = 1.2
# A run is void, and not used in comparisons, if the machine had too little processor time for it.
# Limit of the share of all cores that other virtual machines of the host took within one sample:
MAX_STOLEN_SHARE = 0.05
# Limit of the time that a process waited for a core within one sample:
MAX_CORE_WAIT_MS = 400
ROOT = Path(__file__).resolve().parents[2]
LOG_FIELD = re.compile(r"(\w+)=(\"(?:[^\"\\]|\\.)*\"|\S+)")


class Cores:
    """Measures how long runnable processes waited for a core.

    Reads the second figure of /proc/PID/schedstat. Where the kernel has no such file, nothing is
    measured and no run becomes void.
    """

    def __init__(self):
        # ``waits_ns``: the last sample by pid, cumulative; ``longest_wait_ms``: the longest wait
        # between two samples, of ``worst_process``.
        self.waits_ns, self.longest_wait_ms, self.worst_process = {}, 0.0, None
        self.last_ticks, self.largest_stolen_share = None, 0.0

    def sample(self, processes):
        """Sample the waits of ``processes``, rows of (name, process); call about once a second.

        Keeps the longest wait between two samples and the name of its process.
        """
        self.sample_stolen()
        for name, process in processes:
            try:
                with open(f"/proc/{process.pid}/schedstat", encoding="ascii") as file:
                    wait_ns = int(file.read().split()[1])
            except (OSError, IndexError, ValueError):
                continue
            before = self.waits_ns.get(process.pid)
            self.waits_ns[process.pid] = wait_ns
            if before is not None and (wait_ns - before) / 1e6 > self.longest_wait_ms:
                self.longest_wait_ms, self.worst_process = (wait_ns - before) / 1e6, name

    def sample_stolen(self, path="/proc/stat"):
        """Sample the CPU time stolen from this virtual machine.

        Stolen time shows in the statistics of no process, so a slow second would otherwise be
        attributed to the program.
        """
        try:
            with open(path, encoding="ascii") as file:
                ticks = [int(figure) for figure in file.readline().split()[1:9]]
        except (OSError, ValueError):
            return
        if self.last_ticks is not None and len(ticks) == 8 and sum(ticks) > sum(self.last_ticks):
            share = (ticks[7] - self.last_ticks[7]) / (sum(ticks) - sum(self.last_ticks))
            self.largest_stolen_share = max(self.largest_stolen_share, share)
        self.last_ticks = ticks


class RunError(RuntimeError):
    """The scenario could not be started or finished."""


class Worktrees:
    """Git worktrees of other revisions of this repository, removed by ``close``."""

    def __init__(self):
        self.folder, self.paths = None, {}

    def checkout(self, revision):
        """Check ``revision`` out, unless it already is, and return its path. Raises RunError."""
        if revision not in self.paths:
            self.folder = self.folder or tempfile.mkdtemp(prefix="pepperhook-revisions-")
            path = f"{self.folder}/{len(self.paths)}"
            completed = subprocess.run(
                ["git", "-C", str(ROOT), "worktree", "add", "--detach", path, revision],
                capture_output=True,
                text=True,
            )
            if completed.returncode:
                raise RunError(f"revision {revision}: {completed.stderr.strip().splitlines()[-1]}")
            self.paths[revision] = path
        return self.paths[revision]

    def close(self):
        for path in self.paths.values():
            subprocess.run(
                ["git", "-C", str(ROOT), "worktree", "remove", "--force", path], capture_output=True
            )
        if self.folder:
            shutil.rmtree(self.folder, ignore_errors=True)


class Balancer:
    """One balancer process, which can be stopped and started again."""

    def __init__(self, run, tier, number):
        self.run, self.tier, self.number, self.process = run, tier, number, None
        self.cpu_s, self.rss_mb, self.start_cpu_s = 0.0, 0.0, 0.0
        self.discovery_index = 0  # which address of the discovery service it uses, 0 or 1
        self.started_at = 0.0  # monotonic seconds of the last start
        self.log = f"{run.folder}/balancer-{tier}-{number}.log"

    def configure(self):
        """Write the configuration file and return its path."""
        run, plan = self.run, self.run.plan
        path = f"{run.folder}/balancer-{self.tier}-{self.number}.json"
        config = {
            "seed": f"{plan.seed * 1000 + self.tier * 100 + self.number:x}",
            "limits": {"sockets": run.sockets},
            "settings": plan.settings(self.tier, self.number, run.variant.settings),
            "discovery": "{}:{}".format(
                *plan.discovery(self.tier, self.number, self.discovery_index)
            ),
        }
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        return path

    def start(self):
        """Start the process: the balancer, or what the variant has in its place.

        That is a deliberately faulty stand-in, a baseline policy, a balancer with an injected
        defect, or another revision.
        """
        run, plan, variant = self.run, self.run.plan, self.run.variant
        environ = {
            **os.environ,
            "LB_NAME": f"b{self.tier}-{self.number}",
            "LB_CONFIG": self.configure(),
            "LB_LISTEN": "{}:{}".format(*plan.balancer(self.tier, self.number)),
            "LB_DISCOVERY": "{}:{}".format(
                *plan.discovery(self.tier, self.number, self.discovery_index)
            ),
        }
        environ.pop("LB_OPERATOR", None)
        if variant.operator is not None:
            environ["LB_OPERATOR"] = run.write_operator_file(self.tier, self.number)
        command, folder = [sys.executable, "-m", "pepperhook"], None
        if variant.faulty_balancer:
            command = [
                sys.executable,
                "-m",
                "pepperhook.lab.faulty_balancers",
                variant.faulty_balancer,
            ]
        elif variant.module != "pepperhook":
            command = [
                sys.executable,
                "-m",
                "pepperhook.lab.balancer",
                variant.module,
                *(f"{key}={value}" for key, value in variant.options.items()),
            ]
        elif variant.defect:
            command = [sys.executable, "-m", "pepperhook.lab.defects", variant.defect]
        elif variant.revision:
            folder = run.worktrees.checkout(variant.revision)
        self.start_cpu_s, self.started_at = 0.0, time.monotonic()
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                command,
                env=environ,
                cwd=folder or ROOT,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=log,
                start_new_session=True,
            )

    def measure(self):
        """Sample the CPU seconds and resident memory of the process."""
        import psutil

        try:
            process = psutil.Process(self.process.pid)
            times = process.cpu_times()
            self.cpu_s, self.rss_mb = times.user + times.system, process.memory_info().rss / 2**20
        except psutil.Error:
            pass

    def send_signal(self, signal_number):
        """Send a signal if the process is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal_number)

    def stop(self, signal_number=signal.SIGKILL, within_s=10):
        """Send a signal and wait; kill the process if it doesn't exit within ``within_s``."""
        self.send_signal(signal_number)
        try:
            self.process.wait(within_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


class ScenarioRun:
    """One run of a scenario with one variant and one seed.

    ``scenario`` is the experiment. ``report_progress(text, share)`` is called with the progress.
    ``ignored_findings`` has the names of findings that the auditor ignores, for the check that it
    can fail. ``sockets`` is the balancers' limit of sockets. ``extra_actions`` has additional
    actions: rows of (seconds, callable); each callable gets this ScenarioRun.
    """

    def __init__(
        self,
        scenario,
        variant,
        seed,
        folder,
        worktrees=None,
        report_progress=None,
        ignored_findings=(),
        sockets=1024,
        extra_actions=(),
    ):
        # An absolute path, as balancers of another revision run in another working directory.
        self.scenario, self.variant, self.folder = scenario, variant, Path(folder).resolve()
        if variant.header_handling:
            scenario = self.scenario = replace(
                scenario,
                tiers=[
                    replace(tier, header_handling=list(variant.header_handling))
                    for tier in scenario.tiers
                ],
            )
        address_block, self.block_lock = experiment.reserve_block()
        self.plan = experiment.Plan(scenario, seed, address_block)
        # Whether to close the worktrees at the end.
        self.worktrees, self.owns_worktrees = worktrees or Worktrees(), worktrees is None
        self.report_progress = report_progress or (lambda *_: None)
        # ``stand_in_processes`` includes the load generator.
        self.stand_in_processes, self.balancers, self.start = [], {}, 0
        # Event rows of this process.
        self.event_log, self.load, self.ignored_findings, self.sockets, self.cores = (
            None,
            None,
            ignored_findings,
            sockets,
            Cores(),
        )
        self.extra_actions = list(extra_actions)

    def write_operator_file(self, tier, number):
        """Write the operator's file of one balancer and return its path."""
        import tomli_w

        document = {"version": 1, **self.variant.operator}
        for key, value in dict(enumerate(self.variant.operator_by_tier)).get(tier, {}).items():
            document[key] = {**document.get(key, {}), **value}
        placeholders = {
            "folder": str(self.folder),
            "tier": tier,
            "number": number,
            "peer": "{}:{}".format(*self.plan.peers(tier, number)),
            **{f"peer_{first}": "{}:{}".format(*self.plan.peers(0, first)) for first in range(3)},
        }
        path = self.folder / f"operator-{tier}-{number}.toml"
        write_atomically(path, tomli_w.dumps(fill_placeholders(document, placeholders)).encode())
        return str(path)

    def write_peers_file(self, tier):
        """Write the member list of a tier, for operator's files that refer to it."""
        rows = "".join(
            '[[members]]\nname = "b{}-{}"\naddress = "{}:{}"\n'.format(
                tier, number, *self.plan.peers(tier, number)
            )
            for number in range(experiment.caller_count(self.scenario, tier))
        )
        write_atomically(
            self.folder / f"peers-{tier}.toml", f"version = 1\nepoch = 1\n{rows}".encode()
        )

    def start_stand_in(self, *arguments, module="pepperhook.lab.stand_ins"):
        """Start a stand-in process and return it.

        Its arguments are the plan, the folder and ``arguments``.
        """
        with open(self.folder / "stands.log", "ab") as log:
            process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    module,
                    str(self.folder / "plan.json"),
                    str(self.folder),
                    *map(str, arguments),
                ],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
                cwd=ROOT,
                start_new_session=True,
            )
        self.stand_in_processes.append(process)
        return process

    def wait_until_ready(self, process):
        """Wait until a stand-in reports that it is ready. Raises RunError."""
        line = process.stdout.readline()
        if line.strip() != b"ready":
            tail = (
                (self.folder / "stands.log").read_text(errors="replace").strip().splitlines()[-1:]
            )
            raise RunError(f"a stand-in did not start: {' '.join(tail) or 'it printed nothing'}")

    def play(self):
        """Run the scenario, store the result in result.json and return it.

        An interrupted run has a result, too.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        for row_file in self.folder.glob("*.rows"):
            row_file.unlink()
        interrupted = False
        try:
            self.start_processes()
            try:
                self.run_actions()
            except KeyboardInterrupt:
                interrupted = True
        finally:
            with ignoring_interrupts():
                self.stop_processes()
        with ignoring_interrupts():
            return self.store_result(interrupted)

    def start_processes(self, load=True):
        """Start all processes, wait until they are ready and set the start time.

        Raises RunError.
        """
        self.plan.write(self.folder / "plan.json")
        self.event_log = events.EventLog(self.folder / "day.rows")
        self.report_progress("starting the fleet", 0.0)
        stand_ins = [self.start_stand_in("discovery")]
        stand_ins += [
            self.start_stand_in("upstreams", tier) for tier in range(len(self.scenario.tiers))
        ]
        if any(tier.has_relays for tier in self.scenario.tiers):
            stand_ins.append(self.start_stand_in("relays"))
        for process in stand_ins:
            self.wait_until_ready(process)
        for tier in range(len(self.scenario.tiers)):
            self.write_peers_file(tier)
            for number in range(experiment.caller_count(self.scenario, tier)):
                balancer = self.balancers[tier, number] = Balancer(self, tier, number)
                balancer.start()
        if load:
            self.load = self.start_stand_in(module="pepperhook.lab.load_generator")
            self.wait_until_ready(self.load)
        self.wait_until_healthy(self.balancers.values())
        for balancer in self.balancers.values():
            # CPU time of the startup isn't part of any request's cost. In a short run half a second
            # of it would be divided among few requests.
            balancer.measure()
            balancer.start_cpu_s = balancer.cpu_s
        self.start = time.monotonic_ns() + NS_PER_S // 5
        for process in self.stand_in_processes:
            process.stdin.write(b"%d\n" % self.start)
            process.stdin.flush()

    def wait_until_healthy(self, balancers):
        """Wait until the balancers pass their health checks. Raises RunError."""
        import asyncio

        deadline = time.monotonic() + START_TIMEOUT_S
        for balancer in balancers:
            address = self.plan.balancer(balancer.tier, balancer.number)
            # The process must be alive, too: another process at the same address could answer the
            # health check.
            while balancer.process.poll() is not None or not asyncio.run(is_healthy(address)):
                if balancer.process.poll() is not None or time.monotonic() > deadline:
                    tail = Path(balancer.log).read_text(errors="replace").strip().splitlines()[-1:]
                    raise RunError(
                        f"balancer {balancer.tier}.{balancer.number} did not become ready: "
                        f"{' '.join(tail)}"
                    )
                time.sleep(0.02)

    def actions(self):
        """Return the actions of this process during the run: sorted rows of (seconds, callable)."""
        rows = []
        for tier in range(1, len(self.scenario.tiers)):
            rows += self.lifecycle_actions(tier)
        for fault in self.scenario.faults:
            periods = list(experiment.fault_periods(self.scenario, fault))
            if fault.type == "kill_balancer":
                for number, begin_s, end_s in periods:
                    balancer = self.balancers[fault.tier, number]
                    rows.append((begin_s, lambda balancer=balancer: self.kill(balancer)))
                    rows.append((end_s, lambda balancer=balancer: self.start_if_ended(balancer)))
            elif fault.type in ("term_balancer", "roll_balancers"):
                for index, (number, begin_s, _) in enumerate(periods):
                    begin_s += (
                        fault.duration_s * index / len(periods)
                        if fault.type == "roll_balancers"
                        else 0
                    )
                    balancer = self.balancers[fault.tier, number]
                    rows.append(
                        (begin_s, lambda balancer=balancer: self.restart_gracefully(balancer))
                    )
            elif fault.type == "hup_balancer":
                for number, begin_s, _ in periods:
                    rows.append(
                        (
                            begin_s,
                            lambda balancer=self.balancers[fault.tier, number]: (
                                self.reload_configuration(balancer)
                            ),
                        )
                    )
            elif fault.type == "discovery_move":
                rows.append((fault.start_s + 0.1, self.use_second_discovery_address))
        rows += [
            (begin_s, lambda action=action: action(self)) for begin_s, action in self.extra_actions
        ]
        rows += [
            (begin_s, self.sample_processes) for begin_s in range(1, int(self.scenario.seconds) + 1)
        ]
        # Actions due after the end of the run are left out: the load is over by then.
        return sorted(
            (row for row in rows if row[0] <= self.scenario.seconds), key=lambda row: row[0]
        )

    def lifecycle_actions(self, tier):
        """Return the kills and starts of a later tier's balancers.

        Each balancer goes down and comes back with the upstream whose calls it carries.
        """
        rows, ended_at = [], {}
        for step in Timeline.of(self.scenario, tier - 1).steps:
            balancer = self.balancers[tier, step.number]
            if step.transition is Transition.END:
                ended_at[step.number] = step.at
                rows.append((step.at, lambda balancer=balancer: self.kill(balancer)))
            elif step.transition is Transition.START:
                at = max(ended_at[step.number], step.at - BALANCER_LEAD_S)
                rows.append((at, lambda balancer=balancer: balancer.start()))
        return rows

    def run_actions(self):
        """Run the scenario's actions, each at its time, then wait for the load. Raises RunError."""
        for at, action in self.actions():
            while (remaining_s := self.start / NS_PER_S + at - time.monotonic()) > 0:
                self.report_progress(
                    "playing",
                    min(
                        1.0,
                        max(0.0, time.monotonic() - self.start / NS_PER_S) / self.scenario.seconds,
                    ),
                )
                time.sleep(min(remaining_s, 0.25))
                if self.load.poll() is not None:
                    raise RunError("the load ended before the run: see stands.log")
            action()
        longest_s = (
            max(service_class.time_limit_ms for service_class in self.scenario.service_classes)
            / 1000
            + 4
        )
        self.report_progress("waiting for the last responses", 1.0)
        for balancer in self.balancers.values():
            balancer.measure()
        try:
            self.load.wait(longest_s + 5)
        except subprocess.TimeoutExpired:
            raise RunError("the load did not end") from None

    def record_balancer_event(self, what, balancer, on=True):
        """Write an event row about a balancer; ``on``: whether it begins or ends."""
        self.event_log.add(
            events.StateChange(time.monotonic_ns(), what, balancer.tier, balancer.number, on)
        )

    def kill(self, balancer):
        self.record_balancer_event("balancer killed", balancer)
        balancer.stop()

    def start_if_ended(self, balancer):
        """Start a balancer again if it has ended."""
        if balancer.process.poll() is not None:
            balancer.start()
            self.record_balancer_event("balancer begun", balancer)

    def restart_gracefully(self, balancer):
        """Send SIGTERM and start the balancer again at its address once it has exited.

        Waits in a thread, so that later actions aren't delayed.
        """
        self.record_balancer_event("balancer told to leave", balancer)

        def restart():
            balancer.stop(signal.SIGTERM)
            self.record_balancer_event("balancer left", balancer)
            self.start_if_ended(balancer)

        threading.Thread(target=restart, daemon=True).start()

    def reload_configuration(self, balancer):
        self.record_balancer_event("balancer told to read again", balancer)
        balancer.send_signal(signal.SIGHUP)

    def use_second_discovery_address(self):
        """Make all balancers use the discovery service's second address."""
        for balancer in self.balancers.values():
            balancer.discovery_index = 1
            balancer.configure()
            balancer.send_signal(signal.SIGHUP)

    def sample_processes(self):
        """Sample the waits for cores and make the balancers log their counters."""
        self.cores.sample(
            [
                (f"balancer {balancer.tier}.{balancer.number}", balancer.process)
                for balancer in self.balancers.values()
                if balancer.process
            ]
            + [
                (" ".join(["stand-in", *process.args[5:]]), process)
                for process in self.stand_in_processes
            ]
        )
        if self.variant.module == "pepperhook" and not self.variant.faulty_balancer:
            for balancer in self.balancers.values():
                # Not during startup: until the signal handler is installed, SIGUSR1 ends the
                # process.
                if time.monotonic() - balancer.started_at > 1.5:
                    balancer.send_signal(signal.SIGUSR1)

    def stop_processes(self):
        """Stop all processes and close the files."""
        for balancer in self.balancers.values():
            balancer.send_signal(signal.SIGTERM)
        for balancer in self.balancers.values():
            if balancer.process is not None:
                balancer.stop(signal.SIGTERM)
        for process in self.stand_in_processes:
            process.stdin.close()
        for process in self.stand_in_processes:
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            process.stdout.close()
        if self.event_log is not None:
            self.record_logged_counters()
            self.event_log.close()
        self.block_lock.close()
        if self.owns_worktrees:
            self.worktrees.close()

    def record_logged_counters(self):
        """Convert the counters that the balancers logged into event rows, for the report alone."""
        unix_offset_ns = time.time_ns() - time.monotonic_ns()
        for balancer in self.balancers.values():
            if not os.path.exists(balancer.log):
                continue
            sample = None
            with open(balancer.log, encoding="utf-8", errors="replace") as file:
                for line in file:
                    pairs = dict(LOG_FIELD.findall(line))
                    if pairs.get("event") == "budget":
                        at = int(parse_log_time(pairs["time"]) * 1e9) - unix_offset_ns
                        sample = events.BalancerSample(
                            balancer.tier,
                            balancer.number,
                            at,
                            float(pairs["B"]),
                            float(pairs["f"]),
                            int(pairs["waiting"]),
                            [],
                        )
                        self.event_log.add(sample)
                    elif pairs.get("event") == "upstream" and sample is not None:
                        sample.in_flight.append(int(pairs["out"]))

    def store_result(self, interrupted):
        """Audit the event rows, store the result and return it."""
        rows = events.read(self.folder)
        report = audit.Auditor(self.scenario, rows, self.start, self.ignored_findings).audit()
        load = json.loads(path.read_text()) if (path := self.folder / "load.json").exists() else {}
        # ``wishes`` counts requests without their clients' retries.
        requests = max(1, report.figures.get("wishes", 0))
        costs = {
            f"{balancer.tier}.{balancer.number}": {
                "cpu_s": round(balancer.cpu_s, 2),
                "start_cpu_s": round(balancer.start_cpu_s, 2),
                "rss_mb": round(balancer.rss_mb, 1),
            }
            for balancer in self.balancers.values()
        }
        first_tier_cpu_s = sum(
            balancer.cpu_s - balancer.start_cpu_s
            for balancer in self.balancers.values()
            if balancer.tier == 0
        )
        result = {
            "experiment": self.scenario.name,
            "variant": self.variant.name,
            "seed": self.plan.seed,
            "start": self.start,
            "interrupted": interrupted,
            "load": load,
            "void": bool(load.get("void"))
            or (
                self.cores.longest_wait_ms > MAX_CORE_WAIT_MS
                or self.cores.largest_stolen_share > MAX_STOLEN_SHARE
            ),
            "core_wait": {
                "worst_ms": round(self.cores.longest_wait_ms),
                "who": self.cores.worst_process,
                "stolen": round(self.cores.largest_stolen_share, 3),
            },
            "costs": costs,
            "first_tier_cpu_ms": round(first_tier_cpu_s * 1000 / requests, 3),
            **msgspec.to_builtins(report),
        }
        write_atomically(self.folder / "result.json", msgspec.json.encode(result))
        return result


def fill_placeholders(tree, placeholders):
    """Return a parsed file with the placeholders in its strings replaced for one balancer."""
    if isinstance(tree, dict):
        return {key: fill_placeholders(value, placeholders) for key, value in tree.items()}
    if isinstance(tree, list):
        return [fill_placeholders(value, placeholders) for value in tree]
    return tree.format(**placeholders) if isinstance(tree, str) and "{" in tree else tree


@contextmanager
def ignoring_interrupts():
    """Ignore SIGINT, so that the results survive a second Ctrl-C.

    A terminal sends the signal to the whole process group.
    """
    if threading.current_thread() is not threading.main_thread():
        yield
        return
    before = signal.signal(signal.SIGINT, signal.SIG_IGN)
    try:
        yield
    finally:
        signal.signal(signal.SIGINT, before)


def parse_log_time(text):
    """Return the Unix time in seconds of a log line's timestamp."""
    import calendar

    at, _, ms = text.rstrip("Z").partition(".")
    return calendar.timegm(time.strptime(at, "%Y-%m-%dT%H:%M:%S")) + int(ms or 0) / 1000


def write_atomically(path, data):
    """Write a file atomically, also across a crash."""
    path = Path(path)
    temporary_path = path.with_name(f".{path.name}.{os.getpid()}")
    with open(temporary_path, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary_path, path)
