"""Errors of the operations on traces; each message is a single line."""

from pepperhook.errors import PepperhookError


class KeyTooShortError(PepperhookError, ValueError):
    """The key for pseudonyms is short enough to be guessed."""


class OverwritesInputError(PepperhookError, ValueError):
    """An output file would overwrite the file that it is made from."""


class ParquetUnavailableError(PepperhookError, RuntimeError):
    """The library that writes Parquet is not installed."""
