"""Errors of the journal."""

from pepperhook.errors import PepperhookError


class JournalUnusableError(PepperhookError, ValueError):
    """The journal can't be opened or read; the one-line message names file and position."""


class RecordEncodingError(PepperhookError, ValueError):
    """A record, or one of a group of records, can't be encoded."""


class JournalWriteError(PepperhookError, OSError):
    """A record could not be made durable."""
