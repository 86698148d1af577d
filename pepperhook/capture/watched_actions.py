"""Records which function of a policy added each action, to report a replay's first difference."""

import sys
from types import FrameType
from typing import Any

from pepperhook.actions import Action, WakeAt

EARLIER_TIMER = "a timer set before this call"


class WatchedActions(list[Action]):
    """A policy's list of actions that also records the function that added each of them."""

    def __init__(self, policy: Any) -> None:
        """Wrap ``policy.call_at``, to attribute a wake-up to the function that set the timer."""
        super().__init__()
        self.added_by: list[str] = []  # function and line for each action, in order
        self.timers_set_by: dict[int, str] = {}  # by the time of the timer
        self.call_at = policy.call_at
        policy.call_at = self.watch_timer

    def watch_timer(self, at: int, callback: Any, argument: Any) -> None:
        """Set a timer, and record the calling function."""
        self.timers_set_by[at] = describe_frame(sys._getframe(1))
        self.call_at(at, callback, argument)

    def append(self, action: Action) -> None:
        """Add an action, and record the calling function."""
        if isinstance(action, WakeAt):
            # The scheduler adds these, on behalf of the function that set the timer.
            self.added_by.append(self.timers_set_by.get(action.at_ns) or EARLIER_TIMER)
        else:
            self.added_by.append(describe_frame(sys._getframe(1)))
        super().append(action)


def describe_frame(frame: FrameType) -> str:
    """Return the qualified function name and the line number of a frame."""
    return f"{frame.f_code.co_qualname}, line {frame.f_lineno}"
