"""The events of a request in flight; the policy's actions for it are events, too."""

from asyncio import Queue
from dataclasses import dataclass

from pepperhook.actions import CancelAttempt, FailRequest, RejectRequest, StartAttempt
from pepperhook.domain import Attempt, Outcome
from pepperhook.server.messages import UpstreamResponse


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended; ``response`` is set if a whole one was received."""

    attempt: Attempt
    outcome: Outcome
    response: UpstreamResponse | None


@dataclass(slots=True)
class ClientLeft:
    """The client has left and does not wait for the response any more."""


@dataclass(slots=True)
class Overdue:
    """The deadline has passed, but the policy has not ended the request."""


@dataclass(slots=True)
class ShutdownEnds:
    """The balancer closes its sockets; the final response was given, but attempts may be open."""


LifecycleEvent = (
    StartAttempt
    | AttemptEnded
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | ClientLeft
    | Overdue
    | ShutdownEnds
)
Inbox = Queue[LifecycleEvent]
