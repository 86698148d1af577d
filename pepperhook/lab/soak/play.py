"""Executes a soak run: a lab scenario with restarts, series of signals and idle clients."""

import json
import signal
import subprocess
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import psutil

from pepperhook.lab import scenario_run
from pepperhook.lab.soak.crowd import IdleClients
from pepperhook.lab.soak.draw import IDLE_CLOSE_S, Restart, SignalSeries, SoakRun
from pepperhook.lab.soak.leaving_clients import KeepAliveClients, open_http2_during_drain
from pepperhook.lab.soak.resources import Resources, measure

# The platform sends SIGKILL no earlier than the longest time limit plus this after SIGTERM.
KILL_AFTER_S = 0.7
START_TIMEOUT_S = 10.0  # in which a restarted balancer must become healthy
# Wait before the final measurement: idle upstream connections are checked once per idle timeout
# of the upstream, and closed client connections linger for one to two seconds.
QUIET_S = 2 * IDLE_CLOSE_S + 2.0
SETTLE_S = 0.3  # for the log lines that SIGUSR1 triggers
AFTER_CROWD_S = 1.0  # in which the balancers close the idle clients' connections
MS_PER_S = 1000
NS_PER_S = 10**9

Problem = tuple[str, str]  # name and example


class SoakScenarioRun(scenario_run.ScenarioRun):
    """A lab scenario with restarts, signals and idle clients; checks the balancer processes."""

    def __init__(self, run: SoakRun, folder: Path) -> None:
        """Prepare ``run``; its results and logs go to ``folder``."""
        self.run = run
        self.problems: list[Problem] = []
        self.resources_before: dict[Any, Resources] = {}
        self.resources_after: dict[Any, Resources] = {}
        self.background_threads: list[threading.Thread] = []
        self.restarts_in_progress: set[Any] = set()  # balancer numbers
        self.signalled_pids: dict[int, int] = {}  # by balancer number, of the last series
        self.idle_clients = IdleClients()
        super().__init__(
            run.experiment,
            run.variant,
            run.seed,
            folder,
            sockets=run.sockets,
            extra_actions=[*self._timeline()],
        )

    def _timeline(self) -> list[tuple[float, Callable[[Any], None]]]:
        events: list[tuple[float, Callable[[Any], None]]] = []
        for restart in self.run.restarts:
            events.append((restart.at, lambda _, planned=restart: self.start_restart(planned)))
        for series in self.run.signals:
            events.append((series.at, lambda _, planned=series: self.send_series(planned)))
        crowd = self.run.crowd
        if crowd is not None:
            events.append((crowd.at, lambda _: self.spawn(self.connect_idle_clients)))
            events.append((crowd.at + crowd.for_s, lambda _: self.idle_clients.close()))
        return events

    def spawn(self, work: Callable[[], None]) -> None:
        """Run ``work`` on a thread of its own, so that it does not delay the timeline."""
        thread = threading.Thread(target=work, daemon=True)
        self.background_threads.append(thread)
        thread.start()

    def add_problem(self, name: str, example: str) -> None:
        """Record a problem, with an example."""
        self.problems.append((name, example))

    # Events of the timeline.

    def connect_idle_clients(self) -> None:
        """Connect the idle clients to the balancers of the first tier."""
        crowd = self.run.crowd
        assert crowd is not None
        for number in range(self.scenario.tiers[0].balancers):
            address = self.plan.balancer(0, number)
            self.idle_clients.connect(
                address, crowd.clients, int(crowd.clients * crowd.partial_share)
            )

    def start_restart(self, restart: Restart) -> None:
        """Restart a balancer as the platform does, unless it is restarting or has ended."""
        balancer = self.balancers[0, restart.balancer]
        if restart.balancer in self.restarts_in_progress or balancer.process.poll() is not None:
            return
        self.restarts_in_progress.add(restart.balancer)
        self.record_balancer_event("balancer told to leave", balancer)
        self.spawn(lambda: self._perform_restart(balancer, restart))

    def _perform_restart(self, balancer: Any, restart: Restart) -> None:
        longest_s = (
            max(service_class.time_limit_ms for service_class in self.scenario.service_classes)
            / MS_PER_S
        )
        address = self.plan.balancer(0, balancer.number)
        # With idle clients connected, the balancer closes some connections to make room,
        # which the keep-alive clients would report.
        keepalive_clients = None if self.has_idle_clients else KeepAliveClients(address)
        if restart.has_signals_before:
            _send_sighup_and_sigusr1(balancer)
        balancer.send_signal(signal.SIGTERM)
        sigterm_at = time.monotonic()
        sigkill_at = sigterm_at + longest_s + KILL_AFTER_S
        if keepalive_clients is not None:
            self.spawn(lambda: self._send_during_drain(keepalive_clients, address, sigterm_at))
        if restart.leaving_ms is not None:
            time.sleep(restart.leaving_ms / MS_PER_S)
            _send_sighup_and_sigusr1(balancer)
        try:
            balancer.process.wait(sigkill_at - time.monotonic())
        except subprocess.TimeoutExpired:
            self.add_problem("did not leave in time", f"balancer {balancer.number}")
            balancer.process.kill()
            balancer.process.wait()
        self.check_exit(balancer)
        self.record_balancer_event("balancer left", balancer)
        balancer.start()
        self.record_balancer_event("balancer begun", balancer)
        if restart.starting_ms is not None:
            time.sleep(restart.starting_ms / MS_PER_S)
            _send_sighup_and_sigusr1(balancer)
        self._wait_ready(balancer)
        self.restarts_in_progress.discard(balancer.number)

    def _send_during_drain(
        self, keepalive_clients: KeepAliveClients, address: tuple[str, int], sigterm_at: float
    ) -> None:
        prefix = "balancer {}:{}, ".format(*address)
        for name, example in [
            *keepalive_clients.send(sigterm_at),
            *open_http2_during_drain(address, sigterm_at),
        ]:
            self.add_problem(name, prefix + example)
        keepalive_clients.close()

    @property
    def has_idle_clients(self) -> bool:
        """Whether idle clients are connected, or were within the last AFTER_CROWD_S."""
        crowd = self.run.crowd
        now_s = time.monotonic() - self.start / NS_PER_S
        return crowd is not None and crowd.at <= now_s <= crowd.at + crowd.for_s + AFTER_CROWD_S

    def _wait_ready(self, balancer: Any) -> None:
        import asyncio

        deadline = balancer.started_at + START_TIMEOUT_S
        while not asyncio.run(scenario_run.is_healthy(self.plan.balancer(0, balancer.number))):
            if time.monotonic() > deadline or balancer.process.poll() is not None:
                self.add_problem("not ready in time", f"balancer {balancer.number}")
                return
            time.sleep(0.05)

    def check_exit(self, balancer: Any) -> None:
        """Record a problem if the process ended with an unexpected exit code."""
        code = balancer.process.returncode
        if code not in (0, -signal.SIGKILL):
            self.add_problem("crash", f"balancer {balancer.number} exited with code {code}")

    def send_series(self, series: SignalSeries) -> None:
        """Send signals milliseconds apart, and write a config file before each SIGHUP."""
        balancer = self.balancers[0, series.balancer]
        if series.balancer in self.restarts_in_progress or balancer.process.poll() is not None:
            return
        path = self.folder / f"balancer-0-{balancer.number}.json"
        valid = json.loads(path.read_text()) | {"limits": {"sockets": self.run.sockets}}
        sighup_count = series.names.count("SIGHUP")
        number = 0
        for name in series.names:
            if name == "SIGHUP":
                scenario_run.write_atomically(
                    path, json.dumps(_reload_config(valid, series, number, sighup_count)).encode()
                )
                number += 1
            balancer.send_signal(getattr(signal, name))
            time.sleep(series.gap_ms / MS_PER_S)
        self.signalled_pids[balancer.number] = balancer.process.pid

    # Start and end of the run.

    def run_actions(self) -> None:
        """Run the timeline between two measurements of the balancers."""
        self.resources_before = self._measure_all()
        super().run_actions()
        for thread in self.background_threads:
            thread.join(START_TIMEOUT_S + 5)
        self.idle_clients.close()
        time.sleep(QUIET_S)
        self.resources_after = self._measure_all()
        for (tier, number), balancer in self.balancers.items():
            if balancer.process.poll() is not None:
                self.add_problem(
                    "crash", f"balancer {tier}.{number} was not running at the end of the run"
                )

    def _measure_all(self) -> dict[Any, Resources]:
        for balancer in self.balancers.values():
            balancer.send_signal(signal.SIGUSR1)
        time.sleep(SETTLE_S)
        resources = {}
        for key, balancer in self.balancers.items():
            try:
                resources[key] = measure(balancer.process.pid, Path(balancer.log))
            except psutil.Error:
                continue  # the process has ended, which is checked separately
        return resources

    def stop_processes(self) -> None:
        """Stop all processes, and check the exit codes of the balancers."""
        self.idle_clients.close()
        super().stop_processes()
        for balancer in self.balancers.values():
            if balancer.process is not None:
                self.check_exit(balancer)


def _send_sighup_and_sigusr1(balancer: Any) -> None:
    balancer.send_signal(signal.SIGHUP)
    balancer.send_signal(signal.SIGUSR1)


def _reload_config(
    valid: dict[str, Any], series: SignalSeries, number: int, sighup_count: int
) -> dict[str, Any]:
    """Return the config file for a SIGHUP.

    The file of the last SIGHUP changes ``sockets``, a setting that needs a restart, so that the log
    line of the reload names it.
    """
    if number in series.faulty:
        return valid | {"discovery": "nowhere"}
    if number == sighup_count - 1:
        return valid | {"limits": {"sockets": valid["limits"]["sockets"] + 1}}
    return valid
