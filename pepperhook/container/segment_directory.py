"""The folder with one balancer's segments: file names, deletion and preservation."""

import os
import time
from collections.abc import Callable
from pathlib import Path

from pepperhook.container.retention import Retention, SegmentFile
from pepperhook.errors import PepperhookError

_NS_PER_S = 10**9


class SegmentFolderError(PepperhookError, ValueError):
    """The folder cannot be created; the message is one line that begins with the setting's key."""


class SegmentDirectory:
    """Files ``NAME-TIME.SUFFIX`` in a folder that other balancers and rings may share."""

    def __init__(
        self,
        folder: str | os.PathLike[str],
        name: str,
        suffix: str,
        retention: Retention,
        clock: Callable[[], float] = time.time,
    ) -> None:
        """Configure the folder without creating it; ``clock`` returns Unix time in seconds."""
        self.folder = Path(folder)
        self.name = name
        self.suffix = suffix
        self._retention = retention
        self._clock = clock

    def create(self, setting: str) -> None:
        """Create the folder. Raises SegmentFolderError, which names ``setting``."""
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise SegmentFolderError(f"{setting}: {self.folder}: {error.strerror}") from error

    def new_segment_path(self) -> Path:
        """Return the path for a segment that begins now; paths sort by time."""
        return self.folder / f"{self.name}-{time.time_ns():020d}.{self.suffix}"

    def new_preservation_folder(self) -> Path:
        """Return the path of the folder for segments that are preserved now."""
        return self.folder / f"kept-{time.time_ns() // _NS_PER_S}"

    def segment_paths(self) -> list[Path]:
        """Return the paths of the segments, oldest first."""
        return sorted(self.folder.glob(f"{self.name}-*.{self.suffix}"))

    def delete_expired(self) -> None:
        """Delete the segments that exceed the retention limits."""
        for segment in self._retention.expired(self._segment_files(), self._clock()):
            segment.path.unlink(missing_ok=True)

    def preserve(self, target: Path, open_segment: Path | None) -> None:
        """Move all segments except the open one to ``target``, where none is deleted."""
        target.mkdir(exist_ok=True)
        for path in self.segment_paths():
            if path != open_segment:
                path.replace(target / path.name)

    def _segment_files(self) -> list[SegmentFile]:
        segments = []
        for path in self.segment_paths():
            try:
                status = path.stat()
            except FileNotFoundError:
                continue  # deleted by another process since the folder was listed
            segments.append(SegmentFile(path, status.st_size, status.st_mtime))
        return segments
