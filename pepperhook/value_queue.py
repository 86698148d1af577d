"""A queue of requests ordered by value, then by age."""

from pepperhook.domain import Request


class ValueQueue(list[Request]):
    """A short list that is kept sorted; the first request is the most valuable."""

    def add(self, request: Request) -> int:
        """Queue a request and return its position."""
        request.queued = True
        self.append(request)
        self.sort(key=lambda queued: (-queued.value, queued.accepted_at))
        return self.index(request)

    def discard(self, request: Request) -> None:
        """Remove a request if it is queued."""
        if request.queued:
            self.remove(request)
            request.queued = False
