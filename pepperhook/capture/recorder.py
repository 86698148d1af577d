"""Captures: every call that the policy is given and the actions it returned, in their order.

A recorder stands in the policy's place. Requests, attempts and upstreams have numbers in the file,
in the order in which they were first seen; a number is given back when its request is finished and
has no open attempt. Records are arrays, whose first value says what they are (the words are those
of ``stored_words``):

    ["new", settings, seed, now]                                            the policy's start
    ["state", shape, bytes, requests, attempts, upstreams, now, last]       or its whole state, from
                                                                            which a file may begin
    ["upstream", number, address, zone, cell, units, kind]
    ["operation", number, id, class or null, tenant, key, deadline, cost, retry, class number]
    ["call", name, now, arguments, results, fault or null]
"""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from pepperhook.actions import (
    FINAL_RESPONSES,
    Action,
    CancelAttempt,
    FailRequest,
    HealthCheck,
    OperatorNote,
    RejectRequest,
    StartAttempt,
    WakeAt,
)
from pepperhook.capture import state, stored_settings
from pepperhook.container import frame_record
from pepperhook.domain import Attempt, EndpointUpdate, Request, Upstream
from pepperhook.policy_proxy import PolicyProxy, route_calls
from pepperhook.settings import Settings
from pepperhook.stored_words import ACTIONS, CALLS, OUTCOMES

ENCODER = msgspec.msgpack.Encoder()
WriteRecord = Callable[[list[Any]], None]
Write = Callable[[bytes, int, object], None]


class Numbers:
    """Numbers of what calls and actions are about."""

    def __init__(self) -> None:
        """Start with none given."""
        self.requests: dict[Request, int] = {}
        self.attempts: dict[Attempt, int] = {}
        self.upstreams: dict[Upstream, int] = {}
        self.last = [0, 0, 0]

    def upstream(self, upstream: Upstream, write_record: WriteRecord | None = None) -> int:
        """Return an upstream's number; ``write_record`` gets the record of a new one."""
        number = self.upstreams.get(upstream)
        if number is None:
            self.last[2] += 1
            number = self.upstreams[upstream] = self.last[2]
            if write_record is not None:
                place = [upstream.zone, upstream.cell, upstream.units, upstream.kind]
                write_record(["upstream", number, upstream.address, *place])
        return number

    def request(
        self,
        request: Request,
        write_record: WriteRecord | None = None,
        settings: Settings | None = None,
    ) -> int:
        """Return a request's number; ``write_record`` gets the record of a new one."""
        number = self.requests.get(request)
        if number is None:
            self.last[0] += 1
            number = self.requests[request] = self.last[0]
            if write_record is not None:
                write_record(["operation", number, *self.describe(request, settings)])
        return number

    @staticmethod
    def describe(request: Request, settings: Settings | None) -> list[Any]:
        """Return the fields of a request's record; its class is null if the settings have it."""
        service_class = request.service_class
        at = service_class.number
        classes = settings.service_classes if settings is not None else []
        is_own = at < len(classes) and classes[at] is service_class
        stored = None if is_own else stored_settings.encode_class(service_class)
        plain = (str, bytes, int, type(None))
        key = request.key if isinstance(request.key, plain) else str(request.key)
        about = [request.tenant, key, request.deadline, request.cost_ns, request.is_retry]
        return [request.id, stored, *about, at]

    def attempt(self, attempt: Attempt) -> int:
        """Return an attempt's number."""
        number = self.attempts.get(attempt)
        if number is None:
            self.last[1] += 1
            number = self.attempts[attempt] = self.last[1]
        return number

    def drop(self, request: Request) -> None:
        """Give back the numbers of a request that nobody can name any more."""
        self.requests.pop(request, None)
        for attempt in request.attempts:
            self.attempts.pop(attempt, None)

    def actions(self, actions: Iterable[Action]) -> list[list[Any]]:
        """Return actions as they are stored."""
        return [[ACTIONS[type(action)], *self.arguments(action)] for action in actions]

    def arguments(self, action: Action) -> list[Any]:
        """Return the stored arguments of an action."""
        stored: list[Any] = []
        match action:
            case StartAttempt(attempt, timeout_ns):
                number = self.attempt(attempt)
                about = [self.request(attempt.request), self.upstream(attempt.upstream)]
                stored = [number, *about, timeout_ns]
            case CancelAttempt(attempt):
                stored = [self.attempt(attempt)]
            case RejectRequest(request, retry_after_ns):
                stored = [self.request(request), retry_after_ns]
            case FailRequest(request):
                stored = [self.request(request)]
            case HealthCheck(upstream):
                stored = [self.upstream(upstream)]
            case WakeAt(at_ns):
                stored = [at_ns]
            case OperatorNote(text):
                stored = [text]
        return stored


