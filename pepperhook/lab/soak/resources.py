"""What a balancer process holds: descriptors, connections, memory, and its work by its log."""

import re
from pathlib import Path

import psutil
from msgspec import Struct

BUDGET = re.compile(r"event=budget .*waiting=(\d+) under_way=(\d+) .*tasks=(\d+)")
BYTES_PER_MB = 2**20


class Resources(Struct, frozen=True):
    """What one process holds at a moment."""

    descriptors: int
    connections: int  # that are established
    memory_mb: float
    tasks: int = -1  # of its event loop, by its own log; -1: it has not said
    under_way: int = -1  # requests
    waiting: int = -1  # requests in the admission queue


def measure(pid: int, log: Path) -> Resources:
    """Return what a process holds now, and what its log said last. Raises psutil.Error."""
    process = psutil.Process(pid)
    with process.oneshot():
        established = [
            one for one in process.net_connections("tcp") if one.status == psutil.CONN_ESTABLISHED
        ]
        waiting, under_way, tasks = _last_budget(log)
        return Resources(
            descriptors=process.num_fds(),
            connections=len(established),
            memory_mb=round(process.memory_info().rss / BYTES_PER_MB, 1),
            tasks=tasks,
            under_way=under_way,
            waiting=waiting,
        )


def _last_budget(log: Path) -> tuple[int, int, int]:
    """Return waiting, under way and tasks by the last line that tells them."""
    found = BUDGET.findall(log.read_text(errors="replace"))
    if not found:
        return -1, -1, -1
    waiting, under_way, tasks = (int(figure) for figure in found[-1])
    return waiting, under_way, tasks
