"""Follows the member list: applies new versions of its file, and asks other members for theirs."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import msgspec

from pepperhook.idempotency.host import Log
from pepperhook.idempotency.member_list import (
    MemberListFile,
    MemberListHistory,
    NotListedError,
)
from pepperhook.idempotency.ownership import (
    UNLISTED_EPOCH,
    Knowledge,
    KnownLists,
    Member,
    MemberList,
    Ownership,
    knowledge_at_start,
    unlisted_owner,
)
from pepperhook.idempotency.peer_client import PeerClient
from pepperhook.idempotency.peer_protocol import KnownEpochs

POLL_INTERVAL_S = 0.5  # between checks of the file and of members with an older list
ASK_TIMEOUT_S = 1.0  # for all responses of one member


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
        self._silent_members: list[str] = []  # whose reports are missing, as last logged
        self._now: Callable[[], int]
        self._longest_entry_ns: Callable[[], int]

    def start(
        self,
        now: Callable[[], int],
        longest_entry_ns: Callable[[], int],
        journal_directory: Path | None,
        *,
        has_entries: bool,
    ) -> None:
        """Restore the lists that were saved when this process last ran.

        ``now`` returns the time in nanoseconds; ``longest_entry_ns`` the longest time from
        the start of a request to the end of its key's window; ``has_entries``: whether the journal
        has keys of an earlier run.
        """
        self._now = now
        self._longest_entry_ns = longest_entry_ns
        if journal_directory is not None:
            self._history = MemberListHistory(journal_directory)
        self._restore_lists(has_entries=has_entries)
        self._log_known_lists("member_lists_restored")
        self._save_history()

    def _restore_lists(self, *, has_entries: bool) -> None:
        saved = self._load_history()
        if has_entries and not saved.lists:
            own = next(m for m in self.ownership.current.members if m.name == self.file.own_name)
            saved = KnownLists([unlisted_owner(own)], is_complete=True)
        previous = list(saved.lists)
        current = self.ownership.current
        if saved.epoch > current.epoch:
            self._log.warning(
                "member_list_older_than_saved",
                path=self.file.path,
                epoch=current.epoch,
                saved_epoch=saved.epoch,
            )
            current = previous.pop()
        self.ownership = Ownership(
            self.file.own_name,
            current,
            previous,
            self._now(),
            knowledge_at_start(saved, current),
        )

    def _load_history(self) -> KnownLists:
        nothing = KnownLists([], is_complete=False)
        if self._history is None:
            return nothing
        try:
            return self._history.load()
        except (OSError, msgspec.MsgspecError) as error:
            self._log.warning(
                "member_list_history_unreadable", path=self._history.path, error=error
            )
            return nothing

    def _save_history(self) -> None:
        """Save the current and previous lists; after a failure, the next change saves them again.

        Until then this member uses the lists in memory; only a restart would lose them.
        """
        if self._history is None:
            return
        try:
            self._history.save(self.ownership.known_lists)
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
            knowledge=ownership.knowledge.value,
        )

    async def watch(self) -> None:
        """Check the file and the members periodically; runs until it is cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            await self._poll()

    async def _poll(self) -> None:
        if self.file.has_changed():
            self._reload()
        await self.ask_members()

    def _reload(self) -> None:
        try:
            members = self.file.read()
        except ValueError as error:
            if isinstance(error, NotListedError):
                self.ownership.note_removal(error.epoch)
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

    async def ask_members(self) -> None:
        """Ask the members whose reports are needed; drop the previous lists when possible.

        Takes ASK_TIMEOUT_S at most.
        """
        ownership = self.ownership
        members = ownership.members_to_ask()
        if ownership.is_settled and not members:
            return
        was_settled, was_outdated = ownership.is_settled, ownership.is_outdated
        known_before = ownership.known_lists
        await asyncio.gather(*map(self._ask, members))
        if ownership.settle(self._now(), self._longest_entry_ns()) and not was_settled:
            self._log.info("ownership_settled", epoch=ownership.current.epoch)
        elif ownership.known_lists != known_before:
            self._log_known_lists("member_lists_learned")
        if ownership.known_lists != known_before:
            self._save_history()
        if ownership.is_outdated and not was_outdated:
            self._log.warning(
                "member_list_outdated", path=self.file.path, epoch=ownership.current.epoch
            )
        self._log_silent_members()

    async def _ask(self, member: Member) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(ASK_TIMEOUT_S):
                await self._note_report(member)

    async def _note_report(self, member: Member) -> None:
        """Ask a member for the lists that it knows, and note its report."""
        try:
            epochs = await self._client.poll_known_epochs(member)
        except ValueError:
            # An earlier build does not report its lists, but can be released all the same.
            epoch = await self._client.poll_epoch(member)
            if epoch is not None:
                self.ownership.note_epoch(self._now(), member.name, epoch)
            return
        if epochs is None:
            return
        known = await self._fetch_lists(member, epochs)
        if known is not None:
            self.ownership.note_lists(self._now(), member.name, known)

    async def _fetch_lists(self, member: Member, known: KnownEpochs) -> KnownLists | None:
        """Return a member's lists; None if one could not be fetched, as it may just be dropped."""
        own_lists = {
            members.epoch: members
            for members in self.ownership.known_lists.lists
            if members.epoch != UNLISTED_EPOCH  # which other members may have, too
        }
        lists: list[MemberList] = []
        for epoch in known.epochs:
            members = own_lists.get(epoch) or await self._client.fetch_list(member, epoch)
            if members is None:
                return None
            lists.append(members)
        return KnownLists(lists, known.is_complete)

    def _log_silent_members(self) -> None:
        """Log, when it changes, whose reports are missing while keys are rejected for that."""
        names: list[str] = []
        if self.ownership.knowledge is not Knowledge.COMPLETE:
            names = sorted(self.ownership.missing_reports)
        if names and names != self._silent_members:
            self._log.warning("member_lists_incomplete", waits_for=names)
        self._silent_members = names
