"""Adaptive Retry Budgeting: which failed attempts are retried.

The symbols are those of the paper. B is the probability that a retry is granted, f the moving average of the
fraction of failed attempts. Every T, B is cut while f is high or upstreams reject attempts for lack of
capacity; otherwise it grows while f is low. Each retry reduces B by 1 / lambda (lambda: rate of attempts), so
that a burst cannot spend the budget of a whole period.
"""

from pepperhook.decision_notes import RetryNote, RetryVerdict
from pepperhook.domain import Attempt, Outcome, Request
from pepperhook.pipeline import Stage
from pepperhook.statistics import DecayingMoments, stands_out
from pepperhook.units import SECOND

B0 = 0.2  # initial and largest B
ALPHA, BETA = 0.1, 0.5  # additive increase of B while f is low, multiplicative decrease while it is high
HIGH_F, LOW_F = 0.3, 0.05  # f above which B is cut, and below which it grows
T = SECOND  # period of the adjustment
F_STEP = 0.1  # weight of one attempt in the moving average f
OVERLOAD_REJECTIONS, REJECTION_SPAN = 0.1, 2 * SECOND  # rejected fraction that shows overload; time constant
RATE_SPAN, STEADY_RATE_SPAN = 5 * SECOND, 30 * SECOND  # time constants of the attempt rates
LOCAL_FAILURES = (Outcome.MALFORMED_RESPONSE, Outcome.RESET, Outcome.CONNECT_FAILED)  # no sign of overload


class RetryBudget(Stage):
    """Grants or refuses retries by the outcomes of all attempts."""

    def _set_up(self, now: int) -> None:
        self.B = B0
        self.f = 0.0
        self.f_by_class = [0.0] * len(self.settings.service_classes)
        self.rate = DecayingMoments(RATE_SPAN, now)  # lambda
        self.steady_rate = DecayingMoments(STEADY_RATE_SPAN, now)
        self.rejections = DecayingMoments(REJECTION_SPAN, now)
        self.balancer.call_every(T, self._adjust)

    def _adjust(self, now: int) -> None:
        if self.f > HIGH_F or self._is_overloaded(now):
            self.B *= 1 - BETA
        else:
            self.B = min(B0, self.B + ALPHA * (self.f < LOW_F))

    def attempt_ended(self, now: int, attempt: Attempt) -> None:
        """Record the outcome, and retry the request if the budget grants it."""
        if attempt.outcome not in (Outcome.NOT_SENT, Outcome.CANCELLED):
            self._record(now, attempt)
            if self._grants(now, attempt) and self.handle(now, attempt.request):
                self.B = max(0.0, self.B - 1 / max(1.0, self.rate.rate(now)))
                return
        elif self._replace_unsent(now, attempt):
            return
        self.outer.attempt_ended(now, attempt)

    def _grants(self, now: int, attempt: Attempt) -> bool:
        request = attempt.request
        needs_no_retry = attempt.outcome is Outcome.SERVED or request.finished or request.open_attempts
        if needs_no_retry or request in self.balancer.load_queries.running:
            return False
        # A local failure is no sign of overload: the budget limits its retry only when B is 0.
        probability = 1 - self.f if self._is_local_failure(attempt) else min(self.B, 1 - self.f)
        verdict, drawn = self._refusal_reason(now, request), None
        if verdict is None:
            drawn = self.balancer.random()
            verdict = RetryVerdict.GRANTED if drawn < probability else RetryVerdict.CHANCE
        self.balancer.note(request, RetryNote, verdict, drawn, probability, self.B, self.f)
        return verdict is RetryVerdict.GRANTED

    def _refusal_reason(self, now: int, request: Request) -> RetryVerdict | None:
        if self.B <= 0:
            return RetryVerdict.BUDGET
        if self._is_overloaded(now):
            return RetryVerdict.OVERLOAD
        if not self.balancer.guard.may_retry(now, request, None, None):
            return RetryVerdict.EFFECT
        mean_time = self.balancer.service_times.mean_service_time(now, request.service_class)
        return RetryVerdict.OBJECTIVE if now + mean_time > request.objective_at else None

    def _is_overloaded(self, now: int) -> bool:
        return self.rejections.mean(now, 0, 5) > OVERLOAD_REJECTIONS

    def _is_local_failure(self, attempt: Attempt) -> bool:
        # Only one upstream or the connection to it failed, which is no sign of overload.
        return attempt.upstream.is_outlier or attempt.outcome in LOCAL_FAILURES

    def _record(self, now: int, attempt: Attempt) -> None:
        number = attempt.request.service_class.number
        failed = attempt.outcome is not Outcome.SERVED
        is_local = self._is_local_failure(attempt)
        self.rejections.add(now, attempt.outcome is Outcome.OVERLOADED and not is_local)
        counts_for_class = failed and attempt.outcome is not Outcome.MALFORMED_RESPONSE
        self.f_by_class[number] += F_STEP * (counts_for_class - self.f_by_class[number])
        # A service class that fails alone must not stop the retries of the others.
        if not is_local and not stands_out(self.f_by_class, number, HIGH_F, LOW_F):
            self.f += F_STEP * (failed - self.f)

    def _replace_unsent(self, now: int, attempt: Attempt) -> bool:
        # If the upstream is not ready any more, another attempt replaces the unsent one, outside the budget.
        if attempt.outcome is not Outcome.NOT_SENT or attempt.request.finished or attempt.upstream.is_ready:
            return False
        return self.balancer.admission.handle(now, attempt.request)
