"""Balancers as processes, with the limits of a deployment in their configuration."""

import asyncio
import contextlib
import signal
import threading

from tests.programs import write_config
from tests.server.balancer_process import BalancerProcess
from tests.server.balancers import endpoint_list, endpoint_rows
from tests.server.peers import ScriptedPeer, always, make_response

SOCKETS = 1024
STOPPED_S = 0.0375  # of each 50 ms, for a quarter of a core
RUNNING_S = 0.0125


def write_operator_file(directory):
    """Write an operator's file that enables HTTP/2; return its path."""
    path = directory / "operator.toml"
    path.write_text('version = 1\n[h2]\nclients = true\nupstreams = "http/1.1"\nstreams = 100\n')
    return str(path)


@contextlib.asynccontextmanager
async def balancer_with_limit(directory, memory_mb):
    """Run a balancer with a memory limit in its configuration, and two upstreams."""
    async with (
        ScriptedPeer(always(make_response())) as first,
        ScriptedPeer(always(make_response())) as second,
    ):
        known = endpoint_list(1, endpoint_rows([first.address, second.address]))
        limits = {"memory_mb": memory_mb, "sockets": SOCKETS}
        environment = write_config(directory, known=known, limits=limits)
        environment["LB_OPERATOR"] = write_operator_file(directory)
        balancer = BalancerProcess(environment)
        try:
            await balancer.wait_for_event("started")
            # A pipe that nobody reads would block the balancer at its next log line.
            threading.Thread(target=balancer.process.stderr.read, daemon=True).start()
            yield balancer
        finally:
            balancer.process.kill()
            balancer.process.wait()


@contextlib.asynccontextmanager
async def quarter_of_a_core(process):
    """Stop and continue a process, so that it runs for a quarter of the time."""
    stopping = asyncio.create_task(_stop_and_continue(process))
    try:
        yield
    finally:
        stopping.cancel()
        await asyncio.gather(stopping, return_exceptions=True)
        process.send_signal(signal.SIGCONT)


async def _stop_and_continue(process):
    while True:
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(STOPPED_S)
        process.send_signal(signal.SIGCONT)
        await asyncio.sleep(RUNNING_S)
