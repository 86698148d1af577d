"""Balancers that run as processes of their own."""

import asyncio
import re
from pathlib import Path

from tests.programs import free_port, start_program
from tests.server.balancers import RunningBalancer

EXIT_TIMEOUT_S = 60
KB_PER_MB = 1024


class BalancerProcess(RunningBalancer):
    """A client of a balancer that runs as a process of its own."""

    def __init__(self, environment, *arguments):
        super().__init__()
        self.port = free_port()
        self.process = start_program(
            environment | {"LB_LISTEN": f"127.0.0.1:{self.port}"}, *arguments
        )

    async def wait_for_event(self, event):
        """Read the log up to a line with this event."""
        lines = [""]
        while f"event={event}" not in lines[-1]:
            lines.append(await asyncio.to_thread(self.process.stderr.readline))
            assert lines[-1], f"the process has exited, its log: {lines}"

    def signal(self, *numbers):
        """Send signals, one after another."""
        for number in numbers:
            self.process.send_signal(number)

    async def read_rest_of_log(self):
        """Wait for the end of the process; return the rest of its log."""
        _, log = await asyncio.to_thread(self.process.communicate, timeout=EXIT_TIMEOUT_S)
        return log

    def peak_memory_mb(self):
        """Return the peak of the process's resident memory since its start."""
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / KB_PER_MB
