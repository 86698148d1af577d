"""The listener for requests that other edge balancers forward."""

from __future__ import annotations

from typing import Any

from pepperhook.idempotency.host import Host
from pepperhook.idempotency.ownership import MemberList, Ownership
from pepperhook.idempotency.peer_protocol import (
    EFFECT_HEADER,
    EPOCH_HEADER,
    MISDIRECTED,
    OK,
    WINDOW_HEADER,
    encode_health,
    lists_page,
)
from pepperhook.idempotency.replies import refused
from pepperhook.server.field_value import FieldValue
from pepperhook.server.http1_server import ConnectionLimits, Http1Server
from pepperhook.server.ingress import Ingress

CONNECTION_LIMITS = ConnectionLimits(soft=256, hard=300)  # connections of other members


class PeerIngress(Ingress):
    """Validates forwarded requests like those of clients, and additionally their epoch."""

    def __init__(self, ownership: Ownership, client_ingress: Any) -> None:
        """Share the state of the clients' ingress, so that a request id is unique across both."""
        # The attributes refer to the same objects; super().__init__() would create new ones.
        vars(self).update(vars(client_ingress))
        self.ownership = ownership

    @property
    def _epoch(self) -> int:
        return self.ownership.current.epoch

    def own_page(self, method: str, path: str) -> tuple[int, str] | None:
        """Return status and body of a health response or of the lists that this member knows."""
        text = lists_page(path, self.ownership.known_lists) if method == "GET" else None
        return super().own_page(method, path) if text is None else (OK, text)

    def health(self) -> tuple[int, str]:
        """Return status and body of a health response, which carries the epoch of the list."""
        return OK, encode_health(self._epoch)

    def message(self, method: str, target: str, headers: Any, *rest: Any) -> Any:
        """Parse and validate a request.

        Raises RequestRefusedError, also if the epoch is not this member's.
        """
        message = super().message(method, target, headers, *rest)
        epoch = headers.get(EPOCH_HEADER)
        if epoch != str(self._epoch):
            raise refused(MISDIRECTED, f"{EPOCH_HEADER}: this member has epoch {self._epoch}")
        for name in (EPOCH_HEADER, EFFECT_HEADER, WINDOW_HEADER):
            message.read_headers[name] = [
                FieldValue.from_library(text) for text in headers.getall(name, ())
            ]
        return message


def listen(host: Host, ownership: Ownership) -> Http1Server:
    """Open the listener at this member's address in the list."""
    server = Http1Server(
        host.runtime,
        host.counters,
        PeerIngress(ownership, host.ingress),
        _own_address(ownership.own_name, ownership.current),
        CONNECTION_LIMITS,
        host.ledger,
    )
    server.open()
    return server


def _own_address(own_name: str, members: MemberList) -> tuple[str, int]:
    own = next(member for member in members.members if member.name == own_name)
    address, _, port = own.address.rpartition(":")
    return address.strip("[]"), int(port)
