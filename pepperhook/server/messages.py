"""Messages between clients, balancer and upstreams, independent of the protocol."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from pepperhook.server.field_value import FieldValue

Header = tuple[str, FieldValue]
ReadHeaders = dict[str, list[FieldValue]]  # all values of each header, by its name


@dataclass(slots=True)
class RequestMessage:
    """A client's message as it is forwarded, with its body unchanged."""

    method: str
    target: str  # text of the library, as ``field_value`` describes it
    headers: list[Header]
    body: bytes
    read_headers: ReadHeaders | None = None  # those that extensions read
    client_address: str | None = None  # set if extensions read headers
    is_client_waiting: Callable[[], bool] | None = None  # checks its connection
    client_reads_utf8_only: bool = False  # so that it gets no other value; see ``is_utf8``


@dataclass(slots=True)
class UpstreamResponse:
    """A complete response of an upstream."""

    body: bytes
    content_type: FieldValue | None
    read_headers: ReadHeaders | None = None  # those that extensions read


class ResponseKind(StrEnum):
    """The result of a request, as reported to its client."""

    SERVED = "served"  # with an upstream's response
    REJECTED = "rejected"  # a retry is harmless
    FAILED = "failed"  # may have been executed


@dataclass(slots=True)
class FinalResponse:
    """The one response that a client gets for a request."""

    kind: ResponseKind
    body: bytes = b""
    content_type: FieldValue | None = None
    retry_after_ns: int = 0  # advice for rejected requests; 0: none
    headers: list[Header] | None = None  # added by extensions