class Recorder(PolicyProxy):
    """In a policy's place: passes each call on, and records it. All else is the policy's own.

    ``write(record, now, request_id)`` gets each framed record, its time, and the id of the request
    that it is about or None.
    """

    def __init__(
        self,
        module: Any,
        settings: Settings,
        seed: int,
        now: int,
        write: Write,
        mid_life: bool = False,
    ) -> None:
        """Begin with the policy's start, or with its state where it has been called already."""
        super().__init__(module, write=write, numbers=Numbers(), recorded=0)
        if mid_life:
            # What it knows already are objects of the host's, too, and will be named by it.
            known = state.find(module, (Request, Attempt, Upstream))
            for request in known[Request]:
                self.numbers.request(request)
            for attempt in known[Attempt]:
                self.numbers.attempt(attempt)
            for upstream in known[Upstream]:
                self.numbers.upstream(upstream)
            self.begin_again(now)
        else:
            self.write_record(["new", stored_settings.encode(settings), seed, now], now)

    def write_record(self, record: list[Any], now: int = 0, request_id: object = None) -> None:
        """Write one record."""
        self.__dict__["recorded"] += 1
        self.write(frame_record(ENCODER.encode(record)), now, request_id)

    def begin_again(self, now: int) -> None:
        """Write the whole state: from here on a file may be read without what came before."""
        numbers = self.numbers
        known = (list(numbers.requests), list(numbers.attempts), list(numbers.upstreams))
        frozen = state.freeze(self.module, known)
        counted = [
            list(numbers.requests.values()),
            list(numbers.attempts.values()),
            list(numbers.upstreams.values()),
        ]
        shape = state.shape(self.module)
        self.write_record(["state", shape, frozen, *counted, now, list(numbers.last)], now)

    def call(self, name: str, now: int, *arguments: Any) -> list[Action]:
        """Pass one call on, and record it with what it returned or how it failed."""
        stored = self.stored_arguments(name, arguments)
        request = subject(name, arguments)
        fault = None
        actions: list[Action] = []
        try:
            actions = getattr(self.module, name)(now, *arguments)
        except Exception as problem:
            fault, actions = type(problem).__name__, self.module.actions
            raise
        finally:
            record = ["call", CALLS[name], now, stored, self.numbers.actions(actions), fault]
            self.write_record(record, now, request.id if request is not None else None)
            for ended in ended_requests(name, request, actions):
                self.numbers.drop(ended)
        return actions

    def stored_arguments(self, name: str, arguments: tuple[Any, ...]) -> list[Any]:
        """Return the arguments of a call as they are stored."""
        numbers = self.numbers
        stored = list(arguments)
        match name, arguments:
            case "endpoints_changed", (whole, updates):
                stored = [whole, self.stored_updates(updates)]
            case "endpoints_corrected", (updates,):
                stored = [self.stored_updates(updates)]
            case (("accept" | "client_left"), (request,)):
                stored = [numbers.request(request, self.write_record, self.module.settings)]
            case "response_started", (attempt,):
                stored = [numbers.attempt(attempt)]
            case "attempt_ended", (attempt, outcome, *rest):
                stored = [numbers.attempt(attempt), OUTCOMES[outcome], *rest]
            case "health_check_ended", (upstream, outcome, *rest):
                stored = [numbers.upstream(upstream, self.write_record), OUTCOMES[outcome], *rest]
            case "reconfigure", (settings, weights):
                rows = [[numbers.upstream(u, self.write_record), weight] for u, weight in weights]
                # Requests in flight hold their classes: which ones stay the same objects is a part
                # of the state.
                own = self.module.settings.service_classes
                kept = [c.number for c in settings.service_classes if any(c is one for one in own)]
                stored = [stored_settings.encode(settings), rows, kept]
        return stored

    def stored_updates(self, updates: Iterable[EndpointUpdate]) -> list[list[Any]]:
        """Return updates of the endpoint list as they are stored."""
        return [
            [self.numbers.upstream(upstream, self.write_record), str(upstream_state), at]
            for upstream, upstream_state, at in updates
        ]


def subject(name: str, arguments: tuple[Any, ...]) -> Request | None:
    """Return the request that a call is about."""
    request: Request | None = None
    if name in ("accept", "client_left"):
        request = arguments[0]
    elif name in ("response_started", "attempt_ended"):
        request = arguments[0].request
    return request


def ended_requests(name: str, request: Request | None, actions: Iterable[Action]) -> list[Request]:
    """Return the requests that nobody can name any more after a call."""
    ended = [
        action.request
        for action in actions
        if isinstance(action, FINAL_RESPONSES) and not action.request.open_attempts
    ]
    is_last = name in ("attempt_ended", "client_left")
    if request is not None and request.finished and not request.open_attempts and is_last:
        ended.append(request)
    return ended


route_calls(Recorder)
