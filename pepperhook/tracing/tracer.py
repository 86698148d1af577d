"""Wraps a policy to trace its requests."""

from collections.abc import Sequence
from typing import Any

from pepperhook.actions import Action
from pepperhook.policy_proxy import PolicyProxy, route_calls
from pepperhook.tracing.collector import TraceCollector, WriteTrace
from pepperhook.tracing.sampling import RequestSampler


class Tracer(PolicyProxy):
    """Passes each call on to the policy, and the policy's notes and actions to a collector.

    The attribute ``module`` is the policy, as in every PolicyProxy.
    """

    def __init__(
        self,
        policy: Any,
        write: WriteTrace,
        service_classes: Sequence[str] = (),
        tenants: Sequence[str] = (),
        sampled_fraction: float = 1.0,
        parent_pattern: str | None = None,
    ) -> None:
        """Wrap a policy, and pass each trace that is to be stored to ``write``, once.

        ``service_classes`` and ``tenants`` are names, indexed by the numbers that the policy uses.
        """
        sampler = RequestSampler(sampled_fraction, parent_pattern)
        collector = TraceCollector(write, service_classes, tenants, sampler)
        super().__init__(policy, collector=collector)
        policy.notes = []

    def stop(self) -> Any:
        """Disable the policy's notes, write the traces of open requests, and return the policy."""
        self.module.notes = None
        self.collector.close_all()
        return self.module

    def call(self, name: str, now: int, *arguments: Any) -> list[Action]:
        """Pass a call on to the policy, and trace its notes and actions, even if it raises."""
        collector, policy = self.collector, self.module
        if name == "accept":
            collector.accept(now, arguments[0])
        # A policy that was copied or restored from a stored state has no list of notes.
        if policy.notes is None:
            policy.notes = []
        try:
            actions: list[Action] = getattr(policy, name)(now, *arguments)
        except Exception:
            # The host still performs the actions decided before the failure, so they are traced.
            collector.collect(now, name, arguments, self._take_notes(), policy.actions)
            raise
        collector.collect(now, name, arguments, self._take_notes(), actions)
        return actions

    def _take_notes(self) -> list[Any]:
        notes = self.module.notes
        self.module.notes = []
        return notes or []


# Defines the entry points of a policy on Tracer; each of them goes through Tracer.call.
route_calls(Tracer)
