"""Reads and checks the header that carries a request's idempotency key."""

from __future__ import annotations

from typing import Any

from pepperhook.idempotency.replies import BAD_REQUEST, KEY_HEADER, Reply, refused
from pepperhook.idempotency.service_classes import ServiceClassPolicy
from pepperhook.server.field_value import FieldValue

MAX_KEY_LENGTH = 256  # octets
NO_KEY = FieldValue(b"")


def read_key(message: Any) -> FieldValue:
    """Return the key of a request, or NO_KEY if it has none."""
    values: list[FieldValue] | None = (message.read_headers or {}).get(KEY_HEADER)
    return values[0] if values else NO_KEY


def check_key(key: FieldValue, policy: ServiceClassPolicy) -> Reply | None:
    """Return the error for a missing required key or a key that is too long, else None."""
    if key == NO_KEY and policy.is_key_required:
        return refused(BAD_REQUEST, f"{KEY_HEADER} is wanted for this service grade")
    if len(key.octets) > MAX_KEY_LENGTH:
        return refused(BAD_REQUEST, f"{KEY_HEADER}: at most {MAX_KEY_LENGTH} characters are wanted")
    return None
