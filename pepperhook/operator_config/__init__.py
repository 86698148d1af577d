"""The operator's file: options that are not part of the balancer's configuration (LB_CONFIG).

An extension is off unless the file has its table. ``schema`` defines the tables, and ``builder``
creates the extensions from them.
"""

from pepperhook.operator_config.builder import build, read

__all__ = ["build", "read"]
