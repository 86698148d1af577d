"""Requests with ids, keys and types that are not UTF-8, with trace, capture and shadow enabled.

None of their records, and none of others, may be lost.
"""

import json
import logging

import pytest

from pepperhook.balancer import Balancer
from pepperhook.capture import replay
from pepperhook.capture.extension import Capture
from pepperhook.operator_config.schema import CaptureTable, Http2Table, ShadowTable, TraceTable
from pepperhook.server.extensions import Extensions
from pepperhook.server.structured_logging import Log
from pepperhook.shadow.extension import Shadow
from pepperhook.tracing.extension import Tracing
from tests.http2.scripted_client import ScriptedClient
from tests.server.balancers import ENVIRONMENT, RunningBalancer, make_config
from tests.server.peers import ScriptedPeer, make_response
from tests.tracing.traces import read_file

LOG = Log(logging.getLogger("test"))
LATIN_1 = b'n="re\xe7u.txt"'
RESPONSE = make_response(headers=b"Content-Type: " + LATIN_1 + b"\r\n")
HEADERS = {"Content_Type": LATIN_1, "Idempotency_Key": LATIN_1, "X_Tenant_Id": LATIN_1}


@pytest.fixture
def recorders(tmp_path):
    """Return the extensions for capture, trace and shadow; they write below ``tmp_path``."""
    settings_file = tmp_path / "candidate.json"
    settings_file.write_text(json.dumps(ENVIRONMENT))
    capture_table = CaptureTable(folder=str(tmp_path / "r"), segment_s=60.0)
    trace_table = TraceTable(folder=str(tmp_path / "t"), sampled_fraction=1.0)
    shadow_table = ShadowTable(settings_file=str(settings_file), sampled_fraction=1.0)
    return [
        Capture(capture_table, make_config(), LOG),
        Tracing(trace_table, make_config(), LOG),
        Shadow(shadow_table, make_config(), LOG),
    ]


def traced_ids(folder):
    paths = sorted((folder / "t").glob("*.trc"))
    return [trace.id for path in paths for trace in read_file(path)]


def assert_captures_replay(folder):
    paths = sorted((folder / "r").glob("*.rec"))
    assert paths
    for path in paths:
        assert replay.replay_file(path, Balancer).difference is None


async def test_requests_with_odd_headers_are_served_and_no_record_is_lost(recorders, tmp_path):
    _, tracing, shadow = recorders
    ids = [f"id-{number}" for number in range(20)]
    async with (
        ScriptedPeer(lambda *_: RESPONSE) as peer,
        RunningBalancer([peer.address], extensions=Extensions(recorders)) as balancer,
    ):
        for request_id in ids:
            assert await balancer.status(X_Request_ID=request_id, **HEADERS) == 200
            assert await balancer.status(X_Request_ID=LATIN_1) == 400
        assert tracing.told()["seen"] == len(ids)
        assert tracing.ring.dropped == 0
        assert not shadow.faults and shadow.compared

    assert traced_ids(tmp_path) == ids
    assert_captures_replay(tmp_path)


async def test_requests_over_http2_are_answered_and_no_record_is_lost(recorders, tmp_path):
    extensions = Extensions(recorders, h2=Http2Table())
    ids = [f"id-{number}" for number in range(20)]
    async with (
        ScriptedPeer(lambda *_: RESPONSE) as peer,
        RunningBalancer([peer.address], extensions=extensions) as balancer,
        ScriptedClient(balancer.port) as client,
    ):
        for request_id in ids:
            served = client.request(x_request_id=request_id, x_note=LATIN_1)
            refused = client.request(x_request_id=LATIN_1)
            assert (await client.response(served)).status == 500
            assert (await client.response(refused)).status == 400
        assert not client.reset_codes

    assert traced_ids(tmp_path) == ids
    assert_captures_replay(tmp_path)
