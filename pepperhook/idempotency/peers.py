"""Forwards requests to the edge balancer that owns their key.

The owner stores the key, records it, runs the request and responds, and the forwarding balancer
relays the response. All decisions on a key are thus made in one process. If the owner can't be
reached, or may not be the only owner, a request that must not run twice is rejected.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from msgspec import Struct
from msgspec.structs import asdict

from pepperhook.idempotency import peer_server
from pepperhook.idempotency.host import Host, Log
from pepperhook.idempotency.member_list_follower import MemberListFollower
from pepperhook.idempotency.ownership import Member, Ownership
from pepperhook.idempotency.peer_client import MAYBE_RECEIVED_ERRORS, NOT_SENT_ERRORS, PeerClient
from pepperhook.idempotency.peer_protocol import (
    EPOCH_HEADER,
    FORWARDED_HEADERS,
    MISDIRECTED,
    SenderRules,
    decode_reply,
    forwarded_headers,
    rules_headers,
)
from pepperhook.idempotency.replies import Reply, failed, refused, rejected
from pepperhook.idempotency.service_classes import class_number, is_safe
from pepperhook.idempotency.settings_in_force import SettingsInForce

NS_PER_S = 10**9
RETURN_MARGIN_NS = 5 * 10**6  # part of a time limit that is reserved for relaying the response
RETRY_AFTER_NS = NS_PER_S  # Retry-After while a key's owner is unreachable or changing


class PeerCounters(Struct):
    """Counters of requests whose key another member owns or owned."""

    forwarded: int = 0
    owner_unreachable: int = 0
    ownership_pending: int = 0


class Peers:
    """This balancer's side of the protocol between edge balancers.

    Owns the listener, the connections to other members and the tasks.
    """

    reads = FORWARDED_HEADERS

    def __init__(self, path: str, own_name: str, log: Log) -> None:
        """Read the member list. Raises ValueError with a one-line message."""
        self.counters = PeerCounters()
        self._client = PeerClient()
        self.lists = MemberListFollower(path, own_name, self._client, log)
        self._forwarding_tasks: set[asyncio.Task[Reply | None]] = set()
        self._settings: SettingsInForce
        self._host: Host
        self._server: Any = None
        self._watcher: asyncio.Task[None]

    @property
    def ownership(self) -> Ownership:
        """The owners of keys according to the lists that this member knows."""
        return self.lists.ownership

    def start(
        self,
        host: Host,
        settings: SettingsInForce,
        journal_directory: Path | None,
        *,
        has_entries: bool,
    ) -> None:
        """Start the listener for other members, and the task that follows the member list.

        ``has_entries``: whether the journal has keys of an earlier run.
        """
        self._host = host
        self._settings = settings
        self.lists.start(
            host.runtime.now,
            settings.longest_entry_ns,
            journal_directory,
            has_entries=has_entries,
        )
        self._server = peer_server.listen(host, self.ownership)
        self._watcher = host.runtime.supervisor.start("idempotency peers", self.lists.watch)

    # Routing.

    def route(
        self, now_ns: int, key: bytes, request: Any, message: Any
    ) -> Reply | asyncio.Task[Reply | None] | None:
        """Decide where a request runs: None lets it run here with its key, a reply ends it.

        A task forwards it and returns the owner's reply, or None to run it here without its key.
        """
        owner = self.ownership.owner(key)
        if owner.name == self.ownership.own_name:
            return self._accept_as_owner(now_ns, key, request)
        if EPOCH_HEADER in message.read_headers:
            # Both members have the same list, so this happens only if two members share a name.
            return refused(MISDIRECTED, "this member does not own the key")
        task = self._host.runtime.loop.create_task(self._forward(owner, request, message))
        self._forwarding_tasks.add(task)
        task.add_done_callback(self._forwarding_tasks.discard)
        return task

    def _accept_as_owner(self, now_ns: int, key: bytes, request: Any) -> Reply | None:
        # A former owner's last request may have begun just before its release.
        entry_ns = self._settings.entry_ns(class_number(request))
        if is_safe(request) or self.ownership.may_accept(now_ns, key, entry_ns):
            return None
        self.counters.ownership_pending += 1
        return self._rejected()

    async def _forward(self, owner: Member, request: Any, message: Any) -> Reply | None:
        """Return the owner's reply, or None if a safe request runs here without its key.

        A safe request does so if the owner is unreachable.
        If the connection fails after sending, the reply is "failed", as the request may have run.
        """
        self.counters.forwarded += 1
        remaining_ns = request.deadline - self._host.runtime.now() - RETURN_MARGIN_NS
        if remaining_ns <= 0:
            return rejected()
        timeout_s = remaining_ns / NS_PER_S
        headers = forwarded_headers(
            message.headers, message.read_headers, self.ownership.current.epoch, timeout_s
        )
        headers += rules_headers(self._sender_rules(request))
        try:
            status, reply_headers, body = await self._client.send(
                owner, message, headers, timeout_s
            )
        except NOT_SENT_ERRORS:
            self.counters.owner_unreachable += 1
            return None if is_safe(request) else self._rejected()
        except MAYBE_RECEIVED_ERRORS:
            return failed()
        return decode_reply(status, reply_headers, body, self._max_retry_after_ns)

    def _sender_rules(self, request: Any) -> SenderRules:
        policy = self._settings.policy(class_number(request))
        return SenderRules(request.service_class.effect, policy.window_ns)

    @property
    def _max_retry_after_ns(self) -> int:
        return self._settings.current.max_retry_after_ns

    def _rejected(self) -> Reply:
        return rejected(min(RETRY_AFTER_NS, self._max_retry_after_ns))

    def counters_by_name(self) -> dict[str, int]:
        """Return counters for the operator."""
        return {**asdict(self.counters), "history_failures": self.lists.history_failures}

    # Shutdown.

    async def drain(self, accept_s: float, within_s: float) -> None:
        """Stop accepting after ``accept_s``; complete open requests within ``within_s`` more."""
        await self._server.close(accept_s, within_s)

    async def close(self) -> None:
        """Stop all tasks and close all connections."""
        tasks = [self._watcher, *self._forwarding_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._client.close()
