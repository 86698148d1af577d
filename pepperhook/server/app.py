"""Assembles one balancer process, and shuts it down in the reverse order."""

from __future__ import annotations

import asyncio
import copy
import dataclasses
from collections.abc import Callable
from math import inf
from typing import TYPE_CHECKING, Any

from pepperhook.balancer import Balancer
from pepperhook.server import extensions as extension_points
from pepperhook.server.endpoint_discovery import EndpointDiscovery
from pepperhook.server.http1_server import ConnectionLimits, Http1Server
from pepperhook.server.ingress import Ingress
from pepperhook.server.memory_ledger import (
    BYTES_PER_MB,
    CONNECTION_BYTES,
    MIN_LEDGER_BYTES,
    MemoryLedger,
    resident_bytes,
)
from pepperhook.server.metrics import Counters
from pepperhook.server.request_lifecycle import RequestLifecycles
from pepperhook.server.runtime import Runtime
from pepperhook.server.upstream_pool import UpstreamPool

if TYPE_CHECKING:
    from pepperhook.domain import Upstream
    from pepperhook.server.config import Config
    from pepperhook.server.structured_logging import Log
    from pepperhook.settings import Settings

ACCEPT_S = 0.5  # how long a graceful shutdown still accepts connections
SHUTDOWN_MARGIN_S = 0.3  # added to the longest time limit, to write the last responses
# Requests with a longer time limit are ended earlier: SIGKILL may come 0.7 s after this time.
MAX_SHUTDOWN_TIME_LIMIT_S = 3
RESPONSE_WRITE_MARGIN_S = 0.05  # between the last final responses and the close of connections
RESERVED_DESCRIPTORS = 24  # for the endpoint list, the log and the process itself
NS_PER_MS = 10**6
# Attributes of Config that take effect only at a restart, not at a reload.
RESTART_SETTINGS = ("listen", "sockets", "settings")


