"""The service's durable state: versions, rollouts and the last status of each member.

sqlite3 in WAL mode with full synchronisation, so that acknowledged writes survive kill -9 and
power loss.
"""

import sqlite3
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any, TypeVar

import msgspec
from msgspec import Struct

from pepperhook.control_plane.member_registry import MemberStatus
from pepperhook.control_plane.rollout import Rollout
from pepperhook.control_plane.version import Version
from pepperhook.errors import PepperhookError

# The table ``about`` has the version of the file's format.
SCHEMA = """
create table if not exists versions (number integer primary key, body blob not null);
create table if not exists rollouts (number integer primary key, body blob not null);
create table if not exists members (name text primary key, body blob not null);
create table if not exists about (key text primary key, value text not null);
"""
FORMAT = "1"

Record = TypeVar("Record", bound=Struct)


class InvalidStoreError(PepperhookError, ValueError):
    """The file is not a store of this program."""


class ConflictError(PepperhookError, ValueError):
    """The parent is not the newest version; ``since`` has the versions that were added after it."""

    def __init__(self, text: str, since: list[Version]) -> None:
        """Describe the conflict."""
        super().__init__(text)
        self.since = since


class StoreFullError(PepperhookError, RuntimeError):
    """Writing to the store failed; the request had no effect."""


class HistoryStore:
    """The sqlite file of one control service."""

    def __init__(self, path: Path | str) -> None:
        """Open the file, or create it. Raises InvalidStoreError."""
        self.path = str(path)
        try:
            self.connection = sqlite3.connect(self.path, isolation_level=None)
            self._initialise()
        except sqlite3.Error as error:
            raise InvalidStoreError(f"{path}: {error}") from error

    def _initialise(self) -> None:
        self.connection.execute("pragma journal_mode = wal")
        self.connection.execute("pragma synchronous = full")
        self.connection.executescript(SCHEMA)
        row = self.connection.execute("select value from about where key = 'format'").fetchone()
        if row is None:
            self.connection.execute("insert into about values ('format', ?)", (FORMAT,))
        elif row[0] != FORMAT:
            raise InvalidStoreError(
                f"{self.path}: has format {row[0]}; this program writes {FORMAT}"
            )

    def newest_version(self) -> Version | None:
        """Return the version with the highest number, or None."""
        return self._fetch_one(
            "select body from versions order by number desc limit 1", (), Version
        )

    def version(self, number: int) -> Version | None:
        """Return the version with a number, or None."""
        return self._fetch_one("select body from versions where number = ?", (number,), Version)

    def versions(self, after: int = 0) -> list[Version]:
        """Return the versions above a number, in order."""
        rows = self.connection.execute(
            "select body from versions where number > ? order by number", (after,)
        )
        return [msgspec.json.decode(body, type=Version) for (body,) in rows]

    def add_version(self, version: Version) -> None:
        """Append a version.

        Raises ConflictError if its parent is not the newest version, or StoreFullError.
        """
        newest = self.newest_version()
        if version.parent != (newest.number if newest else 0):
            since = self.versions(version.parent)
            listed = "; ".join(
                f"{added.number} by {added.author} ({added.reason})" for added in since
            )
            raise ConflictError(f"version {version.parent} is not the newest: {listed}", since)
        body = msgspec.json.encode(version)
        self._write("insert into versions values (?, ?)", [(version.number, body)])

    def newest_rollout(self) -> Rollout | None:
        """Return the rollout with the highest number."""
        return self._fetch_one(
            "select body from rollouts order by number desc limit 1", (), Rollout
        )

    def rollout(self, number: int) -> Rollout | None:
        """Return the rollout with a number, or None."""
        return self._fetch_one("select body from rollouts where number = ?", (number,), Rollout)

    def save_rollout(self, rollout: Rollout) -> None:
        """Store a rollout's state. Raises StoreFullError."""
        body = msgspec.json.encode(rollout)
        self._write("insert or replace into rollouts values (?, ?)", [(rollout.number, body)])

    def members(self) -> dict[str, MemberStatus]:
        """Return the last stored status of every member ever seen, by name."""
        rows = self.connection.execute("select name, body from members")
        return {name: msgspec.json.decode(body, type=MemberStatus) for name, body in rows}

    def save_members(self, members: Mapping[str, MemberStatus]) -> None:
        """Store the status of members. Raises StoreFullError."""
        rows = [(name, msgspec.json.encode(status)) for name, status in members.items()]
        self._write("insert or replace into members values (?, ?)", rows)

    def close(self) -> None:
        """Close the file."""
        self.connection.close()

    def _fetch_one(
        self, query: str, parameters: tuple[Any, ...], kind: type[Record]
    ) -> Record | None:
        row = self.connection.execute(query, parameters).fetchone()
        return None if row is None else msgspec.json.decode(row[0], type=kind)

    def _write(self, statement: str, rows: Iterable[tuple[Any, ...]]) -> None:
        """Execute the statement for all rows in one transaction. Raises StoreFullError."""
        try:
            self.connection.execute("begin immediate")
            try:
                for row in rows:
                    self.connection.execute(statement, row)
                self.connection.execute("commit")
            except BaseException:
                if self.connection.in_transaction:
                    self.connection.execute("rollback")
                raise
        except sqlite3.OperationalError as error:
            raise StoreFullError(f"{self.path}: {error}") from error
