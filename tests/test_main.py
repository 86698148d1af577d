"""The program as an operator starts it: signals, exit codes and the log."""

import asyncio
import os
import signal
import subprocess
import sys

import pytest

from tests.programs import free_port, start_program, write_config
from tests.server.balancers import RunningBalancer, endpoint_rows
from tests.server.peers import ScriptedPeer, header_value, make_response

# Sends the process a signal when one of the named modules is imported.
SIGNAL_AT_IMPORT = """
import os, runpy, sys
class Signals:
    def find_spec(self, name, *_):
        if name in ("asyncio", "pepperhook.policy"):
            os.kill(os.getpid(), {number})
sys.meta_path.insert(0, Signals())
runpy.run_module("pepperhook", run_name="__main__")
"""
LIST_LOADED_MODULES = "import pepperhook.__main__, sys; print(*sys.modules)"


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGUSR1])
def test_a_signal_during_the_imports_does_not_end_the_process(tmp_path, number):
    # A rolling reload ended the new process by a signal sent before the handlers were set.
    completed = subprocess.run(
        [sys.executable, "-c", SIGNAL_AT_IMPORT.format(number=int(number))],
        env={**os.environ, "LB_CONFIG": str(tmp_path / "none")},
        capture_output=True,
        text=True,
    )

    assert completed.returncode == 2
    assert "pepperhook: configuration" in completed.stderr


# Sends the process a signal at the first import of the command line that is not of its entry point.
SIGNAL_IN_COMMAND = """
import os, sys
from pepperhook import command_line
class Signals:
    def find_spec(self, name, *_):
        if name in ("click", "asyncio"):
            os.kill(os.getpid(), {number})
sys.meta_path.insert(0, Signals())
sys.argv = ["pepperhook", *{words}]
command_line.main()
"""


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM])
@pytest.mark.parametrize(
    "words", [["run"], ["control", "serve", "--keys", "none", "--store", "none"]]
)
def test_a_signal_during_the_imports_of_a_serving_command_does_not_end_it(tmp_path, number, words):
    # Only python -m pepperhook was protected, not the command that does the same.
    completed = subprocess.run(
        [sys.executable, "-c", SIGNAL_IN_COMMAND.format(number=int(number), words=words)],
        env={**os.environ, "LB_CONFIG": str(tmp_path / "none")},
        capture_output=True,
        text=True,
    )

    assert completed.returncode == 2, completed.stderr


def test_without_an_operators_file_neither_its_package_nor_msgspec_is_imported():
    completed = subprocess.run(
        [sys.executable, "-c", LIST_LOADED_MODULES], capture_output=True, text=True, check=True
    )

    loaded = completed.stdout.split()
    assert "pepperhook.server.app" in loaded
    assert not {"msgspec", "tomllib", "pepperhook.operator_config"} & set(loaded)


@pytest.mark.parametrize("name", [None, "none.json", "broken.json"])
def test_a_bad_configuration_is_one_line_and_exit_code_2(tmp_path, name):
    (tmp_path / "broken.json").write_text("{")

    process = start_program({} if name is None else {"LB_CONFIG": str(tmp_path / name)})
    out, err = process.communicate(timeout=60)

    assert process.returncode == 2
    assert not out
    assert len(err.splitlines()) == 1
    assert err.startswith("pepperhook: configuration: ")


async def test_the_program_serves_and_ends_cleanly_at_sigterm(tmp_path):
    release = asyncio.Event()

    async def respond(*_):
        await release.wait()
        return make_response()

    async with ScriptedPeer(respond) as peer:
        balancer = RunningBalancer()
        balancer.port = port = free_port()
        known = {"seq": 1, "whole": True, "hosts": endpoint_rows([peer.address])}
        environ = write_config(tmp_path, known=known) | {"LB_LISTEN": f"127.0.0.1:{port}"}
        process = start_program(environ)
        await wait_until_started(process, port)
        assert (await balancer.request("/_health"))[0] == 200
        connections = [await balancer.send_request()]
        while not peer.requests:
            await asyncio.sleep(0.01)

        process.send_signal(signal.SIGUSR1)
        read_until(process, "event=counters attempts_started=1 ")
        process.send_signal(signal.SIGTERM)
        read_until(process, "event=leaving")
        # Connections are still accepted for ACCEPT_S.
        connections.append(await balancer.send_request())
        release.set()

        for reader, writer in connections:
            assert (await balancer.read_response(reader))[0] == 200
            assert header_value(balancer.response_head, b"Connection") == b"close"
            writer.close()
        out, err = await asyncio.to_thread(process.communicate, timeout=60)

    assert process.returncode == 0
    assert not out
    assert "responses_served=2" in err
    assert err.splitlines()[-1].endswith("event=ended")
    assert "level=error" not in err


async def wait_until_started(process, port):
    """Wait until the program accepts connections; its configuration has an endpoint list."""
    lines = [await asyncio.to_thread(process.stderr.readline) for _ in range(2)]
    assert "event=list_known" in lines[0]
    assert f"event=started name=balancer listen=127.0.0.1:{port}" in lines[1]


def read_until(process, text):
    """Read the log up to a line with ``text``, and return the line."""
    while text not in (line := process.stderr.readline()):
        assert line, "the program has exited"
    return line


async def test_at_sighup_a_replaced_file_is_applied_and_a_faulty_one_is_refused(tmp_path):
    def respond(head, _):
        if b"since" in head:
            return None
        return make_response(body=b'{"seq":1,"whole":true,"hosts":[]}')

    async def wait_for_event(event):
        return await asyncio.to_thread(read_until, process, f"event={event}")

    async with ScriptedPeer(respond) as first, ScriptedPeer(respond) as second:
        environ = write_config(tmp_path, discovery=first.address)
        addresses = {"LB_DISCOVERY": first.address, "LB_LISTEN": f"127.0.0.1:{free_port()}"}
        process = start_program({**environ, **addresses})
        await wait_for_event("list_known")

        for seed, event in (
            ("xyz", 'reload_refused error="seed: '),
            ("ff", f"reloaded discovery={second.address}"),
        ):
            write_config(tmp_path, discovery=second.address, seed=seed)
            assert not second.requests
            process.send_signal(signal.SIGHUP)
            await wait_for_event(event)
        while len(second.requests) < 2:
            await asyncio.sleep(0.01)

        process.send_signal(signal.SIGTERM)
        await wait_for_event("ended")
        assert process.wait(60) == 0
