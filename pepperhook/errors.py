"""Base class of the errors that pepperhook raises."""


class PepperhookError(Exception):
    """Base class of the errors that callers of pepperhook may handle."""
