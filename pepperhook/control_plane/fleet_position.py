"""One balancer's position in its tier, from the membership views that the control service streams.

Logic without I/O. Index and fleet size determine a balancer's subset of the upstreams and its
share of their capacity. A smaller fleet size gives every balancer a larger share of each upstream,
so while balancers may have different views, the larger size is the safe one.
"""

from collections.abc import Collection

from pepperhook.control_plane.member_registry import DEFAULT_LEASE_NS

# How long a view must be unchanged before the fleet size is lowered: by then every member has
# received the view or lost its lease.
STABLE_VIEW_NS = 2 * DEFAULT_LEASE_NS


class FleetPosition:
    """Raises the fleet size at once, and lowers it once a view is ``STABLE_VIEW_NS`` old."""

    def __init__(self, name: str, configured_size: int) -> None:
        """Begin with the configured fleet size and without an index."""
        self.name = name
        self.count = configured_size  # fleet size
        self.index: int | None = None
        self.view: tuple[str, ...] = ()  # names of the tier's members
        self._epoch = 0
        self._view_since_ns = 0

    def update(self, now: int, epoch: int, names: Collection[str]) -> bool:
        """Use a view if it is newer than the last and contains this balancer; return whether so."""
        if epoch <= self._epoch or self.name not in names:
            return False
        self._epoch = epoch
        self._view_since_ns = now
        self.view = tuple(sorted(names))
        self.index = self.view.index(self.name)
        self.count = max(self.count, len(self.view))
        return True

    def lower_if_stable(self, now: int) -> bool:
        """Lower the fleet size if the view is unchanged for long enough; return whether it fell."""
        if not self.view or self.count <= len(self.view):
            return False
        if now - self._view_since_ns < STABLE_VIEW_NS:
            return False
        self.count = len(self.view)
        return True
