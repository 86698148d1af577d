"""Admission control: queues requests briefly while no upstream has capacity, and sheds the least valuable."""

from collections import Counter
from math import inf

from pepperhook.decision_notes import QueuedNote, RejectionNote, RejectionReason
from pepperhook.domain import Attempt, Request
from pepperhook.pipeline import Stage
from pepperhook.value_queue import ValueQueue

MAX_QUEUE_TIME = 0.2  # as a fraction of the latency objective
QUEUED_PER_MEMBER = 2  # queue limit per member of the subset


class AdmissionQueue(Stage):
    """Queues requests in order of value, then of age."""

    def _set_up(self, now: int) -> None:
        self.queue = ValueQueue()

    def handle(self, now: int, request: Request) -> bool:
        """Send the request at once or queue it; return False if it has to be rejected."""
        # With load reports, queueing while no upstream has capacity gains nothing over a retry by the client.
        reports_load = self.balancer.load_queries.enabled
        is_sent = (reports_load or not self.queue) and self.inner.handle(now, request)
        if is_sent or reports_load:
            return is_sent
        self._enqueue(now, request)
        self.release(now)
        while len(self.queue) > QUEUED_PER_MEMBER * max(1, len(self.balancer.subset.members)):
            self._reject(now, self._least_valuable(), RejectionReason.LEAST_VALUABLE)
        return True

    def _least_valuable(self) -> Request:
        """Return the queued request to reject first.

        Of the requests that a client connection has in flight and queued, the n-th counts with 1/n of its
        value. Otherwise one connection with many requests would leave no place in the queue to others.
        """
        least, least_share = self.queue[-1], inf
        if all(request.client_connection is None for request in self.queue):
            return least
        counts = Counter(request.client_connection for request in self._requests_in_flight())
        for request in self.queue:
            connection = request.client_connection
            counts[connection] += 1
            share = request.value if connection is None else request.value / counts[connection]
            if share <= least_share:
                least, least_share = request, share
        return least

    def _requests_in_flight(self) -> set[Request]:
        members = self.balancer.subset.members
        return {attempt.request for upstream in members for attempt in upstream.in_flight}

    def _enqueue(self, now: int, request: Request) -> None:
        self.balancer.note(request, QueuedNote, self.queue.add(request), len(self.queue))
        expires_at = request.accepted_at + int(MAX_QUEUE_TIME * request.service_class.objective_ns)
        self.balancer.call_at(max(now, expires_at), self._time_out, request)

    def _reject(self, now: int, request: Request, reason: RejectionReason) -> None:
        self.balancer.note(request, RejectionNote, reason)
        self.balancer.completion.finish(now, request)

    def _time_out(self, now: int, request: Request) -> None:
        if request.queued:
            self._reject(now, request, RejectionReason.QUEUE_TIMEOUT)

    def release(self, now: int) -> None:
        """Send requests from the head of the queue while upstreams have capacity."""
        while self.queue and self.inner.handle(now, self.queue[0]):
            self.queue.discard(self.queue[0])

    def attempt_ended(self, now: int, attempt: Attempt) -> None:
        """Pass the outcome on, then use the freed capacity for queued requests."""
        self.outer.attempt_ended(now, attempt)
        self.release(now)
