"""Bodies of the requests and replies between the control service, its members and its operators."""

import re
from typing import Any, NamedTuple, TypeVar

import msgspec
from msgspec import UNSET, Struct, UnsetType, field

from pepperhook.control_plane.merge_patch import Difference
from pepperhook.control_plane.rollout import Step
from pepperhook.control_plane.safety_checks import Violation
from pepperhook.errors import PepperhookError

STREAM_PATH = "/v1/stream"
HEARTBEAT_PATH = "/v1/beat"
VERSIONS_PATH = "/v1/versions"
PLAN_PATH = "/v1/plan"
MEMBERS_PATH = "/v1/members"
ROLLOUT_PATH = "/v1/rollout"

DEFAULT_PATIENCE_S = 60.0  # beyond the duration of a rollout step, before the rollout is paused
MISSING_FIELD = re.compile(r"Object missing required field `(.*?)`")


class InvalidRequestError(PepperhookError, ValueError):
    """The body of a request does not have the form that its path requires."""


class Rejection(NamedTuple):
    """A version that a balancer rejected, and why; an array of two in JSON."""

    version: int
    reason: str


class Heartbeat(Struct, kw_only=True):
    """A balancer's report of its state."""

    name: str
    tier: int
    running_version: int = field(name="running")
    running_hash: str = ""  # of that version; empty: none, or not reported by an earlier release
    rejection: Rejection | None = field(default=None, name="refused")
    succeeded: int = field(default=0, name="good")  # requests since its start
    failed: int = field(default=0, name="bad")
    address: str = ""
    upstreams_checksum: int = field(default=0, name="upstreams_mark")
    # Sent only if the service has another checksum: with a thousand members, three hundred names
    # in each heartbeat were most of the traffic.
    upstreams: list[str] | UnsetType = UNSET


class HeartbeatReply(Struct, kw_only=True):
    """The version that the member is to run, and the checksum of its upstreams at the service."""

    desired_version: int = field(name="wanted")
    upstreams_checksum: int = field(default=0, name="upstreams_mark")


class PlanRequest(Struct, kw_only=True):
    """Requests a plan of the changes that a document would make."""

    document: dict[str, Any]
    parent: int | None = None  # None: the newest version
    overridden_checks: list[str] = field(default_factory=list, name="force")


class Plan(Struct, kw_only=True):
    """The changes that a document would make, and the safety checks that it violates."""

    parent: int
    differences: list[Difference]
    violations: list[Violation] = field(name="refusals")
    standing: list[Violation] = field(name="stands")  # violations that are not overridden


class ProposeRequest(Struct, kw_only=True):
    """Requests a new version."""

    document: dict[str, Any]
    parent: int | UnsetType = UNSET  # absent: the newest version
    author: str = ""
    reason: str = ""
    overridden_checks: list[str] = field(default_factory=list, name="force")


class BeginRolloutRequest(Struct, kw_only=True):
    """Requests the rollout of a version."""

    version: int
    steps: list[Step]
    patience_s: float = DEFAULT_PATIENCE_S
    author: str = ""


class ChangeRolloutRequest(Struct, kw_only=True):
    """Requests that the rollout be paused, resumed or rolled back."""

    reason: str = field(default="", name="why")


Message = TypeVar("Message", bound=Struct)


def convert_body(body: Any, message_type: type[Message]) -> Message:
    """Return a decoded JSON body as a message. Raises InvalidRequestError."""
    try:
        return msgspec.convert(body, message_type, strict=False)
    except msgspec.ValidationError as error:
        missing = MISSING_FIELD.match(str(error))
        text = f"{missing[1]}: is missing" if missing else str(error)
        raise InvalidRequestError(text) from error
