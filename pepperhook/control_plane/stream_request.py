"""The request with which a balancer opens its stream, as the query of a URL."""

from collections.abc import Mapping
from urllib.parse import urlencode

from msgspec import Struct

from pepperhook.control_plane.messages import STREAM_PATH


class StreamRequest(Struct, frozen=True, kw_only=True):
    """What a balancer reports when it opens a stream.

    A version that need not be sent again and one that patches may be applied to are different
    things: a balancer that has rejected a version does not have it.
    """

    name: str
    tier: int = 0
    processed_number: int = 0  # of the version that it applied or rejected last; 0: send any
    base_number: int = 0  # of the version in force, to which patches may be applied; 0: none
    base_hash: str = ""  # of that version; the service may have another one of its number

    def path(self) -> str:
        """Return path and query of the request."""
        query = {
            "name": self.name,
            "tier": self.tier,
            "have": self.processed_number,
            "base": self.base_number,
            "base_hash": self.base_hash,
        }
        return f"{STREAM_PATH}?{urlencode(query)}"


def read_stream_request(query: Mapping[str, str]) -> StreamRequest:
    """Return the request of a query. Raises KeyError without a name, ValueError for a bad number.

    A balancer of an earlier release reports no base, and gets complete versions.
    """
    return StreamRequest(
        name=query["name"],
        tier=int(query.get("tier", "0")),
        processed_number=int(query.get("have", "0")),
        base_number=int(query.get("base", "0")),
        base_hash=query.get("base_hash", ""),
    )
