"""Plays a soak run: a day of the lab with restarts, series of signals and a crowd."""

import json
import signal
import subprocess
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import psutil

from pepperhook.lab import day as days
from pepperhook.lab.soak.crowd import IdleClients
from pepperhook.lab.soak.draw import IDLE_CLOSE_S, Restart, SignalSeries, SoakRun
from pepperhook.lab.soak.leaving_clients import RestingClients, begin_http2
from pepperhook.lab.soak.resources import Resources, measure

KILL_AFTER_S = 0.7  # beyond the longest deadline, after SIGTERM: the platform's earliest
READY_S = 10.0
# Idle connections to upstreams are looked for once in the time after which an upstream closes them,
# and clients' connections linger for a second or two when they are closed.
QUIET_S = 2 * IDLE_CLOSE_S + 2.0
SETTLE_S = 0.3  # for an answer to SIGUSR1
AFTER_CROWD_S = 1.0  # in which what a crowd held is closed
MS_PER_S = 1000
S = 10**9

Problem = tuple[str, str]  # its name, and an example


class SoakDay(days.Day):
    """A day that also judges the processes of its balancers."""

    def __init__(self, run: SoakRun, folder: Path) -> None:
        """Prepare the day of ``run``; results and logs are kept in ``folder``."""
        self.run = run
        self.problems: list[Problem] = []
        self.before: dict[Any, Resources] = {}
        self.after: dict[Any, Resources] = {}
        self.restarting: list[threading.Thread] = []
        self.restarted: set[Any] = set()
        self.last_series: dict[int, int] = {}  # the process that had it, by balancer
        self.crowd = IdleClients()
        super().__init__(
            run.experiment,
            run.variant,
            run.seed,
            folder,
            sockets=run.sockets,
            script=[*self._script()],
        )

    def _script(self) -> list[tuple[float, Callable[[Any], None]]]:
        rows: list[tuple[float, Callable[[Any], None]]] = []
        for restart in self.run.restarts:
            rows.append((restart.at, lambda _, one=restart: self.restart(one)))
        for series in self.run.signals:
            rows.append((series.at, lambda _, one=series: self.send_series(one)))
        crowd = self.run.crowd
        if crowd is not None:
            rows.append((crowd.at, lambda _: self.spawn(self.open_crowd)))
            rows.append((crowd.at + crowd.for_s, lambda _: self.crowd.close()))
        return rows

    def spawn(self, work: Callable[[], None]) -> None:
        """Do something without holding up the time line."""
        thread = threading.Thread(target=work, daemon=True)
        self.restarting.append(thread)
        thread.start()

    def problem(self, name: str, example: str) -> None:
        """Note what is wrong with a process."""
        self.problems.append((name, example))

    # What happens.

    def open_crowd(self) -> None:
        """Fill the balancers of the first tier with idle clients."""
        crowd = self.run.crowd
        assert crowd is not None
        for number in range(self.day.tiers[0].balancers):
            address = self.plan.balancer(0, number)
            self.crowd.connect(address, crowd.clients, int(crowd.clients * crowd.begun))

    def restart(self, restart: Restart) -> None:
        """Restart a balancer as the platform does."""
        balancer = self.balancers[0, restart.balancer]
        if restart.balancer in self.restarted or balancer.process.poll() is not None:
            return  # one that is restarting already
        self.restarted.add(restart.balancer)
        self.happened("balancer told to leave", balancer)
        self.spawn(lambda: self._restart(balancer, restart))

    def _restart(self, balancer: Any, restart: Restart) -> None:
        longest_s = max(grade.time_limit_ms for grade in self.day.grades) / MS_PER_S
        address = self.plan.balancer(0, balancer.number)
        # Where a crowd holds the connections, some are closed for room.
        resting = None if self.is_crowded else RestingClients(address)
        if restart.has_signals_before:
            _send_both(balancer)
        balancer.send(signal.SIGTERM)
        told_at = time.monotonic()
        killed_at = told_at + longest_s + KILL_AFTER_S
        if resting is not None:
            self.spawn(lambda: self._send_while_it_leaves(resting, address, told_at))
        if restart.leaving_ms is not None:
            time.sleep(restart.leaving_ms / MS_PER_S)
            _send_both(balancer)
        try:
            balancer.process.wait(killed_at - time.monotonic())
        except subprocess.TimeoutExpired:
            self.problem("did not leave in time", f"balancer {balancer.number}")
            balancer.process.kill()
            balancer.process.wait()
        self.check_exit(balancer)
        self.happened("balancer left", balancer)
        balancer.begin()
        self.happened("balancer begun", balancer)
        if restart.starting_ms is not None:
            time.sleep(restart.starting_ms / MS_PER_S)
            _send_both(balancer)
        self._wait_ready(balancer)
        self.restarted.discard(balancer.number)

    def _send_while_it_leaves(
        self, resting: RestingClients, address: tuple[str, int], told_at: float
    ) -> None:
        where = "balancer {}:{}, ".format(*address)
        for name, example in [*resting.send(told_at), *begin_http2(address, told_at)]:
            self.problem(name, where + example)
        resting.close()

    @property
    def is_crowded(self) -> bool:
        """Whether idle clients hold connections, or did so a moment ago."""
        crowd = self.run.crowd
        now_s = time.monotonic() - self.start / S
        return crowd is not None and crowd.at <= now_s <= crowd.at + crowd.for_s + AFTER_CROWD_S

    def _wait_ready(self, balancer: Any) -> None:
        import asyncio

        ends = balancer.begun + READY_S
        while not asyncio.run(days.healthy(self.plan.balancer(0, balancer.number))):
            if time.monotonic() > ends or balancer.process.poll() is not None:
                self.problem("not ready in time", f"balancer {balancer.number}")
                return
            time.sleep(0.05)

    def check_exit(self, balancer: Any) -> None:
        """Note an end that was a crash."""
        code = balancer.process.returncode
        if code not in (0, -signal.SIGKILL):
            self.problem("crash", f"balancer {balancer.number} ended with {code}")

    def send_series(self, series: SignalSeries) -> None:
        """Send signals milliseconds apart; each SIGHUP comes with a file of its own."""
        balancer = self.balancers[0, series.balancer]
        if series.balancer in self.restarted or balancer.process.poll() is not None:
            return
        path = self.folder / f"balancer-0-{balancer.number}.json"
        sound = json.loads(path.read_text()) | {"limits": {"sockets": self.run.sockets}}
        hups = series.names.count("SIGHUP")
        number = 0
        for name in series.names:
            if name == "SIGHUP":
                days.store(path, json.dumps(_file_of(sound, series, number, hups)).encode())
                number += 1
            balancer.send(getattr(signal, name))
            time.sleep(series.gap_ms / MS_PER_S)
        self.last_series[balancer.number] = balancer.process.pid

    # The end.

    def along(self) -> None:
        """Play the day between two looks at what the balancers hold."""
        self.before = self._look()
        super().along()
        for thread in self.restarting:
            thread.join(READY_S + 5)
        self.crowd.close()
        time.sleep(QUIET_S)
        self.after = self._look()
        for (tier, number), balancer in self.balancers.items():
            if balancer.process.poll() is not None:
                self.problem("crash", f"balancer {tier}.{number} ended by itself")

    def _look(self) -> dict[Any, Resources]:
        for balancer in self.balancers.values():
            balancer.send(signal.SIGUSR1)
        time.sleep(SETTLE_S)
        held = {}
        for name, balancer in self.balancers.items():
            try:
                held[name] = measure(balancer.process.pid, Path(balancer.log))
            except psutil.Error:
                continue  # it is gone, which is judged by itself
        return held

    def take_down(self) -> None:
        """End all, and look at how the balancers end."""
        self.crowd.close()
        super().take_down()
        for balancer in self.balancers.values():
            if balancer.process is not None:
                self.check_exit(balancer)


def _send_both(balancer: Any) -> None:
    balancer.send(signal.SIGHUP)
    balancer.send(signal.SIGUSR1)


def _file_of(sound: dict[str, Any], series: SignalSeries, number: int, hups: int) -> dict[str, Any]:
    """Return the file that comes with a SIGHUP; the last one differs in what its log line names."""
    if number in series.faulty:
        return sound | {"discovery": "nowhere"}
    if number == hups - 1:
        return sound | {"limits": {"sockets": sound["limits"]["sockets"] + 1}}
    return sound
