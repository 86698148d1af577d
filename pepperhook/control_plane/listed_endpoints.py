"""The endpoint list without overrides, and the overrides that a document makes to it."""

from collections.abc import Iterable
from typing import Any

from pepperhook.control_plane.document import Document
from pepperhook.domain import EndpointUpdate, UpstreamState


class ListedEndpoints:
    """Stores the rows of the endpoint list as received, before any override."""

    def __init__(self) -> None:
        """Begin with an empty list."""
        self._rows: dict[Any, EndpointUpdate] = {}

    def update(self, rows: Iterable[EndpointUpdate]) -> None:
        """Store changed rows; the row of an upstream that is gone is removed."""
        for row in rows:
            if row.state == UpstreamState.GONE:
                self._rows.pop(row.upstream, None)
            else:
                self._rows[row.upstream] = row

    def retain(self, upstreams: Iterable[Any]) -> None:
        """Remove the rows of all other upstreams, which a whole list no longer names."""
        listed = set(upstreams)
        self._rows = {upstream: row for upstream, row in self._rows.items() if upstream in listed}

    def upstreams(self) -> list[Any]:
        """Return all upstreams that are listed."""
        return list(self._rows)

    def ready_upstreams(self) -> list[Any]:
        """Return the upstreams that are ready before any override."""
        return [row.upstream for row in self._rows.values() if row.state == UpstreamState.READY]

    def ready_names(self) -> list[str]:
        """Return the sorted names of ``ready_upstreams``."""
        return sorted(name_of(upstream) for upstream in self.ready_upstreams())

    def rows_to_correct(self, document: Document) -> list[EndpointUpdate]:
        """Return the rows, with a document's overrides, whose upstream has another state now."""
        rows = override_states(self._rows.values(), document)
        return [row for row in rows if row.upstream.state != row.state]


def override_states(rows: Iterable[EndpointUpdate], document: Document) -> list[EndpointUpdate]:
    """Return rows in which ready upstreams that the document drains are draining."""
    drained = document.drained_upstreams()
    overridden = []
    for row in rows:
        must_drain = row.state == UpstreamState.READY and name_of(row.upstream) in drained
        overridden.append(row._replace(state=UpstreamState.DRAINING) if must_drain else row)
    return overridden


def weight_of(upstream: Any, document: Document) -> float:
    """Return the weight that a document gives an upstream."""
    override = document.upstreams.get(name_of(upstream))
    return 1.0 if override is None else override.weight


def weight_differs(upstream: Any, document: Document) -> bool:
    """Return whether an upstream's weight in the policy differs from a document's."""
    return bool(weight_of(upstream, document) != upstream.operator_weight)


def name_of(upstream: Any) -> str:
    """Return the name of an upstream in the endpoint list."""
    address = upstream.address
    return address.decode(errors="replace") if isinstance(address, bytes) else str(address)
