"""The streams to members: the version that each is to run, the view of its tier, and heartbeats."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from msgspec import Struct, field

from pepperhook.control_plane import frames
from pepperhook.control_plane.frames import FrameKind, MembershipView, StreamHeartbeat
from pepperhook.control_plane.history import HistoryStore
from pepperhook.control_plane.member_registry import MemberRegistry
from pepperhook.control_plane.member_stream import HasVersion, MemberStream, VersionToSend
from pepperhook.control_plane.stream_request import StreamRequest
from pepperhook.errors import PepperhookError

HEARTBEAT_INTERVAL_S = 2.0  # between frames of a stream without changes
MAX_CACHED_VERSIONS = 16  # encoded, for further members that need the same version

Write = Callable[[bytes], Awaitable[None]]


class ChangeSignal:
    """Wakes every stream when versions or views may have changed."""

    def __init__(self) -> None:
        """Begin without a change."""
        self._event = asyncio.Event()

    @property
    def next_change(self) -> asyncio.Event:
        """Return the event of the next change; get it before reading the state to be sent."""
        return self._event

    def notify(self) -> None:
        """Wake all waiting streams, and create the event of the next change."""
        self._event.set()
        self._event = asyncio.Event()


class MissingVersionError(PepperhookError):
    """A member is to run a version that the store does not have."""


class ServiceCounters(Struct):
    """Counters of the service, as its HTTP interface reports them."""

    streams: int = 0  # that are open
    versions_sent: int = 0
    bytes_sent: int = 0  # of versions
    denied: int = 0  # requests
    heartbeats: int = field(default=0, name="beats")


class _EncodedView(NamedTuple):
    epoch: int
    frame: bytes


class VersionStreams:
    """Writes the streams of all members, and encodes a frame once for all members that get it."""

    def __init__(
        self,
        store: HistoryStore,
        registry: MemberRegistry,
        desired_version: Callable[[str], int],
        has_version: HasVersion,
        counters: ServiceCounters,
        clock: Callable[[], float],
    ) -> None:
        """Serve versions from ``store``; ``desired_version`` is called with a member's name."""
        self.changes = ChangeSignal()
        self._store = store
        self._registry = registry
        self._desired_version = desired_version
        self._has_version = has_version
        self._counters = counters
        self._clock = clock
        self._encoded_versions: dict[tuple[int, int], bytes] = {}  # by number and base
        self._encoded_views: dict[int, _EncodedView] = {}  # by tier

    async def feed(self, write: Write, opened: StreamRequest) -> None:
        """Write the stream that a member has opened, until it breaks."""
        name, tier = opened.name, opened.tier
        stream = MemberStream(opened, self._has_version)
        epoch = 0
        while True:
            change = self.changes.next_change
            desired = self._desired_version(name)
            to_send = stream.next_version(desired, self._registry.running_version(name))
            if to_send is not None:
                await self._send_version(write, name, to_send)
            if self._registry.epoch(tier) != epoch:
                view = self._encoded_view(tier)
                epoch = view.epoch
                await write(view.frame)
            heartbeat = StreamHeartbeat(desired, int(self._clock() * 1000))
            await write(frames.encode_message(FrameKind.HEARTBEAT, heartbeat))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(change.wait(), HEARTBEAT_INTERVAL_S)

    async def _send_version(self, write: Write, name: str, to_send: VersionToSend) -> None:
        data = self._encoded_version(to_send.number, to_send.base_number)
        await write(data)
        self._counters.bytes_sent += len(data)
        self._counters.versions_sent += 1
        member = self._registry.members.get(name)
        if member is not None:
            member.sent_version = to_send.number

    def _encoded_version(self, number: int, base_number: int) -> bytes:
        """Return the frames of a version for a member that has the version ``base_number``.

        Cached: encoding them for each of a thousand members took a whole core.
        """
        key = number, base_number
        if key not in self._encoded_versions:
            if len(self._encoded_versions) >= MAX_CACHED_VERSIONS:
                self._encoded_versions.clear()
            version = self._store.version(number)
            if version is None:
                raise MissingVersionError(f"version {number} is not in the store")
            base = self._store.version(base_number) if base_number else None
            self._encoded_versions[key] = b"".join(frames.encode_version(version, base))
        return self._encoded_versions[key]

    def _encoded_view(self, tier: int) -> _EncodedView:
        epoch = self._registry.epoch(tier)
        view = self._encoded_views.get(tier)
        if view is None or view.epoch != epoch:
            message = MembershipView(epoch, self._registry.names(tier))
            view = _EncodedView(epoch, frames.encode_message(FrameKind.VIEW, message))
            self._encoded_views[tier] = view
        return view
