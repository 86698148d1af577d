"""A model of the discovery stand-in's capacity: a queue of polls with one server."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pepperhook.lab.experiment import Discovery


@dataclass(frozen=True, slots=True)
class Admission:
    """When an admitted poll is answered, and whether that is before its timeout."""

    answer_at: float
    is_in_time: bool


@dataclass(slots=True)
class CallQueue:
    """Process polls one by one, as an overloaded service does; all times are in seconds.

    A poll that has timed out is processed nevertheless. This is how a service with many callers
    collapses: it spends its capacity on responses that nobody receives.
    """

    call_cost_s: float
    line_cost_s: float
    max_backlog_s: float  # work that may wait; a poll that would wait longer is refused at once
    timeout_s: float
    idle_at: float = 0.0  # when all admitted work is done

    @classmethod
    def of(cls, settings: Discovery) -> CallQueue | None:
        """Return the queue for an experiment's settings; None if they limit no capacity."""
        if settings.calls_per_s is None:
            return None
        call_cost_s = 1 / settings.calls_per_s
        return cls(
            call_cost_s,
            1 / settings.lines_per_s if settings.lines_per_s else 0.0,
            settings.max_waiting * call_cost_s if settings.max_waiting else inf,
            settings.timeout_s,
        )

    def cost_s(self, lines: int) -> float:
        """Return the work of a response with that many lines."""
        return self.call_cost_s + lines * self.line_cost_s

    def admit(self, now: float, lines: int, slow_call_s: float = 0.0) -> Admission | None:
        """Admit a poll, or refuse it (None).

        If ``slow_call_s`` is above ``call_cost_s``, it is used in place of that.
        """
        cost_s = self.cost_s(lines) + max(0.0, slow_call_s - self.call_cost_s)
        begins_at = max(now, self.idle_at)
        done_at = begins_at + cost_s
        if begins_at - now > self.max_backlog_s:
            return None
        self.idle_at = done_at
        return Admission(min(done_at, now + self.timeout_s), done_at <= now + self.timeout_s)
