"""The ids of requests: a duplicate must not be executed again, however late it comes.

Ids are unique for ever by the protocol. What may have run is remembered for REMEMBERED_S, as far as
MAX_REMEMBERED goes; other ids only for as long as a copy may be in transit.
"""

from __future__ import annotations

import asyncio
from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING

from pepperhook.server.refusal import RequestRefusedError

if TYPE_CHECKING:
    from pepperhook.server.metrics import Counters
    from pepperhook.server.structured_logging import Log

REMEMBERED_S = 600
MAX_REMEMBERED = 32 * 1024  # ids, of about 100 bytes each
LOG_INTERVAL_S = 60  # between log lines about ids that were forgotten early


class RequestIdRegistry:
    """The request ids in flight, recent ones, and those of requests that may have run."""

    def __init__(
        self, keep_s: float, loop: asyncio.AbstractEventLoop, counters: Counters, log: Log
    ) -> None:
        """``keep_s``: how long an id is kept after the end of a request that is safe to repeat."""
        self.keep_s = keep_s
        self.loop = loop
        self.counters = counters
        self.log = log
        self.known: set[object] = set()
        self.ended: deque[tuple[float, object]] = deque()  # with its expiry time
        # Hashes of the ids that may have run, with their expiry times, the oldest first. Python
        # hashes text with a random key of the process, so that no client can choose equal ones.
        self.executed: dict[int, float] = {}
        self._log_at = 0.0

    def begin(self, request_id: object) -> None:
        """Register an id. Raises RequestRefusedError if it is in use or was used before."""
        self._forget_expired()
        if request_id in self.known or hash(request_id) in self.executed:
            raise RequestRefusedError(
                HTTPStatus.CONFLICT, "an operation of this id was taken before"
            )
        self.known.add(request_id)

    def end(self, request_id: object, may_have_run: bool) -> None:
        """Let an id expire; ``may_have_run``: an effect that must not happen twice."""
        now = self.loop.time()
        if not may_have_run:
            self.ended.append((now + self.keep_s, request_id))
            return
        self.known.discard(request_id)
        if len(self.executed) >= MAX_REMEMBERED:
            self._forget_oldest(now)
        self.executed[hash(request_id)] = now + REMEMBERED_S

    def _forget_expired(self) -> None:
        now = self.loop.time()
        while self.ended and self.ended[0][0] < now:
            self.known.discard(self.ended.popleft()[1])
        while self.executed:
            oldest = next(iter(self.executed))
            if self.executed[oldest] >= now:
                break
            del self.executed[oldest]

    def _forget_oldest(self, now: float) -> None:
        oldest = next(iter(self.executed))
        kept_s = REMEMBERED_S - (self.executed.pop(oldest) - now)
        self.counters.add("request ids forgotten early")
        if now >= self._log_at:
            self._log_at = now + LOG_INTERVAL_S
            self.log.warning("request_ids_forgotten", kept_s=round(kept_s, 1), most=MAX_REMEMBERED)
