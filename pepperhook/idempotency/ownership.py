"""Determines which edge balancer owns a key, and when ownership may change, without I/O.

A key's owner is the member with the highest hash of its name and the key (rendezvous hashing,
Thaler and Ravishankar 1998). Members with the same list agree without exchanging messages, and a
change of the list moves only keys of members that were added or removed.

Two members with different lists may both consider themselves the owner of a key. Each list
therefore has a number, its epoch, which is sent with each forwarded request, and an owner accepts
only requests of its own epoch. A new owner does not have the former owner's entries. Before it
accepts a request that must not run twice, it waits until the former owner has reported the new
list; from then on, the former owner accepts no request under the old list. Then it waits until the
window of a request that the former owner accepted last is over.

A new owner can wait only for former owners that it knows. A member that was added, or did not run
during a change, may not know all earlier lists. Others therefore report the lists that they know,
and until one has reported that it knows all of them, such a member accepts no key that it may not
have owned before. If nobody knows all, everything that the missing lists allowed has ended one
window after all members have reported the current list.

Times are whole nanoseconds.
"""

from collections.abc import Iterable, Sequence
from enum import StrEnum
from hashlib import blake2b
from typing import Annotated

from msgspec import Meta, Struct

HASH_BYTES = 8
FIRST_EPOCH = 1  # of a fleet's first list: there is no earlier one
UNLISTED_EPOCH = 0  # of the time before, in which a member without a list owned all keys


