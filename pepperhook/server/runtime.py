"""Runs the policy: provides its clock, makes all calls to it, and executes its actions."""

import asyncio
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from pepperhook import actions
from pepperhook.domain import Attempt, LoadReport, Outcome, Request, Upstream
from pepperhook.server.lifecycle_events import Inbox
from pepperhook.server.structured_logging import exception_fields
from pepperhook.server.supervision import Supervisor

if TYPE_CHECKING:
    from pepperhook.server.endpoint_discovery import EndpointDiscovery
    from pepperhook.server.metrics import Counters
    from pepperhook.server.structured_logging import Log
    from pepperhook.server.upstream_pool import UpstreamPool

LATENESS_INTERVAL_S = 0.025  # between measurements of the event loop's lateness
LATENESS_HALF_LIFE_NS = 500 * 10**6
NS_PER_S = 1e9
NS_PER_MS = 10**6


class Runtime:
    """Calls the policy, dispatches its actions, and manages its wake-up timer."""

    # Set by ``start``. Any, because recorders and shadows may replace the policy.
    policy: Any
    upstreams: "UpstreamPool"
    discovery: "EndpointDiscovery"

    def __init__(self, log: "Log", counters: "Counters") -> None:
        """Initialise the clock; nothing runs before ``start``."""
        self.log = log
        self.counters = counters
        self.loop = asyncio.get_running_loop()
        # Added to the monotonic clock to get Unix time, in which the endpoint list states the start
        # times of upstreams. Computed once, so that the clock never goes back.
        self.offset = time.time_ns() - time.monotonic_ns()
        self.supervisor = Supervisor(self.report_fault)
        self.inboxes: dict[Request, Inbox] = {}  # of the requests in flight
        self.worst_lateness = (0, 0)  # in nanoseconds, with the time of the measurement
        self._wake_timer: asyncio.TimerHandle | None = None
        self._wake_at = 0
        self._lateness_timer: asyncio.TimerHandle | None = None

    def now(self) -> int:
        """Return the Unix time in nanoseconds, on a clock that never goes back."""
        return time.monotonic_ns() + self.offset

    def loop_time(self, at_ns: int) -> float:
        """Convert a time of ``now`` to the event loop's time in seconds."""
        return (at_ns - self.offset) / NS_PER_S

    def report_fault(self, task: str, error: BaseException) -> None:
        """Log and count an unexpected error that ended background work."""
        self.counters.add("background faults")
        self.log.error("background_fault", task=task, **exception_fields(error))

    def start(self, policy: Any, upstreams: "UpstreamPool", discovery: "EndpointDiscovery") -> None:
        """Start to run the policy."""
        self.policy = policy
        self.upstreams = upstreams
        self.discovery = discovery
        self.call_policy(policy.wake)
        self._schedule_measurement(self.now())

    def _schedule_measurement(self, now: int) -> None:
        self._lateness_timer = self.loop.call_later(
            LATENESS_INTERVAL_S, self._measure_lateness, now
        )

    def _measure_lateness(self, previous: int) -> None:
        now = self.now()
        self._schedule_measurement(now)
        lateness = max(0, now - previous - int(LATENESS_INTERVAL_S * NS_PER_S))
        if lateness > self.lateness_ns():
            self.worst_lateness = (lateness, now)
            self.log.debug("event_loop_late", ms=lateness // NS_PER_MS)

    def lateness_ns(self) -> int:
        """Return the worst recent lateness of the event loop, decaying by LATENESS_HALF_LIFE_NS."""
        worst, measured_at = self.worst_lateness
        return int(worst * 0.5 ** ((self.now() - measured_at) / LATENESS_HALF_LIFE_NS))

    def call_policy(self, call: Callable[..., list[actions.Action]], *arguments: Any) -> bool:
        """Make one call to the policy and execute its actions in order.

        Return whether the call succeeded; a fault of the policy is logged and counted.
        """
        succeeded = True
        try:
            results = call(self.now(), *arguments)
        except Exception:
            succeeded = False
            # Execute what it had decided before the fault; otherwise requests would hang.
            results = self.policy.actions
            self.policy.actions = []
            self.counters.add("faults of the module")  # the policy
            self.log.exception("module_fault", call=call.__name__)
        for action in results:
            self._execute(action)
        return succeeded

    def _execute(self, action: actions.Action) -> None:
        match action:
            case actions.RejectRequest() | actions.FailRequest():
                self._deliver(action.request, action)
            case actions.StartAttempt() | actions.CancelAttempt():
                self._deliver(action.attempt.request, action)
            case actions.WakeAt(at_ns):
                self._schedule_wake(at_ns)
            case actions.HealthCheck(upstream):
                self.upstreams.check_health(upstream, self._health_check_ended)
            case actions.WatchEndpoints(wait_ns):
                self.discovery.start_watch(wait_ns)
            case actions.FetchEndpoints():
                self.discovery.start_fetch()
            case actions.OperatorNote(text):
                self.log.info("note", text=text)

    def may_send(self, attempt: Attempt) -> bool:
        """Make the policy's last check before the first byte; if it raises, nothing is written."""
        try:
            may_send = bool(self.policy.may_send(self.now(), attempt))
            if not may_send:
                self.counters.add("sends forbidden")
            return may_send
        except Exception:
            self.counters.add("faults of the module")
            self.log.exception("module_fault", call="goes")  # the log's name of may_send
            return False

    def _deliver(
        self,
        request: Request,
        action: actions.RejectRequest
        | actions.FailRequest
        | actions.StartAttempt
        | actions.CancelAttempt,
    ) -> None:
        inbox = self.inboxes.get(request)
        if inbox is not None:
            inbox.put_nowait(action)
        elif isinstance(action, actions.StartAttempt):
            # The request has no lifecycle that would send the attempt. Unless its end is reported,
            # the policy counts it as open forever.
            self.loop.call_soon(
                self.call_policy,
                self.policy.attempt_ended,
                action.attempt,
                Outcome.NOT_SENT,
                0,
                True,
            )

    def _health_check_ended(
        self, upstream: Upstream, outcome: Outcome, duration_ns: int, report: LoadReport | None
    ) -> None:
        arguments: list[Any] = [upstream, outcome, duration_ns]
        if report is not None:
            arguments.append(report)
        self.call_policy(self.policy.health_check_ended, *arguments)

    def _schedule_wake(self, at_ns: int) -> None:
        if self._wake_timer is not None:
            if at_ns >= self._wake_at:
                return
            self._wake_timer.cancel()
        self._wake_at = at_ns
        self._wake_timer = self.loop.call_at(self.loop_time(at_ns), self._wake)

    def _wake(self) -> None:
        self._wake_timer = None
        self.call_policy(self.policy.wake)

    def close(self) -> None:
        """Cancel the timers."""
        for timer in (self._wake_timer, self._lateness_timer):
            if timer is not None:
                timer.cancel()
