"""The interfaces of the balancer process that this package uses."""

from __future__ import annotations

import asyncio
from typing import Any, Protocol

from pepperhook.server.supervision import Supervisor


class Log(Protocol):
    """Logs structured events."""

    def info(self, event: str, **fields: object) -> None:
        """Log an ordinary event."""

    def warning(self, event: str, **fields: object) -> None:
        """Log an event that needs an operator's attention."""


class Runtime(Protocol):
    """The clock and the event loop.

    The clock is the machine's monotonic clock plus ``offset``, a fixed value that was computed once
    to match Unix time.
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
    ledger: Any
    ingress: Any
    requests: Any
