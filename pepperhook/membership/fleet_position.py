"""A balancer's position in its fleet: fleet size and index, which determine subsets and quotas.

Views differ between members, and an absent member may still send to upstreams: the network may be
split between the balancers alone. A smaller fleet size gives each balancer a larger quota of every
upstream (see rules 3 and 4 in ``policy/guard.py``), so an absent member stays counted until it can
safely be considered gone: either it announced its departure, or the present members are a quorum,
more than half of all counted members that did not leave. Until more members have been present, the
configured size counts. In both cases the view must have been stable for the settling time. In a
part of a split network with at most half of the members, absent members that did not leave stay
counted.
"""

from collections.abc import Collection


class FleetPosition:
    """Determines the position from views: the fleet grows at once and shrinks only when it is safe.

    ``count`` is the fleet size, and ``index`` this balancer's position in the order of names, None
    until the first view.
    """

    def __init__(self, local_name: str, configured_size: int, settle_ns: int) -> None:
        """Start with ``configured_size`` balancers, until more are present or the fleet shrinks."""
        self.local_name = local_name
        self.settle_ns = settle_ns
        self.count = configured_size
        self.index: int | None = None
        self.present: frozenset[str] = frozenset()
        self.departed: frozenset[str] = frozenset()
        self._counted_names: tuple[str, ...] = ()  # sorted
        self._stable_since_ns = 0

    def update(self, now: int, present: Collection[str], departed: Collection[str]) -> bool:
        """Apply a view, by which the fleet can only grow; return whether the position changed."""
        if self.local_name not in present:
            return False
        if frozenset(present) != self.present:
            self.present = frozenset(present)
            self._stable_since_ns = now
        self.departed = frozenset(departed)
        return self._set_counted({*self._counted_names, *self.present}, self.count)

    def settle(self, now: int) -> bool:
        """Shrink the fleet if that is safe; return whether the position changed."""
        if not self.is_stable(now):
            return False
        departed = self._departed_still_counted()
        if self.has_quorum():
            return self._set_counted(self.present, len(self.present))
        return self._set_counted(set(self._counted_names) - departed, self.count - len(departed))

    def is_stable(self, now: int) -> bool:
        """Return whether there is a view that has not changed for the settling time."""
        return bool(self.present) and now - self._stable_since_ns >= self.settle_ns

    def has_quorum(self) -> bool:
        """Return whether present members are the majority of those that did not leave.

        No other part of a split network can have a quorum at the same time.
        """
        return 2 * len(self.present) > self.count - len(self._departed_still_counted())

    def _departed_still_counted(self) -> set[str]:
        return (set(self._counted_names) - self.present) & self.departed

    def _set_counted(self, names: Collection[str], min_count: int) -> bool:
        previous = (self.count, self.index)
        self._counted_names = tuple(sorted(names))
        self.count = max(min_count, len(names))
        self.index = self._counted_names.index(self.local_name)
        return (self.count, self.index) != previous
