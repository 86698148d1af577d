"""Follows the member list: applies new versions of its file, and learns when others have them."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import msgspec

from pepperhook.idempotency.host import Log
from pepperhook.idempotency.member_list import MemberListFile, MemberListHistory
from pepperhook.idempotency.ownership import MemberList, Ownership
from pepperhook.idempotency.peer_client import PeerClient

POLL_INTERVAL_S = 0.5  # between checks of the file and of members with an older list


class MemberListFollower:
    """The lists that this member knows, in memory and on disk. Owns their file and history."""

    def __init__(self, path: str, own_name: str, client: PeerClient, log: Log) -> None:
        """Read the member list. Raises ValueError with a one-line message."""
        self.file = MemberListFile(path, own_name)
        self.ownership = Ownership(own_name, self.file.read(), [], 0)
        self.history_failures = 0
        self._client = client
        self._log = log
        self._history: MemberListHistory | None = None
        self._longest_window_ns = 0
        self._now: Callable[[], int]

    def start(
        self, now: Callable[[], int], longest_window_ns: int, journal_directory: Path | None
    ) -> None:
        """Restore the lists that were saved when this process last ran.

        ``now`` returns the time in nanoseconds; ``longest_window_ns`` is that of all service
        classes.
        """
        self._now = now
        self._longest_window_ns = longest_window_ns
        if journal_directory is not None:
            self._history = MemberListHistory(journal_directory)
        self._restore_lists()
        self._log_known_lists("member_lists_restored")
        self._save_history()

    def _restore_lists(self) -> None:
        saved = self._load_history()
        current = self.ownership.current
        if saved and saved[-1].epoch > current.epoch:
            self._log.warning(
                "member_list_older_than_saved",
                path=self.file.path,
                epoch=current.epoch,
                saved_epoch=saved[-1].epoch,
            )
            current = saved.pop()
        self.ownership = Ownership(self.file.own_name, current, saved, self._now())

    def _load_history(self) -> list[MemberList]:
        if self._history is None:
            return []
        try:
            return self._history.load()
        except (OSError, msgspec.MsgspecError) as error:
            self._log.warning(
                "member_list_history_unreadable", path=self._history.path, error=error
            )
            return []

    def _save_history(self) -> None:
        """Save the current and previous lists; after a failure, the next change saves them again.

        Until then this member uses the lists in memory; only a restart would lose them.
        """
        if self._history is None:
            return
        try:
            self._history.save([*self.ownership.previous, self.ownership.current])
        except OSError as error:
            self.history_failures += 1
            self._log.warning("member_list_history_not_saved", path=self._history.path, error=error)

    def _log_known_lists(self, event: str) -> None:
        """Log the current list, and the earlier ones whose owners a key's new owner waits for."""
        ownership = self.ownership
        self._log.info(
            event,
            epoch=ownership.current.epoch,
            members=len(ownership.current.members),
            earlier_epochs=[earlier.epoch for earlier in ownership.previous],
        )

    async def watch(self) -> None:
        """Check the file and the members periodically; runs until it is cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self.file.has_changed():
                self._reload()
            await self._poll_members()

    def _reload(self) -> None:
        try:
            members = self.file.read()
        except ValueError as error:
            self._log.warning("member_list_rejected", error=error)
            return
        current = self.ownership.current
        if self.ownership.replace(self._now(), members):
            self._log_known_lists("member_list_applied")
            self._save_history()
        elif members != current:
            self._log.warning(
                "member_list_rejected",
                error=f"{self.file.path}: epoch {members.epoch} is not above {current.epoch}",
            )

    async def _poll_members(self) -> None:
        """Poll the epochs of unconfirmed members; drop the previous lists when possible."""
        if not self.ownership.previous:
            return
        for member in self.ownership.unconfirmed_members():
            epoch = await self._client.poll_epoch(member)
            if epoch is not None:
                self.ownership.note_epoch(self._now(), member.name, epoch)
        if self.ownership.settle(self._now(), self._longest_window_ns):
            self._log.info("ownership_settled", epoch=self.ownership.current.epoch)
            self._save_history()
