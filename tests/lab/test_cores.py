"""Measuring how long the processes of a run waited for a core."""

import builtins
import io
from types import SimpleNamespace

from pepperhook.lab.scenario_run import MAX_STOLEN_SHARE, Cores

PID = 7
NO_PID = 2**22 + 1


class ScheduleStatistics:
    """Stand-in for /proc/PID/schedstat: nanoseconds that a process waited for a core."""

    def __init__(self, monkeypatch):
        self.waited_ns = 0
        self.open = builtins.open
        monkeypatch.setattr(builtins, "open", self.open_file)

    def open_file(self, path, *arguments, **named):
        if path == f"/proc/{PID}/schedstat":
            return io.StringIO(f"5 {self.waited_ns} 1")
        return self.open(path, *arguments, **named)


def test_longest_wait_for_a_core_is_measured_between_two_samples(monkeypatch):
    statistics, cores = ScheduleStatistics(monkeypatch), Cores()
    processes = [
        ("balancer 0.0", SimpleNamespace(pid=PID)),
        ("gone", SimpleNamespace(pid=NO_PID)),
    ]

    for waited_ns in (900_000_000, 1_350_000_000, 1_400_000_000):
        statistics.waited_ns = waited_ns
        cores.sample(processes)

    # Waits before the first sample don't count: all processes are starting then.
    assert (cores.longest_wait_ms, cores.worst_process) == (450.0, "balancer 0.0")


def test_largest_share_of_stolen_time_between_two_samples_is_kept(tmp_path):
    # Otherwise a run on a virtual machine that lost a fifth of its cores would count against the
    # program.
    cores, statistics = Cores(), tmp_path / "stat"

    for idle, stolen in ((1000, 5), (1490, 15), (1905, 100)):
        statistics.write_text(f"cpu  0 0 0 {idle} 0 0 0 {stolen} 0 0\n")
        cores.sample_stolen(str(statistics))

    assert cores.largest_stolen_share == 85 / 500 > MAX_STOLEN_SHARE
