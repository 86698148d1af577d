"""Rule 1: each request gets exactly one final response, which a timer enforces by its deadline."""

from pepperhook.actions import CancelAttempt, FailRequest, RejectRequest
from pepperhook.decision_notes import RejectionNote, RejectionReason
from pepperhook.domain import Attempt, Effect, RepeatGroup, Request
from pepperhook.pipeline import Stage
from pepperhook.statistics import DecayingMoments
from pepperhook.units import SECOND
from pepperhook.unserved_requests import UnservedRequests

UNSERVED_KEPT = 16  # unserved requests per service class that are remembered to recognise clients' retries
MARGIN_TICKS = 2  # clock ticks of the host by which a final response precedes its due time
CLIENT_RETRY_SPAN = 60 * SECOND  # time constant of the statistics of clients' retries
# Decayed number of retries up to which the client's wait before a retry is assumed, and the assumed
# wait as a fraction of the objective.
FEW_CLIENT_RETRIES, ASSUMED_CLIENT_WAIT = 0.1, 0.15
MAX_CLIENT_WAIT = 0.6  # as a fraction of the objective: a longer wait would leave no time to serve


class Completion(Stage):
    """Gives all final responses that do not come from an upstream."""

    def _set_up(self, now: int) -> None:
        self.unserved = UnservedRequests(len(self.settings.service_classes), UNSERVED_KEPT)
        self.given_up = DecayingMoments(CLIENT_RETRY_SPAN, now)  # count of requests that ended unserved
        self.client_waits = DecayingMoments(CLIENT_RETRY_SPAN, now)  # from that end to the client's retry
        self.margin = 0

    def configure(self) -> None:
        """Derive the margin from the tick of the host's clock in the settings."""
        self.margin = MARGIN_TICKS * self.settings.tick_ns

    def handle(self, now: int, request: Request) -> bool:
        """Accept a request, and schedule a final response in case no upstream serves it in time."""
        request.accepted_at = now
        request.objective_at = min(now + request.service_class.objective_ns, request.deadline)
        self._inherit_objective(now, request)
        ends_at_objective = self._ends_at_objective(request)
        if self.settings.objective_tail and ends_at_objective:
            request.objective_at = min(request.objective_at, self._early_objective(now, request))
        due = (request.objective_at if ends_at_objective else request.deadline) - self.margin
        self.balancer.call_at(max(now, due), self._give_up, request)
        if due <= now or not self.inner.handle(now, request):
            self.finish(now, request)
        return True

    def _inherit_objective(self, now: int, request: Request) -> None:
        # The client waits from its first request on, so work after the objective of that request is useless.
        is_marked = request.is_retry and self.settings.clients_mark_retries
        original = self.unserved.find_original(now, request, self.margin, is_marked)
        if original is not None:
            request.accepted_at = original.accepted_at
            objective = request.service_class.objective_ns
            request.objective_at = min(original.accepted_at + objective, request.objective_at)
            self.client_waits.add(now, now - original.ended_at)

    def _early_objective(self, now: int, request: Request) -> int:
        # A client that is rejected at the objective retries after it, when a response has no value. So a
        # first request ends earlier by the observed wait of clients before a retry, or by the assumed one
        # while few are observed. It ends at the objective if clients wait too long or seldom retry: fewer
        # than one in three, where the 0.5 keeps the assumption until a request has ended unserved. A retry
        # ends one mean service time before the objective, because a later attempt is served too late.
        unserved = self.given_up.decay(now).weight
        retries = self.client_waits.decay(now).weight
        objective = request.service_class.objective_ns
        is_recognised_retry = request.accepted_at < now  # _inherit_objective has set it back
        wait = self.client_waits.upper(2) if retries > FEW_CLIENT_RETRIES else ASSUMED_CLIENT_WAIT * objective
        if is_recognised_retry or 3 * retries < unserved - 0.5 or wait > MAX_CLIENT_WAIT * objective:
            wait = is_recognised_retry * self.balancer.service_times.mean_service_time(
                now, request.service_class
            )
        return request.accepted_at + objective - int(wait)

    def _ends_at_objective(self, request: Request) -> bool:
        # Whether the request ends at its objective and not at its deadline, as a later response has no value.
        return not request.service_class.late_priority_weight and self.settings.may_cancel

    def _give_up(self, now: int, request: Request) -> None:
        # Ends a request at its objective or deadline, so that it does not occupy its upstream and its
        # client for nothing.
        if request.finished or request.streaming:
            return
        if not request.open_attempts or (self.settings.may_cancel and self._may_client_retry(request)):
            self.balancer.note(request, RejectionNote, RejectionReason.TIME_UP)
            self._cancel_attempts(request)
            self.finish(now, request)
        elif now < request.deadline - self.margin:
            self.balancer.call_at(request.deadline - self.margin, self._give_up, request)

    def client_left(self, request: Request) -> None:
        """Remove the request of a disconnected client from the queue.

        Its attempts are cancelled if the settings allow that and a late response has no value.
        """
        self.balancer.admission.queue.discard(request)
        if self._ends_at_objective(request):
            self._cancel_attempts(request)

    def _cancel_attempts(self, request: Request) -> None:
        self.balancer.actions.extend(CancelAttempt(a) for a in request.attempts if a.outcome is None)

    def _may_client_retry(self, request: Request) -> bool:
        # The client's retry may reach any upstream, so all of them have to recognise the key.
        effect, group = request.service_class.effect, request.service_class.repeat_group
        is_keyed_everywhere = effect is Effect.KEYED and group is RepeatGroup.ALL
        return effect is Effect.SAFE or is_keyed_everywhere or not request.possibly_executed()

    def finish(self, now: int, request: Request) -> None:
        """Reject or fail the request unless it has its final response already."""
        if request.finished:
            return
        request.finished = True
        self.balancer.admission.queue.discard(request)  # it would block the requests queued after it
        self.unserved.add(now, request)
        self.given_up.add(now)
        max_retry_after = self.settings.max_retry_after_ns if self.settings.may_advise_retry_after else 0
        # Random, so that clients that were rejected together do not retry together.
        retry_after = int((0.5 + self.balancer.random()) * request.service_class.objective_ns)
        if self._may_client_retry(request):
            self.balancer.actions.append(RejectRequest(request, min(max_retry_after, retry_after)))
        else:
            self.balancer.actions.append(FailRequest(request))

    def attempt_ended(self, now: int, attempt: Attempt) -> None:
        """Finish the request unless it has an open attempt, is queued or waits for load queries."""
        request = attempt.request
        if not (request.open_attempts or request.queued or request in self.balancer.load_queries.running):
            self.finish(now, request)
