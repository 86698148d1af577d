"""Long-lived background work survives an error that nobody foresaw.

What happened: one message ended a task for the rest of the process's life, and nobody saw it. A
version or a view whose MAC is not ASCII made ``hmac.compare_digest`` raise TypeError, a heartbeat's
answer that is no JSON raised ValueError, a full disk raised OSError in the watcher of idempotency
peers. The balancer followed no configuration any more and served on; the log had no line of it,
only "Task exception was never retrieved" at the end of the process. Now such work runs under
one supervisor, which logs ``background_fault`` with the task's name, counts it and begins the work
again with backoff.
"""

import asyncio
from pathlib import Path

import pytest

from pepperhook.capture.extension import Capture
from pepperhook.container.segment_writer import SegmentWriter
from pepperhook.control_plane.extension import Control
from pepperhook.control_plane.history import HistoryStore
from pepperhook.control_plane.service import ControlService
from pepperhook.control_plane.stream_client import StreamClient
from pepperhook.idempotency import peers
from pepperhook.membership.extension import Gossip
from pepperhook.membership.protocol import SwimProtocol
from pepperhook.operator_config.schema import CaptureTable
from pepperhook.server import supervision
from pepperhook.server.extensions import Extensions
from pepperhook.server.supervision import Supervisor
from tests.control_plane.helpers import KEYS, RunningControlService, control_extension
from tests.idempotency.balancers import make_extension as make_idempotency
from tests.idempotency.balancers import make_log
from tests.membership.test_extension import make_extension as make_gossip
from tests.programs import free_port
from tests.server.balancers import RunningBalancer, make_config, wait_until
from tests.server.peers import ScriptedPeer, always, make_response

WAIT_S = 10


async def until(condition):
    """Wait until a condition holds; fail where it never does."""
    async with asyncio.timeout(WAIT_S):
        await wait_until(condition, 0.005)


def breaking_once(function):
    """Return a function that raises at its first call, and a list of its calls."""
    calls = []

    def call(*arguments, **named):
        calls.append(arguments)
        if len(calls) == 1:
            raise AssertionError("not foreseen")
        return function(*arguments, **named)

    return call, calls


# The supervisor.


async def test_work_that_fails_is_reported_and_begun_again_with_growing_waits(monkeypatch):
    monkeypatch.setattr(supervision, "FIRST_RESTART_S", 0.001)
    faults, begun = [], []

    async def work():
        begun.append(asyncio.get_running_loop().time())
        if len(begun) < 5:
            raise ValueError(len(begun))

    await Supervisor(lambda name, error: faults.append((name, error.args))).start("work", work)

    assert faults == [("work", (number,)) for number in (1, 2, 3, 4)]
    waits = [after - before for before, after in zip(begun, begun[1:], strict=False)]
    assert all(wait >= 0.001 * 2**at for at, wait in enumerate(waits))


async def test_work_that_is_cancelled_ends_and_is_no_fault():
    faults = []
    supervisor = Supervisor(lambda *fault: faults.append(fault))
    task = supervisor.start("work", asyncio.Event().wait)
    await asyncio.sleep(0)

    task.cancel()
    await asyncio.wait([task])

    assert task.cancelled() and not faults


# Each long-lived task of a balancer and of the control service.


@pytest.fixture
def short_restarts(monkeypatch):
    monkeypatch.setattr(supervision, "FIRST_RESTART_S", 0.01)


def control(_directory, address):
    return control_extension(address)


def gossip(_directory, _address):
    return make_gossip(0, [free_port(), free_port()])


def idempotency(directory, _address):
    path = directory / "peers.toml"
    members = f'[[members]]\nname = "n"\naddress = "127.0.0.1:{free_port()}"\n'
    path.write_text(f"version = 1\nepoch = 1\n{members}")
    followed = peers.Peers(str(path), "n", make_log())
    return make_idempotency(followed, window_s={"pay": 1.0}, journal=str(directory / "journal"))


LONG_LIVED = {
    "control stream": (control, StreamClient, "_read_stream"),
    "control heartbeats": (control, Control, "_lower_fleet_size"),
    "idempotency peers": (idempotency, peers.Peers, "_poll_members"),
    "gossip": (gossip, SwimProtocol, "tick"),
    "gossip socket": (gossip, Gossip, "_resolve_seeds"),
}


@pytest.mark.usefixtures("short_restarts")
@pytest.mark.parametrize("name", LONG_LIVED)
async def test_long_lived_task_survives_an_error_that_nobody_foresaw(name, tmp_path, monkeypatch):
    make, owner, method = LONG_LIVED[name]
    monkeypatch.setattr(peers, "POLL_INTERVAL_S", 0.01)
    broken, calls = breaking_once(getattr(owner, method))
    monkeypatch.setattr(owner, method, broken)
    async with (
        ScriptedPeer(always(make_response())) as upstream,
        RunningControlService(tmp_path / "service") as service,
        RunningBalancer(
            [upstream.address],
            Extensions([make(tmp_path, service.address)]),
            owns_event_loop=False,
        ) as balancer,
    ):
        await until(lambda: len(calls) > 1)

        assert balancer.counters["background faults"] == 1
        assert await balancer.status() == 200


def test_all_long_lived_tasks_of_a_balancer_are_in_the_test_above():
    package = Path(supervision.__file__).parents[1]
    started = set()
    for path in package.rglob("*.py"):
        text = path.read_text(encoding="utf-8")
        for call in ("supervisor.start(", "supervisor.guard("):
            started |= {part.split('"')[1] for part in text.split(call)[1:]}

    assert started == set(LONG_LIVED)


@pytest.mark.usefixtures("short_restarts")
async def test_gossip_goes_on_after_its_socket_was_closed_by_itself():
    # Against a view of the fleet that stays as it was for the rest of a process's life.
    extension = make_gossip(0, [free_port(), free_port()])
    async with RunningBalancer(
        ["127.0.0.1:9"], Extensions([extension]), owns_event_loop=False
    ) as balancer:
        await until(lambda: extension.transport is not None)
        first = extension.transport
        first.sendto(b"x", ("a\0b", 9))  # the transport closes itself over a TypeError
        await until(lambda: extension.transport is not first)
        sent = extension.counters.datagrams_out
        await until(lambda: extension.counters.datagrams_out > sent)

        assert balancer.counters["background faults"] == 1


@pytest.mark.usefixtures("short_restarts")
async def test_control_service_survives_an_error_that_nobody_foresaw(tmp_path, monkeypatch):
    monkeypatch.setattr("pepperhook.control_plane.service.TICK_INTERVAL_S", 0.01)
    broken, calls = breaking_once(ControlService.tick)
    monkeypatch.setattr(ControlService, "tick", broken)
    service = ControlService(HistoryStore(tmp_path / "s"), KEYS)
    service.start()

    await until(lambda: len(calls) > 2)

    assert service.background_faults == 1
    await service.stop()


async def test_writer_of_captures_survives_an_error_that_nobody_foresaw(tmp_path, monkeypatch):
    extension = Capture(CaptureTable(folder=str(tmp_path)), make_config(), make_log())
    broken, calls = breaking_once(SegmentWriter._execute)
    monkeypatch.setattr(SegmentWriter, "_execute", broken)
    async with (
        ScriptedPeer(always(make_response())) as upstream,
        RunningBalancer([upstream.address], Extensions([extension])) as balancer,
    ):
        assert await balancer.status() == 200
        await until(lambda: len(calls) > 1 and extension.ring.error is None)
    assert list(tmp_path.glob("*.rec"))
