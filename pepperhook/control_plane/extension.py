"""The balancer's side of the control plane, as an extension of the server.

Receives versions, applies those that pass its checks, and reports the result. While the service is
unreachable, the balancer keeps its version, and starts from the last good version on disk.
"""

import asyncio
import time
from collections.abc import Iterable
from functools import partial
from typing import Any

import aiohttp
import msgspec

from pepperhook.control_plane.fleet_position import FleetPosition
from pepperhook.control_plane.frames import MembershipView, StreamError, StreamMessage
from pepperhook.control_plane.heartbeat import HeartbeatSender
from pepperhook.control_plane.last_good import LastGoodFile
from pepperhook.control_plane.listed_endpoints import override_states
from pepperhook.control_plane.service_connection import SeededJitter, ServiceConnection
from pepperhook.control_plane.stream_client import StreamClient
from pepperhook.control_plane.stream_request import StreamRequest
from pepperhook.control_plane.version import Version
from pepperhook.control_plane.version_applier import VersionApplier
from pepperhook.domain import EndpointUpdate
from pepperhook.key_ring import KeyRing
from pepperhook.operator_config import schema
from pepperhook.server.config import Config
from pepperhook.server.messages import ResponseKind
from pepperhook.server.structured_logging import Log

HEARTBEAT_INTERVAL_S = 2.0  # jittered by up to a quarter in either direction


class Control:
    """The extension that the table ``control`` of an operator's file enables.

    The log and ``pepperhook check`` list it by its class name, which is that of the table.
    """

    def __init__(
        self,
        table: schema.ControlPlaneTable,
        config: Config,
        log: Log,
        extensions: Iterable[tuple[str, Any]] = (),
        gossip: Any = None,
    ) -> None:
        """Create the components; no connection is opened before ``started``.

        ``extensions`` are those whose settings a document may change, by their names in it;
        ``gossip`` is the membership extension, if it is enabled.
        """
        tier = config.settings.tier
        host, port = config.listen
        self._address = table.address
        self._log = log
        self._keys = KeyRing((key.id, key.secret) for key in table.keys)
        self._jitter = SeededJitter(config.seed, config.name)
        self._connection: ServiceConnection | None = None
        self._tasks: list[asyncio.Task[None]] = []

        self.position = FleetPosition(config.name, config.settings.fleet_size)
        self.last_good = LastGoodFile(table.last_good_file, log)
        self.applier = VersionApplier(config, self._keys, log, dict(extensions))
        self.heartbeats = HeartbeatSender(config.name, tier, f"{host}:{port}", self.applier)
        self.stream = StreamClient(
            log=log,
            jitter=self._jitter,
            make_request=partial(self._stream_request, config.name, tier),
            known_version=self.applier.known_version,
        )
        if table.sets_fleet_position:
            self.applier.position = self.position
        if gossip is not None:
            self._connect_gossip(gossip)

    def _connect_gossip(self, gossip: Any) -> None:
        """Publish the running version by gossip, and use its position if its settings say so."""
        gossip.config_version = lambda: self.applier.running_number
        if gossip.settings.sets_fleet_position:
            self.applier.position = gossip.position
            gossip.on_position_change = self.applier.update_policy

    # Hook points of the server.

    def started(self, node: Any) -> None:
        """Restore the last good version and start the connection to the service."""
        self.applier.attach(node)
        self.applier.restore(self.last_good)
        connection = ServiceConnection(self._address, self._keys)
        self._connection = connection
        supervisor = node.runtime.supervisor
        handle = partial(self._handle, connection)
        self._tasks = [
            supervisor.start("control stream", partial(self.stream.run, connection, handle)),
            supervisor.start("control heartbeats", partial(self._run_heartbeats, connection)),
        ]

    async def left(self) -> None:
        """Stop all tasks, finish writing the last good version, and close the connection."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.last_good.flush()
        if self._connection is not None:
            await self._connection.close()

    def lists(self, rows: list[EndpointUpdate]) -> list[EndpointUpdate]:
        """Return changed rows of the endpoint list with the document's overrides."""
        self.applier.endpoints.update(rows)
        return override_states(rows, self.applier.document)

    def listed(self, _now: int, upstreams: Iterable[Any]) -> None:
        """Forget upstreams that are gone, and set the document's weights on new ones."""
        listed = list(upstreams)
        self.applier.endpoints.retain(listed)
        self.applier.correct_weights(listed)

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

    # Messages from the service, and heartbeats to it.

    def _stream_request(self, name: str, tier: int) -> StreamRequest:
        running = self.applier.running
        return StreamRequest(
            name=name,
            tier=tier,
            processed_number=self.applier.latest_processed_number,
            base_number=self.applier.running_number,
            base_hash=running.hash if running is not None else "",
        )

    async def _handle(self, connection: ServiceConnection, message: StreamMessage) -> None:
        if isinstance(message, Version):
            forged_before = self.applier.counters.forged
            if self.applier.receive(message):
                self.last_good.schedule(message)
            if self.applier.counters.forged > forged_before:
                # The service would not send it again on this stream.
                raise StreamError("forged version")
            await self.last_good.flush()
            await self.heartbeats.send(connection)
        elif isinstance(message, MembershipView):
            now = time.monotonic_ns()
            if self.position.update(now, message.epoch, message.members):
                self.applier.update_policy()

    async def _run_heartbeats(self, connection: ServiceConnection) -> None:
        """Send heartbeats at intervals, and lower the fleet size once a smaller view is stable."""
        while True:
            if self.stream.connected:
                try:
                    await self.heartbeats.send(connection)
                except (aiohttp.ClientError, OSError, msgspec.MsgspecError) as error:
                    self._log.info("heartbeat_failed", error=f"{type(error).__name__}: {error}")
            self._lower_fleet_size()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S * (0.75 + 0.5 * self._jitter.draw()))

    def _lower_fleet_size(self) -> None:
        if self.position.lower_if_stable(time.monotonic_ns()):
            self.applier.update_policy()
