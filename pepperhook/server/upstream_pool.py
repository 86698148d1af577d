"""Sends attempts and health checks to upstreams, and owns the connections to them."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from errno import EMFILE
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol
from weakref import WeakSet

from pepperhook.domain import Attempt, LoadReport, Outcome, Upstream
from pepperhook.server import extensions as extension_points
from pepperhook.server import http1_client
from pepperhook.server.attempt_errors import AttemptError, ConnectTimeoutError, SocketLimitError
from pepperhook.server.content_type import content_type_of
from pepperhook.server.field_value import FieldValue
from pepperhook.server.lifecycle_events import AttemptEnded, Inbox
from pepperhook.server.messages import Header, RequestMessage, UpstreamResponse

if TYPE_CHECKING:
    from pepperhook.server.metrics import Counters
    from pepperhook.server.runtime import Runtime
    from pepperhook.server.structured_logging import Log
    from pepperhook.settings import Settings

NOT_PROCESSED_HEADER = "X-Not-Processed"
TIMEOUT_HEADER = "X-Timeout-Ms"
OK = 200
UNAVAILABLE_STATUSES = (503, 504)  # with NOT_PROCESSED_HEADER: provably not executed
HTTP2 = "h2"

IDLE_FRACTION = 0.45  # of the time after which an upstream closes an idle connection
# From the first byte of a response to its last. Upstreams write a response at once, and stalls
# are shorter than this.
RESPONSE_READ_TIMEOUT_S = 0.4
LATE_CONNECT_FACTOR = (
    1.5  # times the connect timeout; if connecting took longer, this process was stalled
)
HEALTH_CHECK_FACTOR = 4  # timeout of a health check, as a multiple of the connect timeout
NS_PER_S = 1e9
NS_PER_MS = 10**6
MS_PER_S = 1000

AttemptResult = tuple[Outcome, UpstreamResponse | None]
HealthCheckResult = tuple[Outcome, LoadReport | None]
HealthCheckCallback = Callable[[Upstream, Outcome, int, LoadReport | None], None]


class Client(Protocol):
    """The connections to one upstream, over one protocol."""

    def request(
        self,
        method: str,
        target: str,
        headers: list[Header],
        body: bytes,
        timeout_s: float,
        may_write: Callable[[], bool] | None = None,
    ) -> Awaitable[tuple[int, Any, bytes]]:
        """Send one request; return status, headers and body. Raises AttemptError."""

    async def close(self) -> None:
        """Close all connections."""


@dataclass(slots=True)
class UpstreamEndpoint:
    """The address and start time of an upstream, and the connections to it."""

    address: str
    started_at: int
    client: Client
    in_flight: int = 0  # attempts and health checks
    is_removed: bool = False


class UpstreamPool:
    """The upstreams of the endpoint list, with their connections, attempts and health checks."""

    def __init__(
        self,
        runtime: Runtime,
        log: Log,
        counters: Counters,
        settings: Settings,
        max_sockets: int,
        extensions: extension_points.Extensions = extension_points.NO_EXTENSIONS,
    ) -> None:
        """Start without upstreams; connections are opened when they are needed."""
        self.runtime = runtime
        self.log = log
        self.counters = counters
        self.max_sockets = max_sockets
        self.extensions = extensions
        self.http2 = extensions.h2
        self.endpoints: dict[Upstream, UpstreamEndpoint] = {}
        self.tasks: dict[Attempt, asyncio.Task[AttemptResult]] = {}
        self.written: set[Attempt] = set()  # open attempts whose first byte may have been sent
        self.health_checks: set[asyncio.Task[None]] = set()
        self.sockets: WeakSet[socket.socket] = WeakSet()
        self.closing: set[asyncio.Task[None]] = set()
        self.connect_timeout_s = settings.connect_timeout_ns / NS_PER_S
        # The figures of a load report: name on the wire -> name in the policy.
        self.report_figures: dict[str, str] = {}
        if settings.report_source == "probe":
            self.report_figures = dict(
                zip(settings.report_names, settings.report_figures, strict=False)
            )
        # Idle connections must be closed before the upstream closes them: a request written on one
        # that it is closing ends with a reset. The library checks for idle connections only once in
        # the timeout, so some stay open for twice as long.
        self.idle_timeout_s = IDLE_FRACTION * settings.keepalive_ns / NS_PER_S

    # Endpoints.

    def update_endpoint(
        self, upstream: Upstream, address: str, started_at: int, protocol: str | None = None
    ) -> None:
        """Set the address and start time of an upstream.

        A new instance at an old address gets new connections. Those to an instance that vanished
        still look usable, but requests sent on them are never answered.
        """
        endpoint = self.endpoints.get(upstream)
        if endpoint is None or (endpoint.address, endpoint.started_at) != (address, started_at):
            self.remove_endpoint(upstream)
            client = self._make_client(address, protocol)
            self.endpoints[upstream] = UpstreamEndpoint(address, started_at, client)

    def remove_endpoint(self, upstream: Upstream) -> None:
        """Start no new attempts at an upstream; those in flight may still be served."""
        endpoint = self.endpoints.pop(upstream, None)
        if endpoint is not None:
            endpoint.is_removed = True
            self._close_if_unused(endpoint)

    def _close_if_unused(self, endpoint: UpstreamEndpoint) -> None:
        """Close the connections of a removed endpoint once nothing is in flight there."""
        if endpoint.is_removed and not endpoint.in_flight:
            task = self.runtime.loop.create_task(endpoint.client.close())
            self.closing.add(task)
            task.add_done_callback(self.closing.discard)

    def _make_client(self, address: str, protocol: str | None) -> Client:
        if self.http2 is not None and (protocol or self.http2.upstreams) == HTTP2:
            # Imported only if it is enabled.
            from pepperhook.http2.client import Http2Client

            return Http2Client(
                address,
                connect_timeout_s=self.connect_timeout_s,
                idle_timeout_s=self.idle_timeout_s,
                read_timeout_s=RESPONSE_READ_TIMEOUT_S,
                max_streams=self.http2.streams,
                make_socket=self._make_socket,
                log=self.log,
                counters=self.counters,
            )
        session = http1_client.make_session(
            RESPONSE_READ_TIMEOUT_S,
            limit=0,
            keepalive_timeout=self.idle_timeout_s,
            socket_factory=self._make_socket,
        )
        return http1_client.Http1Client(address, self.connect_timeout_s, session)

    def _make_socket(self, address_info: tuple[Any, ...]) -> socket.socket:
        """Create a socket, within the limit for all connections to upstreams, idle ones included.

        The limit keeps them from using up the descriptors of client connections.
        """
        open_sockets = [known for known in self.sockets if known.fileno() != -1]
        if len(open_sockets) >= self.max_sockets:
            self.counters.add("connections over the bound")
            raise SocketLimitError(EMFILE, "the limit on connections to upstreams is reached")
        try:
            created = socket.socket(*address_info[:3])
        except OSError as error:
            # Running out of descriptors must not make an upstream look unreachable.
            raise SocketLimitError(error.errno, str(error)) from error
        self.sockets.add(created)
        return created

    # Attempts.

    def send(
        self, attempt: Attempt, timeout_ns: int, message: RequestMessage, inbox: Inbox
    ) -> None:
        """Start an attempt; ``inbox`` always gets AttemptEnded exactly once."""
        task = self.runtime.loop.create_task(self._run_attempt(attempt, timeout_ns, message))
        self.tasks[attempt] = task
        # A callback, because a task that is cancelled before its first step never runs.
        task.add_done_callback(partial(self._attempt_ended, attempt, inbox))
        self.counters.add("attempts started")

    def cancel(self, attempt: Attempt, if_unwritten: bool = False) -> None:
        """Cancel an attempt; with ``if_unwritten``, only if nothing of it was written."""
        task = self.tasks.get(attempt)
        if task is not None and not (if_unwritten and attempt in self.written):
            task.cancel()

    def _may_write(
        self, endpoint: UpstreamEndpoint, attempt: Attempt, message: RequestMessage
    ) -> bool:
        """Make the last check before the first byte: of the client's connection, then the policy's.

        On a busy core the client's close may still be unread; its request must not be forwarded.
        While an attempt connects, another process may have come to the upstream's address.
        """
        if endpoint.is_removed:
            self.counters.add("endpoints gone before the first byte")
            return False
        if (
            message.is_client_waiting is not None
            and not self.extensions.leaving
            and not message.is_client_waiting()
        ):
            self.counters.add("clients gone before the first byte")
            return False
        may_send = self.runtime.may_send(attempt)
        if may_send:
            self.written.add(attempt)
        self.log.debug(
            "last_check",
            id=attempt.request.id,
            upstream=attempt.upstream.address,
            may_send=may_send,
        )
        return may_send

    def _attempt_ended(
        self, attempt: Attempt, inbox: Inbox, task: asyncio.Task[AttemptResult]
    ) -> None:
        del self.tasks[attempt]
        self.written.discard(attempt)
        outcome, response = (Outcome.CANCELLED, None) if task.cancelled() else task.result()
        self.counters.add(f"attempts {outcome}")
        inbox.put_nowait(AttemptEnded(attempt, outcome, response))

    async def _run_attempt(
        self, attempt: Attempt, timeout_ns: int, message: RequestMessage
    ) -> AttemptResult:
        """Return the outcome and the response; every error becomes an outcome.

        The request may have been executed, unless it is certain that nothing was sent.
        """
        endpoint = self.endpoints.get(attempt.upstream)
        started_at = self.runtime.now()
        ends_at = attempt.sent_at + timeout_ns
        if endpoint is None or ends_at <= started_at or not self.runtime.may_send(attempt):
            return Outcome.NOT_SENT, None  # the list has changed, or this process is late
        endpoint.in_flight += 1
        try:
            return await http1_client.retry_stale_connections(
                lambda: self._exchange(endpoint, attempt, message, ends_at)
            )
        except ConnectTimeoutError as error:
            # A stall of this process must not make an upstream look unreachable.
            duration_ns = self.runtime.now() - started_at
            is_late = duration_ns > LATE_CONNECT_FACTOR * self.connect_timeout_s * NS_PER_S
            return (Outcome.NOT_SENT if is_late else error.outcome), None
        except AttemptError as error:
            return error.outcome, None
        except TimeoutError:
            return Outcome.TIMED_OUT, None
        except Exception:
            self.log.exception("dispatch_fault", upstream=endpoint.address)
            return Outcome.RESET, None
        finally:
            endpoint.in_flight -= 1
            self._close_if_unused(endpoint)

    async def _exchange(
        self, endpoint: UpstreamEndpoint, attempt: Attempt, message: RequestMessage, ends_at: int
    ) -> AttemptResult:
        timeout_s = (ends_at - self.runtime.now()) / NS_PER_S
        if timeout_s <= 0:
            raise TimeoutError
        timeout_ms = max(1, int(timeout_s * MS_PER_S))
        headers = [*message.headers, (TIMEOUT_HEADER, FieldValue.ascii(str(timeout_ms)))]
        for hook in self.extensions.dispatching:
            if hook(self.runtime.now(), attempt, headers):
                return Outcome.NOT_SENT, None
        status, response_headers, body = await endpoint.client.request(
            message.method,
            message.target,
            headers,
            message.body,
            timeout_s,
            partial(self._may_write, endpoint, attempt, message),
        )
        read_headers = {
            name: [FieldValue.from_library(text) for text in response_headers.getall(name, ())]
            for name in self.extensions.reads_back
        }
        outcome = _outcome_of(status, response_headers)
        # Of others, the type is not forwarded, and must not hide that they were never executed.
        content_type = content_type_of(response_headers) if outcome is Outcome.SERVED else None
        return outcome, UpstreamResponse(body, content_type, read_headers or None)

    # Health checks.

    def check_health(self, upstream: Upstream, report_result: HealthCheckCallback) -> None:
        """Start a health check or load query; ``report_result`` is called once."""
        task = self.runtime.loop.create_task(self._run_health_check(upstream, report_result))
        self.health_checks.add(task)
        task.add_done_callback(self.health_checks.discard)
        self.counters.add("probes")

    async def _run_health_check(
        self, upstream: Upstream, report_result: HealthCheckCallback
    ) -> None:
        started_at = self.runtime.now()
        result: HealthCheckResult = (Outcome.CONNECT_FAILED, None)
        endpoint = self.endpoints.get(upstream)
        try:
            if endpoint is not None:
                endpoint.in_flight += 1
                result = await http1_client.retry_stale_connections(
                    lambda: self._request_health(endpoint)
                )
        except (AttemptError, OSError, ValueError):
            pass
        finally:
            if endpoint is not None:
                endpoint.in_flight -= 1
                self._close_if_unused(endpoint)
            outcome, report = result
            self.log.debug(
                "health_check",
                upstream=upstream.address,
                outcome=outcome,
                state=upstream.state,
                call_ms=(self.runtime.now() - started_at) // NS_PER_MS,
            )
            report_result(upstream, outcome, self.runtime.now() - started_at, report)

    async def _request_health(self, endpoint: UpstreamEndpoint) -> HealthCheckResult:
        target = "/_load" if self.report_figures else "/ping"
        timeout_s = HEALTH_CHECK_FACTOR * self.connect_timeout_s
        status, _, body = await endpoint.client.request("GET", target, [], b"", timeout_s)
        if status != OK:
            return Outcome.ERROR, None
        if not self.report_figures:
            return Outcome.SERVED, None
        report = _decode_load_report(body, self.report_figures)
        if report is None:
            self.counters.add("load reports unusable")
        return Outcome.SERVED, report

    async def close(self) -> None:
        """Cancel attempts and health checks, and close all connections."""
        tasks: list[asyncio.Task[Any]] = [*self.tasks.values(), *self.health_checks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for upstream in list(self.endpoints):
            self.remove_endpoint(upstream)
        await asyncio.gather(*self.closing, return_exceptions=True)


def _outcome_of(status: int, headers: Any) -> Outcome:
    if status == OK:
        return Outcome.SERVED
    if status in UNAVAILABLE_STATUSES and headers.get(NOT_PROCESSED_HEADER) == "1":
        return Outcome.OVERLOADED
    return Outcome.ERROR


def _decode_load_report(body: bytes, figures: dict[str, str]) -> LoadReport | None:
    """Return the figures by the policy's names; None if one is missing or not a valid number."""
    try:
        values = json.loads(body)
    except ValueError:
        return None
    if isinstance(values, list):
        values = dict(zip(figures, values, strict=False))
    if not isinstance(values, dict) or not all(
        _is_non_negative_number(values.get(name)) for name in figures
    ):
        return None
    return {policy_name: float(values[name]) for name, policy_name in figures.items()}


def _is_non_negative_number(value: object) -> bool:
    # The comparison is false for NaN, which the JSON parser accepts.
    return type(value) in (int, float) and value >= 0  # type: ignore[operator]
