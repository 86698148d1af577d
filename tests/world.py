"""Second names for helpers of ``tests.policy`` and ``tests.server``, for tests that still use them.

New tests import the helpers themselves: ``make_settings`` and ``make_service_class`` (here
``settings`` and ``grade``), ``PolicySimulation`` (``World``), ``RunningBalancer`` (``Running``),
``ScriptedPeer`` (``Peer``), ``make_config`` (``told``), ``endpoint_rows`` (``hosts``),
``make_response`` (``answer``) and ``header_value`` (``header``).
"""

import asyncio
from functools import wraps

from pepperhook.server.extensions import NO_EXTENSIONS
from pepperhook.units import MILLISECOND as MS
from pepperhook.units import SECOND as S
from tests.conftest import ASYNC_TEST_TIMEOUT_S
from tests.policy.simulation import LOAD_QUERY_SETTINGS as LOOKS
from tests.policy.simulation import PolicySimulation
from tests.policy.simulation import make_service_class as grade
from tests.policy.simulation import make_settings as settings
from tests.server.balancers import ENVIRONMENT as ENV
from tests.server.balancers import RunningBalancer
from tests.server.balancers import endpoint_rows as hosts
from tests.server.balancers import make_config as told
from tests.server.peers import ScriptedPeer, make_response
from tests.server.peers import header_value as header

__all__ = [
    "ENV",
    "LOOKS",
    "MS",
    "Peer",
    "Running",
    "S",
    "World",
    "answer",
    "grade",
    "header",
    "hosts",
    "loopback",
    "settings",
    "told",
]


def alias(name):
    """Return a property that reads and writes the attribute ``name``."""
    return property(
        lambda self: getattr(self, name), lambda self, value: setattr(self, name, value)
    )


class World(PolicySimulation):
    """The simulation with an optional factory of the policy, ``make``."""

    def __init__(self, seed, make=None, **values):
        super().__init__(seed, **({"make_policy": make} if make else {}), **values)

    def run(self, steps, chance=0.15):
        """Simulate steps, in each of which a request arrives with probability ``chance``."""
        super().run(steps, chance)


class Peer(ScriptedPeer):
    """ScriptedPeer with short attribute names."""

    dial = alias("address")
    seen = alias("requests")
    lost = alias("closed_connections")


class Running(RunningBalancer):
    """RunningBalancer with short attribute names."""

    node = alias("app")
    head = alias("response_head")
    ask = RunningBalancer.request
    send = RunningBalancer.send_request
    message = staticmethod(RunningBalancer.make_request)
    answer = RunningBalancer.read_response

    def __init__(
        self, dials=(), parts=NO_EXTENSIONS, real_lateness=False, alone=True, **configuration
    ):
        super().__init__(dials, parts, real_lateness, alone, **configuration)


def answer(status=200, body=b"done", more=b""):
    """Return the bytes of a response; ``more`` are header lines."""
    return make_response(status, body, more)


def loopback(test):
    """Run a coroutine test in an event loop, with a timeout."""

    @wraps(test)
    def run(*args, **named):
        asyncio.run(asyncio.wait_for(test(*args, **named), ASYNC_TEST_TIMEOUT_S))

    return run
