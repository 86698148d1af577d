"""The last good version on disk, from which a balancer starts without the service."""

import asyncio
import os
from pathlib import Path

import msgspec

from pepperhook.control_plane.version import ForgedVersionError, Version, verify_version
from pepperhook.errors import PepperhookError
from pepperhook.key_ring import KeyRing
from pepperhook.server.structured_logging import Log


class UnusableStateError(PepperhookError):
    """The file does not contain a version that this installation signed."""


class LastGoodFile:
    """Writes the applied version atomically and outside the event loop.

    Writes on the event loop blocked all requests for half a second and more when twenty balancers
    of one machine wrote at the same moment.
    """

    def __init__(self, path: str | None, log: Log) -> None:
        """Use the file at ``path``; with None, nothing is written or read."""
        self._path = None if path is None else Path(path)
        self._log = log
        self._pending: Version | None = None
        self._writing: asyncio.Future[None] | None = None

    def schedule(self, version: Version) -> None:
        """Make the next ``flush`` write a version."""
        self._pending = version

    async def flush(self) -> None:
        """Write the scheduled version, and return when that is done or has failed.

        Cancelling the caller does not cancel a running write; the next ``flush`` waits for it.
        """
        version = self._pending
        self._pending = None
        if version is not None:
            self._writing = asyncio.ensure_future(asyncio.to_thread(self._write, version))
        if self._writing is not None:
            await asyncio.shield(self._writing)

    def _write(self, version: Version) -> None:
        """Replace the file; a failure is only logged, as the version is in force regardless."""
        if self._path is None:
            return
        temporary = self._path.with_name(f".{self._path.name}.{os.getpid()}")
        try:
            with temporary.open("wb") as file:
                file.write(msgspec.json.encode(version))
                file.flush()
                os.fsync(file.fileno())
            temporary.replace(self._path)
        except OSError as error:
            self._log.warning("version_not_saved", error=error.strerror or error)

    def load(self, keys: KeyRing) -> Version | None:
        """Return the verified version, or None if there is no file.

        Raises UnusableStateError.
        """
        if self._path is None or not self._path.exists():
            return None
        try:
            version = msgspec.json.decode(self._path.read_bytes(), type=Version)
            return verify_version(version, keys)
        except (OSError, msgspec.MsgspecError, ForgedVersionError) as error:
            raise UnusableStateError(str(error)) from error
