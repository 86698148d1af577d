"""The state machine of one idempotency key, and the decisions on requests with the key.

The terms follow draft-ietf-httpapi-idempotency-key-header: a key, the fingerprint of the request
that carried it, the first request and its repeats. Times are whole nanoseconds, sizes are bytes.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum, StrEnum, auto
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from pepperhook.idempotency.capacity import TenantPartition
    from pepperhook.server.field_value import FieldValue


class EntryState(Enum):
    """What is known about a key's first request. A key without an entry is unknown.

    An entry starts as RUNNING and ends once: it changes to one of the other states, or is removed.
    It is removed if the first request never ran, because the next request may then run instead. In
    safe service classes it is also removed if the first request may have run, because running it
    twice does no harm.
    """

    RUNNING = auto()
    COMPLETED = auto()  # served; repeats within the window receive the stored response
    INDETERMINATE = auto()  # no result, but an attempt may have run: none may run in the window


class Verdict(StrEnum):
    """What to do with a request that has arrived or has waited. The values are counter names."""

    NEW = "new"  # the key's first request: run it
    WAIT = "wait"  # the first request is running: wait for its result
    REPLAY = "replay"  # answer with the first request's response
    INDETERMINATE = "indeterminate"  # respond "failed": the first request may have run
    FINGERPRINT_MISMATCH = "fingerprint_mismatch"  # the key was used with another request
    RESPONSE_NOT_STORED = "response_not_stored"  # served before, but the response was not stored
    REJECTED = "rejected"  # no capacity for another key or another waiter


class StoredResponse(Struct, frozen=True):
    """The complete response to a key's first request."""

    body: bytes
    content_type: FieldValue | None


class KeyRules(Struct, frozen=True):
    """The rules of a service class that apply to a key."""

    service_class: int
    window_ns: int  # how long a key applies after its request has ended
    is_safe: bool  # whether running a request twice does no harm

    def strictest(self, other: KeyRules) -> KeyRules:
        """Return the stricter of both in each respect, for a key that was used under both."""
        if other == self:
            return self
        return KeyRules(
            service_class=self.service_class,
            window_ns=max(self.window_ns, other.window_ns),
            is_safe=self.is_safe and other.is_safe,
        )


class Arrival(Struct, frozen=True):
    """A request with a key; ``key`` and ``fingerprint`` are digests."""

    request: Hashable
    key: bytes
    fingerprint: bytes
    rules: KeyRules
    tenant: int | None  # None if the settings do not list the tenant


class Decision(Struct, frozen=True):
    """A verdict. ``response`` is set with REPLAY, ``retry_after_ns`` with REJECTED."""

    verdict: Verdict
    response: StoredResponse | None = None
    retry_after_ns: int = 0


class Resolution(Struct, frozen=True):
    """The decision on a request that waited for the first request."""

    request: Hashable
    decision: Decision


class Departure(Struct, frozen=True):
    """What to do after a request's client has left or its time limit has expired.

    ``keep_running``: the request continues because other requests wait for its result.
    ``abandoned``: a running request that was continued only for waiters, of which this request was
    the last. No client waits for its result any more.
    """

    keep_running: bool
    abandoned: Hashable | None = None


@dataclass(slots=True, eq=False)
class Execution:
    """The part of an entry that exists only while a request runs for it."""

    request: Hashable
    waiters: dict[Hashable, None] = field(default_factory=dict)  # in order of arrival
    open_attempts: set[Hashable] = field(default_factory=set)
    has_run: bool = False  # an ended attempt may have run
    is_abandoned: bool = False  # the request's client has left

    @property
    def may_have_run(self) -> bool:
        """Whether an ended attempt may have run, or an attempt is still open."""
        return self.has_run or bool(self.open_attempts)


@dataclass(slots=True, eq=False)
class Entry:
    """One idempotency key. ``execution`` is set if and only if the state is RUNNING.

    ``rules`` are the strictest that were in force while a request ran or waited for the key;
    ``expires_ns`` is the end of their window.
    """

    key: bytes
    partition: TenantPartition
    rules: KeyRules
    fingerprint: bytes
    size: int
    execution: Execution | None = None
    state: EntryState = EntryState.RUNNING
    response: StoredResponse | None = None
    expires_ns: int = 0

    def is_expired(self, now_ns: int, extension_ns: int) -> bool:
        """Return whether the request has ended and the window after its end is over.

        ``extension_ns``: by how much the settings in force extend the window.
        """
        return self.state is not EntryState.RUNNING and self.expires_ns + extension_ns <= now_ns

    def end(self, state: EntryState, expires_ns: int) -> None:
        """Change from RUNNING to ``state``, which applies until ``expires_ns``."""
        self.state = state
        self.expires_ns = expires_ns
        self.execution = None

    def hand_over(self, request: Hashable) -> None:
        """Let another request run for the key; the remaining waiters then wait for its result."""
        waiters = self.running.waiters
        self.execution = Execution(request, waiters)

    @property
    def running(self) -> Execution:
        """The execution of an entry whose state must be RUNNING."""
        assert self.execution is not None
        return self.execution
