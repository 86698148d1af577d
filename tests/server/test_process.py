"""The balancer as a process: signals during a shutdown, and few descriptors."""

import asyncio
import signal

import pytest

from tests.programs import free_port, write_config
from tests.server.balancer_process import BalancerProcess
from tests.server.balancers import (
    encode_endpoint_list,
    endpoint_list,
    endpoint_rows,
    wait_until,
)
from tests.server.peers import ScriptedPeer, always, make_response, request_target

PROCESSES = 5
WITH_64_DESCRIPTORS = (
    "import os, resource, sys; resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64)); "
    "os.execv(sys.executable, [sys.executable, '-B', '-m', 'pepperhook'])"
)


async def test_signals_during_a_shutdown_do_not_change_its_course(tmp_path, release):
    async with (
        ScriptedPeer(release.then(make_response())) as peer,
        ScriptedPeer(always(None)) as other_service,
    ):
        known = endpoint_list(1, endpoint_rows([peer.address]))
        balancer = BalancerProcess(write_config(tmp_path, known=known))
        await balancer.wait_for_event("started")
        reader, writer = await balancer.send_request()
        await wait_until(lambda: peer.requests)

        write_config(tmp_path, discovery=other_service.address)
        balancer.signal(signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)
        await balancer.wait_for_event("leaving")
        balancer.signal(signal.SIGHUP, signal.SIGTERM, signal.SIGUSR1)
        await balancer.wait_for_event("counters")
        release.set()

        assert (await balancer.read_response(reader))[0] == 200
        writer.close()
        log = await balancer.read_rest_of_log()
        assert balancer.process.returncode == 0
        assert log.splitlines()[-1].endswith("event=ended")
        assert "level=error" not in log
        assert "Traceback" not in log


async def test_endpoint_list_gets_a_descriptor_while_clients_use_all_of_theirs(tmp_path):
    def script(head, _):
        if b"since" in request_target(head):
            return None
        return make_response(body=encode_endpoint_list(1, endpoint_rows([peer.address])))

    async with ScriptedPeer(always(make_response())) as peer:
        service, service_port = ScriptedPeer(script), free_port()
        environment = write_config(tmp_path, discovery=f"127.0.0.1:{service_port}")
        balancer = BalancerProcess(environment, "-c", WITH_64_DESCRIPTORS)
        await balancer.wait_for_event("started")
        connections = [await balancer.connect() for _ in range(200)]
        await balancer.wait_for_event("list_failed")

        await service.listen(service_port)
        await wait_until(lambda: len(service.requests) >= 2)

        assert await balancer.status("/_health") == 200
        assert await balancer.status() == 200
        balancer.signal(signal.SIGTERM)
        for _, writer in connections:
            writer.close()
        log = await balancer.read_rest_of_log()
        assert balancer.process.returncode == 0
        assert "Too many open files" not in log
        assert "Traceback" not in log
        service.close()


async def test_signals_at_the_end_of_a_shutdown_do_not_change_the_exit_code(tmp_path):
    """A second SIGTERM near the end of a shutdown ended the process with exit code -15.

    The event loop restores the default handlers when it closes, and the interpreter takes some
    hundredths of a second more to exit.
    """
    balancer = BalancerProcess(write_config(tmp_path))
    await balancer.wait_for_event("started")
    balancer.signal(signal.SIGTERM)
    await balancer.wait_for_event("ended")

    while balancer.process.poll() is None:
        balancer.signal(signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1)
        await asyncio.sleep(0.001)

    await balancer.read_rest_of_log()
    assert balancer.process.returncode == 0


# Runs the balancer with pauses where the event loop and the interpreter end, which are the moments
# at which asyncio and Python restore the default actions of signals.
WITH_PAUSES_AT_THE_END = """
import asyncio, atexit, functools, runpy, time
def pause(function):
    @functools.wraps(function)
    def paused(*arguments):
        try:
            return function(*arguments)
        finally:
            time.sleep(0.02)
    return paused
loop_type = asyncio.SelectorEventLoop
loop_type.remove_signal_handler = pause(loop_type.remove_signal_handler)
loop_type.close = pause(loop_type.close)
atexit.register(time.sleep, 0.05)
runpy.run_module("pepperhook", run_name="__main__")
"""


@pytest.mark.parametrize("arguments", [(), ("-c", WITH_PAUSES_AT_THE_END)])
async def test_no_signal_during_a_shutdown_meets_its_default_action(tmp_path, arguments):
    # SIGUSR1 between the removal of its handler and the next one ended a balancer with -10.
    for _ in range(PROCESSES):
        balancer = BalancerProcess(write_config(tmp_path), *arguments)
        await balancer.wait_for_event("started")
        balancer.signal(signal.SIGTERM)
        log_reader = asyncio.create_task(balancer.read_rest_of_log())
        while not log_reader.done():
            balancer.signal(signal.SIGUSR1, signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
            await asyncio.sleep(0)

        log = log_reader.result()
        assert balancer.process.returncode == 0
        assert "event=ended" in log
