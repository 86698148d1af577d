"""What a balancer knows of the endpoint list and its service, and until when each of it holds."""

from dataclasses import dataclass


@dataclass(slots=True)
class EndpointKnowledge:
    """The latest observations of the service, each with the time at which it stops to permit sends.

    A change counts as notified ``notified_after`` nanoseconds after the service had it and could be
    reached. So an observation holds that long after the time that it is about, which is the beginning of a
    call: the service may have changed while the call was open. Times are in nanoseconds.
    """

    notified_after: int
    list_valid_until: int  # by an answered poll: until then the list is sent by
    unreachable_until: int = 0  # by a failed poll: until then upstreams that pass health checks are sent to

    @property
    def valid_until(self) -> int:
        """Time at which everything that was observed stops to permit sends."""
        return max(self.list_valid_until, self.unreachable_until)

    def record_answer(self, at: int) -> None:
        """Record that the service answered with the list as it was at time ``at``."""
        self.list_valid_until = at + self.notified_after
        self.unreachable_until = 0

    def record_unreachable(self, at: int) -> None:
        """Record that the service could not be reached at time ``at``."""
        self.unreachable_until = max(self.unreachable_until, at + self.notified_after)

    def record_running(self) -> None:
        """Record that the service runs, or that another one is polled, without an answer."""
        self.unreachable_until = 0

    def extend_list(self, until: int) -> None:
        """Keep the list valid until a time, unless it is valid for longer."""
        self.list_valid_until = max(self.list_valid_until, until)

    def permits_until(self, shown_ready_at: int) -> int:
        """Return the time until which an upstream may be sent to.

        ``shown_ready_at``: the beginning of the last health check that it passed.
        """
        shown_ready_until = shown_ready_at + self.notified_after
        return max(self.list_valid_until, min(self.unreachable_until, shown_ready_until))
