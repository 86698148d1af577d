"""Puts one balancer together, and takes it apart in the reverse order."""

from __future__ import annotations

import asyncio
import copy
import dataclasses
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from pepperhook.balancer import Balancer
from pepperhook.server import extensions as extension_points
from pepperhook.server.endpoint_discovery import EndpointDiscovery
from pepperhook.server.http1_server import ConnectionLimits, Http1Server
from pepperhook.server.ingress import Ingress
from pepperhook.server.metrics import Counters
from pepperhook.server.request_lifecycle import RequestLifecycles
from pepperhook.server.runtime import Runtime
from pepperhook.server.upstream_pool import UpstreamPool

if TYPE_CHECKING:
    from pepperhook.domain import Upstream
    from pepperhook.server.config import Config
    from pepperhook.server.structured_logging import Log
    from pepperhook.settings import Settings

ACCEPT_S = 0.5  # in a graceful shutdown, connections are accepted for a moment more
SHUTDOWN_MARGIN_S = 0.3  # beyond the longest time limit, for the last responses to be written
SPARE_DESCRIPTORS = 24  # for the endpoint list, the log and the process itself
PROCESS_MB = 36  # memory of the process itself
CONNECTION_KB = 160  # memory of a client's connection at the most
NS_PER_MS = 10**6
# Of a reload: what takes effect only at a restart.
RESTART_SETTINGS = ("listen", "sockets", "settings")


@dataclasses.dataclass(frozen=True)
class SocketBudget:
    """How the descriptors are divided."""

    upstreams: int
    clients: ConnectionLimits

    @classmethod
    def of(cls, sockets: int, memory_mb: int | None) -> SocketBudget:
        """Give two fifths to upstreams, half to clients, and the rest to a rush of these."""
        usable = sockets - SPARE_DESCRIPTORS
        clients = usable // 2
        if memory_mb is not None:
            # Half a request on each of hundreds of connections must not take more memory than there
            # is.
            affordable = (memory_mb - PROCESS_MB) * 1024 // CONNECTION_KB
            clients = max(usable // 8, min(clients, affordable))
        limits = ConnectionLimits(soft=clients, hard=clients + usable // 10)
        return cls(usable * 2 // 5, limits)


class BalancerApp:
    """One balancer process: owns its parts from start to graceful shutdown."""

    def __init__(
        self,
        config: Config,
        log: Log,
        extensions: extension_points.Extensions = extension_points.NONE,
        policy_factory: Callable[[Settings, int, int], Any] = Balancer,
    ) -> None:
        """Make all parts; nothing runs before ``start``."""
        self.config = config
        self.log = log
        self.extensions = extensions
        self.policy_factory = policy_factory
        self.counters = Counters(log)
        self.runtime = Runtime(log, self.counters)
        budget = SocketBudget.of(config.sockets, config.memory_mb)
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
            self.runtime, self.counters, self.ingress, config.listen, budget.clients
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
        self.http_server.open()
        self.log.info(
            "started",
            name=self.config.name,
            listen="{}:{}".format(*self.config.listen),
            tier=self.config.settings.tier,
        )

    def reload(self, config: Config) -> None:
        """Take over what a replaced file changes, as far as that is possible without a restart.

        The rest is named in the log.
        """
        waiting = [
            name for name in RESTART_SETTINGS if getattr(config, name) != getattr(self.config, name)
        ]
        if config.discovery != self.config.discovery:
            self.discovery.move(config.discovery)
        self.config = dataclasses.replace(self.config, discovery=config.discovery)
        fields = {"wait_for_a_restart": ",".join(waiting)} if waiting else {}
        self.log.info("reloaded", discovery="{}:{}".format(*config.discovery), **fields)

    def log_state(self) -> None:
        """Log the counters, and what the policy believes beside what is open on sockets."""
        self.log_counters()
        policy = self.runtime.policy
        if not hasattr(policy, "retry_budget"):
            return  # another policy, of the lab's: it believes nothing of upstreams
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
            # Of a copy: decaying in two steps gives other last digits than in one, and a capture
            # would not replay.
            return copy.copy(statistics).decay(now)

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
        """Shut down gracefully: accept for ``accept_s`` more, answer what was accepted, close."""
        self.log.info("leaving", under_way=len(self.requests.tasks))
        within_s = self.ingress.longest_s + SHUTDOWN_MARGIN_S - accept_s
        await asyncio.gather(
            self.http_server.close(accept_s, within_s),
            *(hook(accept_s, within_s) for hook in self.extensions.closing),
        )
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
            self.log.info("part", **hook())