class Member(Struct, forbid_unknown_fields=True):
    """One edge balancer."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]  # its LB_NAME
    address: str  # HOST:PORT at which other members connect


class MemberList(Struct, forbid_unknown_fields=True, kw_only=True):
    """A numbered list of members, in the format of its file."""

    version: Annotated[int, Meta(ge=1, le=1)]
    epoch: Annotated[int, Meta(ge=UNLISTED_EPOCH)]
    members: Annotated[list[Member], Meta(min_length=1, max_length=200)]
    dead: list[str] = []  # former members that an operator declares no longer running


def unlisted_owner(member: Member) -> MemberList:
    """Return the list that stands for the time in which a member ran without one."""
    return MemberList(version=1, epoch=UNLISTED_EPOCH, members=[member])


def owner_of(key: bytes, members: Sequence[Member]) -> Member:
    """Return the member that owns a key."""

    def weight(member: Member) -> tuple[bytes, str]:
        hashed = blake2b(member.name.encode() + b"\0" + key, digest_size=HASH_BYTES)
        return hashed.digest(), member.name

    return max(members, key=weight)


class Knowledge(StrEnum):
    """Which of the earlier lists that may still matter a member knows. The values are logged."""

    COMPLETE = "complete"  # all of them
    # Lists may be missing that were in force while this member ran with an older one. Keys that it
    # owned by that list are still its own: nobody else accepts them before its release.
    GAP = "gap"
    # Lists may be missing that were in force while this member did not run or was not listed.
    UNKNOWN = "unknown"


class KnownLists(Struct, frozen=True):
    """The lists that a member knows, oldest first; the last one is its current list."""

    lists: list[MemberList]
    is_complete: bool  # whether its knowledge is COMPLETE

    @property
    def epoch(self) -> int:
        """The epoch of the current list; 0 if there is none."""
        return self.lists[-1].epoch if self.lists else 0


def knowledge_at_start(saved: KnownLists, current: MemberList) -> Knowledge:
    """Return what a member knows that starts with these lists from its last run."""
    if not saved.lists:
        is_complete = current.epoch == FIRST_EPOCH
    else:
        is_complete = saved.is_complete and current.epoch <= saved.epoch + 1
    return Knowledge.COMPLETE if is_complete else Knowledge.UNKNOWN


class Ownership:
    """Ownership of keys as one member sees it. ``now_ns`` must never decrease between calls.

    A former owner is released once it has reported the current list or is declared dead: it accepts
    no more requests under a previous list, nor yet under a later one.
    """

    def __init__(
        self,
        own_name: str,
        current: MemberList,
        previous: Sequence[MemberList],
        now_ns: int,
        knowledge: Knowledge = Knowledge.COMPLETE,
    ) -> None:
        """Set the current list; ``previous`` has the earlier ones.

        Members may still use a previous list, or have entries from the time when they did. There
        are several if changes follow each other closely: if a key has moved from A to B and back,
        B has its entry.
        """
        self.own_name = own_name
        self.current = current
        self.previous = [earlier for earlier in previous if earlier.epoch < current.epoch]
        self.knowledge = knowledge
        self._is_removed = False  # a list without this member followed the current one
        self._released_ns: dict[str, int] = {}  # by former owner: when released
        self._reported: set[str] = set()  # members that reported their lists since the last change
        # While this member did not run, others may have gone on to a list that its file lacks, and
        # declared it dead. Their first reports since its start tell.
        self._not_heard = set(self._latest_rows([*self.previous, current])) - {own_name}
        self._newest_epoch = current.epoch
        self._release_self_and_dead(now_ns)

    # Lists.

    def replace(self, now_ns: int, candidate: MemberList) -> bool:
        """Apply a list if its epoch is higher than the current one; return whether it was."""
        if candidate.epoch <= self.current.epoch:
            return False
        self._note_missed_lists(candidate)
        self.previous.append(self.current)
        self.current = candidate
        self._released_ns = {}
        self._reported = set()
        self._release_self_and_dead(now_ns)
        return True

    def _note_missed_lists(self, candidate: MemberList) -> None:
        has_gap = candidate.epoch > self.current.epoch + 1
        if self._is_removed or (self.is_outdated and has_gap):
            self.knowledge = Knowledge.UNKNOWN
        elif self.knowledge is Knowledge.COMPLETE and has_gap:
            self.knowledge = Knowledge.GAP
        self._is_removed = False

    def note_removal(self, epoch: int) -> None:
        """Note a list without this member. The current one stays until there is one with it."""
        if epoch > self.current.epoch:
            self._is_removed = True

    def _release_self_and_dead(self, now_ns: int) -> None:
        """Mark this member itself, and members that an operator declares dead, as released."""
        self.note_epoch(now_ns, self.own_name, self.current.epoch)
        for name in self.current.dead:
            self._released_ns.setdefault(name, now_ns)

    @property
    def known_lists(self) -> KnownLists:
        """The lists that this member knows, to be saved and reported."""
        return KnownLists(
            [*self.previous, self.current], is_complete=self.knowledge is Knowledge.COMPLETE
        )

    # Reports of other members.

    def note_epoch(self, now_ns: int, name: str, epoch: int) -> None:
        """Note that a member has reported the epoch of its list.

        A later epoch does not release it: by a list that this member does not have yet, the keys
        may be its own again. A later epoch in its first report shows that the file was outdated
        when this member started.
        """
        if epoch == self.current.epoch:
            self._released_ns.setdefault(name, now_ns)
        if name in self._not_heard:
            self._not_heard.discard(name)
            self._newest_epoch = max(self._newest_epoch, epoch)

    @property
    def is_outdated(self) -> bool:
        """Whether others had a later list when this member started: it accepts no key by its."""
        return self.current.epoch < self._newest_epoch

    def note_lists(self, now_ns: int, name: str, known: KnownLists) -> None:
        """Note that a member has reported the lists that it knows; learn the missing ones."""
        self._learn(known.lists)
        self.note_epoch(now_ns, name, known.epoch)
        if known.epoch == self.current.epoch:
            self._reported.add(name)
        # Nothing lies between consecutive epochs, so that who knows all before one of them knows
        # all before the other.
        if known.is_complete and self.current.epoch - 1 <= known.epoch <= self.current.epoch:
            self.knowledge = Knowledge.COMPLETE

    def _learn(self, lists: Iterable[MemberList]) -> None:
        # Compared whole, as several members may have run without a list.
        self.previous += [
            earlier
            for earlier in lists
            if earlier.epoch < self.current.epoch and earlier not in self.previous
        ]
        self.previous.sort(key=lambda earlier: earlier.epoch)

    def members_to_ask(self) -> list[Member]:
        """Return the members whose reports are needed, with their latest known addresses."""
        needed = self.missing_reports | self._not_heard
        by_name = self._latest_rows([*self.previous, self.current])
        return [member for name, member in by_name.items() if name in needed]

    @property
    def missing_reports(self) -> set[str]:
        """Names of the members that an earlier list makes this member wait for.

        While its knowledge is not complete, these are all that could tell it a missing list.
        """
        if self.knowledge is Knowledge.COMPLETE:
            return set(self._latest_rows(self.previous)) - self._released_ns.keys()
        possible = set(self._latest_rows([*self.previous, self.current]))
        return possible - self._reported - {self.own_name, *self.current.dead}

    @staticmethod
    def _latest_rows(lists: Iterable[MemberList]) -> dict[str, Member]:
        return {member.name: member for members in lists for member in members.members}

    @property
    def is_settled(self) -> bool:
        """Whether no earlier list matters any more."""
        return not self.previous and self.knowledge is Knowledge.COMPLETE

    def settle(self, now_ns: int, longest_entry_ns: int) -> bool:
        """Drop the previous lists when no longer needed; return whether none matters any more.

        They are needed until ``longest_entry_ns`` after the last of their members was released.
        After that time lists that nobody knows do not matter any more, either.
        """
        if not self.is_settled and not self.missing_reports:
            last_released_ns = max(self._released_ns.values())
            if now_ns >= last_released_ns + longest_entry_ns:
                self.previous.clear()
                self.knowledge = Knowledge.COMPLETE
        return self.is_settled

    # Keys.

    def owner(self, key: bytes) -> Member:
        """Return the owner of a key according to the current list."""
        return owner_of(key, self.current.members)

    def may_accept(self, now_ns: int, key: bytes, entry_ns: int) -> bool:
        """Return whether this member, as the key's owner, may accept a request.

        For requests that must not run twice; ``entry_ns`` is the longest time from the start of
        such a request to the end of its key's window.
        """
        if self.knowledge is Knowledge.UNKNOWN or self.is_outdated:
            return False
        former_owners = {owner_of(key, earlier.members).name for earlier in self.previous}
        if self.knowledge is Knowledge.GAP and former_owners != {self.own_name}:
            return False
        return all(self._are_entries_over(now_ns, name, entry_ns) for name in former_owners)

    def _are_entries_over(self, now_ns: int, former_owner: str, entry_ns: int) -> bool:
        if former_owner == self.own_name:
            return True
        released_ns = self._released_ns.get(former_owner)
        return released_ns is not None and now_ns >= released_ns + entry_ns
