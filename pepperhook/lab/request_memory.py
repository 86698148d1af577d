"""Measure a balancer's memory with a thousand incomplete requests.

They are sent over a thousand HTTP/1.1 connections, and as streams of ten HTTP/2 connections.
"""

import asyncio
import time

import h2.config
import h2.connection
import psutil
from msgspec.structs import replace

from pepperhook.lab.scenario_run import ScenarioRun

COUNT, STREAMS_PER_CONNECTION = 1000, 100  # requests, and streams per HTTP/2 connection
SETTLE_S = 0.8  # until the memory is read; the balancer drops incomplete requests after 2 s


async def open_connections(address):
    """Open the HTTP/1.1 connections and send the requests; return the writers."""
    writers = []
    for number in range(COUNT):
        _, writer = await asyncio.open_connection(*address)
        writer.write(
            b"POST /sale HTTP/1.1\r\nHost: x\r\nX-Request-ID: m%d\r\nContent-Length: 10\r\n\r\nhalf"
            % number
        )
        writers.append(writer)
    return writers


async def open_streams(address):
    """Open the HTTP/2 connections and send the requests; return the writers."""
    writers = []
    for number in range(COUNT // STREAMS_PER_CONNECTION):
        _, writer = await asyncio.open_connection(*address)
        connection = h2.connection.H2Connection(h2.config.H2Configuration(client_side=True))
        connection.initiate_connection()
        for stream in range(STREAMS_PER_CONNECTION):
            connection.send_headers(
                2 * stream + 1,
                [
                    (":method", "POST"),
                    (":scheme", "http"),
                    (":authority", "x"),
                    (":path", "/sale"),
                    ("x-request-id", f"s{number}-{stream}"),
                ],
            )
            connection.send_data(2 * stream + 1, b"half")
        writer.write(connection.data_to_send())
        writers.append(writer)
    return writers


async def memory_per_request(open_all, address, process):
    """Return the growth of resident memory in KB per request."""
    before = process.memory_info().rss
    writers = await open_all(address)
    await asyncio.sleep(SETTLE_S)
    after = process.memory_info().rss
    for writer in writers:
        writer.transport.abort()
    return round((after - before) / 1024 / COUNT, 2)


def measure(scenario, variant, seed, folder):
    """Return the KB of memory per connection and per stream, each of a new balancer process."""
    figures = {}
    for name, open_all in ("connection", open_connections), ("stream", open_streams):
        run = ScenarioRun(
            replace(scenario, seconds=1.0, faults=[]),
            variant,
            seed,
            folder / f"memory-{name}",
            sockets=4096,
        )
        run.folder.mkdir(parents=True, exist_ok=True)
        try:
            run.start_processes(load=False)
            balancer = run.balancers[0, 0]
            time.sleep(0.5)
            figures[f"kb_a_{name}"] = asyncio.run(
                memory_per_request(
                    open_all, run.plan.balancer(0, 0), psutil.Process(balancer.process.pid)
                )
            )
        finally:
            run.stop_processes()
    return figures
