"""Baseline policies to compare with, built on pepperhook/policy_interface.py.

They are common alternatives to the balancer's own policy. They keep rules 1 to 3, so that a
comparison shows the effect of decisions and not of broken rules: one final response by the
deadline, no attempt that may cause a second effect, no attempt at an upstream that is draining or
gone. They don't know rule 4, slow start. Each of them chooses among all ready upstreams:

    random, round-robin, least-out       one attempt
    two-choices                          one attempt, at the less busy of two (Mitzenmacher 2001)
    retries                              two choices; n immediate retries
    backoff                              n retries, waits doubled from base_ms, full jitter
    budget                               retries up to a fifth of the requests (token bucket,
                                         as in common proxies)
    breaker                              n retries; circuit breaker after five failures in a row
"""

from pepperhook.actions import FailRequest, RejectRequest, StartAttempt, WatchEndpoints
from pepperhook.domain import Effect, Outcome, UpstreamState
from pepperhook.policy_interface import Policy

NS_PER_MS, NS_PER_S = 10**6, 10**9


WATCH_WAIT_NS = 2 * 10**9  # how long an endpoint list poll may wait for a change, in ns
INITIAL_TOKENS = 10.0  # of the retry budget


class Baseline(Policy):
    """Base class, and itself the ``two-choices`` policy with up to ``retries`` immediate retries.

    Subclasses override ``choose``, ``retry_wait``, ``is_available`` and ``note_outcome``.
    """

    def __init__(self, settings, seed, now, retries=0):
        super().__init__(settings, seed, now)
        self.max_retries, self.upstreams, self.selections = int(retries), [], 0
        self.is_polling = False
        self.call_at(now, self.watch_endpoints, None)

    # Choice of the upstream.

    def usable(self, now, request):
        """Return the upstreams for the next attempt, preferring those not tried yet."""
        tried = {attempt.upstream for attempt in request.attempts}
        ready = [
            upstream
            for upstream in self.upstreams
            if upstream.state == UpstreamState.READY and self.is_available(now, upstream)
        ]
        if (
            request.service_class.effect == Effect.KEYED
            and request.service_class.repeat_group != "all"
        ):
            maybe_executed = [
                attempt.upstream for attempt in request.attempts if attempt.may_have_executed
            ]
            ready = [
                upstream
                for upstream in ready
                if all(
                    getattr(attempt, request.service_class.repeat_group)
                    == getattr(upstream, request.service_class.repeat_group)
                    for attempt in maybe_executed
                )
            ]
        return [upstream for upstream in ready if upstream not in tried] or ready

    def is_available(self, now, upstream):
        return True

    def choose(self, usable):
        """Return one of the usable upstreams."""
        pair = [usable[int(self.random() * len(usable))] for _ in range(2)]
        return min(pair, key=lambda upstream: len(upstream.in_flight))

    # Retries.

    def retry_wait(self, now, request):
        """Return the nanoseconds to wait before a retry; None for no retry."""
        return 0 if len(request.attempts) <= self.max_retries else None

    def may_retry(self, now, request):
        """Return whether the effect of the request allows another attempt."""
        maybe_executed = [attempt for attempt in request.attempts if attempt.may_have_executed]
        effect = request.service_class.effect
        return (
            not maybe_executed
            or effect == Effect.SAFE
            or (
                effect == Effect.KEYED
                and now <= maybe_executed[0].sent_at + request.service_class.key_window_ns
            )
        )

    def send(self, now, request):
        """Start an attempt, or end the request if none is possible."""
        if request.finished:
            return None
        usable = self.usable(now, request)
        if not usable or now >= request.deadline or not self.may_retry(now, request):
            return self.end(now, request)
        attempt = request.start_attempt(self.choose(usable), now)
        self.actions.append(StartAttempt(attempt, request.deadline - now))

    def end(self, now, request):
        """Reject the request if nothing can have been executed; fail it otherwise."""
        if not request.finished:
            request.finished = True
            is_without_effect = request.service_class.effect == Effect.SAFE or not any(
                attempt.may_have_executed for attempt in request.attempts
            )
            is_rejected = is_without_effect and not request.open_attempts
            self.actions.append(RejectRequest(request, 0) if is_rejected else FailRequest(request))

    def time_out(self, now, request):
        """End the request shortly before its deadline if no attempt is open."""
        if not request.open_attempts:
            self.end(now, request)

    def watch_endpoints(self, now, _):
        """Start a poll of the endpoint list if none is running."""
        if not self.is_polling:
            self.is_polling = True
            self.actions.append(WatchEndpoints(WATCH_WAIT_NS))

    # Events.

    def on_endpoints_changed(self, now, whole, updates):
        """Update the endpoint list; ``whole``: ``updates`` replaces it."""
        for upstream in [upstream for upstream in self.upstreams if whole]:
            upstream.state = UpstreamState.GONE
        for upstream, state, started_at in updates:
            upstream.state = state
            upstream.started_at = started_at
            if upstream not in self.upstreams:
                self.upstreams.append(upstream)
        present = (upstream for upstream in self.upstreams if upstream.state != UpstreamState.GONE)
        self.upstreams = sorted(present, key=lambda upstream: upstream.address)

    def on_endpoint_service_moved(self, now):
        self.is_polling = False
        self.watch_endpoints(now, None)

    def on_endpoint_poll_failed(self, now, failure, retry_after_ns):
        self.is_polling = False
        self.call_at(now + int((0.2 + self.random()) * NS_PER_S), self.watch_endpoints, None)

    def on_request(self, now, request):
        request.accepted_at = now
        request.objective_at = min(now + request.service_class.objective_ns, request.deadline)
        self.call_at(max(now, request.deadline - 2 * NS_PER_MS), self.time_out, request)
        self.send(now, request)

    def on_attempt_ended(self, now, attempt):
        request = attempt.request
        attempt.close()
        self.note_outcome(now, attempt)
        if request.finished or request.open_attempts:
            return
        wait = self.retry_wait(now, request) if attempt.outcome != Outcome.SERVED else None
        if wait is None or now + wait >= request.deadline:
            self.end(now, request)
        elif wait:
            self.call_at(now + wait, self.send, request)
        else:
            self.send(now, request)

    def note_outcome(self, now, attempt):
        """Update the state of an upstream after an attempt; a hook that does nothing here."""


