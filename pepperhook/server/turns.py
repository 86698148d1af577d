"""Shares the event loop: grants turns round robin, a few in each iteration."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Hashable

TURNS_PER_ITERATION = 2  # of the event loop, which serves all other connections in between


class Turns:
    """Who waits for turns, in the order in which they are granted: one each, then the next."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without anyone waiting."""
        self.loop = loop
        self.waiting: dict[Hashable, deque[asyncio.Future[None]]] = {}
        self.is_scheduled = False

    async def wait_turn(self, holder: Hashable) -> None:
        """Wait for a turn; a ``holder`` may wait for several, which count as one in the order."""
        turn = self.loop.create_future()
        self.waiting.setdefault(holder, deque()).append(turn)
        self._schedule()
        try:
            await turn
        except asyncio.CancelledError:
            self._remove(holder, turn)
            raise

    def end_wait(self, holder: Hashable) -> None:
        """Let a holder go on at once with all that it waits to do."""
        for turn in self.waiting.pop(holder, ()):
            _wake(turn)

    def _remove(self, holder: Hashable, turn: asyncio.Future[None]) -> None:
        turns = self.waiting.get(holder, deque())
        if turn in turns:
            turns.remove(turn)
            if not turns:
                del self.waiting[holder]

    def _schedule(self) -> None:
        if self.waiting and not self.is_scheduled:
            self.is_scheduled = True
            self.loop.call_soon(self._grant)

    def _grant(self) -> None:
        self.is_scheduled = False
        for _ in range(TURNS_PER_ITERATION):
            if self.waiting:
                self._grant_next()
        self._schedule()

    def _grant_next(self) -> None:
        holder = next(iter(self.waiting))
        turns = self.waiting.pop(holder)
        _wake(turns.popleft())
        if turns:
            self.waiting[holder] = turns  # behind all others


def _wake(turn: asyncio.Future[None]) -> None:
    if not turn.done():
        turn.set_result(None)
