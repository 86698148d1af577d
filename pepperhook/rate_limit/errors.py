"""Errors of the rate limits."""

from collections.abc import Iterable

from pepperhook.errors import PepperhookError

MAX_NAMES_SHOWN = 8


class UnknownTenantError(PepperhookError, ValueError):
    """The rate limits name a tenant that the settings do not define."""

    def __init__(self, name: str, known_names: Iterable[str]) -> None:
        """Report the key of tenant ``name``, and up to MAX_NAMES_SHOWN known tenants."""
        known_list = ", ".join(sorted(known_names)[:MAX_NAMES_SHOWN]) or "none"
        super().__init__(
            f"customers.each.{name}: the settings know no such customer; they know: {known_list}"
        )
