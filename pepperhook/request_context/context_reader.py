"""Reads contexts and results from header values, and rejects those that are not trustworthy."""

import ipaddress
from collections import Counter
from collections.abc import Callable, Iterable
from typing import TypeVar

from pepperhook.key_ring import KeyRing
from pepperhook.request_context.errors import InvalidContextError, RejectionReason
from pepperhook.server.field_value import FieldValue
from pepperhook.server.structured_logging import Log
from pepperhook.units import SECOND

LOG_INTERVAL_NS = SECOND
MAX_CACHED_PEERS = 1024

Message = TypeVar("Message")


class TrustedNetworks:
    """The networks from which values are accepted without a MAC."""

    def __init__(self, networks: Iterable[str]) -> None:
        """``networks``: as in the operator's file. Raises ValueError for a malformed one."""
        self._networks = [ipaddress.ip_network(network) for network in networks]
        self._cache: dict[str, bool] = {}  # by address, as each message needs a check

    def contains(self, peer: str | None) -> bool:
        """Return whether an address is in one of the networks."""
        if peer is None or not self._networks:
            return False
        is_contained = self._cache.get(peer)
        if is_contained is None:
            if len(self._cache) >= MAX_CACHED_PEERS:
                self._cache.clear()
            is_contained = self._cache[peer] = self._is_in_any_network(peer)
        return is_contained

    def _is_in_any_network(self, peer: str) -> bool:
        try:
            address = ipaddress.ip_address(peer)
        except ValueError:
            return False
        return any(address in network for network in self._networks)


class ContextReader:
    """Reads header values; counts those that it rejects, and logs them at a limited rate."""

    def __init__(
        self,
        networks: TrustedNetworks,
        keys: KeyRing,
        rejections: Counter[RejectionReason],
        log: Log,
    ) -> None:
        """``rejections``: a counter that is incremented for each value that is rejected."""
        self._networks = networks
        self._keys = keys
        self._rejections = rejections
        self._log = log
        self._next_log_at = 0
        self._unlogged_rejections = 0

    def read(
        self,
        now: int,
        decode: Callable[[str, KeyRing, bool], Message],
        values: Iterable[FieldValue],
        peer: str | None,
    ) -> list[Message]:
        """Return the decoded messages of the values that are valid.

        ``decode`` decodes one value, as ``context_header.read_context`` does; ``peer`` is the
        address that sent the values, or None to require a MAC from any sender.
        """
        messages = []
        for value in values:
            try:
                messages.append(decode(value.text, self._keys, self._networks.contains(peer)))
            except InvalidContextError as error:
                self._count_rejection(now, error.reason, peer)
        return messages

    def _count_rejection(self, now: int, reason: RejectionReason, peer: str | None) -> None:
        self._rejections[reason] += 1
        self._unlogged_rejections += 1
        if now >= self._next_log_at:
            self._log.warning(
                "chain_not_believed", why=reason, peer=peer, count=self._unlogged_rejections
            )
            self._unlogged_rejections = 0
            self._next_log_at = now + LOG_INTERVAL_NS
