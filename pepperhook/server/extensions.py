"""Hook points at which extensions take part in the lifecycle of the process and of requests.

The operator's file enables extensions. The server does not depend on any particular one: an
extension is an object with any subset of the methods of ``Extension``, and a hook point that it
does not implement costs nothing. Extensions do not bypass the policy, which selects upstreams and
decides on retries; an extension may answer or reject a request only before the policy has it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any, Protocol, TypeAlias

if TYPE_CHECKING:
    from pepperhook.domain import Attempt, EndpointUpdate, Outcome, Request, Upstream
    from pepperhook.operator_config.schema import Http2Table
    from pepperhook.server.app import BalancerApp
    from pepperhook.server.messages import FinalResponse, Header, RequestMessage, UpstreamResponse
    from pepperhook.server.refusal import RequestRefusedError
    from pepperhook.settings import Settings


EarlyResult: TypeAlias = "FinalResponse | RequestRefusedError | None"

POINTS = (
    "born",
    "arrived",
    "dispatching",
    "ended",
    "answered",
    "leaving",
    "over",
    "hold",
    "lists",
    "listed",
    "started",
    "ready",
    "closing",
    "left",
    "told",
    "check_settings",
    "reconfigured",
)


class Extension(Protocol):
    """All hook points; an extension implements those that it needs.

    ``reads`` names the request headers whose values an extension gets in
    ``RequestMessage.read_headers``, together with the client's address; ``reads_back`` names the
    response headers that it gets in ``UpstreamResponse.read_headers``. ``now`` is in nanoseconds.
    ``leaving`` is about a client that leaves, ``left`` about the end of the process.
    """

    reads: tuple[str, ...]
    reads_back: tuple[str, ...]

    # Hook points of the process, in the order of the calls.

    def hold(self) -> None:
        """Acquire what only one process may use, such as a journal or folder, before the start.

        Raises ValueError, with a message of one line, if that is impossible.
        """

    def born(self, app: BalancerApp, policy: Any, now: int) -> Any:
        """Return the policy to use: ``policy``, which has had no call yet, or a proxy of it."""

    def started(self, app: BalancerApp) -> None:
        """Start the extension; the policy runs, and requests are not accepted yet."""

    async def ready(self) -> None:
        """Wait for what must be known before requests are accepted, for a second at most."""

    async def closing(self, accept_s: float, within_s: float) -> None:
        """Shut down the extension's own listener gracefully, at the same time as the server's.

        Accept for ``accept_s`` more, then answer what was accepted within ``within_s``, in seconds.
        """

    async def left(self) -> None:
        """Release all resources; every request has been answered."""

    def told(self) -> dict[str, Any]:
        """Return the extension's counters, as fields of a log line."""

    # Hook points of the settings, which a version of the control plane may change.

    def check_settings(self, settings: Settings) -> None:
        """Check settings before they are put into force.

        Raises ValueError, with a message of one line, if the extension cannot work with them.
        """

    def reconfigured(self, settings: Settings) -> None:
        """Apply changed settings, which have passed all checks and which the policy already has."""

    # Hook points of the endpoint list.

    def lists(self, rows: list[EndpointUpdate]) -> list[EndpointUpdate]:
        """Return the updates for the policy; the extension may override the states of upstreams."""

    def listed(self, now: int, upstreams: Iterable[Upstream]) -> None:
        """Handle a changed endpoint list, which the policy already has; ``upstreams``: all."""

    # Hook points of a request, in the order of the calls.

    def arrived(
        self, now: int, request: Request, message: RequestMessage
    ) -> EarlyResult | asyncio.Future[EarlyResult]:
        """Answer or refuse a request before the policy has it; None passes it on.

        A future is awaited until the request's deadline, or until its client leaves.
        """

    def dispatching(self, now: int, attempt: Attempt, headers: list[Header]) -> bool | None:
        """Add headers to an attempt that is about to be sent; True: it must not be sent."""

    def ended(
        self, now: int, attempt: Attempt, outcome: Outcome, response: UpstreamResponse | None
    ) -> None:
        """Handle the end of an attempt; the policy is notified after this call."""

    def answered(self, now: int, request: Request, response: FinalResponse) -> None:
        """Handle the final response before it is sent; may add headers to it."""

    def leaving(self, now: int, request: Request) -> bool:
        """Handle a client's leaving; True keeps the request until ``RequestLifecycles.abandon``."""

    def over(self, now: int, request: Request) -> None:
        """Release the state of a request whose lifecycle ends; called once for each request."""


class Extensions:
    """The hooks of all enabled extensions; each tuple has the order of the operator's file."""

    __slots__ = ("all", "reads", "reads_back", "h2", *POINTS)

    all: tuple[Any, ...]
    reads: tuple[str, ...]
    reads_back: tuple[str, ...]
    h2: Http2Table | None
    born: tuple[Any, ...]
    arrived: tuple[Any, ...]
    dispatching: tuple[Any, ...]
    ended: tuple[Any, ...]
    answered: tuple[Any, ...]
    leaving: tuple[Any, ...]
    over: tuple[Any, ...]
    hold: tuple[Any, ...]
    lists: tuple[Any, ...]
    listed: tuple[Any, ...]
    started: tuple[Any, ...]
    ready: tuple[Any, ...]
    closing: tuple[Any, ...]
    left: tuple[Any, ...]
    told: tuple[Any, ...]
    check_settings: tuple[Any, ...]
    reconfigured: tuple[Any, ...]

    def __init__(self, extensions: Iterable[Any] = (), h2: Http2Table | None = None) -> None:
        """Collect the hooks of ``extensions``; ``h2``: the settings of HTTP/2 if it is enabled."""
        self.all = tuple(extensions)
        self.h2 = h2
        self.reads = self._header_names("reads")
        self.reads_back = self._header_names("reads_back")
        for point in POINTS:
            hooks = (getattr(extension, point, None) for extension in self.all)
            setattr(self, point, tuple(hook for hook in hooks if hook is not None))

    def _header_names(self, attribute: str) -> tuple[str, ...]:
        return tuple(name for extension in self.all for name in getattr(extension, attribute, ()))


NO_EXTENSIONS = Extensions()


def listed_name(extension: Any) -> str:
    """Return the name of an extension in the log and in the output of ``pepperhook check``.

    It is the attribute ``listed_as``, or else the class name in lower case.
    """
    return str(getattr(extension, "listed_as", type(extension).__name__.lower()))