@dataclasses.dataclass(frozen=True)
class SocketBudget:
    """How the file descriptors are divided between upstreams and clients."""

    upstreams: int
    clients: ConnectionLimits

    @classmethod
    def of(cls, sockets: int, memory_for_clients: float = inf) -> SocketBudget:
        """Give 2/5 to upstreams, 1/2 to clients, and 1/10 to bursts of new clients.

        ``memory_for_clients``: bytes for all client connections and their messages.
        """
        usable = sockets - RESERVED_DESCRIPTORS
        affordable = memory_for_clients / CONNECTION_BYTES
        clients = int(max(usable // 8, min(usable // 2, affordable)))
        limits = ConnectionLimits(soft=clients, hard=clients + usable // 10)
        return cls(usable * 2 // 5, limits)


class BalancerApp:
    """One balancer process: owns its components from start to graceful shutdown."""

    def __init__(
        self,
        config: Config,
        log: Log,
        extensions: extension_points.Extensions = extension_points.NO_EXTENSIONS,
        policy_factory: Callable[[Settings, int, int], Any] = Balancer,
    ) -> None:
        """Create all components; nothing runs before ``start``."""
        self.config = config
        self.log = log
        self.extensions = extensions
        self.policy_factory = policy_factory
        self.counters = Counters(log)
        self.runtime = Runtime(log, self.counters)
        self.ledger = MemoryLedger(_memory_limit(config))
        self.ledger.measure_process(resident_bytes())
        budget = SocketBudget.of(config.sockets, self.ledger.limit)
        self.upstreams = UpstreamPool(
            self.runtime, log, self.counters, config.settings, budget.upstreams, extensions
        )
        self.discovery = EndpointDiscovery(
            self.runtime, log, self.counters, config, self.upstreams, extensions
        )
        self.requests = RequestLifecycles(self.runtime, log, self.counters, extensions)
        self.ingress = Ingress(
            self.runtime, log, self.counters, config, self.requests, self.discovery, extensions
        )
        self.http_server = Http1Server(
            self.runtime, self.counters, self.ingress, config.listen, budget.clients, self.ledger
        )
        http2 = extensions.h2
        if http2 is not None or extensions.leaving:
            self.requests.cancels_abandoned = bool(config.settings.may_cancel)
        if http2 is not None and http2.clients:
            self.http_server.enable_http2(http2.streams)

    async def start(self) -> None:
        """Start the policy and the extensions, then accept requests."""
        now = self.runtime.now()
        policy = self.policy_factory(self.config.settings, self.config.seed, now)
        for hook in self.extensions.born:
            policy = hook(self, policy, now)
        self.runtime.start(policy, self.upstreams, self.discovery)
        if self.config.known:
            try:
                self.discovery.apply(self.config.known)
            except ValueError as error:
                self.log.warning("known_list_unusable", error=error)
        if not self.discovery.ready:
            self.runtime.call_policy(policy.endpoint_service_moved)
        for hook in self.extensions.started:
            hook(self)
        await asyncio.gather(*(hook() for hook in self.extensions.ready))
        self.http_server.open()
        self._check_memory_limit()
        self.log.info(
            "started",
            name=self.config.name,
            listen="{}:{}".format(*self.config.listen),
            tier=self.config.settings.tier,
        )

    def _check_memory_limit(self) -> None:
        """Log a limit that leaves too little memory for messages; the least is served then."""
        resident = resident_bytes()
        self.ledger.measure_process(resident)
        if self.ledger.limit <= MIN_LEDGER_BYTES:
            self.log.warning(
                "memory_limit_too_low",
                limit_mb=self.config.memory_mb,
                resident_mb=round(resident / BYTES_PER_MB, 1),
            )

    def reload(self, config: Config) -> None:
        """Apply a replaced configuration file, as far as that is possible without a restart.

        The settings that need a restart are named in the log.
        """
        needs_restart = [
            name for name in RESTART_SETTINGS if getattr(config, name) != getattr(self.config, name)
        ]
        if config.discovery != self.config.discovery:
            self.discovery.change_service(config.discovery)
        self.config = dataclasses.replace(self.config, discovery=config.discovery)
        fields = {"wait_for_a_restart": ",".join(needs_restart)} if needs_restart else {}
        self.log.info("reloaded", discovery="{}:{}".format(*config.discovery), **fields)

    def settings_changed(self, settings: Settings) -> None:
        """Pass changed settings, which the policy has, to all that derive values from them."""
        self.ingress.update_settings()
        for hook in self.extensions.reconfigured:
            hook(settings)

    def log_state(self) -> None:
        """Log the counters, and the policy's state of each upstream next to that of its sockets."""
        self.log_counters()
        reports = self.http_server.server.reports
        self.log.info("memory", **reports.memory_fields(resident_bytes()))
        self.log.info("connections", **reports.connection_fields())
        policy = self.runtime.policy
        if not hasattr(policy, "retry_budget"):
            return  # a baseline policy for experiments, which has no such state
        self.log.info(
            "budget",
            B=round(policy.retry_budget.B, 3),
            f=round(policy.retry_budget.f, 3),
            waiting=len(policy.admission.queue),
            under_way=len(self.requests.tasks),
            late_ms=self.runtime.lateness_ns() // NS_PER_MS,
            tasks=len(asyncio.all_tasks()),
        )
        now = self.runtime.now()
        for upstream in policy.subset.ring.listed:
            self._log_upstream(upstream, upstream in policy.subset.members, now)

    def _log_upstream(self, upstream: Upstream, is_member: bool, now: int) -> None:
        def decayed(statistics: Any) -> Any:
            # Decay a copy: two decay steps round differently from one, so decaying the policy's own
            # state here would make a capture impossible to replay exactly.
            return copy.copy(statistics).decay(now)

        # slow: latency score; faults: decayed fraction of failures; warm: not in slow start; dark:
        # unreachable; out: attempts in flight by the policy; on_sockets: attempts and health checks
        # in flight on connections; given_up: attempts abandoned recently that may still run; room:
        # the concurrency served lately, by Little's law.
        endpoint = self.upstreams.endpoints.get(upstream)
        self.log.info(
            "upstream",
            host=upstream.address.decode(errors="replace"),
            state=upstream.state,
            member=is_member,
            weight=round(upstream.weight, 3),
            slow=round(upstream.latency_score, 2),
            faults=round(decayed(upstream.failures).mean(now, 0, 2), 2),
            warm=upstream.slow_start_since is None,
            dark=upstream.unreachable_since is not None,
            out=len(upstream.in_flight),
            on_sockets=endpoint.in_flight if endpoint else 0,
            given_up=round(decayed(upstream.abandoned).weight, 1),
            room=round(decayed(upstream.completed).total / upstream.completed.span_ns, 1),
        )

    async def shut_down(self, accept_s: float = ACCEPT_S) -> None:
        """Accept for another ``accept_s``, answer all accepted requests, then close everything."""
        self.log.info("leaving", under_way=len(self.requests.tasks))
        time_limit_s = min(self.ingress.max_time_limit_s, MAX_SHUTDOWN_TIME_LIMIT_S)
        closes_in_s = time_limit_s + SHUTDOWN_MARGIN_S
        within_s = closes_in_s - accept_s
        last_responses = self.runtime.loop.call_later(
            closes_in_s - RESPONSE_WRITE_MARGIN_S, self.requests.fail_all
        )
        await asyncio.gather(
            self.http_server.close(accept_s, within_s),
            *(hook(accept_s, within_s) for hook in self.extensions.closing),
        )
        last_responses.cancel()
        await self.requests.close()
        self.runtime.close()
        await self.discovery.close()
        await self.upstreams.close()
        for hook in self.extensions.left:
            await hook()
        self.log_counters()
        self.log.info("ended")

    def log_counters(self) -> None:
        """Log the counters of the balancer and of its extensions."""
        self.counters.log_all()
        for hook in self.extensions.told:
            self.log.info("part", **hook())  # the counters of one extension


def _memory_limit(config: Config) -> int | None:
    return None if config.memory_mb is None else config.memory_mb * BYTES_PER_MB
