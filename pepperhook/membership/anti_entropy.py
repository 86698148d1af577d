"""Anti-entropy: exchange of the records in which the tables of two members differ.

Each update is disseminated for a limited time only. A member that misses one, joins, or was on the
other side of a split network gets it by this exchange. Other implementations send the whole table
over TCP; this one sends pages of records in datagrams.
"""

from pepperhook.membership.counters import ProtocolCounters
from pepperhook.membership.digest import BUCKETS, bucket_of
from pepperhook.membership.dissemination import Dissemination
from pepperhook.membership.members import MemberTable
from pepperhook.membership.messages import MemberRecord, Message, MessageType, Outgoing
from pepperhook.membership.seeded_random import SeededRandom
from pepperhook.membership.settings import ProtocolSettings

PAGE_RECORDS = 12  # fit in one datagram
# Limit of one answer. Without it, a seed through which a thousand members join would send a
# thousand whole tables.
MAX_PAGES = 16
# With so many pending updates, more than two or three datagrams carry, tables are compared without
# waiting for the updates to spread.
MANY_PENDING_UPDATES = 40


class AntiEntropy:
    """Decides when to compare tables with another member, and which records to send."""

    def __init__(
        self,
        settings: ProtocolSettings,
        table: MemberTable,
        dissemination: Dissemination,
        random: SeededRandom,
        counters: ProtocolCounters,
    ) -> None:
        """Use the local member's table, update buffer and counters."""
        self._settings = settings
        self._table = table
        self._dissemination = dissemination
        self._random = random
        self._counters = counters

    def should_sync(self, now: int, message: Message) -> bool:
        """Return whether to compare tables with the sender, and record the time if so."""
        if message.digest is None or self._table.digest.equals(message.digest):
            return False
        if 0 < len(self._dissemination) < MANY_PENDING_UPDATES:
            # The pending updates probably remove the difference. With many pending updates the
            # tables are compared nevertheless: while a thousand members join at once, some updates
            # are always pending.
            return False
        member = self._table.others.get(message.sender.name)
        if member is None or now - member.last_sync_ns < self._settings.rejoin_interval_ns:
            return False
        member.last_sync_ns = now
        return True

    def pages(self, message: Message, request_records: bool) -> list[Outgoing]:
        """Return the records of buckets in which the sender's digest differs.

        With ``request_records`` the last page carries this member's digest. The receiver returns
        its records of the buckets that still differ after it has merged that page.
        """
        digest = message.digest
        if digest is None or len(digest) != BUCKETS:
            return []
        buckets = self._table.digest.differing_buckets(digest)
        records = self._records_in(buckets)
        self._counters.syncs += 1
        pages = [
            records[start : start + PAGE_RECORDS] for start in range(0, len(records), PAGE_RECORDS)
        ]
        if request_records and buckets and not pages:
            pages = [[]]
        return [
            self._page(message, page, request_records and number == len(pages) - 1)
            for number, page in enumerate(pages)
        ]

    def _records_in(self, buckets: set[int]) -> list[MemberRecord]:
        """Return at most one answer's records of these buckets, starting at a random bucket."""
        first_bucket = self._random.below(BUCKETS)
        records = [record for record in self._table.records() if bucket_of(record.name) in buckets]
        records.sort(key=lambda record: (bucket_of(record.name) - first_bucket) % BUCKETS)
        return records[: PAGE_RECORDS * MAX_PAGES]

    def _page(self, message: Message, records: list[MemberRecord], with_digest: bool) -> Outgoing:
        payload = self._table.digest.as_list() if with_digest else None
        page = Message(
            MessageType.RECORDS,
            0,
            self._table.local,
            message.sender.name,
            payload,
            records,
        )
        return Outgoing(message.sender.address, page)

    def query_page(self, message: Message) -> Outgoing:
        """Return the page of the table that an operator's tool requests."""
        records = sorted(self._table.records(), key=lambda record: record.name)
        requested = message.payload
        number = requested if isinstance(requested, int) and requested >= 0 else 0
        page = Message(
            MessageType.RECORDS,
            message.sequence,
            self._table.local,
            message.sender.name,
            [number, len(records)],
            records[number * PAGE_RECORDS : (number + 1) * PAGE_RECORDS],
        )
        return Outgoing(message.sender.address, page)
