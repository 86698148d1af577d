"""The extension that captures a balancer's calls to its policy in a ring of segments on disk.

Each segment begins with the start of the policy or its complete state, so it can be replayed
without the other segments. A separate thread compresses and writes. If it falls behind, records are
dropped and counted. As a segment cannot be replayed past such a gap, a new segment begins after it.
SIGUSR2 preserves the segments of the ring.
"""

import time
from typing import Any

from pepperhook.capture.reader import CONTENT, CONTENT_VERSION
from pepperhook.capture.recorder import Recorder
from pepperhook.container import FileMetadata
from pepperhook.container.preserve_signal import add_preserve_callback, stop_preserving
from pepperhook.container.retention import Retention
from pepperhook.container.ring import SegmentRing
from pepperhook.container.segment_directory import SegmentDirectory
from pepperhook.operator_config.schema import CaptureTable
from pepperhook.server.app import BalancerApp
from pepperhook.server.config import Config
from pepperhook.server.structured_logging import Log

SUFFIX = "rec"
BATCH_BYTES = 64 * 1024  # a batch of this size goes to the writer thread
NS_PER_S = 10**9
# A batch also goes to the writer thread at this age: a balancer with few calls takes minutes to
# fill one, and a kill would lose all of them.
MAX_BATCH_AGE_NS = 2 * NS_PER_S


class Capture:
    """The extension. It owns the segment ring and the recorder that wraps the policy."""

    def __init__(self, table: CaptureTable, config: Config, log: Log) -> None:
        """Configure the ring; ``hold`` creates its folder."""
        self.config = config
        self.segment_ns = int(table.segment_s * NS_PER_S)
        retention = Retention.from_settings(table.minutes, table.mb)
        directory = SegmentDirectory(table.folder, config.name, SUFFIX, retention)
        self.ring = SegmentRing(directory, log)
        self.app: BalancerApp | None = None
        self.recorder: Recorder | None = None
        self.segment_end_ns = 0
        self._batch = bytearray()
        self._batch_begin_ns = 0
        self._last_ns = 0
        self._is_writing_state = False

    def hold(self) -> None:
        """Create the ring's folder. Raises SegmentFolderError."""
        self.ring.create_folder("record.folder")

    def born(self, app: BalancerApp, policy: Any, now: int) -> Recorder:
        """Wrap the new policy in a recorder, so that the first segment begins with its start."""
        self.app = app
        self.hold()
        self.ring.start()
        self._open_segment(now)
        self.recorder = Recorder(policy, self.config.settings, self.config.seed, now, self.write)
        return self.recorder

    def started(self, app: BalancerApp) -> None:
        """Preserve the ring when an operator sends SIGUSR2."""
        add_preserve_callback(app.runtime, self.preserve)

    async def left(self) -> None:
        """Remove the recorder from the runtime, and close the ring."""
        assert self.app is not None and self.recorder is not None
        self.app.runtime.policy = self.recorder.module
        self.submit_batch()
        await self.ring.close()
        stop_preserving(self.app.runtime)

    def told(self) -> dict[str, Any]:
        """Return the counters for the log."""
        return {
            "name": "record",
            "calls": self.recorder.record_count if self.recorder else 0,  # records of all kinds
            **self.ring.log_fields(),
        }

    def write(self, record: bytes, now: int, _request_id: object) -> None:
        """Write a record of the recorder.

        ``now`` is 0 for the record of an object, which precedes the record of its call.
        """
        self._add_to_batch(record, now)
        if not now or self._is_writing_state or self.recorder is None:
            return
        # A segment may begin here: the call is recorded, and the state includes its effects.
        if self.ring.has_gap or now >= self.segment_end_ns:
            self._begin_segment_with_state(self.recorder, now)

    def preserve(self) -> None:
        """Begin a new segment, and preserve the earlier ones."""
        assert self.app is not None and self.recorder is not None
        self._begin_segment_with_state(self.recorder, self.app.runtime.now())
        self.ring.preserve()

    def submit_batch(self) -> None:
        """Queue the batched records for the writer thread."""
        if self._batch:
            self.ring.append(bytes(self._batch), self._batch_begin_ns)
            self._batch.clear()

    def _add_to_batch(self, record: bytes, now: int) -> None:
        self._last_ns = now or self._last_ns
        if not self._batch:
            self._batch_begin_ns = self._last_ns
        self._batch += record
        is_old = self._last_ns - self._batch_begin_ns >= MAX_BATCH_AGE_NS
        if is_old or len(self._batch) >= BATCH_BYTES:
            self.submit_batch()

    def _begin_segment_with_state(self, recorder: Recorder, now: int) -> None:
        self.ring.has_gap = False
        self.submit_batch()
        self._open_segment(now)
        self._is_writing_state = True
        try:
            recorder.write_state(now)
        finally:
            self._is_writing_state = False

    def _open_segment(self, now: int) -> None:
        self.segment_end_ns = now + self.segment_ns
        names = self.config.names
        metadata = FileMetadata(
            CONTENT,
            CONTENT_VERSION,
            self.config.name,
            self.config.settings.tier,
            created_unix_ns=time.time_ns(),
            created_ns=now,
            # The policy knows service classes and tenants only by number.
            extra={"grades": list(names.service_classes), "customers": list(names.tenants)},
        )
        self.ring.open_segment(metadata)
