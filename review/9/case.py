"""An answer whose Content-Type has a Latin-1 letter reaches no client over HTTP/2."""

import asyncio

from h2_client import H2Client
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

OPERATOR = """
version = 1
[h2]
clients = true
"""
SERVERS = 4
REQUESTS = 80
EVERY = 8  # one answer in eight is spoilt
PAUSE_S = 0.05
TIMEOUT_MS = 2500
LATE_S = 0.5
SOUND_TYPE = 'text/plain; name="receipt.txt"'
SPOILT_TYPE = 'text/plain; name="re\xe7u.txt"'  # written as Latin-1, one byte a letter


class Spoiler:
    """Spoils some of the answers of all servers."""

    def __init__(self) -> None:
        """Begin with no answer."""
        self.answers = 0
        self.spoilt: set[str] = set()  # ids of the requests whose answer was spoilt

    async def answer(self, server: Server, run: Run) -> Answer:
        """Run a request, and return its result with one of the two types."""
        status, _, body = server.serve(run)
        self.answers += 1
        if not server.world.has_trouble or self.answers % EVERY:
            return status, {"Content-Type": SOUND_TYPE}, body
        self.spoilt.add(run.request_id)
        server.world.record(f"the type of the answer to id={run.request_id} is spoilt")
        return status, {"Content-Type": SPOILT_TYPE}, body


async def case(world: World) -> int:
    """Send requests over one connection to servers some of whose answers are spoilt."""
    spoiler = Spoiler()
    servers = [Server(f"s-{number}", world, spoiler.answer) for number in range(SERVERS)]
    await world.open(*servers)
    port = free_port()
    balancer = await world.start_balancer("n0", port, settings(), OPERATOR)
    if not await world.wait_ready(balancer, port):
        raise CaseNotRunError("the balancer did not start")
    client = H2Client(world)
    await client.open(port)
    for _ in range(REQUESTS):
        request_id, headers = world.request_headers(timeout_ms=TIMEOUT_MS)
        client.send("/card-check", headers, request_id)
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(TIMEOUT_MS / 1000 + LATE_S)
    streams = list(client.streams.values())
    await client.close()
    served = sum(stream.status == str(OK) for stream in streams)
    lost = [stream for stream in streams if stream.answered_at is None]
    for stream in lost:
        word = "spoilt" if stream.request_id in spoiler.spoilt else "sound"
        world.record(f"lost: id={stream.request_id} RST_STREAM={stream.error} answer was {word}")
    world.record(f"{len(streams)} sent, {served} served, {len(lost)} got no answer")
    if not served:
        raise CaseNotRunError("nothing was served")
    return BROKEN if lost else HELD


play(__file__, case)
