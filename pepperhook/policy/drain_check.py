"""Finds out whether draining upstreams pass health checks, which then do not show that one is ready."""

from collections.abc import Sequence

from pepperhook.actions import OperatorNote
from pepperhook.domain import EndpointUpdate, Outcome, Upstream, UpstreamState
from pepperhook.pipeline import Component
from pepperhook.units import SECOND

CHECK_AFTER = SECOND  # time for an upstream to notice its own drain
MIN_INTERVAL = 10 * SECOND  # between two checks of draining upstreams by one balancer


class DrainCheck(Component):
    """Sends a health check to some of the members that begin to drain."""

    def _set_up(self, now: int) -> None:
        self.drains_pass_checks = False  # whether a draining upstream has passed a health check
        self.next_check_at = now
        self.checked: Upstream | None = None

    def endpoints_change(self, now: int, updates: Sequence[EndpointUpdate]) -> None:
        """Schedule a check of one member that begins to drain; called before the list is applied."""
        if not self.settings.may_health_check or self.settings.subscribes_to_endpoints:
            return
        for upstream, state, _ in updates:
            begins_to_drain = upstream.is_ready and state is UpstreamState.DRAINING
            if begins_to_drain and now >= self.next_check_at and upstream in self.balancer.subset.members:
                self.next_check_at = now + MIN_INTERVAL
                self.balancer.call_at(now + CHECK_AFTER, self._check, upstream)

    def _check(self, now: int, upstream: Upstream) -> None:  # noqa: ARG002 signature of all timers
        if upstream.state is UpstreamState.DRAINING and not upstream.health_check_running:
            self.checked = upstream
            self.balancer.outliers.check(upstream)

    def check_ended(self, upstream: Upstream, outcome: Outcome) -> None:
        """Process the result of a health check of any upstream."""
        if upstream is not self.checked:
            return
        self.checked = None
        is_draining = upstream.state is UpstreamState.DRAINING
        if outcome is Outcome.SERVED and is_draining and not self.drains_pass_checks:
            self.drains_pass_checks = True
            name = upstream.address.decode(errors="replace")
            self.balancer.actions.append(OperatorNote(f"{name} drains and passes health checks"))
