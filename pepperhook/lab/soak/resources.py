"""Resource usage of a balancer process, from the operating system and from its log."""

import re
from pathlib import Path

import psutil
from msgspec import Struct

BUDGET_EVENT = re.compile(r"event=budget .*waiting=(\d+) under_way=(\d+) .*tasks=(\d+)")
BYTES_PER_MB = 2**20


class Resources(Struct, frozen=True):
    """Resource usage of one process at one time; -1 for figures that are not logged yet."""

    descriptors: int  # open file descriptors
    connections: int  # established TCP connections
    memory_mb: float
    tasks: int = -1  # in its event loop
    under_way: int = -1  # requests in progress
    waiting: int = -1  # requests in the admission queue


def measure(pid: int, log: Path) -> Resources:
    """Return the current usage and the last logged figures of a process. Raises psutil.Error."""
    process = psutil.Process(pid)
    with process.oneshot():
        established = [
            connection
            for connection in process.net_connections("tcp")
            if connection.status == psutil.CONN_ESTABLISHED
        ]
        waiting, under_way, tasks = _last_logged_counts(log)
        return Resources(
            descriptors=process.num_fds(),
            connections=len(established),
            memory_mb=round(process.memory_info().rss / BYTES_PER_MB, 1),
            tasks=tasks,
            under_way=under_way,
            waiting=waiting,
        )


def _last_logged_counts(log: Path) -> tuple[int, int, int]:
    """Return waiting, under way and tasks from the last ``budget`` event; -1 each without one."""
    matches = BUDGET_EVENT.findall(log.read_text(errors="replace"))
    if not matches:
        return -1, -1, -1
    waiting, under_way, tasks = (int(figure) for figure in matches[-1])
    return waiting, under_way, tasks
