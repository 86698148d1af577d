"""Accepted requests are lost when a client sends more at once than it has been allowed yet."""

import asyncio

from h2_client import REFUSED_STREAM, H2Client, Stream
from world import (
    BROKEN,
    HELD,
    OK,
    Answer,
    CaseNotRunError,
    Run,
    Server,
    World,
    free_port,
    play,
    settings,
)

STREAMS = 20
OPERATOR = f"""
version = 1
[h2]
clients = true
streams = {STREAMS}
"""
REQUESTS = 30
SERVERS = 24
SERVICE_S = 0.1
TIMEOUT_MS = 2500
LATE_S = 0.5
PAUSE_S = 0.5


async def answer(server: Server, run: Run) -> Answer:
    """Answer after a short time."""
    await asyncio.sleep(SERVICE_S)
    return server.serve(run)


async def send(world: World, client: H2Client, count: int) -> None:
    """Send requests, then wait until all are over."""
    sent = []
    for _ in range(count):
        request_id, headers = world.request_headers(timeout_ms=TIMEOUT_MS)
        sent.append(client.send("/card-check", headers, request_id))
    try:
        async with asyncio.timeout(TIMEOUT_MS / 1000 + LATE_S):
            await asyncio.gather(*(stream.ended.wait() for stream in sent))
    except TimeoutError:
        world.record("some requests are not over at their time")


def is_lost(client: H2Client, stream: Stream) -> bool:
    """Return whether a request got no final answer, and was not refused unprocessed."""
    was_refused = stream.error == REFUSED_STREAM
    is_above = client.last_accepted is not None and stream.number > client.last_accepted
    return stream.answered_at is None and not (was_refused or is_above)


async def case(world: World) -> int:
    """Send many requests at once over a new connection."""
    servers = [Server(f"s-{number}", world, answer) for number in range(SERVERS)]
    await world.open(*servers)
    port = free_port()
    balancer = await world.start_balancer("n0", port, settings(), OPERATOR)
    if not await world.wait_ready(balancer, port):
        raise CaseNotRunError("the balancer did not start")
    client = H2Client(world)
    await client.open(port)
    if world.has_trouble:
        known = client.settings_came.is_set()
        world.record(f"the client sends {REQUESTS} at once; the limit is known to it: {known}")
        await send(world, client, REQUESTS)
    else:
        await client.settings_came.wait()
        world.record(f"the client knows the limit, {client.max_streams}, and keeps it")
        await send(world, client, STREAMS)
        await send(world, client, REQUESTS - STREAMS)
    await asyncio.sleep(PAUSE_S)
    streams = list(client.streams.values())
    lost = [stream for stream in streams if is_lost(client, stream)]
    got = {run.request_id for server in servers for run in server.got}
    for stream in lost:
        word = "had" if stream.request_id in got else "had not"
        world.record(f"lost: id={stream.request_id} stream={stream.number}; a server {word} got it")
    served = sum(stream.status == str(OK) for stream in streams)
    world.record(f"{len(streams)} sent, {served} served, {len(lost)} lost")
    await client.close()
    if not client.streams:
        raise CaseNotRunError("nothing was sent")
    return BROKEN if lost else HELD


play(__file__, case)
