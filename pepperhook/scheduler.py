"""Time, timers and seeded random numbers of one balancer, without a clock or threads."""

from __future__ import annotations

from collections.abc import Callable
from functools import wraps
from heapq import heappop, heappush
from typing import Any, Concatenate, ParamSpec
from zlib import crc32

from pepperhook.actions import Action, WakeAt
from pepperhook.decision_notes import DecisionNote
from pepperhook.domain import Request

Callback = Callable[[int, Any], None]
Parameters = ParamSpec("Parameters")


def random_fraction(name: bytes) -> float:
    """Return a number from 0 to 1 that is determined by ``name``.

    The CRC is applied twice, with its decimal digits in between: a single CRC is linear, so
    neighbouring names would give correlated numbers.
    """
    return crc32(b"%d" % crc32(name)) / 2**32


def entry_point(
    method: Callable[Concatenate[Any, int, Parameters], None],
) -> Callable[Concatenate[Any, int, Parameters], list[Action]]:
    """Make a method an entry point: it takes the time, and returns the resulting actions."""

    @wraps(method)
    def call(
        self: Any, now: int, /, *arguments: Parameters.args, **keywords: Parameters.kwargs
    ) -> list[Action]:
        self.now = now
        method(self, now, *arguments, **keywords)
        self.request_wake_up()
        actions: list[Action] = self.take_actions()
        return actions

    return call


class Scheduler:
    """Holds the time of the last call, the timers, and the actions of the current call.

    Random numbers depend on the seed and a counter only, so the same calls give the same actions.
    """

    def __init__(self, seed: int, now: int) -> None:
        """Create a scheduler without timers."""
        self.seed = seed
        self.now = now
        self.counter = 0
        self.actions: list[Action] = []
        self.timers: list[tuple[int, int, Callback, Any]] = []
        self.next_wake_at: int | None = None
        # None while tracing is off.
        self.notes: list[tuple[Request, DecisionNote]] | None = None

    def random(self) -> float:
        """Return the next random number, uniformly distributed from 0 to 1."""
        self.counter += 1
        return random_fraction(b"%d %d" % (self.seed, self.counter))

    def note(self, request: Request, note_class: Callable[..., DecisionNote], *values: Any) -> None:
        """Record the reason for a decision about ``request`` if tracing is on."""
        if self.notes is not None:
            self.notes.append((request, note_class(*values)))

    def call_at(self, at: int, callback: Callback, argument: Any) -> None:
        """Call ``callback(now, argument)`` at ``at`` or later."""
        self.counter += 1
        heappush(self.timers, (at, self.counter, callback, argument))

    def call_every(self, period: int, callback: Callable[[int], None]) -> None:
        """Call ``callback(now)`` periodically, every ``period`` nanoseconds."""
        self.call_at(self.now + period, self.repeat, (period, callback))

    def repeat(self, now: int, repeated: tuple[int, Callable[[int], None]]) -> None:
        """Execute one call of a periodic callback, and schedule the next one."""
        period, callback = repeated
        self.call_at(now + period, self.repeat, repeated)
        callback(now)

    def request_wake_up(self) -> None:
        """Request a wake-up from the host unless one is pending that is early enough."""
        if self.timers and (self.next_wake_at is None or self.timers[0][0] < self.next_wake_at):
            self.next_wake_at = self.timers[0][0]
            self.actions.append(WakeAt(self.next_wake_at))

    def take_actions(self) -> list[Action]:
        """Return the actions and clear them.

        Hosts also call this after a call that failed: requests would hang if its actions were lost.
        """
        actions, self.actions = self.actions, []
        return actions

    @entry_point
    def wake(self, now: int) -> None:
        """Run the timers that are due; early, late and duplicate wake-ups are harmless."""
        if self.next_wake_at is not None and now >= self.next_wake_at:
            self.next_wake_at = None
        while self.timers and self.timers[0][0] <= now:
            _, _, callback, argument = heappop(self.timers)
            callback(now, argument)
