"""Rule 1: each request gets exactly one final response, and a timer has it given in time."""

from pepperhook.actions import CancelAttempt, FailRequest, RejectRequest
from pepperhook.decision_notes import RejectionNote, RejectionReason
from pepperhook.domain import Attempt, Effect, RepeatGroup, Request
from pepperhook.pipeline import Stage
from pepperhook.statistics import DecayingMoments
from pepperhook.units import SECOND
from pepperhook.unserved_requests import UnservedRequests

UNSERVED_KEPT = 16  # requests of a class that ended unserved, by which their clients' retries are known
MARGIN_TICKS = 2  # of the host's clock, by which a final response comes before its time
CLIENT_RETURN_SPAN = 60 * SECOND
FEW_RETURNS, ASSUMED_CLIENT_WAIT = 0.1, 0.15  # below so many a wait is assumed, in objectives
MAX_CLIENT_WAIT = 0.6  # of the objective: a longer wait would leave no time to serve


class Completion(Stage):
    """The one place that gives final responses of this balancer's own."""

    def _set_up(self, now: int) -> None:
        self.unserved = UnservedRequests(len(self.settings.service_classes), UNSERVED_KEPT)
        self.given_up = DecayingMoments(CLIENT_RETURN_SPAN, now)
        self.client_waits = DecayingMoments(CLIENT_RETURN_SPAN, now)
        self.margin = 0

    def configure(self) -> None:
        """Take over what the settings say of the host's clock."""
        self.margin = MARGIN_TICKS * self.settings.tick_ns

    def handle(self, now: int, request: Request) -> bool:
        """Take a request; from here on it gets its final response."""
        request.accepted_at = now
        request.objective_at = min(now + request.service_class.objective_ns, request.deadline)
        self._inherit_first_attempt(now, request)
        is_worthless_late = self._is_worthless_late(request)
        if self.settings.objective_tail and is_worthless_late:
            request.objective_at = min(request.objective_at, self._early_objective(now, request))
        due = (request.objective_at if is_worthless_late else request.deadline) - self.margin
        self.balancer.call_at(max(now, due), self._give_up, request)
        if due <= now or not self.inner.handle(now, request):
            self.finish(now, request)
        return True

    def _inherit_first_attempt(self, now: int, request: Request) -> None:
        # Against work past the objective of a client's first request, which is what the client waits for.
        is_marked = request.is_retry and self.settings.clients_mark_retries
        first = self.unserved.first_of(now, request, self.margin, is_marked)
        if first is not None:
            request.accepted_at = first.accepted_at
            objective = request.service_class.objective_ns
            request.objective_at = min(first.accepted_at + objective, request.objective_at)
            self.client_waits.add(now, now - first.ended_at)

    def _early_objective(self, now: int, request: Request) -> int:
        # A client that is given up at its objective would retry for a response behind it: worthless.
        given_up = self.given_up.decay(now).weight
        returned = self.client_waits.decay(now).weight
        objective = request.service_class.objective_ns
        is_retry = request.accepted_at < now
        wait = self.client_waits.upper(2) if returned > FEW_RETURNS else ASSUMED_CLIENT_WAIT * objective
        if is_retry or 3 * returned < given_up - 0.5 or wait > MAX_CLIENT_WAIT * objective:
            wait = is_retry * self.balancer.service_times.mean_service_time(now, request.service_class)
        return request.accepted_at + objective - int(wait)

    def _is_worthless_late(self, request: Request) -> bool:
        # Given up at its objective in place of its deadline.
        return not request.service_class.late_priority_weight and self.settings.may_cancel

    def _give_up(self, now: int, request: Request) -> None:
        # At the end of its time, so that it holds no upstream and no client for nothing.
        if request.finished or request.streaming:
            return
        if not request.open_attempts or (self.settings.may_cancel and self._is_harmless_to_retry(request)):
            self.balancer.note(request, RejectionNote, RejectionReason.TIME_UP)
            self._cancel_attempts(request)
            self.finish(now, request)
        elif now < request.deadline - self.margin:
            self.balancer.call_at(request.deadline - self.margin, self._give_up, request)

    def client_left(self, request: Request) -> None:
        """Hold nothing more for a request that nobody waits for."""
        self.balancer.admission.queue.discard(request)
        if self._is_worthless_late(request):
            self._cancel_attempts(request)

    def _cancel_attempts(self, request: Request) -> None:
        self.balancer.actions.extend(CancelAttempt(a) for a in request.attempts if a.outcome is None)

    def _is_harmless_to_retry(self, request: Request) -> bool:
        effect, group = request.service_class.effect, request.service_class.repeat_group
        is_keyed_everywhere = effect is Effect.KEYED and group is RepeatGroup.ALL
        return effect is Effect.SAFE or is_keyed_everywhere or not request.possibly_executed()

    def finish(self, now: int, request: Request) -> None:
        """Give the final response without one of an upstream, once."""
        if request.finished:
            return
        request.finished = True
        self.balancer.admission.queue.discard(request)  # or it would keep all behind it waiting
        self.unserved.add(now, request)
        self.given_up.add(now)
        longest = self.settings.max_retry_after_ns if self.settings.may_advise_retry_after else 0
        # Spread, against all that were rejected coming back together.
        retry_after = int((0.5 + self.balancer.random()) * request.service_class.objective_ns)
        if self._is_harmless_to_retry(request):
            self.balancer.actions.append(RejectRequest(request, min(longest, retry_after)))
        else:
            self.balancer.actions.append(FailRequest(request))

    def attempt_ended(self, now: int, attempt: Attempt) -> None:
        """Finish a request for which nothing is under way any more."""
        request = attempt.request
        if not (request.open_attempts or request.queued or request in self.balancer.load_queries.running):
            self.finish(now, request)
