"""What this package uses of the balancer that it runs in."""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

from pepperhook.server.supervision import Supervisor


class Log(Protocol):
    """Structured events."""

    def info(self, event: str, **fields: object) -> None:
        """Log an ordinary event."""

    def warning(self, event: str, **fields: object) -> None:
        """Log an event that an operator should know of."""


class Runtime(Protocol):
    """The clock and the event loop.

    The clock is the machine's monotonic one plus ``offset``, by which it was set to Unix time once.
    """

    offset: int
    loop: asyncio.AbstractEventLoop
    supervisor: Supervisor

    def now(self) -> int:
        """Return the time in nanoseconds."""


class Host(Protocol):
    """The balancer process."""

    runtime: Runtime
    counters: Any
    ingress: Any
    requests: Any
