"""Measure the control service with many members.

The members are stand-ins in one process, each with a stream and heartbeats like a balancer's; the
service runs in its own process. Measured are the time until all members that join at once are in
the member list, the time until a new version has reached all of them, and the processor time and
memory of the service. The stand-ins share one core, so the times include their own work.
"""

import asyncio
import json
import subprocess
import sys
import time
from pathlib import Path
from urllib.parse import urlencode

import aiohttp

from pepperhook.control_plane import frames
from pepperhook.control_plane.auth import sign_request
from pepperhook.control_plane.version import Version
from pepperhook.key_ring import KeyRing

SECRET = "the secret of this measurement"
KEYS = KeyRing([("k1", SECRET)])
LEASE_S, HEARTBEAT_S, TIMEOUT_S = 10.0, 2.0, 120.0
UPSTREAM_COUNT = 300  # reported by each member
SERVICE_CLASS_COUNT = 30  # service classes in the document
SERVE_SCRIPT = "import sys\nfrom pepperhook.cli import main\nmain(sys.argv[1:])"


class MeasurementError(RuntimeError):
    """The measurement could not be made."""


class Member:
    """Stand-in for one balancer: it applies every version and reports which one it runs."""

    def __init__(self, fleet, number):
        self.fleet, self.name, self.running = fleet, f"m{number:05}", 0
        self.applied_at = {}  # monotonic seconds by version number
        self.views_received, self.known_versions = 0, {}
        self.upstreams_checksum = (
            0  # checksum of the upstreams that the service has from this member
        )

    async def follow(self):
        """Read the control stream, reconnecting when it breaks, until cancelled."""
        known_number = 0
        while True:
            try:
                path = "/v1/stream?" + urlencode(
                    {"name": self.name, "tier": 0, "have": known_number}
                )
                reader = frames.FrameReader(self.known_versions.get)
                async with self.fleet.session.get(
                    self.fleet.url + path, headers=sign_request(KEYS, "GET", path)
                ) as response:
                    async for data in response.content.iter_any():
                        for message in reader.feed(data):
                            if isinstance(message, Version):
                                self.running = known_number = message.number
                                self.known_versions = {message.number: message}
                                self.applied_at[message.number] = time.monotonic()
                                await self.send_heartbeat()
                            elif isinstance(message, frames.MembershipView):
                                self.views_received += 1
                                self.fleet.members_seen[self.name] = len(message.members)
            except (aiohttp.ClientError, OSError, TimeoutError, frames.StreamError):
                self.fleet.broken_count += 1
                # Jitter by name, in seconds.
                await asyncio.sleep(0.2 + 0.001 * (checksum_of(self.name) % 500))

    async def send_heartbeats(self):
        """Send regular heartbeats, from a point that depends on the name, until cancelled."""
        await asyncio.sleep(HEARTBEAT_S * (checksum_of(self.name) % 1000) / 1000)
        while True:
            try:
                await self.send_heartbeat()
            except (aiohttp.ClientError, OSError, TimeoutError):
                self.fleet.broken_count += 1
            await asyncio.sleep(HEARTBEAT_S)

    async def send_heartbeat(self):
        """Send one heartbeat, with the upstreams if the service doesn't have them yet."""
        heartbeat = {
            "name": self.name,
            "tier": 0,
            "running": self.running,
            "refused": None,
            "good": 0,
            "bad": 0,
            "address": "127.0.0.1:1",
            "upstreams_mark": self.fleet.upstreams_checksum,
        }
        if self.upstreams_checksum != self.fleet.upstreams_checksum:
            heartbeat["upstreams"] = self.fleet.upstreams
        body = json.dumps(heartbeat).encode()
        async with self.fleet.session.post(
            self.fleet.url + "/v1/beat",
            data=body,
            headers=sign_request(KEYS, "POST", "/v1/beat", body),
        ) as response:
            self.upstreams_checksum = (await response.json()).get("upstreams_mark", 0)


def checksum_of(name) -> int:
    """Return the CRC-32 of a string."""
    from zlib import crc32

    return crc32(name.encode())


