"""The capture extension of a balancer on loopback, and the commands that read its captures."""

import logging
import queue

import pytest
from click.testing import CliRunner

from pepperhook.balancer import Balancer
from pepperhook.capture import replay
from pepperhook.capture.extension import Capture
from pepperhook.cli import main
from pepperhook.operator_config.schema import CaptureTable
from pepperhook.server.extensions import Extensions
from pepperhook.server.structured_logging import Log
from tests.server.balancers import RunningBalancer, make_config
from tests.server.peers import ScriptedPeer, make_response


@pytest.fixture
def make_capture(tmp_path):
    """Return a function that creates the extension with a segment length in seconds."""

    def make(segment_s):
        table = CaptureTable(folder=str(tmp_path), segment_s=segment_s)
        return Capture(table, make_config(), Log(logging.getLogger("test")))

    return make


async def send_requests(balancer, capture):
    """Send 24 requests; end a segment after the 13th, and preserve the ring after the 21st."""
    for number in range(24):
        path, method, body = ("/pay", b"POST", b"1") if number % 3 else ("/look", b"GET", b"")
        await balancer.request(path, method, body, X_Timeout_Ms="200")
        # Logging the state at an operator's request must not affect the capture.
        balancer.app.log_state()
        if number == 12:
            capture.segment_end_ns = 0
        if number == 20:
            capture.preserve()


async def test_each_segment_of_a_balancers_capture_replays_on_its_own(make_capture, tmp_path):
    capture = make_capture(segment_s=1.0)
    responses = iter([make_response(), make_response(500), None] * 20)
    async with (
        ScriptedPeer(lambda *_: next(responses)) as peer,
        ScriptedPeer(lambda *_: make_response()) as healthy_peer,
        RunningBalancer([peer.address, healthy_peer.address], Extensions([capture])) as balancer,
    ):
        await send_requests(balancer, capture)
        assert capture.recorder.record_count > 60

    preserved = sorted(tmp_path.glob("kept-*/*.rec"))
    files = preserved + sorted(tmp_path.glob("*.rec"))
    assert len(preserved) >= 2
    assert len(files) >= 3
    assert capture.ring.dropped == 0
    results = [replay.replay_file(path, Balancer) for path in files]
    assert sum(result.calls for result in results) > 40
    for result in results:
        assert result.difference is None
        assert result.beginnings == 1
        assert result.states_differ == []
    assert_commands_read_captures(files, tmp_path)


def assert_commands_read_captures(files, folder):
    run = CliRunner().invoke
    info = run(main, ["record", "info", str(files[0])])
    replayed = run(main, ["record", "replay", *map(str, files)])
    missing_policy = ["--policy", str(folder / "nothing.py")]
    refused = run(main, ["record", "replay", str(files[0]), *missing_policy])
    assert "capture" in info.output
    assert replayed.exit_code == 0
    assert refused.exit_code == 2


async def test_new_segment_begins_after_dropped_records(make_capture, tmp_path):
    capture = make_capture(segment_s=600.0)
    async with (
        ScriptedPeer(lambda *_: make_response()) as peer,
        RunningBalancer([peer.address], Extensions([capture])) as balancer,
    ):
        assert (await balancer.request())[0] == 200
        drop_batch(capture)
        for _ in range(5):
            assert (await balancer.request())[0] == 200

    assert capture.ring.dropped == 1
    assert capture.ring.segments == 2
    last = replay.replay_file(sorted(tmp_path.glob("*.rec"))[-1], Balancer)
    assert last.calls > 5
    assert last.difference is None


def drop_batch(capture):
    """Make the writer thread's queue refuse one batch, as if it were full."""

    def refuse(_):
        raise queue.Full

    commands = capture.ring.writer.queue
    put_nowait = commands.put_nowait
    commands.put_nowait = refuse
    capture.submit_batch()
    commands.put_nowait = put_nowait
