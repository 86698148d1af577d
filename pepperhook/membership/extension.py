"""Runs the membership protocol in a balancer: one datagram socket, one timer, and log lines."""

import asyncio
import socket
import time
from collections.abc import Callable, Iterable
from dataclasses import asdict, replace
from typing import Any, cast

from pepperhook.errors import PepperhookError
from pepperhook.key_ring import KeyRing
from pepperhook.membership.addresses import family_of, is_valid_address, resolve
from pepperhook.membership.counters import DatagramCounters
from pepperhook.membership.datagram import (
    DatagramTooLargeError,
    InvalidDatagramError,
    decode,
    encode,
)
from pepperhook.membership.fleet_position import FleetPosition
from pepperhook.membership.messages import Address, MemberRecord, Message, Outgoing
from pepperhook.membership.protocol import SwimProtocol
from pepperhook.membership.rate_limit import SenderRateLimiter
from pepperhook.membership.settings import NS_PER_MS, NS_PER_S, ProtocolSettings
from pepperhook.operator_config.schema import MembershipTable
from pepperhook.server import config

PROBE_TIMEOUT_SHARE = 0.3  # of a probe period
RESOLVE_INTERVAL_S = 10.0  # between looks for the addresses of seeds that have none yet
LEAVE_DELAY_S = 0.05  # for the announcement to go out, before the socket is closed
MIN_TIMER_S = 0.001
REJECTIONS_LOGGED = (1, 10, 100, 1000)  # or a flood of datagrams would be one of log lines
# Longest suspicion of a member in bad local health, times that of one in good health.
SLOW_MEMBER_FACTOR = 3


class SocketClosedError(PepperhookError):
    """The socket was closed, though nobody here closed it."""


