"""Which upstream's process is at each address; plain code without I/O.

Only one process listens at an address. If the endpoint list names two upstreams there, the one that
started last is there, and the other's process has gone, whatever its row says.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import TYPE_CHECKING

from pepperhook.domain import UpstreamState

if TYPE_CHECKING:
    from pepperhook.server.endpoint_list import ListedEndpoint


class AddressClaims:
    """The start times of the upstreams that the endpoint list has at each address."""

    def __init__(self) -> None:
        """Start without claims."""
        self._started_at: dict[str, dict[str, int]] = {}  # by address, then by name
        self._addresses: dict[str, str] = {}  # by name

    def update(self, rows: Iterable[ListedEndpoint]) -> None:
        """Apply rows of an endpoint list."""
        for row in rows:
            self._release(row.name)
            if row.state is not UpstreamState.GONE:
                self._started_at.setdefault(row.address, {})[row.name] = row.started_at
                self._addresses[row.name] = row.address

    def keep_only(self, names: Collection[str]) -> None:
        """Release the claims of upstreams that a whole list does not name."""
        for name in [name for name in self._addresses if name not in names]:
            self._release(name)

    def newer_at_address_of(self, name: str) -> str | None:
        """Return the upstream that started later at the same address; None if there is none.

        Upstreams with the same start time are not told apart: both are used.
        """
        claims = self._started_at.get(self._addresses.get(name, ""), {})
        if name not in claims:
            return None
        newest = max(claims, key=claims.__getitem__)
        return newest if claims[newest] > claims[name] else None

    def superseded_by(self, rows: Iterable[ListedEndpoint]) -> list[str]:
        """Return the upstreams that lost their address to one of ``rows``."""
        shared = {
            name
            for row in rows
            if len(claims := self._started_at.get(row.address, {})) > 1
            for name in claims
        }
        return sorted(name for name in shared if self.newer_at_address_of(name) is not None)

    def _release(self, name: str) -> None:
        address = self._addresses.pop(name, None)
        if address is None:
            return
        claims = self._started_at[address]
        del claims[name]
        if not claims:
            del self._started_at[address]
