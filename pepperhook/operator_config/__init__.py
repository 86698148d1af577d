"""The operator's file: options that the platform's configuration does not contain.

An extension is off unless the file has its table. ``schema`` defines the tables, and ``builder``
creates the extensions from them.
"""

from pepperhook.operator_config.builder import build, read

__all__ = ["build", "read"]
