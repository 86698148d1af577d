"""Samples the requests whose traces are not always written, such as those served in time."""

import re

from pepperhook.tracing.records import id_checksum

_CHECKSUM_COUNT = 2**32


class RequestSampler:
    """Samples by the root of the chain of parents, so that all tiers keep the same requests."""

    def __init__(self, fraction: float, parent_pattern: str | None = None) -> None:
        """Sample a ``fraction`` of the requests, from 0 to 1.

        ``parent_pattern`` is a regular expression that is matched with the id of a request; its
        first group is the id of the parent request.
        """
        self._checksum_limit = fraction * _CHECKSUM_COUNT
        self._parent_pattern = re.compile(parent_pattern) if parent_pattern else None

    def parent_of(self, request_id: str) -> str:
        """Return the id of the parent request, or an empty string if there is none."""
        match = self._parent_pattern.match(request_id) if self._parent_pattern else None
        parent: str = match[1] or "" if match else ""
        # A parent id that is not shorter than the id could make the chain of parents endless.
        return parent if len(parent) < len(request_id) else ""

    def root_of(self, request_id: str) -> str:
        """Return the first id in the chain of parents; the id itself if it has no parent."""
        root = request_id
        while parent := self.parent_of(root):
            root = parent
        return root

    def includes(self, root_id: str) -> bool:
        """Return whether requests whose chain of parents begins with ``root_id`` are sampled."""
        return id_checksum(root_id) < self._checksum_limit
