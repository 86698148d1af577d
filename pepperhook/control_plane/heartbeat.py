"""Reports a balancer's state to the control service."""

import json
from http import HTTPStatus
from zlib import crc32

import msgspec
from msgspec import UNSET

from pepperhook.control_plane.messages import HEARTBEAT_PATH, Heartbeat, HeartbeatReply
from pepperhook.control_plane.rollout_statistics import RequestCounts
from pepperhook.control_plane.service_connection import ServiceConnection
from pepperhook.control_plane.version_applier import VersionApplier


class HeartbeatSender:
    """Sends heartbeats; they list the ready upstreams only if the service does not have them."""

    def __init__(self, name: str, tier: int, address: str, applier: VersionApplier) -> None:
        """Report the state of one balancer; ``address`` is its listening address."""
        self.requests = RequestCounts()  # since the balancer's start
        self.acknowledged_checksum = 0  # of the upstreams that the service has
        self._name = name
        self._tier = tier
        self._address = address
        self._applier = applier

    async def send(self, connection: ServiceConnection) -> None:
        """Send one heartbeat. Raises ClientError, OSError or MsgspecError."""
        body = json.dumps(msgspec.to_builtins(self._heartbeat())).encode()
        async with connection.post(HEARTBEAT_PATH, body) as response:
            if response.status == HTTPStatus.OK:
                # A restarted service has lost the upstreams, and replies with another checksum.
                reply = msgspec.json.decode(await response.read(), type=HeartbeatReply)
                self.acknowledged_checksum = reply.upstreams_checksum

    def _heartbeat(self) -> Heartbeat:
        upstreams = self._applier.endpoints.ready_names()
        checksum = crc32("\n".join(upstreams).encode())
        running = self._applier.running
        return Heartbeat(
            name=self._name,
            tier=self._tier,
            running_version=self._applier.running_number,
            running_hash=running.hash if running is not None else "",
            rejection=self._applier.rejection,
            succeeded=self.requests.succeeded,
            failed=self.requests.failed,
            address=self._address,
            upstreams_checksum=checksum,
            upstreams=UNSET if checksum == self.acknowledged_checksum else upstreams,
        )
