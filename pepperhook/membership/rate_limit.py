"""Rate limit of the datagrams that are processed from each sender."""

from dataclasses import dataclass

from pepperhook.membership.messages import Address
from pepperhook.membership.settings import NS_PER_S

MAX_DATAGRAMS_PER_S = 100  # from each sender; also the capacity of its bucket
MAX_SENDERS = 6000  # senders with a bucket of their own; all others share one


@dataclass(slots=True)
class TokenBucket:
    """The datagrams that a sender may still send."""

    tokens: float
    updated_ns: int


class SenderRateLimiter:
    """One token bucket for each sender, so that a flood is dropped before its MACs are computed."""

    def __init__(self) -> None:
        """Start without any bucket."""
        self.buckets: dict[Address | None, TokenBucket] = {}

    def admit(self, now: int, sender: Address) -> bool:
        """Return whether to process a datagram of ``sender``, and take a token if so."""
        bucket = self._bucket(now, sender)
        refill = (now - bucket.updated_ns) * MAX_DATAGRAMS_PER_S / NS_PER_S
        bucket.tokens = min(MAX_DATAGRAMS_PER_S, bucket.tokens + refill)
        bucket.updated_ns = now
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def _bucket(self, now: int, sender: Address) -> TokenBucket:
        key: Address | None = sender
        if sender not in self.buckets and len(self.buckets) >= MAX_SENDERS:
            self._drop_full_buckets(now)
            if len(self.buckets) >= MAX_SENDERS:
                key = None  # the shared bucket
        if key not in self.buckets:
            self.buckets[key] = TokenBucket(MAX_DATAGRAMS_PER_S, now)
        return self.buckets[key]

    def _drop_full_buckets(self, now: int) -> None:
        """Drop the buckets unused for a second: they are as full as new ones by now."""
        self.buckets = {
            sender: bucket
            for sender, bucket in self.buckets.items()
            if bucket.updated_ns > now - NS_PER_S
        }
