"""A scripted discovery service that fails, and upstreams that record what they serve."""

import asyncio
import contextlib
import time
from urllib.parse import parse_qs, urlsplit

from tests.server.balancers import encode_endpoint_list, endpoint_rows
from tests.server.peers import ScriptedPeer, make_response, request_target

MS_PER_S = 1000


class Upstream(ScriptedPeer):
    """An upstream that serves all requests, and answers health checks with ``health_status``."""

    def __init__(self, health_status=200):
        super().__init__(self.serve_request)
        self.health_status = health_status
        self.served_at = []

    def serve_request(self, head, _):
        if request_target(head) == b"/ping":
            return make_response(self.health_status)
        self.served_at.append(time.monotonic())
        return make_response()


class FailingDiscovery(ScriptedPeer):
    """A service that answers polls with its list, and waits for changes as they ask.

    While it fails, polls end as the script ``fail`` says, or nobody can connect if it is None.
    Watches that are open as it begins to fail are reset, or stay silent with ``silences_watches``.
    """

    def __init__(self, addresses, silences_watches=False):
        super().__init__(self.respond_to_poll)
        self.silences_watches = silences_watches
        self.version = 1
        self.rows = endpoint_rows(addresses)
        self.is_failing = False
        self.fail = None
        self.woken = asyncio.Event()
        self.polled_at = []

    async def respond_to_poll(self, head, body):
        self.polled_at.append(time.monotonic())
        query = parse_qs(urlsplit(request_target(head).decode()).query)
        since = int(query["since"][0]) if "since" in query else None
        if since == self.version and not self.is_failing:
            await self._wait_for_change(int(query["timeout_ms"][0]) / MS_PER_S)
            if self.is_failing:
                return None if self.silences_watches else (b"",)
        if self.is_failing:
            return await self.fail(head, body)
        if since == self.version:
            return make_response(body=encode_endpoint_list(since, [], whole=False))
        return make_response(body=encode_endpoint_list(self.version, self.rows))

    async def _wait_for_change(self, wait_s):
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.woken.wait(), wait_s)

    def remove(self, count):
        """Remove the first ``count`` upstreams from the list."""
        self.version += 1
        self.rows = self.rows[count:]
        self._wake()

    def begin_to_fail(self, fail):
        """End each poll, also those that are open, as ``fail`` says."""
        self.is_failing, self.fail = True, fail
        self._wake()
        if fail is None:
            self.close()

    async def end_failure(self):
        """Answer polls again."""
        self.is_failing = False
        if self.fail is None:
            await self.listen(int(self.address.rpartition(":")[2]))

    def _wake(self):
        self.woken.set()
        self.woken = asyncio.Event()
