"""Balancers on loopback, and their configuration."""

import asyncio
import itertools
import json
import logging

from pepperhook import settings as settings_reader
from pepperhook.server import config, structured_logging
from pepperhook.server.app import BalancerApp
from pepperhook.server.extensions import NO_EXTENSIONS
from tests.server.peers import read_message

REQUEST_IDS = itertools.count()
SHUTDOWN_TIMEOUT_S = 30
RESPONSE_TIMEOUT_S = 30
ENVIRONMENT = {
    "discovery": "push",
    "azs": ["z"],
    "models": ["m"],
    "groupSize": 1,
    "orgs": [{"name": "acme"}],
    "permissions": {
        "probes": True,
        "maxDispatches": 3,
        "connectTimeoutUs": 500000,
        "keepaliveUs": 9000000,
    },
    "serviceGrades": [
        {"name": "look", "timeLimitUs": 2000000, "effect": "idempotent"},
        {"name": "pay", "timeLimitUs": 2000000, "effect": "at_most_once"},
        {"name": "hold", "timeLimitUs": 2000000, "effect": "deduplicated", "keyTtlUs": 1000000},
    ],
}


def with_permissions(**replaced):
    """Return ENVIRONMENT with these permissions replaced."""
    return ENVIRONMENT | {"permissions": ENVIRONMENT["permissions"] | replaced}


def with_service_classes(**replaced):
    """Return ENVIRONMENT with these values replaced in each service class."""
    rows = [row | replaced for row in ENVIRONMENT["serviceGrades"]]
    return ENVIRONMENT | {"serviceGrades": rows}


def polling(within_us):
    """Return ENVIRONMENT for a balancer that polls its endpoint list every ``within_us``."""
    return ENVIRONMENT | {"discovery": "ask", "safety": {"askWithinUs": within_us}}


def endpoint_rows(addresses, **replaced):
    """Return rows of an endpoint list: ready upstreams named h0, h1 and so on."""
    return [
        {
            "host": f"h{number}",
            "dial": address,
            "site": "z",
            "class": "m",
            "health": "ready",
            "born_ms": 0,
            **replaced,
        }
        for number, address in enumerate(addresses)
    ]


def endpoint_list(version, rows, whole=True):
    """Return an endpoint list; with ``whole=False``, changes since the previous version."""
    return {"seq": version, "whole": whole, "hosts": rows}


def encode_endpoint_list(version, rows, whole=True):
    """Return the JSON of an endpoint list."""
    return json.dumps(endpoint_list(version, rows, whole)).encode()


def make_config(known=None, discovery="127.0.0.1:9", env=ENVIRONMENT, sockets=256):
    """Return the configuration of a balancer; ``known`` is the endpoint list at its start."""
    return config.Config(
        "n",
        ("127.0.0.1", 0),
        config.parse_address("discovery", discovery),
        7,
        sockets,
        None,
        known,
        settings_reader.read(env),
        settings_reader.read_names(env),
    )


async def wait_until(condition, interval_s=0.001):
    """Wait until ``condition()`` is true."""
    while not condition():
        await asyncio.sleep(interval_s)


class RunningBalancer:
    """A balancer on loopback with scripted upstreams; at its end, checks that nothing is left open.

    ``owns_event_loop``: whether all tasks of the event loop must have ended with it.
    """

    def __init__(
        self,
        addresses=(),
        extensions=NO_EXTENSIONS,
        measures_lateness=False,
        owns_event_loop=True,
        **configuration,
    ):
        self.known = endpoint_list(1, endpoint_rows(addresses)) if addresses else None
        self.extensions = extensions
        self.measures_lateness = measures_lateness
        self.owns_event_loop = owns_event_loop
        self.configuration = configuration

    async def __aenter__(self):
        log = structured_logging.Log(logging.getLogger("test"))
        self.app = BalancerApp(make_config(self.known, **self.configuration), log, self.extensions)
        if not self.measures_lateness:
            # A balancer that was stalled correctly rejects requests with little time left. A busy
            # machine can stall at any time, and no test result may depend on that.
            self.app.runtime.lateness_ns = lambda: 0
        await self.app.start()
        self.port = self.app.http_server.address[1]
        return self

    async def __aexit__(self, error_type, *_):
        await asyncio.wait_for(self.app.shut_down(accept_s=0), SHUTDOWN_TIMEOUT_S)
        if error_type is None:
            self.check_nothing_is_left()

    def check_nothing_is_left(self):
        """Check that no task, socket or attempt outlives the balancer."""
        app = self.app
        assert not app.requests.tasks and not app.runtime.inboxes and not app.upstreams.tasks
        assert not any(each.fileno() != -1 for each in app.upstreams.sockets)
        listed = app.runtime.policy.subset.ring.listed
        assert not any(upstream.in_flight for upstream in listed)
        if self.owns_event_loop:
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            ours = [task for task in tasks if "pepperhook" in repr(task) or "aiohttp" in repr(task)]
            assert not ours

    @property
    def counters(self):
        """The balancer's counters."""
        return self.app.counters

    @property
    def policy(self):
        """The policy in use."""
        return self.app.runtime.policy

    @property
    def ready_upstreams(self):
        """The upstreams that are ready by the endpoint list."""
        return self.policy.subset.ring.ready

    @property
    def connections(self):
        """The server's client connections."""
        return self.app.http_server.server

    async def request(self, path="/look", method=b"GET", body=b"", **headers):
        """Send a request on a connection of its own; return status and body of its response."""
        reader, writer = await self.send_request(path, method, body, **headers)
        try:
            return await self.read_response(reader)
        finally:
            writer.close()

    async def status(self, path="/look", method=b"GET", body=b"", **headers):
        """Send a request on a connection of its own; return the status of its response."""
        return (await self.request(path, method, body, **headers))[0]

    async def connect(self):
        """Open a connection; return its reader and writer."""
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def send_request(self, path="/look", method=b"GET", body=b"", **headers):
        """Send a request on a connection of its own; return its reader and writer."""
        reader, writer = await self.connect()
        writer.write(self.make_request(path, method, body, **headers))
        return reader, writer

    @staticmethod
    def make_request(path="/look", method=b"GET", body=b"", **headers):
        """Return the bytes of a request.

        A value of a header is text or bytes; a header with the value None is omitted.
        """
        values = {
            "X-Request-ID": f"{next(REQUEST_IDS):08x}",
            "X-Timeout-Ms": "2000",
            "Host": "service.internal",
            "Content-Length": str(len(body)),
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        lines = b"".join(
            b"%s: %s\r\n" % (name.encode(), value if isinstance(value, bytes) else value.encode())
            for name, value in values.items()
            if value is not None
        )
        return method + b" " + path.encode() + b" HTTP/1.1\r\n" + lines + b"\r\n" + body

    async def read_response(self, reader):
        """Return status and body of a response; store its head as ``response_head``."""
        head, body = await asyncio.wait_for(read_message(reader), RESPONSE_TIMEOUT_S)
        self.response_head = head
        return int(head.split()[1]), body


async def open_idle_connection(balancer):
    """Open a connection, and get one response on it.

    Return its reader, its writer, and the balancer's connection object.
    """
    reader, writer = await balancer.send_request()
    assert (await balancer.read_response(reader))[0] == 200
    await wait_until(lambda: balancer.connections.idle)
    [connection] = balancer.connections.idle
    return reader, writer, connection