class Fleet:
    """All stand-ins of one measurement."""

    def __init__(self, count, folder, address):
        self.folder, self.address, self.url = Path(folder), address, f"http://{address}"
        self.members = [Member(self, number) for number in range(count)]
        self.members_seen: dict[str, int] = {}
        # ``broken_count`` counts broken streams and failed heartbeats.
        self.broken_count, self.tasks = 0, []
        self.upstreams = [f"t0-{number:03}" for number in range(UPSTREAM_COUNT)]
        self.upstreams_checksum = checksum_of("\n".join(self.upstreams))

    async def request(self, method, path, document=None):
        """Send a signed request; return the status and the decoded body."""
        body = b"" if document is None else json.dumps(document).encode()
        async with self.session.request(
            method, self.url + path, data=body, headers=sign_request(KEYS, method, path, body)
        ) as response:
            return response.status, await response.json()

    async def wait_until(self, condition):
        """Wait until ``condition()`` is true. Raises MeasurementError after TIMEOUT_S."""
        deadline = time.monotonic() + TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline:
                raise MeasurementError(
                    f"timed out after {TIMEOUT_S:g} s with {len(self.members)} members"
                )
            await asyncio.sleep(0.01)

    async def propose(self, objective_ms, parent):
        """Add a version with this latency objective in ms; return its number.

        Raises MeasurementError.
        """
        document = {
            "version": 1,
            "grades": {
                f"g{number}": {"goal_ms": objective_ms} for number in range(SERVICE_CLASS_COUNT)
            },
        }
        status, answer = await self.request(
            "POST",
            "/v1/versions",
            {
                "document": document,
                "parent": parent,
                "author": "lab",
                "reason": "measured",
                "force": ["step"],
            },
        )
        if status != 200:
            raise MeasurementError(f"the service rejected a version: {answer}")
        return answer["number"]

    async def roll_out(self, number):
        """Roll a version out to all; return each member's seconds, sorted.

        Raises MeasurementError.
        """
        started_at = time.monotonic()
        status, answer = await self.request(
            "POST",
            "/v1/rollout",
            {"version": number, "steps": [{"share": 1.0, "seconds": 0.0}], "patience_s": 600},
        )
        if status != 200:
            raise MeasurementError(f"the service rejected a rollout: {answer}")
        await self.wait_until(lambda: all(number in member.applied_at for member in self.members))
        return sorted(member.applied_at[number] - started_at for member in self.members)

    async def measure(self, process):
        """Return the figures of the service running in ``process``. Raises MeasurementError."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector, timeout=aiohttp.ClientTimeout(total=None)
        ) as self.session:
            for _ in range(200):
                try:
                    await self.request("GET", "/v1/rollout")
                    break
                except aiohttp.ClientError:
                    await asyncio.sleep(0.05)
            before, started_at = process.cpu_times(), time.monotonic()
            for member in self.members:
                self.tasks += [
                    asyncio.create_task(member.follow()),
                    asyncio.create_task(member.send_heartbeats()),
                ]
            try:
                await self.wait_until(
                    lambda: (
                        len(self.members_seen) == len(self.members)
                        and min(self.members_seen.values()) == len(self.members)
                    )
                )
                joined_s, joining_cpu_s = (
                    time.monotonic() - started_at,
                    cpu_seconds_since(process, before),
                )
                views = sum(member.views_received for member in self.members)
                first = await self.propose(100.0, 0)
                times = await self.roll_out(first)
                await self.request("POST", "/v1/rollout/back", {"why": "measured"})
                await asyncio.sleep(1.0)
                before_idle, since = process.cpu_times(), time.monotonic()
                await asyncio.sleep(5.0)
                idle_share = cpu_seconds_since(process, before_idle) / (time.monotonic() - since)
            finally:
                for task in self.tasks:
                    task.cancel()
                await asyncio.gather(*self.tasks, return_exceptions=True)
        return {
            "members": len(self.members),
            "joined_s": round(joined_s, 2),
            "core_s_while_joining": round(joining_cpu_s, 2),
            "views_a_member": round(views / len(self.members), 1),
            "version_at_half_s": round(times[len(times) // 2], 3),
            "version_at_all_s": round(times[-1], 3),
            "core_share_at_rest": round(idle_share, 3),
            "resident_mb": round(process.memory_info().rss / 2**20, 1),
            "broken_streams": self.broken_count,
        }


def cpu_seconds_since(process, before) -> float:
    """Return the CPU seconds of a process since ``before``."""
    now = process.cpu_times()
    return now.user + now.system - before.user - before.system


def measure(counts, folder, port, report_progress=lambda *_: None) -> list[dict]:
    """Return a row of figures for each number of members. Raises MeasurementError."""
    import psutil

    rows = []
    for index, count in enumerate(counts):
        report_progress(f"{count} members", index / len(counts))
        run_folder = Path(folder) / str(count)
        run_folder.mkdir(parents=True)
        (run_folder / "keys").write_text(f"k1 {SECRET}\n")
        with open(run_folder / "log", "wb") as log:
            process = subprocess.Popen(
                [
                    sys.executable,
                    "-c",
                    SERVE_SCRIPT,
                    "control",
                    "serve",
                    "--listen",
                    f"127.0.0.1:{port}",
                    "--store",
                    str(run_folder / "store"),
                    "--keys",
                    str(run_folder / "keys"),
                    "--lease",
                    f"{LEASE_S:g}",
                ],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=log,
            )
        try:
            rows.append(
                asyncio.run(
                    Fleet(count, run_folder, f"127.0.0.1:{port}").measure(
                        psutil.Process(process.pid)
                    )
                )
            )
        finally:
            process.terminate()
            process.wait(20)
    return rows
