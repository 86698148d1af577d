"""The member list on disk: the operator's file, and the history of lists that are still needed."""

import os
from pathlib import Path

import msgspec

from pepperhook import tomlfile
from pepperhook.errors import PepperhookError
from pepperhook.idempotency.ownership import FIRST_EPOCH, KnownLists, MemberList

HISTORY_FILE = "members.json"
MAX_PORT = 65535

FileStamp = tuple[int, int, int]  # modification time in ns, size, inode


class MemberListError(PepperhookError, ValueError):
    """The file can't be used; the one-line message names file and key."""


class NotListedError(MemberListError):
    """A valid list does not have this member; ``epoch`` is its number."""

    def __init__(self, message: str, epoch: int) -> None:
        """Describe the list in a one-line message."""
        super().__init__(message)
        self.epoch = epoch


class MemberListFile:
    """The member list file, written by an operator and identical for all members."""

    def __init__(self, path: str | Path, own_name: str) -> None:
        """Note the file's state; ``own_name`` is the LB_NAME, which must be in the list."""
        self.path = Path(path)
        self.own_name = own_name
        self.stamp = self._read_stamp()

    def has_changed(self) -> bool:
        """Return whether the file was replaced or written since the last call."""
        before, self.stamp = self.stamp, self._read_stamp()
        return self.stamp != before

    def _read_stamp(self) -> FileStamp | None:
        try:
            status = self.path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino

    def read(self) -> MemberList:
        """Read and check the list. Raises ValueError with a one-line message."""
        members: MemberList = tomlfile.read(self.path, MemberList)
        if members.epoch < FIRST_EPOCH:
            raise MemberListError(f"{self.path}: epoch: {FIRST_EPOCH} or more is wanted")
        names = [member.name for member in members.members]
        if len(set(names)) != len(names):
            raise MemberListError(f"{self.path}: members: a name is listed twice")
        for member in members.members:
            self._check_address(member.name, member.address)
        if self.own_name not in names:
            raise NotListedError(
                f"{self.path}: members: {self.own_name!r} (LB_NAME) "
                f"is not among {', '.join(names)}",
                members.epoch,
            )
        return members

    def _check_address(self, name: str, address: str) -> None:
        host, _, port = address.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
            raise MemberListError(
                f"{self.path}: members: {name}: address: HOST:PORT is wanted, not {address!r}"
            )


class MemberListHistory:
    """The previous lists that are still needed, and the current one, on disk.

    A member that was down during a change needs the previous list to detect the change. The file
    has an array of lists, oldest first; while lists may be missing, it has an object with this
    array, which an earlier build, without reports of lists, can't mistake for a complete one.
    """

    def __init__(self, directory: Path) -> None:
        """Use a file in ``directory``, which is the journal's."""
        self.path = directory / HISTORY_FILE

    def load(self) -> KnownLists:
        """Read the lists; return none if nothing was saved. Raises OSError and MsgspecError."""
        try:
            data = self.path.read_bytes()
        except FileNotFoundError:
            return KnownLists([], is_complete=False)
        saved = msgspec.json.decode(data, type=list[MemberList] | KnownLists)
        return saved if isinstance(saved, KnownLists) else KnownLists(saved, is_complete=True)

    def save(self, known: KnownLists) -> None:
        """Replace the saved lists atomically. Raises OSError."""
        temporary = self.path.with_suffix(".fresh")
        with temporary.open("wb") as file:
            file.write(msgspec.json.encode(known.lists if known.is_complete else known))
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self.path)
