"""A balancer's position in its fleet: fleet size and index, which determine subsets and quotas.

Views differ between members, and an absent member may still send to upstreams: the network may be
split between the balancers alone. A smaller fleet size gives each balancer a larger quota of every
upstream (rules 3 and 4), so an absent member is counted until it can safely be considered gone:
either it announced its departure, or the present members are a quorum, more than half of all
counted members that did not leave (at first of the configured size). In both cases the view must
have been stable for the settling time. In half of a split network, or less, absent members that did
not leave stay counted.
"""

from collections.abc import Collection


class FleetPosition:
    """``count`` is the fleet size and ``index`` this balancer's position in the order of names.

    ``index`` is None until the first view.
    """

    def __init__(self, local_name: str, configured_size: int, settle_ns: int) -> None:
        """Start with ``configured_size`` balancers, until more are present or the fleet shrinks."""
        self.local_name = local_name
        self.settle_ns = settle_ns
        self.count = configured_size
        self.index: int | None = None
        self.present: frozenset[str] = frozenset()
        self.departed: frozenset[str] = frozenset()
        self._counted: tuple[str, ...] = ()  # sorted
        self._stable_since_ns = 0

    def update(self, now: int, present: Collection[str], departed: Collection[str]) -> bool:
        """Apply a view, by which the fleet can only grow; return whether the position changed."""
        if self.local_name not in present:
            return False
        if frozenset(present) != self.present:
            self.present = frozenset(present)
            self._stable_since_ns = now
        self.departed = frozenset(departed)
        return self._recount({*self._counted, *self.present}, self.count)

    def settle(self, now: int) -> bool:
        """Shrink the fleet if that is safe; return whether the position changed."""
        if not self.is_stable(now):
            return False
        departed = self._counted_departed()
        if self.has_quorum():
            return self._recount(self.present, len(self.present))
        return self._recount(set(self._counted) - departed, self.count - len(departed))

    def is_stable(self, now: int) -> bool:
        """Return whether there is a view that has not changed for the settling time."""
        return bool(self.present) and now - self._stable_since_ns >= self.settle_ns

    def has_quorum(self) -> bool:
        """Return whether present members are the majority of those that did not leave.

        No other part of a split network can have a quorum at the same time.
        """
        return 2 * len(self.present) > self.count - len(self._counted_departed())

    def _counted_departed(self) -> set[str]:
        return (set(self._counted) - self.present) & self.departed

    def _recount(self, names: Collection[str], min_count: int) -> bool:
        previous = (self.count, self.index)
        self._counted = tuple(sorted(names))
        self.count = max(min_count, len(names))
        self.index = self._counted.index(self.local_name)
        return (self.count, self.index) != previous
