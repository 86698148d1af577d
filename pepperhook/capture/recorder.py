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

An ``operation`` is a request; its class is null if the settings have the same class under the class
number, and its key is the idempotency key. In a ``state``, ``requests``, ``attempts`` and
``upstreams`` are the numbers of the objects in the state, and ``last`` contains the last number
assigned to a request, an attempt and an upstream. Results are the returned actions; a fault is the
class name of the exception that was raised. Times and costs are in nanoseconds.
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
WriteObjectRecord = Callable[[list[Any]], None]  # the record of a request or an upstream
WriteFramedRecord = Callable[[bytes, int, object], None]  # record, time, request id
LAST_REQUEST, LAST_ATTEMPT, LAST_UPSTREAM = range(3)  # indexes of ObjectNumbers.last


class ObjectNumbers:
    """The numbers of the requests, attempts and upstreams that records refer to."""

    def __init__(self) -> None:
        """Start without any numbers."""
        self.requests: dict[Request, int] = {}
        self.attempts: dict[Attempt, int] = {}
        self.upstreams: dict[Upstream, int] = {}
        self.last = [0, 0, 0]  # numbers assigned last, by LAST_REQUEST and so on

    def number_upstream(
        self, upstream: Upstream, write_record: WriteObjectRecord | None = None
    ) -> int:
        """Return the number of an upstream; assign the next number if it has none.

        ``write_record`` receives the record of an upstream with a new number.
        """
        number = self.upstreams.get(upstream)
        if number is None:
            self.last[LAST_UPSTREAM] += 1
            number = self.upstreams[upstream] = self.last[LAST_UPSTREAM]
            if write_record is not None:
                fields = [upstream.zone, upstream.cell, upstream.units, upstream.kind]
                write_record(["upstream", number, upstream.address, *fields])
        return number

    def number_request(
        self,
        request: Request,
        write_record: WriteObjectRecord | None = None,
        settings: Settings | None = None,
    ) -> int:
        """Return the number of a request; assign the next number if it has none.

        ``write_record`` receives the record of a request with a new number.
        """
        number = self.requests.get(request)
        if number is None:
            self.last[LAST_REQUEST] += 1
            number = self.requests[request] = self.last[LAST_REQUEST]
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
        # Left out where there is none, as in captures of earlier builds.
        connection = [] if request.client_connection is None else [request.client_connection]
        return [request.id, stored, *fields, number, *connection]

    def number_attempt(self, attempt: Attempt) -> int:
        """Return the number of an attempt; assign the next number if it has none."""
        number = self.attempts.get(attempt)
        if number is None:
            self.last[LAST_ATTEMPT] += 1
            number = self.attempts[attempt] = self.last[LAST_ATTEMPT]
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
                number = self.number_attempt(attempt)
                request_and_upstream = [
                    self.number_request(attempt.request),
                    self.number_upstream(attempt.upstream),
                ]
                stored = [number, *request_and_upstream, timeout_ns]
            case CancelAttempt(attempt):
                stored = [self.number_attempt(attempt)]
            case RejectRequest(request, retry_after_ns):
                stored = [self.number_request(request), retry_after_ns]
            case FailRequest(request):
                stored = [self.number_request(request)]
            case HealthCheck(upstream):
                stored = [self.number_upstream(upstream)]
            case WakeAt(at_ns):
                stored = [at_ns]
            case OperatorNote(text):
                stored = [text]
        return stored


class Recorder(PolicyProxy):
    """Wraps a policy: forwards each call to it, and records the call and its actions.

    ``module`` is the wrapped policy.

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
        write: WriteFramedRecord,
        begin_with_state: bool = False,
    ) -> None:
        """Write the policy's start, or with ``begin_with_state`` its state.

        ``begin_with_state`` is for a policy that has been called before.
        """
        super().__init__(policy, write=write, numbers=ObjectNumbers(), record_count=0)
        if begin_with_state:
            # The host shares these objects with the policy, so its later calls refer to them.
            objects = state.find_objects(policy, (Request, Attempt, Upstream))
            for request in objects[Request]:
                self.numbers.number_request(request)
            for attempt in objects[Attempt]:
                self.numbers.number_attempt(attempt)
            for upstream in objects[Upstream]:
                self.numbers.number_upstream(upstream)
            self.write_state(now)
        else:
            self.write_record(["new", stored_settings.encode(settings), seed, now], now)

    def write_record(self, record: list[Any], now: int = 0, request_id: object = None) -> None:
        """Encode and write one record."""
        self.__dict__["record_count"] += 1  # an ordinary assignment would set it on the policy
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
            case "endpoints_changed", (is_complete, updates, *age):
                stored = [is_complete, self.encode_updates(updates), *age]
            case "endpoints_corrected", (updates,):
                stored = [self.encode_updates(updates)]
            case (("accept" | "client_left"), (request,)):
                stored = [numbers.number_request(request, self.write_record, self.module.settings)]
            case "response_started", (attempt,):
                stored = [numbers.number_attempt(attempt)]
            case "attempt_ended", (attempt, outcome, *rest):
                stored = [numbers.number_attempt(attempt), OUTCOMES[outcome], *rest]
            case "health_check_ended", (upstream, outcome, *rest):
                stored = [
                    numbers.number_upstream(upstream, self.write_record),
                    OUTCOMES[outcome],
                    *rest,
                ]
            case "reconfigure", (settings, weights):
                rows = [
                    [numbers.number_upstream(u, self.write_record), weight] for u, weight in weights
                ]
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
            [self.numbers.number_upstream(upstream, self.write_record), str(upstream_state), at]
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
    may_end_request = name in ("attempt_ended", "client_left")
    if request is not None and request.finished and not request.open_attempts and may_end_request:
        ended.append(request)
    return ended


route_calls(Recorder)  # defines the policy's entry points, which call Recorder.call
