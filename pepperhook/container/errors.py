"""Errors raised when reading a container; each message is one line that begins with the path."""

from pepperhook.errors import PepperhookError


class UnreadableFileError(PepperhookError, ValueError):
    """The file cannot be read, or does not have the content that the caller needs."""


class NotAContainerError(UnreadableFileError):
    """The file does not begin with the signature of a container."""


class UnsupportedVersionError(UnreadableFileError):
    """The file's format version is newer than this program supports."""
