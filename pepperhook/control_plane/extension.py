"""A balancer's end of the control plane, on the server's hook points.

Receives versions, applies those that pass its checks, and reports what became of them. Without the
service it goes on with what it runs, and starts from the last good version on disk.
"""

import asyncio
import time
from collections.abc import Iterable
from functools import partial
from typing import Any

import aiohttp
import msgspec

from pepperhook.control_plane.fleet_position import FleetPosition
from pepperhook.control_plane.frames import MembershipView, StreamMessage
from pepperhook.control_plane.heartbeat import HeartbeatSender
from pepperhook.control_plane.last_good import LastGoodFile
from pepperhook.control_plane.listed_endpoints import override_states
from pepperhook.control_plane.service_connection import SeededJitter, ServiceConnection
from pepperhook.control_plane.stream_client import StreamClient
from pepperhook.control_plane.version import Version
from pepperhook.control_plane.version_applier import VersionApplier
from pepperhook.domain import EndpointUpdate
from pepperhook.key_ring import KeyRing
from pepperhook.operator_config import schema
from pepperhook.server.config import Config
from pepperhook.server.messages import ResponseKind
from pepperhook.server.structured_logging import Log

HEARTBEAT_INTERVAL_S = 2.0  # varied by a quarter either way


class Control:
    """The extension that an operator's file turns on by its table ``control``.

    Its name is that of the table, as the log and ``pepperhook check`` list extensions by it.
    """

    def __init__(
        self,
        operator: schema.ControlPlaneTable,
        config: Config,
        log: Log,
        extensions: Iterable[tuple[str, Any]] = (),
        gossip: Any = None,
    ) -> None:
        """Prepare; nothing is connected before ``started``.

        ``extensions`` are those whose settings a document may change, with their names there;
        ``gossip`` is the membership extension, if it is on.
        """
        tier = config.settings.tier
        host, port = config.listen
        self._address = operator.address
        self._log = log
        self._keys = KeyRing((key.id, key.secret) for key in operator.keys)
        self._jitter = SeededJitter(config.seed, config.name)
        self._connection: ServiceConnection | None = None
        self._tasks: list[asyncio.Task[None]] = []

        self.position = FleetPosition(config.name, config.settings.fleet_size)
        self.last_good = LastGoodFile(operator.last_good_file, log)
        self.applier = VersionApplier(config, self._keys, log, dict(extensions))
        self.heartbeats = HeartbeatSender(config.name, tier, f"{host}:{port}", self.applier)
        self.stream = StreamClient(
            name=config.name,
            tier=tier,
            log=log,
            jitter=self._jitter,
            latest_seen_number=lambda: self.applier.latest_seen_number,
            known_version=self.applier.known_version,
        )
        if operator.sets_fleet_position:
            self.applier.position = self.position
        if gossip is not None:
            self._connect_gossip(gossip)

    def _connect_gossip(self, gossip: Any) -> None:
        """Have gossip spread the running version, and take the position from it if it may."""
        gossip.config_version = lambda: self.applier.running_number
        if gossip.settings.sets_fleet_position:
            self.applier.position = gossip.position
            gossip.on_position_change = self.applier.update_policy

    # Hook points of the server.

    def started(self, node: Any) -> None:
        """Restore the last good version and begin to follow the service."""
        self.applier.attach(node)
        self.applier.restore(self.last_good)
        connection = ServiceConnection(self._address, self._keys)
        self._connection = connection
        supervisor = node.runtime.supervisor
        handle = partial(self._handle, connection)
        self._tasks = [
            supervisor.start("control stream", partial(self.stream.run, connection, handle)),
            supervisor.start("control heartbeats", partial(self._report, connection)),
        ]

    async def left(self) -> None:
        """Stop following; a version that is being written is written to its end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.last_good.flush()
        if self._connection is not None:
            await self._connection.close()

    def lists(self, rows: list[EndpointUpdate]) -> list[EndpointUpdate]:
        """Return changed rows of the endpoint list as the document overrides them."""
        self.applier.endpoints.update(rows)
        return override_states(rows, self.applier.document)

    def listed(self, _now: int, upstreams: list[Any]) -> None:
        """Give upstreams that are new in the endpoint list their weights."""
        self.applier.correct_weights(upstreams)

    def answered(self, now: int, request: Any, answer: Any) -> None:
        """Count whether a request was served within its latency objective."""
        in_time = now <= (request.objective_at or request.deadline)
        if answer.kind == ResponseKind.SERVED and in_time:
            self.heartbeats.requests.add(1, 0)
        else:
            self.heartbeats.requests.add(0, 1)

    def told(self) -> dict[str, Any]:
        """Return the counters for the log."""
        counters = self.applier.counters
        rejection = self.applier.rejection
        return {
            "name": "control",
            "version": self.applier.running_number,
            "connected": "yes" if self.stream.connected else "no",
            "fleet_size": self.position.count,
            "applied": counters.applied,
            "rejected": counters.rejected,
            "forged": counters.forged,
            "outdated": counters.outdated,
            "broken_streams": self.stream.broken_streams,
            **({"rejected_reason": rejection.reason} if rejection else {}),
        }

    # Messages of the service, and reports to it.

    async def _handle(self, connection: ServiceConnection, message: StreamMessage) -> None:
        if isinstance(message, Version):
            if self.applier.receive(message):
                self.last_good.schedule(message)
            await self.last_good.flush()
            await self.heartbeats.send(connection)
        elif isinstance(message, MembershipView):
            now = time.monotonic_ns()
            if self.position.update(now, message.epoch, message.members):
                self.applier.update_policy()

    async def _report(self, connection: ServiceConnection) -> None:
        """Send heartbeats at intervals, and take a smaller fleet size when it has settled."""
        while True:
            if self.stream.connected:
                try:
                    await self.heartbeats.send(connection)
                except (aiohttp.ClientError, OSError, msgspec.MsgspecError) as error:
                    self._log.info("heartbeat_failed", error=f"{type(error).__name__}: {error}")
            self._settle_position()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S * (0.75 + 0.5 * self._jitter.draw()))

    def _settle_position(self) -> None:
        if self.position.settle(time.monotonic_ns()):
            self.applier.update_policy()
