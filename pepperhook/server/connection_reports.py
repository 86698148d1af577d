"""Logs when client connections, or what their messages hold, come close to a limit."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from pepperhook.server.memory_ledger import BYTES_PER_MB, resident_bytes

if TYPE_CHECKING:
    from pepperhook.server.client_connections import Connections


class ConnectionReports:
    """Measures the memory of the process, and logs each change between normal and critical."""

    def __init__(self, connections: Connections) -> None:
        """Report on ``connections``, to their log."""
        self.connections = connections
        self._are_too_many_busy = False

    def watch(self) -> None:
        """Adapt the memory limit to the process; log what is no longer, or has become, critical."""
        connections = self.connections
        resident = resident_bytes()
        connections.ledger.measure_process(resident)
        if connections.ledger.crosses_threshold():
            connections.log.info("client_memory", **self.memory_fields(resident))
        if self._are_too_many_busy and not connections.has_too_many_busy:
            self._are_too_many_busy = False
            self._log_connections("normal")

    def too_many_busy(self) -> None:
        """Log the states of all connections, once until this is over, as requests are refused."""
        if not self._are_too_many_busy:
            self._are_too_many_busy = True
            self._log_connections("too many busy")

    def memory_fields(self, resident: int) -> dict[str, Any]:
        """Return what messages hold and the process uses, in MB, as fields of a log line."""
        ledger = self.connections.ledger
        return {
            "state": "high" if ledger.is_high else "normal",
            "held_mb": round(ledger.total / BYTES_PER_MB, 1),
            "peak_mb": round(ledger.peak / BYTES_PER_MB, 1),
            "limit_mb": round(ledger.limit / BYTES_PER_MB, 1),
            "resident_mb": round(resident / BYTES_PER_MB, 1),
            "unfinished": len(ledger.unfinished),
            "connections": self.connections.count,
        }

    def connection_fields(self) -> dict[str, int]:
        """Return how many connections are in which state, as fields of a log line."""
        connections = self.connections
        return {
            "idle": len(connections.idle),
            "busy": len(connections.busy),
            "receiving": len(connections.receiving),
            "waiting_turns": len(connections.turns.waiting),
            "closing": len(connections.ending),
            "streams": len(connections.streams),
        }

    def _log_connections(self, state: str) -> None:
        self.connections.log.info("client_connections", state=state, **self.connection_fields())
