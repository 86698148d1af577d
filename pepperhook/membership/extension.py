"""Runs the membership protocol in a balancer, with one datagram socket and one timer."""

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
from pepperhook.membership.messages import (
    Address,
    MemberRecord,
    MemberState,
    Message,
    Outgoing,
)
from pepperhook.membership.protocol import SwimProtocol
from pepperhook.membership.rate_limit import SenderRateLimiter
from pepperhook.membership.settings import NS_PER_MS, NS_PER_S, ProtocolSettings
from pepperhook.operator_config.schema import MembershipTable
from pepperhook.server import config

PROBE_TIMEOUT_FRACTION = 0.3  # of a probe period
RESOLVE_INTERVAL_S = 10.0  # between attempts to resolve the host names of seeds
LEAVE_DELAY_S = 0.05  # to send the announcement before the socket is closed
MIN_TIMER_S = 0.001
# Numbers of rejected datagrams at which to log a warning, so that a flood does not fill the log.
REJECTIONS_LOGGED = (1, 10, 100, 1000)
# Factor by which poor local health lengthens a suspicion: 1 + score / 2, at a score of 4. Neither
# worse scores nor the growth of suspicions with the cluster size are covered.
SLOW_MEMBER_FACTOR = 3


class SocketClosedError(PepperhookError):
    """The socket was closed by something other than this extension."""


