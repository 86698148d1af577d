"""Replays a capture with another revision of the repository, in a separate process.

The process uses that revision's types, settings and codec along with its policy, so any revision
that can read the capture can be compared, whatever has been renamed since.
"""

import json
import subprocess
import sys
import tarfile
import tempfile
from io import BytesIO
from pathlib import Path
from typing import Any

from pepperhook.container import UnreadableFileError


class RevisionBuild:
    """The package of a revision, unpacked to a temporary folder that this object owns."""

    def __init__(self, revision: str, root: Path) -> None:
        """Unpack ``revision`` of the Git repository at ``root``. Raises UnreadableFileError."""
        self.revision = revision
        self.folder = tempfile.TemporaryDirectory(prefix="pepperhook-revision-")
        archived = subprocess.run(
            ["git", "-C", str(root), "archive", revision, "pepperhook"],
            capture_output=True,
            check=False,
        )
        if archived.returncode:
            reason = archived.stderr.decode(errors="replace").strip().splitlines()[-1]
            raise UnreadableFileError(f"revision {revision}: {reason}")
        with tarfile.open(fileobj=BytesIO(archived.stdout)) as archive:
            archive.extractall(self.folder.name, filter="data")

    def replay(self, path: Any) -> dict[str, Any]:
        """Replay one file with the revision; return its JSON output. Raises UnreadableFileError."""
        command = [sys.executable, "-m", "pepperhook.cli", "record", "replay", "--json"]
        process = subprocess.run(
            [*command, str(Path(path).resolve())],
            cwd=self.folder.name,
            capture_output=True,
            text=True,
            check=False,
        )
        if process.returncode not in (0, 1) or not process.stdout:
            reason = (process.stderr.strip().splitlines() or ["no output"])[-1]
            raise UnreadableFileError(f"revision {self.revision}: {reason}")
        result = json.loads(process.stdout)
        result.pop("took_s", None)  # added by the command; not a field of Replay
        return dict(result, file=str(path))
