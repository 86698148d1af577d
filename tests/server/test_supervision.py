"""Long-lived background work continues after an unexpected error.

One message could end a task for the rest of the process's life, without a line in the log but "Task
exception was never retrieved" at the end of the process. A version or view with a MAC that is not
ASCII raised TypeError in ``hmac.compare_digest``, a heartbeat response that is not JSON raised
ValueError, and a full disk raised OSError in the task that watches the idempotency peers. The
balancer went on serving, but did not follow its configuration. The supervisor logs
``background_fault`` with the task's name, counts it, and restarts the work with backoff.
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
from pepperhook.idempotency import member_list_follower
from pepperhook.idempotency.peers import Peers
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


async def wait_until_or_fail(condition):
    """Wait until a condition is true; fail after WAIT_S."""
    async with asyncio.timeout(WAIT_S):
        await wait_until(condition, 0.005)


def fail_once(function):
    """Return a wrapper of ``function`` that raises at its first call, and a list of its calls."""
    calls = []

    def call(*arguments, **named):
        calls.append(arguments)
        if len(calls) == 1:
            raise AssertionError("unexpected")
        return function(*arguments, **named)

    return call, calls


# The supervisor.


async def test_work_that_fails_is_reported_and_restarted_with_growing_delays(monkeypatch):
    monkeypatch.setattr(supervision, "FIRST_RESTART_S", 0.001)
    faults, starts = [], []

    async def work():
        starts.append(asyncio.get_running_loop().time())
        if len(starts) < 5:
            raise ValueError(len(starts))

    await Supervisor(lambda name, error: faults.append((name, error.args))).start("work", work)

    assert faults == [("work", (number,)) for number in (1, 2, 3, 4)]
    delays = [after - before for before, after in zip(starts, starts[1:], strict=False)]
    assert all(delay >= 0.001 * 2**at for at, delay in enumerate(delays))


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
    followed = Peers(str(path), "n", make_log())
    return make_idempotency(followed, window_s={"pay": 1.0}, journal=str(directory / "journal"))


LONG_LIVED = {
    "control stream": (control, StreamClient, "_read_stream"),
    "control heartbeats": (control, Control, "_lower_fleet_size"),
    "idempotency peers": (idempotency, member_list_follower.MemberListFollower, "_poll"),
    "gossip": (gossip, SwimProtocol, "tick"),
    "gossip socket": (gossip, Gossip, "_resolve_seeds"),
}


@pytest.mark.usefixtures("short_restarts")
@pytest.mark.parametrize("name", LONG_LIVED)
async def test_long_lived_task_survives_an_unexpected_error(name, tmp_path, monkeypatch):
    make, owner, method = LONG_LIVED[name]
    monkeypatch.setattr(member_list_follower, "POLL_INTERVAL_S", 0.01)
    failing, calls = fail_once(getattr(owner, method))
    monkeypatch.setattr(owner, method, failing)
    async with (
        ScriptedPeer(always(make_response())) as upstream,
        RunningControlService(tmp_path / "service") as service,
        RunningBalancer(
            [upstream.address],
            Extensions([make(tmp_path, service.address)]),
            owns_event_loop=False,
        ) as balancer,
    ):
        await wait_until_or_fail(lambda: len(calls) > 1)

        assert balancer.counters["background faults"] == 1
        assert await balancer.status() == 200


def test_every_supervised_task_of_a_balancer_is_covered_by_the_test_above():
    package = Path(supervision.__file__).parents[1]
    started = set()
    for path in package.rglob("*.py"):
        text = path.read_text(encoding="utf-8")
        for call in ("supervisor.start(", "supervisor.run_step("):
            started |= {part.split('"')[1] for part in text.split(call)[1:]}

    assert started == set(LONG_LIVED)


@pytest.mark.usefixtures("short_restarts")
async def test_gossip_continues_after_its_transport_has_closed_itself():
    # If gossip ended with its transport, the view of the other balancers would never change again.
    extension = make_gossip(0, [free_port(), free_port()])
    async with RunningBalancer(
        ["127.0.0.1:9"], Extensions([extension]), owns_event_loop=False
    ) as balancer:
        await wait_until_or_fail(lambda: extension.transport is not None)
        first = extension.transport
        first.sendto(b"x", ("a\0b", 9))  # raises TypeError, at which the transport closes itself
        await wait_until_or_fail(lambda: extension.transport is not first)
        sent = extension.counters.datagrams_out
        await wait_until_or_fail(lambda: extension.counters.datagrams_out > sent)

        assert balancer.counters["background faults"] == 1


@pytest.mark.usefixtures("short_restarts")
async def test_control_service_survives_an_unexpected_error(tmp_path, monkeypatch):
    monkeypatch.setattr("pepperhook.control_plane.service.TICK_INTERVAL_S", 0.01)
    failing, calls = fail_once(ControlService.tick)
    monkeypatch.setattr(ControlService, "tick", failing)
    service = ControlService(HistoryStore(tmp_path / "s"), KEYS)
    service.start()

    await wait_until_or_fail(lambda: len(calls) > 2)

    assert service.background_faults == 1
    await service.stop()


async def test_capture_writer_survives_an_unexpected_error(tmp_path, monkeypatch):
    extension = Capture(CaptureTable(folder=str(tmp_path)), make_config(), make_log())
    failing, calls = fail_once(SegmentWriter._execute)
    monkeypatch.setattr(SegmentWriter, "_execute", failing)
    async with (
        ScriptedPeer(always(make_response())) as upstream,
        RunningBalancer([upstream.address], Extensions([extension])) as balancer,
    ):
        assert await balancer.status() == 200
        await wait_until_or_fail(lambda: len(calls) > 1 and extension.ring.error is None)
    assert list(tmp_path.glob("*.rec"))