class Random(Baseline):
    """A ready upstream at random."""

    def choose(self, usable):
        return usable[int(self.random() * len(usable))]


class RoundRobin(Baseline):
    """The ready upstreams in turn."""

    def choose(self, usable):
        self.selections += 1
        return usable[self.selections % len(usable)]


class LeastConnections(Baseline):
    """One of the upstreams with the fewest attempts in flight (least connections)."""

    def choose(self, usable):
        least = min(len(upstream.in_flight) for upstream in usable)
        usable = [upstream for upstream in usable if len(upstream.in_flight) == least]
        return usable[int(self.random() * len(usable))]


class Retries(Baseline):
    """Two choices and immediate retries."""

    def __init__(self, settings, seed, now, retries=3):
        super().__init__(settings, seed, now, retries)


class Backoff(Retries):
    """Retries after a wait drawn evenly from 0 to base_ms * 2^(k-1): full jitter (Brooker 2015)."""

    def __init__(self, settings, seed, now, retries=3, base_ms=20.0):
        super().__init__(settings, seed, now, retries)
        self.base_ns = int(base_ms * NS_PER_MS)

    def retry_wait(self, now, request):
        attempts_made = len(request.attempts)
        return (
            None
            if attempts_made > self.max_retries
            else int(self.random() * self.base_ns * 2 ** (attempts_made - 1)) + 1
        )


class Budgeted(Retries):
    """Retry budget: each request adds ``share`` of a token to a bucket, each retry takes one.

    ``most`` is the size of the bucket.
    """

    def __init__(self, settings, seed, now, retries=3, share=0.2, most=100.0):
        super().__init__(settings, seed, now, retries)
        self.share, self.max_tokens, self.tokens = share, most, INITIAL_TOKENS

    def retry_wait(self, now, request):
        if len(request.attempts) > self.max_retries or self.tokens < 1:
            return None
        self.tokens -= 1
        return 0

    def send(self, now, request):
        if not request.attempts:
            self.tokens = min(self.max_tokens, self.tokens + self.share)
        super().send(now, request)


class Breaker(Retries):
    """Circuit breaker: after ``failures`` in a row it is open for ``rest_ms``, without attempts.

    Then it is half-open: one attempt at a time until one succeeds.
    """

    def __init__(self, settings, seed, now, retries=3, failures=5, rest_ms=1000.0):
        super().__init__(settings, seed, now, retries)
        self.failures, self.open_ns, self.failures_in_row, self.open_until = (
            failures,
            int(rest_ms * NS_PER_MS),
            {},
            {},
        )

    def is_available(self, now, upstream):
        until = self.open_until.get(upstream)
        return until is None or now >= until and not upstream.in_flight

    def note_outcome(self, now, attempt):
        upstream = attempt.upstream
        if attempt.outcome == Outcome.SERVED:
            self.failures_in_row.pop(upstream, None)
            self.open_until.pop(upstream, None)
        else:
            self.failures_in_row[upstream] = self.failures_in_row.get(upstream, 0) + 1
            if self.failures_in_row[upstream] >= self.failures:
                self.open_until[upstream] = now + self.open_ns

    def usable(self, now, request):
        # If all breakers are open, ignore them, as proxies do.
        return super().usable(now, request) or [
            upstream for upstream in self.upstreams if upstream.state == UpstreamState.READY
        ]


MODULES = {
    "random": Random,
    "round-robin": RoundRobin,
    "least-out": LeastConnections,
    "two-choices": Baseline,
    "retries": Retries,
    "backoff": Backoff,
    "budget": Budgeted,
    "breaker": Breaker,
}
