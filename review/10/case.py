"""A balancer that is killed while it creates a journal segment never starts again."""

import asyncio
import signal
import time
from pathlib import Path

from world import BROKEN, HELD, OK, CaseNotRunError, Server, World, free_port, play, settings

OPERATOR = """
version = 1
[repeats]
binding_s = 600.0
journal = "{folder}"
"""
TRIES = 60
STARTS_AFTER = 2
WATCHED_S = 5.0


def wait_for_segment(folder: Path, known: set[str]) -> Path | None:
    """Wait without a pause until a new segment exists."""
    deadline = time.monotonic() + WATCHED_S
    while time.monotonic() < deadline:
        if folder.exists():
            for path in folder.iterdir():
                if path.suffix == ".log" and path.name not in known:
                    return path
    return None


async def case(world: World) -> int:
    """Kill starting balancers as their segment appears, then start it in peace."""
    server = Server("s-1", world)
    await world.open(server)
    port = free_port()
    folder = world.temporary / "repeats"
    operator = OPERATOR.format(folder=folder)
    for _ in range(TRIES if world.has_trouble else 3):
        known = {path.name for path in folder.glob("*.log")}
        balancer = await world.start_balancer("n0", port, settings(), operator)
        path = await asyncio.to_thread(wait_for_segment, folder, known)
        if path is None:
            raise CaseNotRunError("no new segment")
        if not world.has_trouble:
            await world.wait_ready(balancer, port)
        balancer.signal(signal.SIGKILL)
        await balancer.ended()
        size = path.stat().st_size
        world.record(f"platform killed n0; the new segment {path.name} has {size} bytes")
        if not size:
            break
    else:
        if world.has_trouble:
            raise CaseNotRunError("no kill has met the write")
    for number in range(STARTS_AFTER):
        balancer = await world.start_balancer("n0", port, settings(), operator)
        if not await world.wait_ready(balancer, port):
            world.record(
                f"start {number + 1} after the kill: exit code {balancer.process.returncode}"
            )
            return BROKEN
        status, _, _ = await world.request(port, "/sale-post", f"terminal-{number}")
        if status != OK:
            raise CaseNotRunError(f"a request got {status}")
        balancer.signal(signal.SIGTERM)
        await balancer.ended()
    return HELD


play(__file__, case)