class Gossip(asyncio.DatagramProtocol):
    """The membership extension. Its class name appears in the ``operator_file`` log line.

    ``config_version`` returns the configuration version that this balancer runs, and
    ``on_position_change`` is called when its position in the fleet has changed. The control plane
    replaces both if it is enabled.
    """

    # The server's node, platform and log have no types yet.
    def __init__(self, settings: MembershipTable, platform: Any, log: Any) -> None:
        """Create a member. Raises ValueError if an address of the settings is invalid."""
        self.settings = settings
        self.platform = platform
        self.log = log
        self.keys = KeyRing([(key.id, key.secret) for key in settings.keys])
        self.listen = _resolved_listen(settings.listen)
        seeds = [
            config.parse_address(f"gossip.seeds[{index}]", seed)
            for index, seed in enumerate(settings.seeds)
        ]
        # Host names are resolved later, off the event loop, which a resolver would block.
        self.named_seeds = [seed for seed in seeds if not is_valid_address(seed)]
        self.protocol = SwimProtocol(
            self._local_record(),
            [seed for seed in seeds if is_valid_address(seed)],
            platform.seed,
            self.now(),
            protocol_settings(settings),
        )
        self.protocol.view.listeners.append(self._log_suspicion)
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
        self.socket_task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._closed: asyncio.Future[None] | None = None  # done when the socket is closed
        self._was_open = False
        self._is_leaving = False
        self._table_version = 0

    @staticmethod
    def now() -> int:
        """Return the protocol's monotonic time, in nanoseconds."""
        return time.monotonic_ns()

    @property
    def _tier(self) -> int:
        tier: int = self.platform.settings.tier
        return tier

    def _local_record(self) -> MemberRecord:
        # Unix time in milliseconds exceeds the incarnations of earlier runs of the process, so that
        # none is stored on disk. If the clock was set back, refutation raises the incarnation.
        incarnation = time.time_ns() // NS_PER_MS
        return MemberRecord(self.platform.name, self.listen, self._tier, incarnation)

    # Hook points of the server.

    def started(self, node: Any) -> None:
        """Start the task that runs the socket, once the balancer has started."""
        self.node = node
        self.socket_task = node.runtime.supervisor.start("gossip socket", self._run_socket)

    async def left(self) -> None:
        """Announce this balancer's departure, and close the socket."""
        self._is_leaving = True
        if self._timer is not None:
            self._timer.cancel()
        if self.transport is not None:
            self._send(self.protocol.leave())
            await asyncio.sleep(LEAVE_DELAY_S)
            self.transport.close()
        if self.socket_task is not None:
            self.socket_task.cancel()
            await asyncio.gather(self.socket_task, return_exceptions=True)

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

    async def _run_socket(self) -> None:
        """Open the socket, and return when it is closed as this balancer leaves.

        Raises OSError if it cannot be reopened, and SocketClosedError if it was closed for another
        reason; the supervisor restarts this task in both cases.
        """
        await self._resolve_seeds()
        listen = "{}:{}".format(*self.listen)
        loop = asyncio.get_running_loop()
        closed = self._closed = loop.create_future()
        try:
            await loop.create_datagram_endpoint(lambda: self, local_addr=self.listen)
        except OSError as error:
            # Without gossip the balancer still serves, with the fleet size of its settings.
            self.log.error("gossip_disabled", listen=listen, error=error.strerror or error)
            if self._was_open:
                raise
            return
        self._was_open = True
        self.log.info("gossip_started", listen=listen, seeds=len(self.protocol.seeds))
        self._run_timers()
        while self.named_seeds and not closed.done():
            await asyncio.wait([closed], timeout=RESOLVE_INTERVAL_S)
            await self._resolve_seeds()
        await closed

    async def _resolve_seeds(self) -> None:
        """Resolve the seeds that the operator's file gives by host name."""
        loop = asyncio.get_running_loop()
        for seed in list(self.named_seeds):
            host, port = seed
            try:
                results = await loop.getaddrinfo(
                    host, port, family=family_of(self.listen[0]), type=socket.SOCK_DGRAM
                )
            except (OSError, ValueError) as error:
                self.log.warning("gossip_seed_unknown", host=host, error=error)
                continue
            self.named_seeds.remove(seed)
            self.protocol.add_seed((str(results[0][4][0]), port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the socket's transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the socket task; unless this balancer leaves, with an error, which restarts it."""
        if self._closed is None or self._closed.done():
            return
        if self._is_leaving:
            self._closed.set_result(None)
        else:
            self._closed.set_exception(SocketClosedError(f"closed unexpectedly: {exc!r}"))

    def error_received(self, exc: Exception) -> None:
        """Ignore errors of earlier datagrams; a probe that was not delivered times out."""

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass a valid message to the protocol, and send the protocol's answers."""
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
        self._run_timers()

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

    # Timer.

    def _run_timers(self) -> None:
        """Run expired timers, and schedule the next call.

        A member that leaves probes nobody any more, and its own departure is no change to report.
        """
        if self._is_leaving or self.transport is None or self.transport.is_closing():
            return
        runtime = self.node.runtime
        runtime.supervisor.run_step("gossip", self._tick_protocol)
        if self._timer is not None:
            self._timer.cancel()
        delay_s = (self.protocol.next_deadline() - self.now()) / NS_PER_S
        self._timer = runtime.loop.call_later(max(MIN_TIMER_S, delay_s), self._run_timers)

    def _tick_protocol(self) -> None:
        now = self.now()
        self.protocol.view.announce_config_version(self.config_version())
        self._send(self.protocol.tick(now))
        self._update_position(now)

    def _update_position(self, now: int) -> None:
        changed_by_view = self._update_from_view(now)
        changed_by_settling = self.position.settle(now)
        if (changed_by_view or changed_by_settling) and self.settings.sets_fleet_position:
            self.log.info(
                "fleet_position",
                index=self.position.index,
                count=self.position.count,
                present=len(self.position.present),
            )
            self.on_position_change()

    def _update_from_view(self, now: int) -> bool:
        """Update the position if the view has changed; return whether the position changed."""
        table = self.protocol.table
        if table.version == self._table_version:
            return False
        self._table_version = table.version
        previous = self.position.present
        present = table.present_names(self._tier)
        changed = self.position.update(now, present, table.departed_names(self._tier))
        self._log_changes(previous, frozenset(present))
        return changed

    def _log_changes(self, previous: frozenset[str], present: frozenset[str]) -> None:
        for name in sorted(present - previous - {self.platform.name}):
            self.log.info("member", name=name, state="joined")
        for name in sorted(previous - present):
            state = "left" if name in self.position.departed else "lost"
            self.log.info("member", name=name, state=state)

    def _log_suspicion(self, previous: MemberRecord, current: MemberRecord) -> None:
        """Log that a member became suspect, or was lost or refuted after that; a view listener."""
        if MemberState.SUSPECT not in (previous.state, current.state):
            return
        fields = {"name": current.name, "incarnation": current.incarnation}
        if current.state == MemberState.SUSPECT:
            # Only the first accuser is known here; the others confirm later.
            accusers = self.protocol.view.suspicions.accusers_of(current.name)
            self.log.info("member_suspected", **fields, accuser=",".join(accusers))
        else:
            self.log.info("suspicion_ended", **fields, state=current.state.name.lower())

    def _apply_position(self) -> None:
        """Reconfigure the policy with this position; replaced if a control plane is enabled."""
        settings = replace(
            self.node.config.settings, index=self.position.index, fleet_size=self.position.count
        )
        # The operators' weights of upstreams stay as they are.
        self.node.runtime.call_policy(self.node.runtime.policy.reconfigure, settings, [])


def _resolved_listen(text: str) -> Address:
    """Return this member's own address, as other members receive it. Raises ConfigError."""
    address = config.parse_address("gossip.listen", text)
    try:
        return resolve(address)
    except (OSError, ValueError) as error:
        raise config.ConfigError(f"gossip.listen: {text!r:.60}: {error}") from error


def protocol_settings(settings: MembershipTable) -> ProtocolSettings:
    """Return the protocol's settings for the operator's settings."""
    return ProtocolSettings(
        probe_period_ns=int(settings.probe_period_ms * NS_PER_MS),
        probe_timeout_ns=int(settings.probe_period_ms * NS_PER_MS * PROBE_TIMEOUT_FRACTION),
        suspicion_multiplier=settings.suspicion_multiplier,
    )


def settle_time_ns(settings: ProtocolSettings) -> int:
    """Return how long a view must be unchanged before the fleet may shrink, in nanoseconds.

    This is the longest expected suspicion, and as long again for the update to spread.
    """
    longest_suspicion_ns = int(
        settings.suspicion_multiplier
        * settings.max_suspicion_multiplier
        * SLOW_MEMBER_FACTOR
        * settings.probe_period_ns
    )
    return 2 * longest_suspicion_ns
