"""The entry points of every policy, with the bookkeeping that all policies share.

A host owns one policy for each balancer that it runs, and calls it for each event. Every call
takes ``now`` (integer nanoseconds) and returns actions (``pepperhook.actions``), which the host
carries out in order. Subclasses implement their decisions in the ``on_...`` methods.
"""

from __future__ import annotations

from collections.abc import Sequence

from pepperhook.domain import (
    Attempt,
    EndpointUpdate,
    LoadReport,
    Outcome,
    PollFailure,
    Request,
    Upstream,
    UpstreamState,
)
from pepperhook.scheduler import Scheduler, entry_point
from pepperhook.settings import Settings


class Policy(Scheduler):
    """Base class of all policies, whose ``on_...`` methods do nothing unless overridden."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        """Create a policy without endpoints; the host then calls ``wake`` for the first actions."""
        super().__init__(seed, now)
        self.settings = settings

    def may_send(self, now: int, attempt: Attempt) -> bool:
        """Return whether the first byte of an attempt may still be written; changes nothing.

        The host calls this right before it writes, because the state may have changed since the
        attempt was started, for instance while a connection was established. If it returns False,
        nothing is written and the attempt ends as ``NOT_SENT``.
        """
        request = attempt.request
        is_ready = attempt.upstream.state is UpstreamState.READY
        return not request.finished and now < request.deadline and is_ready

    @entry_point
    def endpoints_changed(
        self, now: int, whole: bool, updates: Sequence[EndpointUpdate], age_ns: int = 0
    ) -> None:
        """Process an endpoint list or changes of one; ``whole``: upstreams not named are gone.

        ``age_ns``: how long ago the service may have sent it.
        """
        self.on_endpoints_confirmed(now - age_ns)
        self.on_endpoints_changed(now, whole, updates)

    @entry_point
    def endpoints_corrected(self, now: int, updates: Sequence[EndpointUpdate]) -> None:
        """Process states set by operators; these do not confirm the endpoint list."""
        self.on_endpoints_changed(now, False, updates)

    @entry_point
    def endpoints_confirmed(self, now: int, age_ns: int = 0) -> None:
        """Record that the endpoint list was up to date ``age_ns`` ago, by the service's answer."""
        self.on_endpoints_confirmed(now - age_ns)

    @entry_point
    def endpoint_poll_failed(
        self, now: int, failure: PollFailure = PollFailure.REFUSED, retry_after_ns: int = 0
    ) -> None:
        """Process the failure of a poll of the endpoint list or the end of a watch."""
        self.on_endpoint_poll_failed(now, failure, retry_after_ns)

    @entry_point
    def endpoint_service_moved(self, now: int) -> None:
        """Switch to another service that provides the endpoint list."""
        self.on_endpoint_service_moved(now)

    @entry_point
    def accept(self, now: int, request: Request) -> None:
        """Accept a client's request, which gets exactly one final response."""
        self.on_request(now, request)

    @entry_point
    def response_started(self, now: int, attempt: Attempt) -> None:  # noqa: ARG002 signature of all calls
        """Record that the response has begun to stream to the client."""
        attempt.request.streaming = True

    @entry_point
    def attempt_ended(
        self,
        now: int,
        attempt: Attempt,
        outcome: Outcome,
        duration_ns: int,
        final: bool,
        report: LoadReport | None = None,
    ) -> None:
        """Process the outcome of an attempt, once; ``final``: the client has its final response."""
        if attempt.outcome is not None:
            return
        attempt.outcome = outcome
        attempt.duration_ns = duration_ns
        attempt.request.finished |= final
        attempt.upstream.record_load_report(now, report)
        self.on_attempt_ended(now, attempt)

    @entry_point
    def client_left(self, now: int, request: Request) -> None:
        """Process the disconnection of a client, which needs no response any more."""
        request.finished = True
        self.on_client_left(now, request)

    @entry_point
    def health_check_ended(
        self,
        now: int,
        upstream: Upstream,
        outcome: Outcome,
        duration_ns: int,  # noqa: ARG002 part of the interface and of captures
        report: LoadReport | None = None,
    ) -> None:
        """Process the result of a health check."""
        if upstream.is_known:
            upstream.record_load_report(now, report)
            self.on_health_check_ended(now, upstream, outcome)

    @entry_point
    def peer_message(self, now: int, peer: int, body: bytes) -> None:
        """Ignore a message of another balancer, as no decision depends on one."""

    @entry_point
    def reconfigure(
        self, now: int, settings: Settings, weights: Sequence[tuple[Upstream, float]]
    ) -> None:
        """Apply settings with the same service classes and tenants, and operators' weights."""
        for upstream, weight in weights:
            upstream.operator_weight = weight
        self.on_reconfigured(now, settings)

    def on_endpoints_changed(
        self, now: int, whole: bool, updates: Sequence[EndpointUpdate]
    ) -> None:
        """React to a new or changed endpoint list."""

    def on_endpoints_confirmed(self, at: int) -> None:
        """React to a confirmation that the endpoint list was up to date at ``at``."""

    def on_endpoint_poll_failed(self, now: int, failure: PollFailure, retry_after_ns: int) -> None:
        """Decide when to poll the endpoint list again."""

    def on_endpoint_service_moved(self, now: int) -> None:
        """Decide when to poll the new endpoint service."""

    def on_request(self, now: int, request: Request) -> None:
        """Send, queue or finish a new request."""

    def on_attempt_ended(self, now: int, attempt: Attempt) -> None:
        """React to the outcome of an attempt."""

    def on_client_left(self, now: int, request: Request) -> None:
        """Decide whether to cancel the attempts of a request whose client has disconnected."""

    def on_health_check_ended(self, now: int, upstream: Upstream, outcome: Outcome) -> None:
        """React to the result of a health check."""

    def on_reconfigured(self, now: int, settings: Settings) -> None:
        """Apply other settings."""
