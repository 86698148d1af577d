"""The capture extension of a balancer on loopback, and the commands for what it writes."""

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
from tests.world import Peer, Running, answer, loopback, told


@pytest.fixture
def make_capture(tmp_path):
    """Makes the extension, with segments of a length."""

    def make(segment_s):
        table = CaptureTable(folder=str(tmp_path), segment_s=segment_s)
        return Capture(table, told(), Log(logging.getLogger("test")))

    return make


async def send_requests(balancer, capture):
    """Send 24 requests; let a segment end after the 13th, and preserve the ring at the 21st."""
    for number in range(24):
        path, method, body = ("/pay", b"POST", b"1") if number % 3 else ("/look", b"GET", b"")
        await balancer.ask(path, method, body, X_Timeout_Ms="200")
        # What operators ask for changes nothing of what is captured.
        balancer.node.log_state()
        if number == 12:
            capture.segment_end_ns = 0
        if number == 20:
            capture.preserve()


@loopback
async def test_balancer_is_captured_in_segments_that_replay_alone(make_capture, tmp_path):
    capture = make_capture(segment_s=1.0)
    turns = iter([answer(), answer(500), None] * 20)
    async with (
        Peer(lambda *_: next(turns)) as peer,
        Peer(lambda *_: answer()) as other,
        Running([peer.dial, other.dial], parts=Extensions([capture])) as balancer,
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
    assert_commands_read(files, tmp_path)


def assert_commands_read(files, folder):
    run = CliRunner().invoke
    info = run(main, ["record", "info", str(files[0])])
    replayed = run(main, ["record", "replay", *map(str, files)])
    no_policy = ["--policy", str(folder / "nothing.py")]
    refused = run(main, ["record", "replay", str(files[0]), *no_policy])
    assert "capture" in info.output
    assert replayed.exit_code == 0
    assert refused.exit_code == 2


@loopback
async def test_new_segment_begins_behind_records_that_were_dropped(make_capture, tmp_path):
    capture = make_capture(segment_s=600.0)
    async with (
        Peer(lambda *_: answer()) as peer,
        Running([peer.dial], parts=Extensions([capture])) as balancer,
    ):
        assert (await balancer.ask())[0] == 200
        drop_batch(capture)
        for _ in range(5):
            assert (await balancer.ask())[0] == 200

    assert capture.ring.dropped == 1
    assert capture.ring.segments == 2
    last = replay.replay_file(sorted(tmp_path.glob("*.rec"))[-1], Balancer)
    assert last.calls > 5
    assert last.difference is None


def drop_batch(capture):
    """Have the writer thread's queue be full for one batch."""

    def refuse(_):
        raise queue.Full

    commands = capture.ring.writer.queue
    put_nowait = commands.put_nowait
    commands.put_nowait = refuse
    capture.submit_batch()
    commands.put_nowait = put_nowait
