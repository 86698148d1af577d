"""The deploy file's command runs the balancer under the platform's restrictions.

Starting programs and fork fail with ENOSYS, splice with EINVAL and sendfile with ENOSYS; sockets
are limited to TCP and UDP over IPv4, except for unconnected Unix sockets.
"""

import asyncio
import os
import shlex
import signal
import subprocess
import sys
import tomllib
from pathlib import Path

import psutil

from pepperhook.lab import scenario_run
from tests.programs import free_port, write_config
from tests.server.balancers import RunningBalancer, endpoint_list, endpoint_rows
from tests.server.peers import ScriptedPeer, make_response

ROOT = Path(scenario_run.ROOT)
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
# The started interpreter imports this as sitecustomize before any project code. An audit hook
# rejects restricted calls; splice and sendfile raise no audit event and are replaced by functions
# that fail. No external tracer is used.
SITECUSTOMIZE = """
import errno, os, socket, sys
def refuse(call, number=errno.ENOSYS):
    os.write(2, f"REFUSED {call}\\n".encode())
    raise OSError(number, os.strerror(number))
def hook(event, args):
    if event in ("os.fork", "os.forkpty", "os.exec", "os.posix_spawn", "os.spawn", "os.system", "subprocess.Popen"):
        refuse(event)
    if event == "socket.__new__" and args[1] not in (socket.AF_INET, socket.AF_UNIX):
        refuse(f"socket of family {args[1]}", errno.EAFNOSUPPORT)
    if event in ("socket.bind", "socket.connect") and args[0].family == socket.AF_UNIX:
        refuse(f"{event} of a Unix socket")
sys.addaudithook(hook)
os.splice = lambda *_, **__: refuse("splice", errno.EINVAL)
os.sendfile = lambda *_, **__: refuse("sendfile")
"""


def restricted_environment(tmp_path):
    (tmp_path / "sitecustomize.py").write_text(SITECUSTOMIZE)
    return {"PATH": os.environ["PATH"], "PYTHONPATH": str(tmp_path), "TMPDIR": str(tmp_path)}


def test_restricted_environment_rejects_the_calls_that_the_platform_rejects(tmp_path):
    # The test that runs the balancer relies on these restrictions.
    calls = [
        "os.fork()",
        "os.posix_spawn('/bin/true', ['true'], {})",
        "os.splice(0, 1, 1)",
        "os.sendfile(1, 0, 0, 1)",
        "os.system('true')",
        "subprocess.run(['true'])",
        "socket.socket(socket.AF_INET6)",
        "socket.socket(socket.AF_UNIX).connect('x')",
        "os.execv('/bin/true', ['true'])",
    ]
    for call in calls:
        result = subprocess.run(
            [sys.executable, "-c", f"import os, socket, subprocess\n{call}"],
            env=restricted_environment(tmp_path),
            capture_output=True,
            text=True,
            stdin=subprocess.DEVNULL,
        )
        assert result.returncode == 1 and result.stderr.startswith("REFUSED "), (
            call,
            result.stderr,
        )


def test_deploy_command_replaces_the_shell_and_build_reuses_the_environment():
    command = shlex.split(DEPLOY["run"])
    # Without exec a shell would remain, and signals would reach it instead of the balancer.
    assert command[0] == "exec" and command[1:] == [".venv/bin/python", "-m", "pepperhook"]
    # The files that the deploy file names exist.
    assert all((ROOT / path).exists() for path in DEPLOY["policy"] + DEPLOY["node"])
    # Operators build repeatedly in one folder; an existing virtual environment is kept.
    assert "test -x .venv/bin/python || python3 -m venv .venv" in DEPLOY["build"]


async def test_balancer_starts_serves_reloads_and_drains_under_the_platform_restrictions(
    tmp_path,
):
    release, request_received = asyncio.Event(), asyncio.Event()

    def respond_to_poll(head, _):
        # A poll for changes gets no response.
        if b"since" in head:
            return None
        return make_response(
            body=b'{"seq":2,"whole":true,"hosts":[{"host":"h0","dial":"%s","health":"ready"}]}'
            % peer.address.encode()
        )

    async def respond(head, _):
        if b"slow" in head:
            request_received.set()
            await release.wait()
        return make_response()

    async with (
        ScriptedPeer(respond) as peer,
        ScriptedPeer(respond_to_poll) as discovery_a,
        ScriptedPeer(respond_to_poll) as discovery_b,
    ):
        balancer = RunningBalancer()
        balancer.port = free_port()
        config = dict(
            known=endpoint_list(1, endpoint_rows([peer.address])),
            discovery=discovery_a.address,
        )
        environ = {
            **restricted_environment(tmp_path),
            **write_config(tmp_path, **config),
            "LB_LISTEN": f"127.0.0.1:{balancer.port}",
            "LB_DISCOVERY": discovery_a.address,
        }
        process = subprocess.Popen(
            ["/bin/sh", "-c", DEPLOY["run"]],
            cwd=ROOT,
            env=environ,
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        log_lines = []

        async def wait_for_event(event):
            while f"event={event}" not in (
                line := await asyncio.to_thread(process.stderr.readline)
            ):
                assert line, "".join(log_lines)
                log_lines.append(line)

        await wait_for_event("started")
        balancer_process = psutil.Process(process.pid)
        maps = Path(f"/proc/{process.pid}/maps").read_text()
        assert "python" in os.path.basename(balancer_process.exe()) and "libc.so" in maps
        # Serve requests.
        assert (await balancer.request("/look"))[0] == 200
        assert (await balancer.request("/pay", b"POST", b"1"))[0] == 200
        # Reload on SIGHUP, and log the counters on SIGUSR1.
        write_config(tmp_path, **{**config, "discovery": discovery_b.address})
        process.send_signal(signal.SIGHUP)
        await wait_for_event(f"reloaded discovery={discovery_b.address}")
        process.send_signal(signal.SIGUSR1)
        await wait_for_event("counters")
        reader, writer = await balancer.send_request("/look/slow")
        await request_received.wait()
        assert not balancer_process.children(recursive=True)
        # SIGHUP and SIGTERM together: the config file is reloaded, and the request in progress is
        # answered before the process ends.
        write_config(tmp_path, **config)
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        await wait_for_event("leaving")
        release.set()
        assert (await balancer.read_response(reader))[0] == 200
        writer.close()
        _, remaining_log = await asyncio.to_thread(process.communicate, timeout=60)
        log = "".join(log_lines) + remaining_log
        assert process.returncode == 0 and "REFUSED" not in log and "level=error" not in log
        assert remaining_log.splitlines()[-1].endswith("event=ended")
