"""The tracing extension in a balancer on loopback, and its table in the operator file."""

import logging
import tempfile

import pytest

from pepperhook import operator_config, tomlfile
from pepperhook.capture.extension import Capture
from pepperhook.container.segment_directory import SegmentFolderError
from pepperhook.operator_config.schema import CaptureTable, OperatorFile, TraceTable
from pepperhook.server.extensions import Extensions
from pepperhook.server.structured_logging import Log
from pepperhook.tracing.extension import Tracing
from pepperhook.tracing.retrace import trace_captures
from tests.server.balancers import RunningBalancer, make_config
from tests.server.peers import ScriptedPeer, make_response
from tests.tracing.traces import read_file

FINAL_OF_STATUS = {200: "fulfilled", 503: "shed", 500: "broken off"}
LOG = Log(logging.getLogger("test"))


async def send_requests(balancer, count=20):
    """Send ``count`` requests, every third to /look and the others to /pay; return the statuses."""
    statuses = []
    for number in range(count):
        path, method, body = ("/pay", b"POST", b"1") if number % 3 else ("/look", b"GET", b"")
        headers = {"X_Timeout_Ms": "300", "X_Tenant_Id": "acme"}
        status, _ = await balancer.request(path, method, body, **headers)
        statuses.append(status)
    return statuses


async def test_balancer_writes_traces_that_match_those_made_from_its_capture(tmp_path):
    capture_table = CaptureTable(folder=str(tmp_path / "r"), segment_s=60.0)
    trace_table = TraceTable(folder=str(tmp_path / "t"), sampled_fraction=1.0)
    capture = Capture(capture_table, make_config(), LOG)
    tracing = Tracing(trace_table, make_config(), LOG)
    responses = iter([make_response(), make_response(500), None] * 20)
    async with (
        ScriptedPeer(lambda *_: next(responses)) as unreliable_peer,
        ScriptedPeer(lambda *_: make_response()) as healthy_peer,
        RunningBalancer(
            [unreliable_peer.address, healthy_peer.address],
            extensions=Extensions([capture, tracing]),
        ) as balancer,
    ):
        statuses = await send_requests(balancer)
        tracing.preserve()
        await balancer.request()
        assert tracing.told()["seen"] == 21

    preserved = sorted((tmp_path / "t").glob("kept-*/*.trc"))
    files = preserved + sorted((tmp_path / "t").glob("*.trc"))
    traces = [trace for path in files for trace in read_file(path)]
    assert len(files) == 2
    assert len(traces) == 21
    assert tracing.ring.dropped == 0
    assert [trace.final for trace in traces[:20]] == [
        FINAL_OF_STATUS[status] for status in statuses
    ]
    assert {trace.customer for trace in traces[:20]} == {"acme"}

    result = trace_captures(sorted((tmp_path / "r").glob("*.rec")), tmp_path / "x.trc")
    assert (result.differs_at, result.lives) == (None, 21)
    reasons = [trace.reason for trace in traces]
    assert [trace.reason for trace in read_file(tmp_path / "x.trc")] == reasons


def decode_table(text):
    document = f'version = 1\n[trace]\nfolder = "x"\n{text}\n'
    return tomlfile.decode(document, OperatorFile).trace


def test_sampled_fraction_is_one_percent_by_default():
    assert decode_table('parent = "^(.+)-[0-9]+[a-z]$"').sampled_fraction == 0.01


@pytest.mark.parametrize(
    ("line", "problem"),
    [
        ("share = 2.0", "share"),
        ('parent = "("', "trace.parent"),
        ('parent = "a"', "one group"),
    ],
)
def test_error_in_the_table_names_the_key(line, problem):
    with pytest.raises(tomlfile.TomlFileError, match=problem):
        decode_table(line)


def test_error_of_a_folder_that_cannot_be_created_names_the_key(tmp_path):
    with tempfile.NamedTemporaryFile() as file:
        path = tmp_path / "op.toml"
        path.write_text(f'version = 1\n[trace]\nfolder = "{file.name}/x"\n')
        extensions = operator_config.build(str(path), make_config(), LOG)

        with pytest.raises(SegmentFolderError, match="trace.folder"):
            extensions.hold[0]()