class Gossip(asyncio.DatagramProtocol):
    """The extension. The ``operator_file`` log line names it by its class.

    ``config_version`` returns what this balancer runs, and ``on_position_change`` is called when
    its position in the fleet has changed; the control plane replaces both where it is on.
    """

    # The server's node, platform and log are untyped as yet.
    def __init__(self, settings: MembershipTable, platform: Any, log: Any) -> None:
        """Prepare a member. Raises ValueError where an address of the settings is wrong."""
        self.settings = settings
        self.platform = platform
        self.log = log
        self.keys = KeyRing([(key.id, key.secret) for key in settings.keys])
        self.listen = _resolved_listen(settings.listen)
        seeds = [
            config.parse_address(f"gossip.seeds[{index}]", seed)
            for index, seed in enumerate(settings.seeds)
        ]
        # Resolved off the event loop, which a resolver would hold up.
        self.named_seeds = [seed for seed in seeds if not is_valid_address(seed)]
        self.protocol = SwimProtocol(
            self._local_record(),
            [seed for seed in seeds if is_valid_address(seed)],
            platform.seed,
            self.now(),
            protocol_settings(settings),
        )
        self.position = FleetPosition(
            platform.name,
            platform.settings.fleet_size,
            settle_time_ns(self.protocol.settings),
        )
        self.counters = DatagramCounters()
        self.rate_limiter = SenderRateLimiter()
        self.config_version: Callable[[], int] = lambda: 0
        self.on_position_change: Callable[[], None] = self._apply_position
        self.node: Any = None
        self.transport: asyncio.DatagramTransport | None = None
        self.open_task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._closed: asyncio.Future[None] | None = None  # done when the socket is
        self._was_open = False
        self._is_leaving = False
        self._table_version = 0

    @staticmethod
    def now() -> int:
        """Return the protocol's time, in nanoseconds."""
        return time.monotonic_ns()

    @property
    def _tier(self) -> int:
        tier: int = self.platform.settings.tier
        return tier

    def _local_record(self) -> MemberRecord:
        # Unix time, so that a former lifecycle's incarnation is lower without one kept on disk; a
        # clock that was set back is made up for by refutation.
        incarnation = time.time_ns() // NS_PER_MS
        return MemberRecord(self.platform.name, self.listen, self._tier, incarnation)

    # Hook points of the server.

    def started(self, node: Any) -> None:
        """Open the socket, as the balancer is up."""
        self.node = node
        self.open_task = node.runtime.supervisor.start("gossip socket", self._keep_open)

    async def left(self) -> None:
        """Announce that this balancer leaves, and close the socket."""
        self._is_leaving = True
        if self._timer is not None:
            self._timer.cancel()
        if self.transport is not None:
            self._send(self.protocol.leave())
            await asyncio.sleep(LEAVE_DELAY_S)
            self.transport.close()
        if self.open_task is not None:
            self.open_task.cancel()
            await asyncio.gather(self.open_task, return_exceptions=True)

    def told(self) -> dict[str, Any]:
        """Return the counters for the log."""
        return {
            "name": "gossip",
            "present": self.protocol.table.cluster_size,
            "fleet_size": self.position.count,
            "fleet_index": self.position.index,
            "local_health": self.protocol.local_health.score,
            **asdict(self.protocol.counters),
            **asdict(self.counters),
        }

    # Datagrams.

    async def _keep_open(self) -> None:
        """Open the socket, and return when it is closed at the end of this balancer.

        Raises OSError where it cannot be opened again, and SocketClosedError where it was closed by
        anything else: the supervisor begins this again then.
        """
        await self._resolve_seeds()
        listen = "{}:{}".format(*self.listen)
        loop = asyncio.get_running_loop()
        closed = self._closed = loop.create_future()
        try:
            await loop.create_datagram_endpoint(lambda: self, local_addr=self.listen)
        except OSError as error:
            # A balancer serves without a view of the others, too, by its settings' fleet size.
            self.log.error("gossip_disabled", listen=listen, error=error.strerror or error)
            if self._was_open:
                raise
            return
        self._was_open = True
        self.log.info("gossip_started", listen=listen, seeds=len(self.protocol.seeds))
        self._run_due()
        while self.named_seeds and not closed.done():
            await asyncio.wait([closed], timeout=RESOLVE_INTERVAL_S)
            await self._resolve_seeds()
        await closed

    async def _resolve_seeds(self) -> None:
        """Find the addresses of seeds that the operator's file has by names."""
        loop = asyncio.get_running_loop()
        for seed in list(self.named_seeds):
            host, port = seed
            try:
                rows = await loop.getaddrinfo(
                    host, port, family=family_of(self.listen[0]), type=socket.SOCK_DGRAM
                )
            except (OSError, ValueError) as error:
                self.log.warning("gossip_seed_unknown", host=host, error=error)
                continue
            self.named_seeds.remove(seed)
            self.protocol.add_seed((str(rows[0][4][0]), port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket's transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Have the socket opened again, unless this balancer leaves."""
        if self._closed is None or self._closed.done():
            return
        if self._is_leaving:
            self._closed.set_result(None)
        else:
            self._closed.set_exception(SocketClosedError(f"closed by itself: {exc!r}"))

    def error_received(self, exc: Exception) -> None:
        """Ignore that an earlier datagram reached nobody: its probe times out."""

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass on a message to the protocol, and send what it answers."""
        now = self.now()
        self.counters.datagrams_in += 1
        if not self.rate_limiter.admit(now, addr):
            self.counters.rate_limited += 1
            return
        try:
            message = decode(data, self.keys)
        except InvalidDatagramError as error:
            self._reject(addr, error)
            return
        self._send(self.protocol.receive(now, message))
        self._run_due()

    def _reject(self, sender: Address, error: InvalidDatagramError) -> None:
        self.counters.rejected += 1
        if self.counters.rejected in REJECTIONS_LOGGED:
            self.log.warning(
                "gossip_rejected", sender=sender[0], times=self.counters.rejected, error=error
            )

    def _send(self, outgoing: Iterable[Outgoing]) -> None:
        for item in outgoing:
            self._send_message(item.address, item.message)

    def _send_message(self, address: Address, message: Message) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        try:
            data = encode(message, self.keys)
        except DatagramTooLargeError:
            self.counters.oversized += 1
            return
        self.counters.datagrams_out += 1
        self.counters.bytes_out += len(data)
        self.transport.sendto(data, address)

    # Time.

    def _run_due(self) -> None:
        """Do what is due, act on a changed view, and set the timer for what is due next."""
        if self.transport is None or self.transport.is_closing():
            return
        runtime = self.node.runtime
        runtime.supervisor.run_step("gossip", self._do_what_is_due)
        if self._timer is not None:
            self._timer.cancel()
        delay_s = (self.protocol.next_deadline() - self.now()) / NS_PER_S
        self._timer = runtime.loop.call_later(max(MIN_TIMER_S, delay_s), self._run_due)

    def _do_what_is_due(self) -> None:
        now = self.now()
        self.protocol.view.announce_config_version(self.config_version())
        self._send(self.protocol.tick(now))
        self._update_position(now)

    def _update_position(self, now: int) -> None:
        grown = self._take_view(now)
        shrunk = self.position.settle(now)
        if (grown or shrunk) and self.settings.sets_fleet_position:
            self.log.info(
                "fleet_position",
                index=self.position.index,
                count=self.position.count,
                present=len(self.position.present),
            )
            self.on_position_change()

    def _take_view(self, now: int) -> bool:
        """Pass on a view that has changed; return whether the position changed by it."""
        table = self.protocol.table
        if table.version == self._table_version:
            return False
        self._table_version = table.version
        before = self.position.present
        present = table.present_names(self._tier)
        changed = self.position.update(now, present, table.departed_names(self._tier))
        self._log_changes(before, frozenset(present))
        return changed

    def _log_changes(self, before: frozenset[str], present: frozenset[str]) -> None:
        for name in sorted(present - before - {self.platform.name}):
            self.log.info("member", name=name, state="joined")
        for name in sorted(before - present):
            state = "left" if name in self.position.departed else "lost"
            self.log.info("member", name=name, state=state)

    def _apply_position(self) -> None:
        """Apply the settings of the start with this position, where no control plane is on."""
        settings = replace(
            self.node.config.settings, index=self.position.index, fleet_size=self.position.count
        )
        self.node.runtime.call_policy(self.node.runtime.policy.reconfigure, settings, [])


def _resolved_listen(text: str) -> Address:
    """Return this member's own address, as others are told it. Raises ConfigError."""
    address = config.parse_address("gossip.listen", text)
    try:
        return resolve(address)
    except (OSError, ValueError) as error:
        raise config.ConfigError(f"gossip.listen: {text!r:.60}: {error}") from error


def protocol_settings(settings: MembershipTable) -> ProtocolSettings:
    """Return the protocol's timing by the operator's settings."""
    return ProtocolSettings(
        probe_period_ns=int(settings.probe_period_ms * NS_PER_MS),
        probe_timeout_ns=int(settings.probe_period_ms * NS_PER_MS * PROBE_TIMEOUT_SHARE),
        suspicion_multiplier=settings.suspicion_multiplier,
    )


def settle_time_ns(settings: ProtocolSettings) -> int:
    """Return how long a view must be stable until all members know of a death.

    It is the longest suspicion of a slow member, and as long again for the update to spread.
    """
    longest_suspicion_ns = int(
        settings.suspicion_multiplier
        * settings.max_suspicion_multiplier
        * SLOW_MEMBER_FACTOR
        * settings.probe_period_ns
    )
    return 2 * longest_suspicion_ns
