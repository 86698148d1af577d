"""Starts balancers as processes, with a configuration file."""

import json
import os
import socket
import subprocess
import sys

from tests.server.balancers import ENVIRONMENT

RESERVATIONS = []  # sockets that are bound and do not listen


def write_config(directory, **replaced):
    """Write a configuration file; return the environment variables that name it."""
    content = {
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:9",
        "seed": "ff",
        "settings": ENVIRONMENT,
        **replaced,
    }
    path = directory / "config.json"
    path.write_text(json.dumps(content))
    return {"LB_CONFIG": str(path)}


def free_port():
    """Return a port of the loopback interface on which nothing listens.

    It stays reserved until this process ends: the system gives it to nobody who asks for any port.
    A server that asks for this very port, as all do with SO_REUSEADDR, can listen on it.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind(("127.0.0.1", 0))
    RESERVATIONS.append(reservation)
    return reservation.getsockname()[1]


def start_program(environ, *arguments):
    """Start a balancer, or Python with ``arguments``, with ``environ`` and few other variables."""
    inherited = {name: os.environ[name] for name in ("PATH", "PYTHONPATH") if name in os.environ}
    return subprocess.Popen(
        [sys.executable, *(arguments or ("-B", "-m", "pepperhook"))],
        env={**inherited, **environ},
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
