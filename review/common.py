"""Stand-ins that the cases share: discovery, upstreams, clients, and the balancer's process.

All of them use loopback addresses and free ports. Only the standard library is used, so that a case
needs nothing beyond what the deploy file builds.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
READY_S = 20.0
OK = 200
END_S = 8.0

# As in the settings of the wire page, for the first tier of a small deployment.
SETTINGS: dict[str, Any] = {
    "azs": ["ist-1"],
    "callers": {"marksRetry": False},
    "discovery": "ask",
    "domain": {"passesDeadline": False},
    "earningsPer": "work",
    "excessEarnings": 0.05,
    "family": "chain",
    "goal": {"whole": 0.55, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.15},
    "groupSize": 2,
    "locality": 0,
    "me": 0,
    "models": ["edge-fast"],
    "orgs": [],
    "permissions": {
        "cancel": True,
        "connectTimeoutUs": 50_000,
        "keepaliveUs": 30_000_000,
        "maxDispatches": 6,
        "maxRetryAfterUs": 1_500_000,
        "parallelTries": False,
        "peers": False,
        "probes": False,
        "retryAfter": False,
        "streamsPerConn": 1,
    },
    "reporting": {"fields": [], "how": "none"},
    "safety": {
        "answerSlackUs": 5000,
        "askWithinUs": 10_000_000,
        "drainGraceUs": 300_000,
        "fallMultiple": 2.5,
        "fallUs": 1_500_000,
        "startCapacity": 0.13,
        "warmWithinUs": 22_000_000,
    },
    "serviceGrades": [
        {
            "earnings": 1.0,
            "effect": "idempotent",
            "goalTimeUs": 1_000_000,
            "name": "card-check",
            "timeLimitUs": 2_500_000,
        },
        {
            "earnings": 5.0,
            "effect": "at_most_once",
            "goalTimeUs": 1_200_000,
            "name": "sale-post",
            "timeLimitUs": 3_000_000,
        },
        {
            "earnings": 10.0,
            "effect": "deduplicated",
            "goalTimeUs": 500_000,
            "group": "all",
            "keyTtlUs": 2_000_000,
            "name": "pump-hold",
            "timeLimitUs": 1_200_000,
        },
    ],
    "tickUs": 1000,
    "tier": 0,
    "tiers": ["edge"],
    "weights": "nominal",
}


class CaseError(Exception):
    """The case could not be run."""


@dataclass
class Record:
    """What was sent, answered and run, with the time since the start."""

    path: Path
    started: float = field(default_factory=time.monotonic)

    def __post_init__(self) -> None:
        """Begin an empty record."""
        self.file = self.path.open("w", encoding="utf-8")

    def note(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


@dataclass
class Message:
    """One HTTP/1.1 message."""

    start: str
    headers: dict[str, str]  # by lower-case name
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message with a Content-Length; return None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        start, *lines = head.rstrip("\r\n").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(start, headers, body)


def encode_response(status: int, body: bytes, headers: dict[str, str] | None = None) -> bytes:
    """Return a response as bytes."""
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}", "Content-Type: text/plain"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


Answer = tuple[int, bytes, dict[str, str]] | None
Handler = Callable[["Upstream", Message], Awaitable[Answer]]


class Server:
    """A server on a free loopback port that answers one message at a time on a connection."""

    def __init__(self) -> None:
        """Choose a port."""
        self.port = free_port()
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Return the address as HOST:PORT."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Begin to listen."""
        self.server = await asyncio.start_server(self._connection, HOST, self.port)

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            while (message := await read_message(reader)) is not None:
                answer = await self.answer(message)
                if answer is None:
                    break
                status, body, headers = answer
                writer.write(encode_response(status, body, headers))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def answer(self, message: Message) -> Answer:
        """Return status, body and headers; None closes the connection."""
        raise NotImplementedError

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.sleep(0)


class Upstream(Server):
    """A server of the tier: notes each request that it begins, and has ``handler`` answer it."""

    def __init__(self, name: str, record: Record, handler: Handler) -> None:
        """Prepare the upstream ``name``."""
        super().__init__()
        self.name = name
        self.record = record
        self.handler = handler
        self.runs: list[tuple[float, str, str]] = []  # time, id and key of each request begun

    async def answer(self, message: Message) -> Answer:
        """Note the request and answer it."""
        request_id = message.headers.get("x-request-id", "")
        key = message.headers.get("idempotency-key", "")
        if not request_id:
            return 404, b"", {}
        self.runs.append((time.monotonic(), request_id, key))
        self.record.note(f"run upstream={self.name} id={request_id} key={key}")
        return await self.handler(self, message)

    def row(self) -> dict[str, Any]:
        """Return its row of the list."""
        return {
            "host": self.name,
            "dial": self.address,
            "site": "ist-1",
            "class": "edge-fast",
            "block": 0,
            "health": "ready",
            "share": 1.0,
            "born_ms": 0,
        }


