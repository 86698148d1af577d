"""A host of a balancer's policy with a virtual clock, for tests of the endpoint list."""

from pepperhook.balancer import Balancer
from pepperhook.domain import EndpointUpdate, PollFailure, Request, Upstream, UpstreamState
from tests.policy.simulation import make_settings

MILLISECOND, SECOND = 10**6, 10**9
START = 9 * SECOND


class Host:
    """A host of a balancer with three upstreams, with a virtual clock."""

    def __init__(self, seed=3, **settings):
        self.now = START
        values = {"polls_endpoints": True, "endpoint_poll_within_ns": 10 * SECOND, **settings}
        self.balancer = Balancer(make_settings(**values), seed, START)
        self.upstreams = [Upstream(b"%d" % number) for number in range(3)]
        self.actions = []
        self.requests = 0
        self.call(self.balancer.wake)
        ready = [EndpointUpdate(upstream, UpstreamState.READY, 0) for upstream in self.upstreams]
        self.call(self.balancer.endpoints_changed, True, ready)

    def call(self, entry_point, *arguments):
        """Call an entry point and return its actions."""
        actions = entry_point(self.now, *arguments)
        self.actions += actions
        return actions

    def advance(self, until):
        """Advance the clock to ``until``, waking the balancer every 10 ms; return the actions."""
        actions = []
        while self.now < until:
            self.now = min(until, self.now + 10 * MILLISECOND)
            actions += self.call(self.balancer.wake)
        return actions

    def open_watch(self):
        """Advance until the balancer opens a watch; return the elapsed time."""
        began_at = self.now
        while not self.balancer.endpoints.is_watching:
            self.advance(self.now + 10 * MILLISECOND)
        return self.now - began_at

    def open_confirmed_watch(self):
        """Open a watch, and confirm the list by an answer to its first poll."""
        self.open_watch()
        self.call(self.balancer.endpoints_confirmed)

    def fail_poll(self, failure=PollFailure.REFUSED, retry_after_ns=0):
        self.call(self.balancer.endpoint_poll_failed, failure, retry_after_ns)

    def may_send_to(self, upstream):
        """Return whether the last check allows a new request to be written to the upstream."""
        service_class = self.balancer.settings.service_classes[0]
        request = Request(self.requests, service_class, 0, None, self.now + SECOND)
        self.requests += 1
        return self.balancer.guard.may_write(self.now, request, upstream, None)

    def may_send_to_any(self):
        return any(self.may_send_to(upstream) for upstream in self.upstreams)
