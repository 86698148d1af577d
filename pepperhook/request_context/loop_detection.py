"""Detects calls that return to a tier that is still waiting for their response."""

from pepperhook.request_context.authentication import service_of
from pepperhook.request_context.messages import MAX_DEPTH
from pepperhook.request_context.request_state import RequestState

LOOP_VISITS = 2  # hops of this service that make a loop; a single one may be another instance


class LoopDetector:
    """Detects loops by this balancer's name and the requests in flight here."""

    def __init__(self, hop: str) -> None:
        """``hop``: this balancer's name in the header, see ``authentication.hop_name``."""
        self.hop = hop
        self.in_flight: dict[str, list[int]] = {}  # depths, by request id
        self._service = service_of(hop)

    def is_loop(self, state: RequestState) -> bool:
        """Return whether an arriving request is part of a loop.

        That is so if its hops contain this instance, or this service ``LOOP_VISITS`` times; if it
        has reached the maximum depth; or if the same request is in flight here at a smaller depth,
        which also detects a loop where a node dropped the hops.
        """
        services = [service_of(hop) for hop in state.hops]
        return (
            self.hop in state.hops
            or services.count(self._service) >= LOOP_VISITS
            or state.depth >= MAX_DEPTH
            or any(depth < state.depth for depth in self.in_flight.get(state.request_id, ()))
        )

    def enter(self, state: RequestState) -> None:
        """Record that a request is in flight here."""
        state.is_in_flight = True
        self.in_flight.setdefault(state.request_id, []).append(state.depth)

    def leave(self, state: RequestState) -> None:
        """Record that a request is no longer in flight here.

        Two requests have the same id and depth if a node makes two calls with one context. The end
        of a rejected one, which was never recorded, must not remove the other.
        """
        if not state.is_in_flight:
            return
        state.is_in_flight = False
        depths = self.in_flight[state.request_id]
        depths.remove(state.depth)
        if not depths:
            del self.in_flight[state.request_id]
