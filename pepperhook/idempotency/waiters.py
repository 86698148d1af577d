"""Requests that wait for the result of the first request with their key."""

from collections.abc import Hashable

from pepperhook.idempotency.entries import Entry


class WaiterRegistry:
    """All waiting requests. Each is also in the queue of its entry, in order of arrival."""

    def __init__(self, max_per_key: int) -> None:
        """Allow at most ``max_per_key`` waiters for one key."""
        self.max_per_key = max_per_key
        self.entry_by_request: dict[Hashable, Entry] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self.entry_by_request)

    def add(self, entry: Entry, request: Hashable) -> bool:
        """Add a request to the queue of a running entry; return False if the queue is full."""
        waiters = entry.running.waiters
        if len(waiters) >= self.max_per_key:
            return False
        waiters[request] = None
        self.entry_by_request[request] = entry
        return True

    def remove(self, request: Hashable) -> Entry | None:
        """Remove a request; return the entry that it waited for, or None if it was not waiting."""
        entry = self.entry_by_request.pop(request, None)
        if entry is not None:
            del entry.running.waiters[request]
        return entry

    def remove_first(self, entry: Entry) -> Hashable | None:
        """Remove and return the request that arrived first of an entry's waiters, or None."""
        first = next(iter(entry.running.waiters), None)
        if first is not None:
            self.remove(first)
        return first

    def remove_all(self, entry: Entry) -> list[Hashable]:
        """Remove and return all requests that wait for an entry, in order of arrival."""
        requests = list(entry.running.waiters)
        entry.running.waiters.clear()
        for request in requests:
            del self.entry_by_request[request]
        return requests
