"""The extension that writes traces of a balancer's requests to a ring of segments on disk.

On SIGUSR2 the segments are moved to a folder where the ring does not delete them.
"""

import time
from typing import Any

from pepperhook.container import FileMetadata
from pepperhook.container.preserve_signal import add_preserve_callback, stop_preserving
from pepperhook.container.retention import Retention
from pepperhook.container.ring import SegmentRing
from pepperhook.container.segment_directory import SegmentDirectory
from pepperhook.operator_config.schema import TraceTable
from pepperhook.server.app import BalancerApp
from pepperhook.server.config import Config
from pepperhook.server.structured_logging import Log
from pepperhook.tracing.records import (
    CONTENT,
    CONTENT_VERSION,
    RequestTrace,
    encode,
    index_keys,
)
from pepperhook.tracing.tracer import Tracer

SUFFIX = "trc"
NS_PER_S = 10**9


class Tracing:
    """The extension, which owns the ring and the tracer that wraps the policy."""

    def __init__(self, table: TraceTable, config: Config, log: Log) -> None:
        """Configure the ring; nothing is created on disk before ``hold``."""
        self.table = table
        self.config = config
        self.segment_ns = int(table.segment_s * NS_PER_S)
        retention = Retention.from_settings(table.minutes, table.mb)
        directory = SegmentDirectory(table.folder, config.name, SUFFIX, retention)
        self.ring = SegmentRing(directory, log)
        self.app: BalancerApp | None = None
        self.tracer: Tracer | None = None
        self.segment_end_ns = 0

    def hold(self) -> None:
        """Create the ring's folder. Raises SegmentFolderError."""
        self.ring.create_folder("trace.folder")

    def born(self, app: BalancerApp, policy: Any, now: int) -> Tracer:
        """Wrap the policy in a tracer, and open the first segment."""
        self.app = app
        # Only __main__ runs the ``hold`` hooks before; otherwise the folder may be missing.
        self.hold()
        self.ring.start()
        names = self.config.names
        self.tracer = Tracer(
            policy,
            self.write,
            list(names.service_classes),
            list(names.tenants),
            self.table.sampled_fraction,
            self.table.parent_pattern,
        )
        self._open_segment(now)
        return self.tracer

    def started(self, app: BalancerApp) -> None:
        """Register for SIGUSR2, with which an operator preserves the ring's segments."""
        add_preserve_callback(app.runtime, self.preserve)

    async def left(self) -> None:
        """Restore the unwrapped policy, write the traces of open requests, and close the ring."""
        assert self.app is not None and self.tracer is not None
        self.app.runtime.policy = self.tracer.stop()
        await self.ring.close()
        stop_preserving(self.app.runtime)

    def told(self) -> dict[str, Any]:
        """Return the counters for the log."""
        collector = self.tracer.collector if self.tracer else None
        return {
            "name": "trace",
            "seen": collector.accepted_count if collector else 0,
            "traced": collector.written_count if collector else 0,
            **self.ring.log_fields(),
        }

    def write(self, trace: RequestTrace) -> None:
        """Append a trace to the ring.

        A new segment begins if the current one is past its end or has lost records.
        """
        if self.ring.has_gap or trace.end_ns >= self.segment_end_ns:
            self._open_segment(trace.end_ns)
        self.ring.append(encode(trace), trace.taken, index_keys(trace))

    def preserve(self) -> None:
        """Begin a new segment, and preserve the earlier ones."""
        assert self.app is not None
        self._open_segment(self.app.runtime.now())
        self.ring.preserve()

    def _open_segment(self, now: int) -> None:
        self.ring.has_gap = False
        self.segment_end_ns = now + self.segment_ns
        metadata = FileMetadata(
            CONTENT,
            CONTENT_VERSION,
            self.config.name,
            self.config.settings.tier,
            created_unix_ns=time.time_ns(),
            created_ns=now,
            extra={"share": self.table.sampled_fraction},
        )
        self.ring.open_segment(metadata)
