"""Stand-ins and helpers for the cases of the second review: platform, discovery, servers, clients.

A case starts the project's own programs as processes with the commands of the deploy file, on
loopback addresses and the real clock. Everything that was sent, answered and run goes to
``record.txt`` in the folder of the case.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
OK, NOT_FOUND = 200, 404
HOST = "127.0.0.1"
READY_S = 30.0
STOP_S = 10.0
CASE_S = 110.0
LARGEST_WAIT_S = 60.0

Headers = dict[str, str]
Answer = tuple[int, Headers, bytes]


class CaseNotRunError(Exception):
    """The case could not run, which is no verdict."""


def free_port() -> int:
    """Return a free port of the loopback address."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def settings(**replaced: object) -> dict[str, object]:
    """Return the settings of a small deployment, with these keys replaced."""
    return {
        "discovery": "ask",
        "azs": ["z1"],
        "models": ["std"],
        "groupSize": 1,
        "me": 0,
        "tier": 0,
        "orgs": [{"name": "acme", "share": 0.6}, {"name": "bright", "share": 0.4}],
        "serviceGrades": [
            {
                "name": "card-check",
                "timeLimitUs": 2_500_000,
                "goalTimeUs": 1_000_000,
                "effect": "idempotent",
            },
            {
                "name": "sale-post",
                "timeLimitUs": 3_000_000,
                "goalTimeUs": 1_200_000,
                "earnings": 5.0,
                "effect": "at_most_once",
            },
            {
                "name": "pump-hold",
                "timeLimitUs": 1_200_000,
                "goalTimeUs": 500_000,
                "earnings": 10.0,
                "effect": "deduplicated",
                "group": "all",
                "keyTtlUs": 2_000_000,
            },
        ],
        "permissions": {
            "probes": True,
            "cancel": True,
            "maxDispatches": 6,
            "connectTimeoutUs": 250_000,
            "keepaliveUs": 30_000_000,
        },
        "safety": {
            "drainGraceUs": 300_000,
            "askWithinUs": 10_000_000,
            "fallMultiple": 2.5,
            "fallUs": 1_500_000,
            "startCapacity": 0.3,
            "warmWithinUs": 1_000_000,
        },
        **replaced,
    }


class Record:
    """Writes what happened, with seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        """Write ``record.txt`` in the folder of the case."""
        self.started = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started

    def __call__(self, text: str) -> None:
        """Write one line."""
        print(f"{self.now():8.3f} {text}", file=self.file, flush=True)


async def read_message(reader: asyncio.StreamReader) -> tuple[str, Headers, bytes] | None:
    """Return first line, headers and body of an HTTP/1.1 message; None at the end of stream."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return first, headers, await _read_chunks(reader)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while (await reader.readline()).strip():
        pass
    return body


def write_answer(writer: asyncio.StreamWriter, answer: Answer) -> None:
    """Write an HTTP/1.1 response with its length."""
    status, headers, body = answer
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)


