"""The lifecycle of a request, until its final response and the end of its last attempt."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from pepperhook.actions import CancelAttempt, FailRequest, RejectRequest, StartAttempt
from pepperhook.domain import Attempt, Outcome, Request
from pepperhook.server import extensions as extension_points
from pepperhook.server.lifecycle_events import (
    AttemptEnded,
    ClientLeft,
    Inbox,
    LifecycleEvent,
    Overdue,
    ShutdownEnds,
)
from pepperhook.server.messages import FinalResponse, RequestMessage, ResponseKind

if TYPE_CHECKING:
    from pepperhook.server.metrics import Counters
    from pepperhook.server.runtime import Runtime
    from pepperhook.server.structured_logging import Log

DEADLINE_GRACE_S = 0.015  # how long after the deadline to wait for the policy's final response
NS_PER_S = 1e9

ResponseFuture = asyncio.Future[FinalResponse]


class RequestLifecycles:
    """The requests in flight; each is handled by one task, which ends with it."""

    def __init__(
        self,
        runtime: Runtime,
        log: Log,
        counters: Counters,
        extensions: extension_points.Extensions = extension_points.NO_EXTENSIONS,
    ) -> None:
        """Start without requests in flight."""
        self.runtime = runtime
        self.log = log
        self.counters = counters
        self.extensions = extensions
        self.tasks: dict[asyncio.Task[None], RequestLifecycle] = {}
        # Whether attempts are cancelled when their client leaves. Otherwise they run to their end.
        self.cancels_abandoned = False

    def begin(self, request: Request, message: RequestMessage) -> ResponseFuture:
        """Start the lifecycle of a request; return the future of its final response.

        Cancelling the future reports that the client has left.
        """
        loop = self.runtime.loop
        response: ResponseFuture = loop.create_future()
        lifecycle = RequestLifecycle(self, request, message, response)
        task = loop.create_task(lifecycle.run())
        self.tasks[task] = lifecycle
        task.add_done_callback(self.tasks.pop)
        return response

    def abandon(self, request: Request) -> None:
        """Report that nobody waits any more for a request that an extension kept in flight."""
        inbox = self.runtime.inboxes.get(request)
        if inbox is not None:
            inbox.put_nowait(ClientLeft())

    def fail_all(self) -> None:
        """Give all requests in flight their final response now, as a shutdown has to end."""
        for lifecycle in list(self.tasks.values()):
            lifecycle.fail()

    async def close(self) -> None:
        """Cancel the requests that are still in flight at the end of a graceful shutdown."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class RequestLifecycle:
    """One request in flight; handles its events in the order of their arrival."""

    __slots__ = (
        "_cancels_abandoned",
        "_counters",
        "_extensions",
        "_inbox",
        "_log",
        "_message",
        "_open_attempts",
        "_request",
        "_response",
        "_runtime",
    )

    def __init__(
        self,
        owner: RequestLifecycles,
        request: Request,
        message: RequestMessage,
        response: ResponseFuture,
    ) -> None:
        """Prepare the lifecycle; ``run`` executes it."""
        self._runtime = owner.runtime
        self._log = owner.log
        self._counters = owner.counters
        self._extensions = owner.extensions
        self._cancels_abandoned = owner.cancels_abandoned
        self._request = request
        self._message = message
        self._response = response
        self._inbox: Inbox = asyncio.Queue()
        self._open_attempts: set[Attempt] = set()

    async def run(self) -> None:
        """Handle events until the final response is set and no attempt is open."""
        self._runtime.inboxes[self._request] = self._inbox
        self._response.add_done_callback(self._response_done)
        try:
            if not self._response.done() and not (
                self._extensions.arrived and await self._ended_before_policy()
            ):
                self._runtime.call_policy(self._runtime.policy.accept, self._request)
            # Events are also handled after the response: the policy needs the end of each attempt.
            while not self._response.done() or self._open_attempts or not self._inbox.empty():
                self._handle(await self._next_event())
        finally:
            self._finish()

    def _response_done(self, response: ResponseFuture) -> None:
        if response.cancelled():
            self._inbox.put_nowait(ClientLeft())

    def fail(self) -> None:
        """Give the final response now: failed, as an attempt may have been executed."""
        self._respond(FinalResponse(ResponseKind.FAILED))
        self._inbox.put_nowait(ShutdownEnds())

    async def _next_event(self) -> LifecycleEvent:
        if self._open_attempts or not self._inbox.empty():
            return await self._inbox.get()  # an attempt ends at its own timeout at the latest
        deadline_s = self._runtime.loop_time(self._request.deadline)
        try:
            async with asyncio.timeout_at(deadline_s + DEADLINE_GRACE_S):
                return await self._inbox.get()
        except TimeoutError:
            return Overdue()

    def _handle(self, event: LifecycleEvent) -> None:
        match event:
            case StartAttempt():
                self._start_attempt(event)
            case AttemptEnded():
                self._attempt_ended(event)
            case CancelAttempt():
                self._runtime.upstreams.cancel(event.attempt)
            case RejectRequest():
                self._respond(
                    FinalResponse(ResponseKind.REJECTED, retry_after_ns=event.retry_after_ns)
                )
            case FailRequest():
                self._respond(FinalResponse(ResponseKind.FAILED))
            case ClientLeft():
                self._client_left()
            case Overdue():
                self._overdue()
            case ShutdownEnds():
                self._cancel_attempts()

    def _start_attempt(self, action: StartAttempt) -> None:
        attempt = action.attempt
        self._open_attempts.add(attempt)
        if self._response.done():
            self._inbox.put_nowait(AttemptEnded(attempt, Outcome.NOT_SENT, None))
        else:
            self._runtime.upstreams.send(attempt, action.timeout_ns, self._message, self._inbox)

    def _attempt_ended(self, event: AttemptEnded) -> None:
        attempt = event.attempt
        outcome = event.outcome
        response = event.response
        self._open_attempts.discard(attempt)
        for hook in self._extensions.ended:
            hook(self._runtime.now(), attempt, outcome, response)
        if outcome is Outcome.SERVED and response is not None and not self._response.done():
            self._respond(FinalResponse(ResponseKind.SERVED, response.body, response.content_type))
        self._runtime.call_policy(
            self._runtime.policy.attempt_ended,
            attempt,
            outcome,
            self._runtime.now() - attempt.sent_at,
            self._response.done(),
        )

    def _client_left(self) -> None:
        if self._kept_by_extension():
            self._counters.add("clients left" if self._response.cancelled() else "left again")
            self._response = self._runtime.loop.create_future()
            return
        self._response.cancel()
        if not self._request.finished:
            self._runtime.call_policy(self._runtime.policy.client_left, self._request)
        for attempt in self._open_attempts:
            # An attempt that is still connecting must not be sent for a client that has left, even
            # if attempts are not cancelled.
            self._runtime.upstreams.cancel(attempt, if_unwritten=not self._cancels_abandoned)

    def _kept_by_extension(self) -> bool:
        """Whether an extension keeps the request in flight, since others wait for its result.

        A finished request is not kept: nothing would end its lifecycle before its deadline.
        """
        if self._request.finished:
            return False
        # A list, not a generator: every extension must be notified, even after one returned True.
        return any([hook(self._runtime.now(), self._request) for hook in self._extensions.leaving])

    def _overdue(self) -> None:
        # A fault of the policy, or a late event loop, must not leave a request without a response.
        self._log.warning("operation_overdue", id=self._request.id)
        self._respond(FinalResponse(ResponseKind.FAILED))

    def _respond(self, response: FinalResponse) -> None:
        if self._response.done():
            return
        if not self._client_can_read(response):
            self._counters.add("h2 types not utf8")
            response = FinalResponse(ResponseKind.FAILED)
        self._counters.add(f"responses {response.kind}")
        for hook in self._extensions.answered:
            hook(self._runtime.now(), self._request, response)
        self._response.set_result(response)

    def _client_can_read(self, response: FinalResponse) -> bool:
        content_type = response.content_type
        if content_type is None or not self._message.client_reads_utf8_only:
            return True
        return content_type.is_utf8

    def _finish(self) -> None:
        if not self._request.finished:
            self._runtime.call_policy(self._runtime.policy.client_left, self._request)
        del self._runtime.inboxes[self._request]
        self._cancel_attempts()
        if self._response.cancelled():
            self._counters.add("clients left")
        self._respond(FinalResponse(ResponseKind.FAILED))
        for hook in self._extensions.over:
            hook(self._runtime.now(), self._request)

    def _cancel_attempts(self) -> None:
        for attempt in self._open_attempts:
            self._runtime.upstreams.cancel(attempt)

    async def _ended_before_policy(self) -> bool:
        """Call the ``arrived`` hooks; return whether a hook or the client ended the request."""
        for hook in self._extensions.arrived:
            result = hook(self._runtime.now(), self._request, self._message)
            if asyncio.isfuture(result):
                result = await self._await_result(result)
            if result is not None or self._response.done():
                # The policy never got the request, so it must not be notified of its end.
                self._request.finished = True
                if isinstance(result, Exception):
                    if not self._response.done():
                        self._response.set_exception(result)
                elif result is not None:
                    self._respond(result)
                return True
        return False

    async def _await_result(self, result: asyncio.Future[Any]) -> Any:
        """Wait for an extension's result until the deadline, or until the client leaves."""
        remaining_s = (self._request.deadline - self._runtime.now()) / NS_PER_S
        try:
            await asyncio.wait(
                (result, self._response),
                timeout=max(0, remaining_s),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if result.done() and not result.cancelled():
                return result.result()
            return FinalResponse(ResponseKind.FAILED)
        finally:
            result.cancel()
