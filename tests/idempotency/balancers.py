"""Balancers with the extension for idempotency keys, on loopback with a scripted upstream."""

import asyncio
import logging
from dataclasses import dataclass

import msgspec

from pepperhook.idempotency.extension import Idempotency
from pepperhook.operator_config.schema import IdempotencyTable
from pepperhook.server.extensions import Extensions
from pepperhook.server.structured_logging import Log
from tests.server.balancers import ENVIRONMENT, RunningBalancer, make_config, wait_until
from tests.server.peers import make_response

MAX_RETRY_AFTER_S = 0.9
RETRY_AFTER_ENVIRONMENT = {
    **ENVIRONMENT,
    "permissions": {
        **ENVIRONMENT["permissions"],
        "cancel": True,
        "retryAfter": True,
        "maxRetryAfterUs": int(MAX_RETRY_AFTER_S * 10**6),
    },
}


def make_log():
    return Log(logging.getLogger("test"))


def make_extension(peers=None, env=RETRY_AFTER_ENVIRONMENT, **table):
    """Return the extension with these keys in the operator's table."""
    settings = msgspec.convert(table, IdempotencyTable)
    return Idempotency(settings, make_config(env=env), make_log(), peers)


def running_balancer(peer, extension, **options):
    """Return a balancer on loopback whose only upstream is ``peer``."""
    return RunningBalancer(
        [peer.address], extensions=Extensions([extension]), env=RETRY_AFTER_ENVIRONMENT, **options
    )


def pay(balancer, key="k1", path="/pay", body=b"1", **headers):
    """Send a request with a key, by default to /pay; return status and body of its response."""
    return balancer.request(path, b"POST", body, Idempotency_Key=key, **headers)


@dataclass
class OpenRequest:
    """A client that waits for a response.

    It keeps a reference to the reader, without which asyncio closes the connection.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def abort(self):
        self.writer.transport.abort()


async def send_pay(balancer, key, path="/pay"):
    """Send a request with a key, by default to /pay; return it as an OpenRequest."""
    return OpenRequest(*await balancer.send_request(path, b"POST", b"1", Idempotency_Key=key))


class BlockingUpstream:
    """A script that responds with the number of requests so far, once ``release`` is set."""

    def __init__(self):
        self.release = asyncio.Event()
        self.runs = 0

    async def __call__(self, _head, _body):
        self.runs += 1
        await self.release.wait()
        return make_response(body=b"run %d" % self.runs)

    async def wait_for_runs(self, count=1):
        await wait_until(lambda: self.runs >= count)
