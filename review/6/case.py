"""A planned restart loses requests whose deadline is longer than the time until SIGKILL."""

import asyncio
import contextlib
import random
import signal

from world import (
    BROKEN,
    HELD,
    HOST,
    Answer,
    CaseNotRunError,
    Process,
    Run,
    Server,
    World,
    encode_request,
    free_port,
    play,
    read_message,
    settings,
)

TIME_LIMIT_S = 6.0
PATIENCE = (0.5, 0.8)  # of the time limit, after which a try is given up
LATE_S = 0.5
LONGEST_COUNTED_S = 3.0  # of the longest deadline, for SIGKILL
KILL_AFTER_S = min(TIME_LIMIT_S, LONGEST_COUNTED_S) + 0.7 + 0.1
RATE = 60.0  # requests a second
SENT_BEFORE_S = 2.0  # for which clients send before SIGTERM
SENT_AFTER_S = 0.4  # for which new connections go on coming after it
SERVERS = 18
STRUCK = 16  # servers of whose answers a part never arrives
MISSING_SHARE = 0.34
WORK_S = 0.3
SILENT_S = 30.0
# As lima-main has them; what comes late earns 50 and 25%.
GRADES = [
    {
        "name": "reservar",
        "timeLimitUs": 6_000_000,
        "goalTimeUs": 2_500_000,
        "earnings": 10.0,
        "lateEarnings": 5.0,
        "effect": "at_most_once",
    },
    {
        "name": "cambiar",
        "timeLimitUs": 6_000_000,
        "goalTimeUs": 2_500_000,
        "earnings": 3.0,
        "lateEarnings": 0.75,
        "effect": "deduplicated",
        "group": "all",
        "keyTtlUs": 10_000_000,
    },
]


class Loss:
    """Lets a part of the answers of some servers never arrive."""

    def __init__(self) -> None:
        """Begin without a loss."""
        self.draw = random.Random(11)

    async def answer(self, server: Server, run: Run) -> Answer | None:
        """Do the work; then answer, or say nothing on the open connection."""
        await asyncio.sleep(WORK_S)
        answer = server.serve(run)
        is_struck = server in server.world.servers[:STRUCK] and server.world.has_trouble
        if is_struck and self.draw.random() < MISSING_SHARE:
            server.world.record(f"the answer of {server.name} to id={run.request_id} is missing")
            await asyncio.sleep(SILENT_S)
        return answer


class Client:
    """Sends one request on a new connection, and waits for its answer."""

    def __init__(self, world: World, port: int, wait_s: float) -> None:
        """Begin at once; the result of ``task`` is whether the request was lost."""
        self.world = world
        self.port = port
        self.wait_s = wait_s
        self.request_id, self.headers = world.request_headers(timeout_ms=int(wait_s * 1000))
        self.path = "/reservar" if world.next_id % 3 else "/cambiar"
        if self.path == "/cambiar":
            self.headers["Idempotency-Key"] = f"cita-{world.next_id}"
        self.task = asyncio.create_task(self._run())

    async def _run(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
        except OSError:
            self.world.record(f"client could not connect id={self.request_id}: not taken")
            return False
        writer.write(encode_request("POST", self.path, self.headers, b"cita"))
        self.world.record(f"client sends id={self.request_id} timeout_s={self.wait_s:.3f}")
        message = None
        with contextlib.suppress(TimeoutError, OSError, asyncio.IncompleteReadError):
            async with asyncio.timeout(self.wait_s + LATE_S):
                await writer.drain()
                message = await read_message(reader)
        writer.close()
        if message is None:
            self.world.record(f"lost: the connection of id={self.request_id} ended unanswered")
            return True
        self.world.record(f"client got id={self.request_id} {message[0]}")
        return False


async def send(world: World, port: int, for_s: float, draw: random.Random) -> list[Client]:
    """Let clients send for some time, and return them."""
    clients = []
    ends_at = world.record.now() + for_s
    while world.record.now() < ends_at:
        wait_s = draw.uniform(*PATIENCE) * TIME_LIMIT_S
        clients.append(Client(world, port, wait_s))
        await asyncio.sleep(draw.expovariate(RATE))
    return clients


async def stop(world: World, balancer: Process) -> None:
    """Wait for the end of a balancer that was told to end, and kill it at its time."""
    try:
        await balancer.ended(KILL_AFTER_S)
        world.record("the balancer has ended by itself")
    except TimeoutError:
        world.record(f"platform sends SIGKILL, {KILL_AFTER_S:.1f} s after SIGTERM")
        balancer.signal(signal.SIGKILL)
        await balancer.ended()


async def case(world: World) -> int:
    """Restart a balancer while a part of its servers' answers never arrive."""
    loss = Loss()
    await world.open(*(Server(f"s-{number}", world, loss.answer) for number in range(SERVERS)))
    port = free_port()
    balancer = await world.start_balancer("n0", port, settings(serviceGrades=GRADES))
    if not await world.wait_ready(balancer, port):
        raise CaseNotRunError("the balancer did not start")
    draw = random.Random(5)
    clients = await send(world, port, SENT_BEFORE_S, draw)
    if world.has_trouble:
        world.record("platform sends SIGTERM")
        balancer.signal(signal.SIGTERM)
        stopping = asyncio.create_task(stop(world, balancer))
        clients += await send(world, port, SENT_AFTER_S, draw)
        await stopping
    lost = sum(await asyncio.gather(*(client.task for client in clients)))
    world.record(f"{len(clients)} sent, {lost} lost")
    return BROKEN if lost else HELD


play(__file__, case)
