"""Client connections to other edge balancers, for forwarded requests and polls of lists."""

from __future__ import annotations

from typing import Any

from pepperhook.idempotency.ownership import Member, MemberList
from pepperhook.idempotency.peer_protocol import (
    HEALTH_TARGET,
    LISTS_TARGET,
    KnownEpochs,
    decode_epochs,
    decode_health,
    decode_list,
    list_target,
)
from pepperhook.server import http1_client
from pepperhook.server.attempt_errors import AttemptError, NotSentError
from pepperhook.server.messages import Header

CONNECT_TIMEOUT_S = 0.3
POLL_TIMEOUT_S = 2 * CONNECT_TIMEOUT_S

NOT_SENT_ERRORS = (NotSentError,)  # to be caught first: subclasses of AttemptError
MAYBE_RECEIVED_ERRORS = (AttemptError,)  # the request may have been received


class PeerClient:
    """The connections to all other members, by address."""

    def __init__(self) -> None:
        """Open no connection yet; they are opened when needed."""
        self._connections: dict[str, Any] = {}

    async def poll_epoch(self, member: Member) -> int | None:
        """Return the epoch of a member's list, or None without a valid response."""
        response = await self._get(member, HEALTH_TARGET)
        return None if response is None else decode_health(*response)

    async def poll_known_epochs(self, member: Member) -> KnownEpochs | None:
        """Return the epochs of the lists that a member knows, or None without a response.

        Raises ValueError if it responds, but does not report its lists.
        """
        response = await self._get(member, LISTS_TARGET)
        return None if response is None else decode_epochs(*response)

    async def fetch_list(self, member: Member, epoch: int) -> MemberList | None:
        """Return a list that a member knows, or None without a valid response."""
        response = await self._get(member, list_target(epoch))
        try:
            members = None if response is None else decode_list(*response)
        except ValueError:
            return None
        return members if members is not None and members.epoch == epoch else None

    async def _get(self, member: Member, target: str) -> tuple[int, bytes] | None:
        """Return status and body of a member's response, or None without one."""
        try:
            status, _, body = await self._client_for(member).request(
                "GET", target, [], b"", POLL_TIMEOUT_S
            )
        except (*NOT_SENT_ERRORS, *MAYBE_RECEIVED_ERRORS):
            return None
        return status, body

    async def send(
        self,
        member: Member,
        message: Any,
        headers: list[Header],
        timeout_s: float,
    ) -> tuple[int, Any, bytes]:
        """Forward a request; return status, headers and body of the response.

        Raises one of NOT_SENT_ERRORS if the request was not sent, and one of MAYBE_RECEIVED_ERRORS
        if it may have been received.
        """
        reply: tuple[int, Any, bytes] = await http1_client.retry_stale_connections(
            lambda: self._client_for(member).request(
                message.method, message.target, headers, message.body, timeout_s
            )
        )
        return reply

    def _client_for(self, member: Member) -> Any:
        connection = self._connections.get(member.address)
        if connection is None:
            # limit=0: any number of connections.
            connection = http1_client.Http1Client(
                member.address, CONNECT_TIMEOUT_S, http1_client.make_session(limit=0)
            )
            self._connections[member.address] = connection
        return connection

    async def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            await connection.close()
