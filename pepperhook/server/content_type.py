"""Reads the type of a response's body, which is forwarded to the client."""

from typing import Any

from pepperhook.server.attempt_errors import MalformedResponseError
from pepperhook.server.field_value import FieldValue


def content_type_of(headers: Any) -> FieldValue | None:
    """Return the Content-Type of a response with ``headers`` of the library; None if it has none.

    Raises MalformedResponseError if the value cannot be forwarded.
    """
    text = headers.get("Content-Type")
    if text is None:
        return None
    content_type = FieldValue.from_library(text)
    if not content_type.is_forwardable:
        raise MalformedResponseError("Content-Type has a control character")
    return content_type
