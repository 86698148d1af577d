"""The contexts that were received recently, as several requests may have the same one."""

from dataclasses import dataclass

from pepperhook.request_context.messages import RequestContext
from pepperhook.request_context.retry_allowance import RetryAllowance

MAX_SEEN_CONTEXTS = 8192


@dataclass(slots=True)
class SeenContext:
    """Reception time, expiry and retries of a context, shared by all requests that carry it."""

    first_received_at: int
    expires_at: int  # received after this time, it was reused for another call
    allowance: RetryAllowance


class SeenContexts:
    """Stores contexts by request id and path, up to a limit; evicts expired ones first."""

    def __init__(self) -> None:
        """Start empty."""
        self._contexts: dict[tuple[str, str], SeenContext] = {}

    def __len__(self) -> int:
        """Return how many contexts are stored."""
        return len(self._contexts)

    def find(self, context: RequestContext) -> SeenContext | None:
        """Return what is stored for a context, or None if it was not received before."""
        return self._contexts.get((context.request_id, context.path))

    def add(self, now: int, context: RequestContext, seen_context: SeenContext) -> None:
        """Store a context; evict expired ones, then the oldest, when the limit is reached."""
        if len(self._contexts) >= MAX_SEEN_CONTEXTS:
            self._evict(now)
        self._contexts[context.request_id, context.path] = seen_context

    def _evict(self, now: int) -> None:
        expired = [
            key for key, seen_context in self._contexts.items() if seen_context.expires_at < now
        ]
        for key in expired:
            del self._contexts[key]
        while len(self._contexts) >= MAX_SEEN_CONTEXTS:
            del self._contexts[next(iter(self._contexts))]
