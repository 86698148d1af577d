"""Base classes of the policy: components of a balancer, and stages of its pipeline."""

from __future__ import annotations

from itertools import pairwise
from typing import TYPE_CHECKING

from pepperhook.domain import Attempt, Request

if TYPE_CHECKING:
    from pepperhook.balancer import Balancer


class Component:
    """A part of a balancer with its own state."""

    def __init__(self, balancer: Balancer) -> None:
        """Attach to ``balancer``, whose settings object is updated in place."""
        self.balancer = balancer
        self.settings = balancer.settings
        self._set_up(balancer.now)

    def _set_up(self, now: int) -> None:
        """Create the state of the component."""


class Stage(Component):
    """A pipeline stage; passes requests to the inner stage and outcomes to the outer one."""

    inner: Stage
    outer: Stage

    def handle(self, now: int, request: Request) -> bool:
        """Try to send, queue or finish the request; if it returns False the caller handles it."""
        return self.inner.handle(now, request)

    def attempt_ended(self, now: int, attempt: Attempt) -> None:
        """Process the outcome of an attempt."""
        self.outer.attempt_ended(now, attempt)


def link(*stages: Stage) -> None:
    """Link stages to a pipeline; the first is the outermost."""
    for outer, inner in pairwise(stages):
        outer.inner = inner
        inner.outer = outer