class HttpStandIn:
    """An HTTP/1.1 server on a free port; ``answer`` is overridden."""

    def __init__(self) -> None:
        """Take a port; ``open`` starts to listen."""
        self.port = free_port()
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Return HOST:PORT."""
        return f"{HOST}:{self.port}"

    async def open(self) -> None:
        """Start to listen."""
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            while (message := await read_message(reader)) is not None:
                answer = await self.answer(*message)
                if answer is None:
                    break
                write_answer(writer, answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def answer(self, first: str, headers: Headers, body: bytes) -> Answer | None:
        """Return the response to a request; None ends the connection without one."""
        raise NotImplementedError


class Discovery(HttpStandIn):
    """Discovery, with watches that wait for a change."""

    def __init__(self) -> None:
        """Begin with an empty list."""
        super().__init__()
        self.version = 1
        self.rows: list[dict[str, object]] = []

    async def answer(self, first: str, _headers: Headers, _body: bytes) -> Answer:
        """Answer a call for the whole list, or a watch."""
        target = urlsplit(first.split(" ")[1])
        if target.path != "/catalog/members":
            return NOT_FOUND, {}, b""
        query = parse_qs(target.query)
        since = int(query.get("since", ["-1"])[0])
        if since == self.version:
            wait_s = int(query.get("timeout_ms", ["0"])[0]) / 1000
            await asyncio.sleep(min(LARGEST_WAIT_S, wait_s))
            return self._page(whole=False, rows=[])
        return self._page(whole=True, rows=self.rows)

    def _page(self, whole: bool, rows: list[dict[str, object]]) -> Answer:
        page = {"seq": self.version, "whole": whole, "hosts": rows}
        return OK, {"Content-Type": "application/json"}, json.dumps(page).encode()


@dataclass
class Run:
    """A request that reached a server."""

    at: float
    server: str
    request_id: str
    path: str
    key: str


Behaviour = Callable[["Server", Run], Awaitable[Answer | None]]


class Server(HttpStandIn):
    """A server behind the balancers; it runs what it answers with 200."""

    def __init__(self, name: str, world: "World", behaviour: Behaviour | None = None) -> None:
        """Name the server; ``behaviour`` replaces the usual answer."""
        super().__init__()
        self.name = name
        self.world = world
        self.behaviour = behaviour
        self.got: list[Run] = []
        self.ran: list[Run] = []

    def row(self) -> dict[str, object]:
        """Return the server's entry in discovery's list."""
        return {
            "host": self.name,
            "dial": self.address,
            "site": "z1",
            "class": "std",
            "block": 0,
            "health": "ready",
            "share": 1.0,
            "born_ms": 0,
        }

    async def answer(self, first: str, headers: Headers, _body: bytes) -> Answer | None:
        """Answer a probe or a request."""
        path = first.split(" ")[1]
        if path == "/ping":
            return OK, {}, b"pong"
        run = Run(
            self.world.record.now(),
            self.name,
            headers.get("x-request-id", ""),
            path,
            headers.get("idempotency-key", ""),
        )
        self.got.append(run)
        self.world.record(
            f"server {self.name} got id={run.request_id} path={path} key={run.key} "
            f"timeout_ms={headers.get('x-timeout-ms')}"
        )
        if self.behaviour is not None:
            return await self.behaviour(self, run)
        return self.serve(run)

    def serve(self, run: Run) -> Answer:
        """Run a request, and return its result."""
        self.ran.append(run)
        self.world.record(f"server {self.name} ran id={run.request_id} key={run.key}")
        return OK, {"Content-Type": "text/plain"}, f"{self.name} {run.request_id}".encode()


@dataclass
class Process:
    """A process of the project that the case has started."""

    name: str
    process: asyncio.subprocess.Process
    log: Path

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the program, if it still runs."""
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def ended(self, within_s: float = STOP_S) -> int:
        """Wait for the end of the process; return its exit code."""
        return await asyncio.wait_for(self.process.wait(), within_s)


