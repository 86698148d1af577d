"""Finds calls that come back to a tier that waits for them."""

from pepperhook.request_context.authentication import service_of
from pepperhook.request_context.messages import MAX_DEPTH
from pepperhook.request_context.request_state import RequestState

MAX_VISITS = 2  # to one service: the second may be to another instance


class LoopDetector:
    """Knows this balancer's own name and the requests that are in flight here."""

    def __init__(self, hop: str) -> None:
        """``hop``: this balancer's name in the header, see ``authentication.hop_name``."""
        self.hop = hop
        self.in_flight: dict[str, list[int]] = {}  # depths, by request id
        self._service = service_of(hop)

    def is_loop(self, state: RequestState) -> bool:
        """Tell whether a request that arrives has been here before.

        That is so if it passed this instance, or this service more often than other instances
        explain; if its path has no end; or if the same request is in flight here nearer to the
        entry, which also holds where a node lost the hops.
        """
        services = [service_of(hop) for hop in state.hops]
        return (
            self.hop in state.hops
            or services.count(self._service) >= MAX_VISITS
            or state.depth >= MAX_DEPTH
            or any(depth < state.depth for depth in self.in_flight.get(state.request_id, ()))
        )

    def enter(self, state: RequestState) -> None:
        """Note that a request is in flight here."""
        state.is_in_flight = True
        self.in_flight.setdefault(state.request_id, []).append(state.depth)

    def leave(self, state: RequestState) -> None:
        """Note that a request is no longer in flight here.

        One that was rejected never was: its end must not take out another with its id and depth,
        as where a node calls twice with one context.
        """
        if not state.is_in_flight:
            return
        state.is_in_flight = False
        depths = self.in_flight[state.request_id]
        depths.remove(state.depth)
        if not depths:
            del self.in_flight[state.request_id]
