"""Measure the limit of the lab itself: a load process against a responder that does no work."""

import asyncio
import json
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from pepperhook.lab import http1
from pepperhook.lab.experiment import Experiment, Load, ServiceClass, Tier, Variant
from pepperhook.lab.scenario_run import ScenarioRun


class Responder(asyncio.Protocol):
    """Responds to each message immediately."""

    def connection_made(self, transport):
        self.transport, self.messages = transport, http1.MessageParser()

    def data_received(self, data):
        self.messages.feed(data)
        while self.messages.next() is not None:
            self.transport.write(ANSWER)


ANSWER = http1.encode_response(200, b"0.0.null.1\n")


async def serve(host, port):
    """Run the responder until stdin closes."""
    from pepperhook.lab.stand_ins import wait_for_start

    server = await asyncio.get_running_loop().create_server(Responder, host, port)
    _, ended = await wait_for_start()
    await ended
    server.close()


def measure(rate, seconds):
    """Send ``rate`` requests per second; return the responses per second and the latencies.

    The result also has the load generator's own lateness.
    """
    folder = Path(tempfile.mkdtemp(prefix="pepperhook-null-"))
    scenario = Experiment(
        version=1,
        name="null",
        seconds=float(seconds),
        service_classes=[ServiceClass(name="look", time_limit_ms=1000)],
        tiers=[Tier()],
        load=[Load(rate=float(rate))],
    )
    run = ScenarioRun(scenario, Variant(name="null"), 1, folder)
    address = run.plan.balancer(0, 0)
    try:
        run.plan.write(folder / "plan.json")
        responder = run.start_stand_in(
            address[0], address[1], module="pepperhook.lab.load_generator_limit"
        )
        run.wait_until_ready(responder)
        load = run.load = run.start_stand_in(
            address[0], address[1], module="pepperhook.lab.load_generator"
        )
        run.wait_until_ready(load)
        start = time.monotonic_ns() + 10**8
        for process in run.stand_in_processes:
            process.stdin.write(b"%d\n" % start)
            process.stdin.flush()
        load.wait(seconds + 30)
    finally:
        for process in run.stand_in_processes:
            process.stdin.close()
            try:
                process.wait(5)
            except subprocess.TimeoutExpired:
                process.kill()
        run.block_lock.close()
    summary = json.loads((folder / "load.json").read_text())
    return {
        "asked_per_s": rate,
        "answered_per_s": round(summary["served"] / seconds),
        "void": summary["void"],
        "latency_ms": summary["latency_ms"],
        "own_lateness_ms": summary["own_lateness_ms"],
    }


if __name__ == "__main__":
    import uvloop

    uvloop.run(serve(sys.argv[3], int(sys.argv[4])))
