"""A binding request goes to a server after its client has closed the connection."""

import asyncio
import socket

from world import (
    BROKEN,
    HELD,
    HOST,
    CaseNotRunError,
    Server,
    World,
    encode_request,
    free_port,
    play,
    settings,
)

OPERATOR = """
version = 1
[repeats]
binding_s = 600.0
"""
SOUND_SERVERS = 4
CLIENTS = 40
FILLERS = 4
CLOSED_AFTER_S = 0.05
GRACE_S = 0.1
WATCHED_S = 3.5


class MuteServer(Server):
    """A server to which new connections never come up, as its queue of connections is full."""

    async def open(self) -> None:
        """Listen, and fill the queue of connections that nobody accepts."""
        self.listener = socket.socket()
        self.listener.bind((HOST, self.port))
        self.listener.listen(0)
        self.fillers = []
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
            self.fillers.append(filler)
        await asyncio.sleep(0.2)

    async def close(self) -> None:
        """Close all sockets."""
        for sock in [self.listener, *self.fillers]:
            sock.close()


async def client(world: World, port: int, number: int, closed_at: dict[str, float]) -> None:
    """Send one sale, and close the connection before an answer has come."""
    path, key = "/sale-post", f"terminal-{number}"
    request_id, headers = world.request_headers(key, timeout_ms=3000)
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(encode_request("POST", path, headers, b"pay"))
    await writer.drain()
    world.record(f"client sends id={request_id} path={path} key={key}")
    if not world.has_trouble:
        answer = await reader.read(200)
        world.record(f"client got id={request_id} {answer[:15]!r}")
        writer.close()
        return
    try:
        async with asyncio.timeout(CLOSED_AFTER_S):
            answer = await reader.read(200)
        world.record(f"client got id={request_id} {answer[:15]!r}")
    except TimeoutError:
        closed_at[request_id] = world.record.now()
        world.record(f"client closes id={request_id}")
    writer.close()


async def case(world: World) -> int:
    """Let clients leave while connections to one of five servers do not come up."""
    sound = [Server(f"s-{number}", world) for number in range(SOUND_SERVERS)]
    await world.open(MuteServer("s-mute", world), *sound)
    port = free_port()
    balancer = await world.start_balancer("n0", port, settings(), OPERATOR)
    if not await world.wait_ready(balancer, port):
        raise CaseNotRunError("the balancer did not start")
    closed_at: dict[str, float] = {}
    await asyncio.gather(*(client(world, port, n, closed_at) for n in range(CLIENTS)))
    await asyncio.sleep(WATCHED_S)
    late = [
        run
        for server in sound
        for run in server.got
        if run.request_id in closed_at and run.at > closed_at[run.request_id] + GRACE_S
    ]
    for run in late:
        behind = run.at - closed_at[run.request_id]
        world.record(f"id={run.request_id} reached {run.server} {behind:.3f} s after the close")
    world.record(f"{len(closed_at)} clients left; {len(late)} requests were sent on later")
    return BROKEN if late else HELD


play(__file__, case)