@dataclass
class World:
    """All that a case has started."""

    folder: Path
    record: Record
    temporary: Path
    servers: list[Server] = field(default_factory=list)
    discovery: Discovery = field(default_factory=Discovery)
    processes: list[Process] = field(default_factory=list)
    next_id: int = 0

    @property
    def has_trouble(self) -> bool:
        """Return whether the disruption is played; TROUBLE=0 leaves it out."""
        return os.environ.get("TROUBLE", "1") != "0"

    async def open(self, *servers: Server) -> None:
        """Start discovery and the servers."""
        self.servers += servers
        for server in servers:
            await server.open()
        self.discovery.rows = [server.row() for server in servers]
        await self.discovery.open()

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for started in self.processes:
            if started.process.returncode is None:
                started.process.kill()
                await started.process.wait()
        for stand_in in [*self.servers, self.discovery]:
            await stand_in.close()

    def write(self, name: str, text: str) -> Path:
        """Write a file in the temporary folder."""
        path = self.temporary / name
        path.write_text(text, encoding="utf-8")
        return path

    async def start_program(self, name: str, command: str, environment: Headers) -> Process:
        """Start a program of the project by a shell command, from the project's root."""
        log = self.temporary / f"{name}.{len(self.processes)}.log"
        with log.open("wb") as output:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                env={**os.environ, "TMPDIR": str(self.temporary), **environment},
                stdout=output,
                stderr=output,
            )
        started = Process(name, process, log)
        self.processes.append(started)
        self.record(f"platform started {name} pid={process.pid}")
        return started

    async def start_balancer(
        self, name: str, port: int, config: dict[str, object], operator: str = ""
    ) -> Process:
        """Start a balancer by the command ``run`` of the deploy file; do not wait for it."""
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
        document = {
            "name": name,
            "listen": f"{HOST}:{port}",
            "discovery": self.discovery.address,
            "seed": f"{time.time_ns():x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": config,
        }
        environment = {
            "LB_NAME": name,
            "LB_LISTEN": f"{HOST}:{port}",
            "LB_DISCOVERY": self.discovery.address,
            "LB_CONFIG": str(self.write(f"{name}.json", json.dumps(document))),
        }
        if operator:
            environment["LB_OPERATOR"] = str(self.write(f"{name}.toml", operator))
        return await self.start_program(name, deploy["run"], environment)

    async def wait_ready(self, started: Process, port: int, within_s: float = READY_S) -> bool:
        """Wait until a balancer answers its health check with 200; False if it has ended."""
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            if started.process.returncode is not None:
                return False
            with contextlib.suppress(OSError, TimeoutError):
                status, _, _ = await call(port, "GET", "/_health", {}, within_s=1.0)
                if status == OK:
                    self.record(f"platform sees {started.name} ready")
                    return True
            await asyncio.sleep(0.05)
        return False

    async def request(  # noqa: PLR0913
        self, port: int, path: str, key: str = "", timeout_ms: int = 2500, tenant: str = "acme"
    ) -> Answer:
        """Send a client's request with a new id, and return the answer; status 0: none came."""
        request_id, headers = self.request_headers(key, timeout_ms, tenant)
        self.record(f"client sends id={request_id} path={path} key={key} to port {port}")
        body = f"pay for {path} {key}".encode()
        try:
            answer = await call(port, "POST", path, headers, body, timeout_ms / 1000 + 1)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.record(f"client got no answer id={request_id}: {type(error).__name__}")
            return 0, {}, b""
        self.record(f"client got id={request_id} status={answer[0]} body={answer[2][:80]!r}")
        return answer

    def request_headers(
        self, key: str = "", timeout_ms: int = 2500, tenant: str = "acme"
    ) -> tuple[str, Headers]:
        """Return a new request id, and the headers of a request with it."""
        self.next_id += 1
        request_id = f"r{os.getpid():x}-{self.next_id}"
        headers = {
            "Host": "service.internal",
            "X-Request-ID": request_id,
            "X-Tenant-Id": tenant,
            "X-Timeout-Ms": str(timeout_ms),
        }
        if key:
            headers["Idempotency-Key"] = key
        return request_id, headers


def encode_request(method: str, path: str, headers: Headers, body: bytes) -> bytes:
    """Return the bytes of an HTTP/1.1 request."""
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(  # noqa: PLR0913
    port: int, method: str, path: str, headers: Headers, body: bytes = b"", within_s: float = 5.0
) -> Answer:
    """Send one request on a new connection, and return the answer."""
    async with asyncio.timeout(within_s):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(encode_request(method, path, {"Host": HOST, **headers}, body))
            await writer.drain()
            message = await read_message(reader)
        finally:
            writer.close()
    if message is None:
        raise ConnectionResetError("the connection ended without an answer")
    first, answer_headers, answer_body = message
    return int(first.split(" ")[1]), answer_headers, answer_body


def play(folder: str, case: Callable[[World], Awaitable[int]]) -> None:
    """Play a case, and exit with its verdict."""
    sys.exit(asyncio.run(_play(Path(folder).resolve().parent, case)))


async def _play(folder: Path, case: Callable[[World], Awaitable[int]]) -> int:
    record = Record(folder)
    with tempfile.TemporaryDirectory(prefix="review-2-") as temporary:
        world = World(folder, record, Path(temporary))
        record(f"trouble={'yes' if world.has_trouble else 'no'}")
        verdict = NOT_RUN
        _end_on_signals()
        try:
            async with asyncio.timeout(CASE_S):
                verdict = await case(world)
        except (Exception, asyncio.CancelledError) as error:  # whatever prevents a verdict
            record(f"the case could not run: {type(error).__name__}: {error}")
        finally:
            await world.close()
        if verdict != HELD:
            _keep_logs(world)
    words = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "no verdict"}
    record(f"verdict: {words[verdict]}")
    print(f"{folder.name}: {words[verdict]}")
    return verdict


def _end_on_signals() -> None:
    """End the case, with all that it has started, if the script is told to end."""
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)


def _keep_logs(world: World) -> None:
    for started in world.processes:
        lines = started.log.read_text(errors="replace").splitlines()[-12:]
        for line in lines:
            world.record(f"log {started.name}: {line[:300]}")
