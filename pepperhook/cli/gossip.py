"""The command that queries a balancer for its table of members, which it knows by gossip."""

import os
import random
import socket
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import click

from pepperhook.cli.control_client import KEYS_OPTION, read_keys
from pepperhook.cli.options import JSON_OPTION
from pepperhook.cli.output import CommandFailedError, InvalidInputError, print_json
from pepperhook.key_ring import KeyRing

# The membership package is imported when the command runs, so that other commands start faster.

ATTEMPTS = 4  # for each page
RESPONSE_TIMEOUT_S = 0.5  # for each attempt
RECEIVE_BYTES = 2048  # larger than any datagram
PAGE_PAYLOAD_FIELDS = 2  # page number, number of records in the table


@dataclass(slots=True)
class MemberList:
    """The table of members that one member returned."""

    records: list[Any]
    reported_by: str


@click.command()
@click.argument("member", metavar="HOST:PORT")
@KEYS_OPTION
@click.option(
    "--listen",
    default="127.0.0.1",
    show_default=True,
    metavar="HOST",
    help="Address of this machine that the member can reach.",
)
@JSON_OPTION
def gossip(member: str, keys_path: str, listen: str, as_json: bool) -> None:
    """List the members that a balancer knows.

    HOST:PORT is gossip.listen of that balancer. Lists each member with its state, and with the
    version of the configuration that it runs.
    """
    from pepperhook.server import config

    try:
        address = config.parse_address("HOST:PORT", member)
    except ValueError as error:
        raise InvalidInputError(str(error)) from error
    keys = read_keys(keys_path)
    with listening_socket(listen) as sock:
        members = MemberQuery(sock, address, keys).run()
    rows = [to_row(record) for record in sort_records(members.records)]
    if as_json:
        print_json({"by": members.reported_by, "members": rows})
    else:
        print_table(rows, members.reported_by)


def sort_records(records: Iterable[Any]) -> list[Any]:
    """Return records sorted by tier and name."""
    return sorted(records, key=lambda record: (record.tier, record.name))


def to_row(record: Any) -> dict[str, Any]:
    """Convert a record to a row of the command's JSON output."""
    return {
        "name": record.name,
        "tier": record.tier,
        "address": "{}:{}".format(*record.address),
        "state": record.state.label,
        "version": record.config_version,
        "incarnation": record.incarnation,
    }


def print_table(rows: list[dict[str, Any]], reported_by: str) -> None:
    """Print members for people."""
    width = max(len(row["name"]) for row in rows)
    for row in rows:
        click.echo(
            f"{row['name']:<{width}}  tier {row['tier']}  {row['state']:<8} "
            f"version {row['version']:<6} {row['address']}"
        )
    present = sum(row["state"] in ("alive", "suspect") for row in rows)
    click.echo(f"{present} there of {len(rows)} known, as {reported_by} sees it")


@contextmanager
def listening_socket(host: str) -> Iterator[socket.socket]:
    """Open a datagram socket on a host. Raises InvalidInputError, which names ``--listen``."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with socket.socket(family, socket.SOCK_DGRAM) as sock:
        try:
            sock.bind((host, 0))
        except OSError as error:
            raise InvalidInputError(f"--listen: {host}: {error.strerror}") from error
        yield sock


class MemberQuery:
    """Queries one member for its table, page by page."""

    def __init__(self, sock: socket.socket, address: tuple[str, int], keys: KeyRing) -> None:
        """Query the member at ``address`` through ``sock``."""
        from pepperhook.membership.messages import MemberRecord

        self.socket = sock
        self.address = address
        self.keys = keys
        name = f"operator-{os.getpid()}"
        self.sender = MemberRecord(name, sock.getsockname()[:2], 0, 0)

    def run(self) -> MemberList:
        """Return the whole table.

        Raises CommandFailedError if the member does not respond.
        """
        records: dict[str, Any] = {}
        page_number = 0
        while True:
            page = self.fetch_page(page_number)
            records.update((record.name, record) for record in page.updates)
            total = page.payload[1]
            # A page may be empty if the table changed after an earlier page.
            if not page.updates or len(records) >= total:
                return MemberList(list(records.values()), page.sender.name)
            page_number += 1

    def fetch_page(self, page_number: int) -> Any:
        """Return the message with a page of the table. Raises CommandFailedError."""
        from pepperhook.membership.datagram import encode
        from pepperhook.membership.messages import Message, MessageType

        sequence = random.getrandbits(32)
        query = encode(
            Message(MessageType.QUERY, sequence, self.sender, "", page_number), self.keys
        )
        for _ in range(ATTEMPTS):
            try:
                self.socket.sendto(query, self.address)
            except OSError as error:
                raise self.failure(str(error.strerror)) from error
            page = self.receive_page(sequence)
            if page is not None:
                return page
        raise self.failure(
            "no answer; check that this is the member's gossip.listen, and that it has the key"
        )

    def receive_page(self, sequence: int) -> Any | None:
        """Wait for the response to a query; return None after the timeout."""
        from pepperhook.membership.datagram import InvalidDatagramError, decode

        deadline = time.monotonic() + RESPONSE_TIMEOUT_S
        while (remaining_s := deadline - time.monotonic()) > 0:
            self.socket.settimeout(remaining_s)
            try:
                message = decode(self.socket.recv(RECEIVE_BYTES), self.keys)
            except (TimeoutError, ConnectionError, InvalidDatagramError):
                continue
            if message.sequence == sequence and is_page(message):
                return message
        return None

    def failure(self, reason: str) -> CommandFailedError:
        """Return an error that names the member and the reason."""
        return CommandFailedError("{}:{}: {}".format(*self.address, reason))


def is_page(message: Any) -> bool:
    """Return whether a message is a page of a table, the response to a query."""
    from pepperhook.membership.messages import MessageType

    return (
        message.type == MessageType.RECORDS
        and isinstance(message.payload, list)
        and len(message.payload) == PAGE_PAYLOAD_FIELDS
    )