class Discovery(Server):
    """The list service: one list that stays as it is; watches end without changes."""

    def __init__(self, rows: list[dict[str, Any]]) -> None:
        """Serve ``rows``."""
        super().__init__()
        self.rows = rows
        self.version = 1

    async def answer(self, message: Message) -> Answer:
        """Answer a poll with the whole list, or a watch after its wait with no changes."""
        query = message.start.split()[1].partition("?")[2]
        values = dict(part.partition("=")[::2] for part in query.split("&") if part)
        whole = values.get("since") != str(self.version)
        if not whole:
            await asyncio.sleep(int(values.get("timeout_ms", "0")) / 1000)
        document = {"seq": self.version, "whole": whole, "hosts": self.rows if whole else []}
        return OK, json.dumps(document).encode(), {}


class Program:
    """A process of the project, started by the shell from the root as the platform does it."""

    def __init__(self, name: str, folder: Path, record: Record) -> None:
        """Prepare the process ``name``; its files are in ``folder``."""
        self.name = name
        self.folder = folder
        self.record = record
        self.process: asyncio.subprocess.Process | None = None
        self.log = folder / f"{name}.log"

    async def start(self, command: str, **environment: str) -> None:
        """Start ``command``."""
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_shell(
                command,
                cwd=ROOT,
                env={**os.environ, **environment},
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.record.note(f"started process={self.name}")

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.record.note(f"signal process={self.name} {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await asyncio.wait_for(self.process.wait(), END_S)

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def logged(self) -> str:
        """Return its log."""
        return self.log.read_text(encoding="utf-8", errors="replace")


class Balancer(Program):
    """One balancer process."""

    def __init__(self, name: str, folder: Path, record: Record) -> None:
        """Choose a port for its clients."""
        super().__init__(name, folder, record)
        self.port = free_port()

    async def run(
        self, discovery: Discovery, settings: dict[str, Any], operator: str | None = None
    ) -> None:
        """Start it by the deploy file's command, and wait until it is ready."""
        config = self.folder / f"{self.name}.json"
        config.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": f"{HOST}:{self.port}",
                    "discovery": discovery.address,
                    "seed": "8c1f30d27a5be964",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "settings": settings,
                }
            )
        )
        environment = {
            "LB_NAME": self.name,
            "LB_LISTEN": f"{HOST}:{self.port}",
            "LB_DISCOVERY": discovery.address,
            "LB_CONFIG": str(config),
        }
        if operator is not None:
            path = self.folder / f"{self.name}.operator.toml"
            path.write_text(operator)
            environment["LB_OPERATOR"] = str(path)
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        await self.start(deploy["run"], **environment)
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until ``GET /_health`` has answered 200."""
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline:
            if not self.is_running:
                raise CaseError(f"{self.name} ended at its start: {self.logged()[-500:]}")
            with contextlib.suppress(OSError):
                answer = await exchange(self.port, "GET", "/_health", {}, b"", 1.0)
                if isinstance(answer, Message) and answer.status == OK:
                    return
            await asyncio.sleep(0.05)
        raise CaseError(f"{self.name} was not ready in {READY_S} s")


async def wait_for(condition: Callable[[], bool], within_s: float, what: str) -> None:
    """Wait until ``condition`` holds. Raises CaseError."""
    deadline = time.monotonic() + within_s
    while not condition():
        if time.monotonic() > deadline:
            raise CaseError(f"not seen in {within_s} s: {what}")
        await asyncio.sleep(0.02)


def encode_request(method: str, target: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return a request as bytes."""
    lines = [f"{method} {target} HTTP/1.1", "Host: service.internal"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def exchange(
    port: int, method: str, target: str, headers: dict[str, str], body: bytes, wait_s: float
) -> Message | None:
    """Send one request on a new connection; return the answer, or None without a whole one.

    The connection is closed after ``wait_s``, as a client does that gives up.
    """
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(encode_request(method, target, headers, body))
        async with asyncio.timeout(wait_s):
            return await read_message(reader)
    except (TimeoutError, ConnectionError):
        return None
    finally:
        writer.close()


Play = Callable[[Record, Path, bool], Awaitable[int]]


async def _play_until_signal(play: Play, record: Record, folder: Path, disrupt: bool) -> int:
    """Run ``play``; a signal that ends the script cancels it, so that it ends its processes."""
    task = asyncio.ensure_future(play(record, folder, disrupt))
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        raise CaseError("ended by a signal") from None


def run_case(file: str, play: Play) -> None:
    """Run ``play`` with the record, a temporary folder and whether to disrupt; exit by its result.

    TROUBLE=0 in the environment plays the case without the disruption.
    """
    record = Record(Path(file).resolve().parent / "record.txt")
    disrupt = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"begin trouble={int(disrupt)}")
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    try:
        result = asyncio.run(_play_until_signal(play, record, folder, disrupt))
    except Exception as error:
        # Whatever fails here is a fault of the case: exit code 1 is kept for a broken rule.
        record.note(f"could not run: {type(error).__name__}: {error}")
        result = COULD_NOT_RUN
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    record.note(f"end result={result}")
    sys.exit(result)
