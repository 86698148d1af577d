"""Determines which edge balancer owns a key, and when ownership may change, without I/O.

A key's owner is the member with the highest hash of its name and the key (rendezvous hashing,
Thaler and Ravishankar 1998). Members with the same list agree without exchanging messages, and a
change of the list moves only keys of members that were added or removed.

Two members with different lists may both consider themselves the owner of a key. Each list
therefore has a number, its epoch, which is sent with each forwarded request, and an owner accepts
only requests of its own epoch. A new owner does not have the former owner's entries. Before it
accepts a request that must not run twice, it waits until the former owner has reported the new
list; from then on, the former owner accepts no request under the old list. Then it waits for the
service class's window.

Times are whole nanoseconds.
"""

from collections.abc import Sequence
from hashlib import blake2b
from typing import Annotated

from msgspec import Meta, Struct

HASH_BYTES = 8


class Member(Struct, forbid_unknown_fields=True):
    """One edge balancer."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]  # its LB_NAME
    address: str  # HOST:PORT at which other members connect


class MemberList(Struct, forbid_unknown_fields=True, kw_only=True):
    """A numbered list of members, in the format of its file."""

    version: Annotated[int, Meta(ge=1, le=1)]
    epoch: Annotated[int, Meta(ge=1)]
    members: Annotated[list[Member], Meta(min_length=1, max_length=200)]
    dead: list[str] = []  # former members that an operator declares no longer running


def owner_of(key: bytes, members: Sequence[Member]) -> Member:
    """Return the member that owns a key."""

    def weight(member: Member) -> tuple[bytes, str]:
        hashed = blake2b(member.name.encode() + b"\0" + key, digest_size=HASH_BYTES)
        return hashed.digest(), member.name

    return max(members, key=weight)


class Ownership:
    """Ownership of keys as one member sees it. ``now_ns`` must never decrease between calls.

    A former owner is released once it has reported the current list or is declared dead: it accepts
    no more requests under a previous list.
    """

    def __init__(
        self, own_name: str, current: MemberList, previous: Sequence[MemberList], now_ns: int
    ) -> None:
        """Set the current list; ``previous`` has the earlier ones.

        Members may still use a previous list, or have entries from the time when they did. There
        are several if changes follow each other closely: if a key has moved from A to B and back,
        B has its entry.
        """
        self.own_name = own_name
        self.current = current
        self.previous = [earlier for earlier in previous if earlier.epoch < current.epoch]
        self._released_ns: dict[str, int] = {}  # by former owner: when released
        self._release_self_and_dead(now_ns)

    def replace(self, now_ns: int, candidate: MemberList) -> bool:
        """Apply a list if its epoch is higher than the current one; return whether it was."""
        if candidate.epoch <= self.current.epoch:
            return False
        self.previous.append(self.current)
        self.current = candidate
        self._released_ns = {}
        self._release_self_and_dead(now_ns)
        return True

    def _release_self_and_dead(self, now_ns: int) -> None:
        """Mark this member itself, and members that an operator declares dead, as released."""
        self.note_epoch(now_ns, self.own_name, self.current.epoch)
        for name in self.current.dead:
            self._released_ns.setdefault(name, now_ns)

    def note_epoch(self, now_ns: int, name: str, epoch: int) -> None:
        """Note that a member has reported the epoch of its list."""
        if epoch >= self.current.epoch:
            self._released_ns.setdefault(name, now_ns)

    def unconfirmed_members(self) -> list[Member]:
        """Return the members of previous lists that may still use one of these lists."""
        by_name = {member.name: member for earlier in self.previous for member in earlier.members}
        return [member for name, member in by_name.items() if name not in self._released_ns]

    def settle(self, now_ns: int, longest_window_ns: int) -> bool:
        """Drop the previous lists when no longer needed; return whether none is left.

        They are needed until ``longest_window_ns`` after the last of their members was released.
        """
        if self.previous and not self.unconfirmed_members():
            last_released_ns = max(self._released_ns.values(), default=0)
            if now_ns >= last_released_ns + longest_window_ns:
                self.previous.clear()
        return not self.previous

    def owner(self, key: bytes) -> Member:
        """Return the owner of a key according to the current list."""
        return owner_of(key, self.current.members)

    def may_accept(self, now_ns: int, key: bytes, window_ns: int) -> bool:
        """Return whether this member, as the key's owner, may accept a request.

        For requests that must not run twice, whose service class has ``window_ns``.
        """
        return all(
            self._is_window_after_release_over(
                now_ns, owner_of(key, earlier.members).name, window_ns
            )
            for earlier in self.previous
        )

    def _is_window_after_release_over(self, now_ns: int, former_owner: str, window_ns: int) -> bool:
        if former_owner == self.own_name:
            return True
        released_ns = self._released_ns.get(former_owner)
        return released_ns is not None and now_ns >= released_ns + window_ns
