"""Records captures: every call of a policy and the actions it returned, in order.

A recorder wraps the policy. Requests, attempts and upstreams are numbered in the file, in the order
in which they first occur. The numbers of a request and its attempts are released when the request
is finished and has no open attempt. A record is an array whose first value is its kind (see
``stored_words`` for the words):

    ["new", settings, seed, now]                                            the policy's start
    ["state", shape, bytes, requests, attempts, upstreams, now, last]       its complete state; a
                                                                            file may begin with it
    ["upstream", number, address, zone, cell, units, kind]
    ["operation", number, id, class or null, tenant, key, deadline, cost, retry, class number]
    ["call", name, now, arguments, results, fault or null]

An ``operation`` is a request. In a ``state``, ``requests``, ``attempts`` and ``upstreams`` are the
numbers of the objects in the state, and ``last`` has the last number of each kind that was given.
Results are the returned actions; a fault is the class name of the exception that was raised.
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


class ObjectNumbers:
    """The numbers of the requests, attempts and upstreams that records refer to."""

    def __init__(self) -> None:
        """Start without any numbers."""
        self.requests: dict[Request, int] = {}
        self.attempts: dict[Attempt, int] = {}
        self.upstreams: dict[Upstream, int] = {}
        self.last = [0, 0, 0]  # last number of a request, an attempt and an upstream

    def upstream(self, upstream: Upstream, write_record: WriteRecord | None = None) -> int:
        """Return an upstream's number, a new one if it has none.

        ``write_record`` receives the record of an upstream with a new number.
        """
        number = self.upstreams.get(upstream)
        if number is None:
            self.last[2] += 1
            number = self.upstreams[upstream] = self.last[2]
            if write_record is not None:
                fields = [upstream.zone, upstream.cell, upstream.units, upstream.kind]
                write_record(["upstream", number, upstream.address, *fields])
        return number

    def request(
        self,
        request: Request,
        write_record: WriteRecord | None = None,
        settings: Settings | None = None,
    ) -> int:
        """Return a request's number, a new one if it has none.

        ``write_record`` receives the record of a request with a new number.
        """
        number = self.requests.get(request)
        if number is None:
            self.last[0] += 1
            number = self.requests[request] = self.last[0]
            if write_record is not None:
                write_record(["operation", number, *self.request_fields(request, settings)])
        return number

    @staticmethod
    def request_fields(request: Request, settings: Settings | None) -> list[Any]:
        """Return the fields of a request's record; the class is null if the settings contain it."""
        service_class = request.service_class
        number = service_class.number
        classes = settings.service_classes if settings is not None else []
        is_in_settings = number < len(classes) and classes[number] is service_class
        stored = None if is_in_settings else stored_settings.encode_class(service_class)
        scalars = (str, bytes, int, type(None))
        key = request.key if isinstance(request.key, scalars) else str(request.key)
        fields = [request.tenant, key, request.deadline, request.cost_ns, request.is_retry]
        return [request.id, stored, *fields, number]

    def attempt(self, attempt: Attempt) -> int:
        """Return an attempt's number, a new one if it has none."""
        number = self.attempts.get(attempt)
        if number is None:
            self.last[1] += 1
            number = self.attempts[attempt] = self.last[1]
        return number

    def release(self, request: Request) -> None:
        """Release the numbers of a request that no later record refers to, and of its attempts."""
        self.requests.pop(request, None)
        for attempt in request.attempts:
            self.attempts.pop(attempt, None)

    def encode_actions(self, actions: Iterable[Action]) -> list[list[Any]]:
        """Return actions in their stored form."""
        return [[ACTIONS[type(action)], *self.action_arguments(action)] for action in actions]

    def action_arguments(self, action: Action) -> list[Any]:
        """Return the arguments of an action in their stored form."""
        stored: list[Any] = []
        match action:
            case StartAttempt(attempt, timeout_ns):
                number = self.attempt(attempt)
                context = [self.request(attempt.request), self.upstream(attempt.upstream)]
                stored = [number, *context, timeout_ns]
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
    """Wraps a policy: forwards each call to it, and records the call and its actions.

    ``write(record, now, request_id)`` receives each framed record. ``now`` is the time in
    nanoseconds, or 0 for the record of an object, which precedes the record of its call;
    ``request_id`` is the id of the request that the call refers to, or None.
    """

    def __init__(
        self,
        policy: Any,
        settings: Settings,
        seed: int,
        now: int,
        write: Write,
        begin_with_state: bool = False,
    ) -> None:
        """Begin with the policy's start, or with its state if it has been called before."""
        super().__init__(policy, write=write, numbers=ObjectNumbers(), record_count=0)
        if begin_with_state:
            # The host shares these objects with the policy, so its later calls refer to them.
            objects = state.find_objects(policy, (Request, Attempt, Upstream))
            for request in objects[Request]:
                self.numbers.request(request)
            for attempt in objects[Attempt]:
                self.numbers.attempt(attempt)
            for upstream in objects[Upstream]:
                self.numbers.upstream(upstream)
            self.write_state(now)
        else:
            self.write_record(["new", stored_settings.encode(settings), seed, now], now)

    def write_record(self, record: list[Any], now: int = 0, request_id: object = None) -> None:
        """Encode and write one record."""
        self.__dict__["record_count"] += 1
        self.write(frame_record(ENCODER.encode(record)), now, request_id)

    def write_state(self, now: int) -> None:
        """Write the complete state, so that the capture can be replayed from here on."""
        numbers = self.numbers
        objects = (list(numbers.requests), list(numbers.attempts), list(numbers.upstreams))
        serialized = state.serialize(self.module, objects)
        object_numbers = [
            list(numbers.requests.values()),
            list(numbers.attempts.values()),
            list(numbers.upstreams.values()),
        ]
        shape = state.shape(self.module)
        self.write_record(
            ["state", shape, serialized, *object_numbers, now, list(numbers.last)], now
        )

    def call(self, name: str, now: int, *arguments: Any) -> list[Action]:
        """Forward one call, and record it with its actions and the name of a raised exception."""
        stored = self.encode_arguments(name, arguments)
        request = request_of_call(name, arguments)
        fault = None
        actions: list[Action] = []
        try:
            actions = getattr(self.module, name)(now, *arguments)
        except Exception as error:
            fault, actions = type(error).__name__, self.module.actions
            raise
        finally:
            record = ["call", CALLS[name], now, stored, self.numbers.encode_actions(actions), fault]
            self.write_record(record, now, request.id if request is not None else None)
            for ended in ended_requests(name, request, actions):
                self.numbers.release(ended)
        return actions

    def encode_arguments(self, name: str, arguments: tuple[Any, ...]) -> list[Any]:
        """Return the arguments of a call in their stored form."""
        numbers = self.numbers
        stored = list(arguments)
        match name, arguments:
            case "endpoints_changed", (whole, updates):
                stored = [whole, self.encode_updates(updates)]
            case "endpoints_corrected", (updates,):
                stored = [self.encode_updates(updates)]
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
                # Requests in flight refer to their service class, so a replay must keep those that
                # remain the same objects.
                current = self.module.settings.service_classes
                unchanged = [
                    new.number
                    for new in settings.service_classes
                    if any(new is old for old in current)
                ]
                stored = [stored_settings.encode(settings), rows, unchanged]
        return stored

    def encode_updates(self, updates: Iterable[EndpointUpdate]) -> list[list[Any]]:
        """Return updates of the endpoint list in their stored form."""
        return [
            [self.numbers.upstream(upstream, self.write_record), str(upstream_state), at]
            for upstream, upstream_state, at in updates
        ]


def request_of_call(name: str, arguments: tuple[Any, ...]) -> Request | None:
    """Return the request that a call refers to, or None."""
    request: Request | None = None
    if name in ("accept", "client_left"):
        request = arguments[0]
    elif name in ("response_started", "attempt_ended"):
        request = arguments[0].request
    return request


def ended_requests(name: str, request: Request | None, actions: Iterable[Action]) -> list[Request]:
    """Return the requests that no later call can refer to."""
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
