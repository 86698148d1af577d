"""Malformed messages of the control service do not end the balancer's tasks.

A MAC that is not ASCII made ``hmac.compare_digest`` raise TypeError, which ended the task that
reads the stream. A reply to a heartbeat that is not JSON raised ValueError, which ended the task
that sends heartbeats. Neither was restarted, and the balancer kept its old version; the only log
line, "Task exception was never retrieved", came at the end of the process.
"""

import asyncio
import json

import pytest
from aiohttp import web

from pepperhook.control_plane import auth
from pepperhook.control_plane.messages import HEARTBEAT_PATH, STREAM_PATH
from pepperhook.control_plane.version import ForgedVersionError, verify_version
from pepperhook.key_ring import KeyRing
from pepperhook.server.extensions import Extensions
from tests.control_plane.helpers import KEYS, control_extension, signed_version, until
from tests.programs import free_port
from tests.server.balancers import RunningBalancer
from tests.server.peers import ScriptedPeer, always, make_response

KEY = ("k1", "a secret of the installation")


@pytest.mark.parametrize("mac", ["é", "\ud800", "\0", "x" * 10**6])
def test_malformed_mac_is_not_verified(mac):
    keys = KeyRing([KEY])

    assert not keys.verify("k1", b"data", mac)
    assert keys.verify("k1", b"data", keys.mac(b"data"))


def test_version_and_request_with_a_mac_that_is_not_ascii_are_rejected():
    version = signed_version()
    version.mac = "é" * 64
    with pytest.raises(ForgedVersionError):
        verify_version(version, KEYS)

    headers = auth.sign_request(KEYS, "GET", "/")
    headers[auth.MAC_HEADER] = "é" * 64
    with pytest.raises(auth.RequestDeniedError):
        auth.RequestAuthenticator(KEYS).authenticate("GET", "/", headers, b"")


@pytest.mark.parametrize("reply", [b"no json", b"[]", b'{"wanted": "x"}', b"\xff", b""])
async def test_heartbeats_continue_after_a_malformed_reply(reply, monkeypatch):
    monkeypatch.setattr("pepperhook.control_plane.extension.HEARTBEAT_INTERVAL_S", 0.02)
    heartbeats = []

    async def stream(request):
        response = web.StreamResponse()
        await response.prepare(request)
        await asyncio.Event().wait()

    async def heartbeat(request):
        heartbeats.append(json.loads(await request.read()))
        return web.Response(body=reply, content_type="application/json")

    app = web.Application()
    app.router.add_get(STREAM_PATH, stream)
    app.router.add_post(HEARTBEAT_PATH, heartbeat)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    port = free_port()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    extension = control_extension(f"127.0.0.1:{port}")
    async with (
        ScriptedPeer(always(make_response())) as upstream,
        RunningBalancer(
            [upstream.address], Extensions([extension]), owns_event_loop=False
        ) as balancer,
    ):
        await until(lambda: len(heartbeats) > 2, 10)

        assert balancer.counters["background faults"] == 0
    await runner.cleanup()
