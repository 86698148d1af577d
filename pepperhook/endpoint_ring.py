"""The endpoint list as a hash ring on which gone upstreams temporarily keep their positions."""

from collections.abc import Iterable, Iterator
from zlib import crc32

from pepperhook.domain import EndpointUpdate, Upstream, UpstreamState


class EndpointRing:
    """Upstreams that are or were listed lately, ordered by the hashes of their addresses."""

    def __init__(self, keep_gone_ns: int) -> None:
        """Create an empty ring; gone upstreams keep their position for ``keep_gone_ns``.

        Otherwise the loss of a zone would shift all subsets, and connections would be replaced.
        """
        self.keep_gone_ns = keep_gone_ns
        self.listed: dict[Upstream, int] = {}  # time when last listed, of upstreams not gone
        self.seen: dict[Upstream, int] = {}  # the same, with those recently gone
        self.positions: list[Upstream] = []
        self.ready: list[Upstream] = []

    def apply(self, now: int, whole: bool, updates: Iterable[EndpointUpdate]) -> None:
        """Apply an endpoint list; ``whole``: upstreams that it does not name are gone."""
        for upstream in self.listed if whole else ():
            upstream.state = UpstreamState.GONE
        for upstream, state, _ in updates:
            upstream.state = state
            self.listed[upstream] = now
        self.listed = {u: now for u in self.listed if u.state is not UpstreamState.GONE}
        seen = (self.seen | self.listed).items()
        self.seen = {u: at for u, at in seen if now - at < self.keep_gone_ns}
        self.positions = sorted(self.seen, key=lambda u: crc32(u.address))
        self.ready = [u for u in self.positions if u.is_ready]

    def in_zone(self, zone: int | None) -> list[Upstream]:
        """Return the upstreams of a zone in ring order, or all if ``zone`` is None."""
        return [u for u in self.positions if zone is None or u.zone == zone]


def walk(ring: list[Upstream], index: int, fleet_size: int) -> Iterator[Upstream]:
    """Yield all upstreams of a ring, from the position of balancer ``index`` on."""
    start = index * len(ring) // fleet_size
    for step in range(len(ring)):
        yield ring[(start + step) % len(ring)]


def choose_members(
    rings: Iterable[tuple[list[Upstream], int]],
    index: int,
    fleet_size: int,
    size: int,
    min_reachable: int,
) -> list[Upstream]:
    """Return the ordered members of the subset of balancer ``index``.

    ``rings`` are pairs of a ring and a limit, in order of preference. Each ring is walked from the
    balancer's position on, until the members reach the limit in total, or ``size`` members are
    found of which ``min_reachable`` are reachable.
    """
    members: dict[Upstream, bool] = {}
    reachable = 0
    for ring, limit in rings:
        for upstream in walk(ring, index, fleet_size):
            if len(members) >= limit or (len(members) >= size and reachable >= min_reachable):
                break
            if upstream.is_ready:
                reachable += upstream not in members and upstream.unreachable_since is None
                members[upstream] = True
    return list(members)
