"""Errors of stored states."""

from pepperhook.errors import PepperhookError


class StateRefusedError(PepperhookError, ValueError):
    """A stored state cannot be used by this build; the message gives the reason in one line."""
