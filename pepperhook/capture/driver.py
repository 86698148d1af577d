"""Repeats the calls of a capture on a policy, in place of the host.

The host is the process that calls the policy, such as the server. It shares requests, attempts and
upstreams with the policy; a capture refers to them by number.
"""

from collections.abc import Callable, Sequence
from typing import Any

from pepperhook.actions import StartAttempt
from pepperhook.capture import policy_build, state, stored_settings
from pepperhook.capture.recorder import (
    LAST_REQUEST,
    LAST_UPSTREAM,
    ObjectNumbers,
    ended_requests,
    request_of_call,
)
from pepperhook.capture.state_errors import StateRefusedError
from pepperhook.capture.watched_actions import WatchedActions
from pepperhook.domain import (
    Attempt,
    EndpointUpdate,
    PollFailure,
    Request,
    Upstream,
    UpstreamState,
)
from pepperhook.settings import Settings
from pepperhook.stored_words import CALL_OF, OUTCOME_OF

REQUEST_FIELDS = 5  # of a request itself, in an ``operation`` record


class Driver:
    """One policy under replay, with the objects that its host would share with it."""

    def __init__(self, make_policy: Callable[..., Any]) -> None:
        """Replay on policies created by ``make_policy``, which may be a PolicyBuild."""
        self.build = policy_build.as_build(make_policy)
        self.policy: Any = None
        self.settings = Settings()
        self.calls = 0
        self.watched_actions: WatchedActions | None = None
        self.clear_objects()

    def clear_objects(self) -> None:
        """Drop all requests, attempts and upstreams, and their numbers."""
        self.requests: dict[int, Request] = {}
        self.attempts: dict[int, Attempt] = {}
        self.upstreams: dict[int, Upstream] = {}
        self.numbers = ObjectNumbers()

    def start_policy(self, settings: dict[str, Any], seed: int, now: int) -> None:
        """Create a new policy from the fields of a ``new`` record."""
        self.settings = stored_settings.decode(settings)
        self.policy = self.build.make_policy(self.settings, seed, now)
        self.clear_objects()

    def restore_state(self, shape: str, data: bytes, *fields: Any) -> None:
        """Restore a policy from the fields of a ``state`` record.

        ``fields`` are the numbers of requests, attempts and upstreams, the time and the last
        numbers. Raises StateRefusedError, also if this build's policy has another shape.
        """
        policy, objects = state.deserialize(data, self.build, shape)
        try:
            self._use_state(shape, policy, objects, *fields)
        except StateRefusedError:
            raise
        except Exception as error:
            # A state of the right classes may have values of wrong types.
            raise StateRefusedError(f"the state can't be used: {error}") from error

    def _use_state(self, shape: str, policy: Any, objects: Any, *fields: Any) -> None:
        requests, attempts, upstreams, now, last_numbers = fields
        _check_timers(policy)
        own_shape = state.shape(self.build.make_policy(policy.settings, 1, now))
        if state.shape(policy) != own_shape:
            text = f"the state has the shape {shape}, this build's policy has {own_shape}"
            raise StateRefusedError(text)
        self.policy = policy
        self.settings = policy.settings
        self.clear_objects()
        self.numbers.last = list(last_numbers)
        numbers = self.numbers
        for by_number, numbers_by_object, restored, stored_numbers in (
            (self.requests, numbers.requests, objects[0], requests),
            (self.attempts, numbers.attempts, objects[1], attempts),
            (self.upstreams, numbers.upstreams, objects[2], upstreams),
        ):
            for number, restored_object in zip(stored_numbers, restored, strict=True):
                by_number[number] = restored_object
                numbers_by_object[restored_object] = number

    def add_upstream(self, number: int, *fields: Any) -> None:
        """Create the upstream of an ``upstream`` record."""
        upstream = self.upstreams[number] = Upstream(*fields)
        self.numbers.upstreams[upstream] = number
        self.numbers.last[LAST_UPSTREAM] = number

    def add_request(self, number: int, request_id: Any, stored_class: Any, *fields: Any) -> None:
        """Create the request of an ``operation`` record.

        After its own fields come the number of its service class, and that of its client's
        connection if it has one. ``stored_class`` is None if the class is the one that the settings
        have under this number.
        """
        own_fields, (class_number, *connection) = fields[:REQUEST_FIELDS], fields[REQUEST_FIELDS:]
        if stored_class is None:
            service_class = self.settings.service_classes[class_number]
        else:
            service_class = stored_settings.decode_class(stored_class)
        request = self.requests[number] = Request(
            request_id, service_class, *own_fields, *connection
        )
        self.numbers.requests[request] = number
        self.numbers.last[LAST_REQUEST] = number

    def decode_arguments(self, name: str, stored: list[Any]) -> list[Any]:
        """Convert the stored arguments of a call to those that the policy takes."""
        first, *rest = stored or [None]  # some calls have no arguments
        arguments = list(stored)
        match name:
            case "endpoints_changed":
                updates = [
                    EndpointUpdate(self.upstreams[u], UpstreamState(s), at) for u, s, at in rest[0]
                ]
                arguments = [first, updates, *rest[1:]]
            case "endpoints_corrected":
                arguments = [
                    [EndpointUpdate(self.upstreams[u], UpstreamState(s), at) for u, s, at in first]
                ]
            case "endpoint_poll_failed" if stored:
                arguments = [PollFailure(first), *rest]
            case "accept" | "client_left":
                arguments = [self.requests[first]]
            case "response_started":
                arguments = [self.attempts[first]]
            case "attempt_ended":
                arguments = [self.attempts[first], OUTCOME_OF[rest[0]], *rest[1:]]
            case "health_check_ended":
                arguments = [self.upstreams[first], OUTCOME_OF[rest[0]], *rest[1:]]
            case "reconfigure":
                weights = [(self.upstreams[u], weight) for u, weight in rest[0]]
                arguments = [self.decode_settings(first, *rest[1:]), weights]
        return arguments

    def decode_settings(self, stored: dict[str, Any], unchanged: Sequence[int] = ()) -> Settings:
        """Decode the settings of a reconfiguration.

        Service classes whose numbers are in ``unchanged`` remain the same objects.
        """
        settings = stored_settings.decode(stored)
        current = self.settings.service_classes
        settings.service_classes = [
            current[service_class.number]
            if service_class.number in unchanged and service_class.number < len(current)
            else service_class
            for service_class in settings.service_classes
        ]
        return settings

    def call(self, word: str, now: int, stored: list[Any]) -> tuple[list[list[Any]], str | None]:
        """Make one call.

        Return the actions in their stored form, and the name of the exception that the call raised
        or None.
        """
        self.calls += 1
        name = CALL_OF[word]
        arguments = self.decode_arguments(name, stored)
        fault = None
        if self.watched_actions is not None:
            self.policy.actions = self.watched_actions
        try:
            actions = getattr(self.policy, name)(now, *arguments)
        except Exception as error:
            fault = type(error).__name__
            actions = self.policy.actions
            self.policy.actions = []
        for action in actions:
            if isinstance(action, StartAttempt) and action.attempt not in self.numbers.attempts:
                self.attempts[self.numbers.number_attempt(action.attempt)] = action.attempt
        encoded = self.numbers.encode_actions(actions)
        for request in ended_requests(name, request_of_call(name, tuple(arguments)), actions):
            self.release(request)
        return encoded, fault

    def release(self, request: Request) -> None:
        """Drop a request that no later record refers to, with its attempts."""
        for attempt in request.attempts:
            self.attempts.pop(self.numbers.attempts.get(attempt, -1), None)
        self.requests.pop(self.numbers.requests.get(request, -1), None)
        self.numbers.release(request)

    def describe_subject(self, word: str, stored: list[Any]) -> str:
        """Return the request id or the upstream's address that a call refers to, or ""."""
        try:
            match CALL_OF.get(word):
                case "accept" | "client_left":
                    return str(self.requests[stored[0]].id)
                case "response_started" | "attempt_ended":
                    return str(self.attempts[stored[0]].request.id)
                case "health_check_ended":
                    return str(self.upstreams[stored[0]].address)
        except KeyError:
            pass
        return ""


def _check_timers(policy: Any) -> None:
    """Refuse a state with a repeating timer that has no positive period.

    The policy would run the timer again and again within one wake-up.
    """
    for _, _, callback, argument in policy.timers:
        if callback.__name__ == policy.repeat.__name__ and not argument[0] > 0:
            raise StateRefusedError("a repeating timer has no positive period")
