"""Makes the calls of a capture to a policy, with the objects that its host would have."""

from collections.abc import Callable, Sequence
from typing import Any

from pepperhook.actions import StartAttempt
from pepperhook.capture import policy_build, state, stored_settings
from pepperhook.capture.recorder import Numbers, ended_requests, subject
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


class Driver:
    """One policy under replay, with the objects that its host would have."""

    def __init__(self, make: Callable[..., Any]) -> None:
        """Replay with policies of ``make``."""
        self.build = policy_build.as_build(make)
        self.policy: Any = None
        self.settings = Settings()
        self.calls = 0
        self.watched: WatchedActions | None = None
        self.clear()

    def clear(self) -> None:
        """Forget all objects."""
        self.requests: dict[int, Request] = {}
        self.attempts: dict[int, Attempt] = {}
        self.upstreams: dict[int, Upstream] = {}
        self.numbers = Numbers()

    def start_policy(self, settings: dict[str, Any], seed: int, now: int) -> None:
        """Begin with a policy's start."""
        self.settings = stored_settings.decode(settings)
        self.policy = self.build.make(self.settings, seed, now)
        self.clear()

    def restore_state(self, shape: str, data: bytes, *known: Any) -> None:
        """Begin with a whole state. Raises StateRefusedError if this build's has another shape."""
        module, objects = state.thaw(data, self.build, shape)
        try:
            self._begin_with(shape, module, objects, *known)
        except StateRefusedError:
            raise
        except Exception as problem:
            # A state of the right classes with values of wrong types.
            raise StateRefusedError(f"the state can't be used: {problem}") from problem

    def _begin_with(self, shape: str, module: Any, objects: Any, *known: Any) -> None:
        requests, attempts, upstreams, now, last = known
        _check_timers(module)
        fresh = state.shape(self.build.make(module.settings, 1, now))
        if state.shape(module) != fresh:
            text = f"its state has the shape {shape}, this build's policy has {fresh}"
            raise StateRefusedError(text)
        self.policy = module
        self.settings = module.settings
        self.clear()
        self.numbers.last = list(last)
        numbers = self.numbers
        for mine, theirs, things, counted in (
            (self.requests, numbers.requests, objects[0], requests),
            (self.attempts, numbers.attempts, objects[1], attempts),
            (self.upstreams, numbers.upstreams, objects[2], upstreams),
        ):
            for number, thing in zip(counted, things, strict=True):
                mine[number] = thing
                theirs[thing] = number

    def add_upstream(self, number: int, *fields: Any) -> None:
        """Take in the record of an upstream."""
        upstream = self.upstreams[number] = Upstream(*fields)
        self.numbers.upstreams[upstream] = number
        self.numbers.last[2] = number

    def add_request(self, number: int, request_id: Any, stored_class: Any, *fields: Any) -> None:
        """Take in the record of a request; the last field is the number of its service class."""
        *rest, class_number = fields
        if stored_class is None:
            service_class = self.settings.service_classes[class_number]
        else:
            service_class = stored_settings.decode_class(stored_class)
        request = self.requests[number] = Request(request_id, service_class, *rest)
        self.numbers.requests[request] = number
        self.numbers.last[0] = number

    def arguments(self, name: str, stored: list[Any]) -> list[Any]:
        """Return the arguments of a call as the policy takes them."""
        first, *rest = stored or [None]
        arguments = list(stored)
        match name:
            case "endpoints_changed":
                rows = [
                    EndpointUpdate(self.upstreams[u], UpstreamState(s), at) for u, s, at in rest[0]
                ]
                arguments = [first, rows]
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
                arguments = [self.new_settings(first, *rest[1:]), weights]
        return arguments

    def new_settings(self, stored: dict[str, Any], kept: Sequence[int] = ()) -> Settings:
        """Return other settings, in which the service classes ``kept`` are the same objects."""
        settings = stored_settings.decode(stored)
        own = self.settings.service_classes
        settings.service_classes = [
            own[one.number] if one.number in kept and one.number < len(own) else one
            for one in settings.service_classes
        ]
        return settings

    def call(self, word: str, now: int, stored: list[Any]) -> tuple[list[list[Any]], str | None]:
        """Make one call; return the actions as they are stored, and the fault's name or None."""
        self.calls += 1
        name = CALL_OF[word]
        arguments = self.arguments(name, stored)
        fault = None
        if self.watched is not None:
            self.policy.actions = self.watched
        try:
            actions = getattr(self.policy, name)(now, *arguments)
        except Exception as problem:
            fault = type(problem).__name__
            actions = self.policy.actions
            self.policy.actions = []
        for action in actions:
            if isinstance(action, StartAttempt) and action.attempt not in self.numbers.attempts:
                self.attempts[self.numbers.attempt(action.attempt)] = action.attempt
        encoded = self.numbers.actions(actions)
        for request in ended_requests(name, subject(name, tuple(arguments)), actions):
            self.drop(request)
        return encoded, fault

    def drop(self, request: Request) -> None:
        """Forget a request that no later record names."""
        for attempt in request.attempts:
            self.attempts.pop(self.numbers.attempts.get(attempt, -1), None)
        self.requests.pop(self.numbers.requests.get(request, -1), None)
        self.numbers.drop(request)

    def about(self, word: str, stored: list[Any]) -> str:
        """Return what a call is about, for the reader; empty where that is nothing."""
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


def _check_timers(module: Any) -> None:
    """Refuse a state with a repeated call that would never let the next wake-up end."""
    for _, _, callback, argument in module.timers:
        if callback.__name__ == module.repeat.__name__ and not argument[0] > 0:
            raise StateRefusedError("a timer is repeated without a period")
