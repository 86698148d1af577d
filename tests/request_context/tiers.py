"""Tiers on loopback: one balancer each, in front of a node that calls the tier below."""

import logging

from pepperhook.key_ring import KeyRing
from pepperhook.operator_config.schema import RequestContextTable, SigningKey
from pepperhook.request_context.context_header import (
    CONTEXT_HEADER,
    RESULT_HEADER,
    read_context,
    write_context,
)
from pepperhook.request_context.extension import RequestContextExtension
from pepperhook.server import structured_logging
from pepperhook.server.extensions import Extensions
from tests.request_context.contexts import NEW_KEY
from tests.server.balancers import RunningBalancer, make_config
from tests.server.peers import ScriptedPeer, header_value, make_response

LOGGER_NAME = "test"
SHARED_KEYS = KeyRing([NEW_KEY])
LOOPBACK_NETWORK = "127.0.0.0/8"


def make_extension(name, keys=True, entry=False, trust=()):
    """Return the extension of a balancer; its service is the first letter of ``name``."""
    config = make_config()
    config.name = name
    table = RequestContextTable(
        service=name[0],
        entry=entry,
        trust=list(trust),
        keys=[SigningKey(*NEW_KEY)] if keys else [],
        hop_secret="h",
    )
    log = structured_logging.Log(logging.getLogger(LOGGER_NAME))
    return RequestContextExtension(table, config, log)


def signed(context):
    return write_context(context, SHARED_KEYS)


class Tier:
    """A balancer in front of one node, which calls the tier below with the context it received."""

    def __init__(self, extension, below=None, status=200):
        self.extension = extension
        self.below = below
        self.status = status  # of the node's response if there is no tier below
        self.calls = 0  # requests that the node received

    async def __aenter__(self):
        self.peer = await ScriptedPeer(self.respond).__aenter__()
        extensions = Extensions([self.extension])
        self.balancer = await RunningBalancer([self.peer.address], extensions).__aenter__()
        return self

    async def __aexit__(self, *error):
        await self.balancer.__aexit__(*error)
        await self.peer.__aexit__(*error)
        assert not self.extension.in_flight
        assert not self.extension.policy.loops.in_flight

    async def respond(self, head, _body):
        self.calls += 1
        if self.below is None:
            return make_response(self.status)
        context = header_value(head, CONTEXT_HEADER.encode()).decode()
        status, _ = await self.below.balancer.request(**{CONTEXT_HEADER.replace("-", "_"): context})
        result = header_value(self.below.balancer.response_head, RESULT_HEADER.encode())
        line = RESULT_HEADER.encode() + b": " + result + b"\r\n" if result else b""
        return make_response(status, headers=line)

    def first_context(self):
        """Return the context of the first request that the node received."""
        head, _ = self.peer.requests[0]
        return read_context(
            header_value(head, CONTEXT_HEADER.encode()).decode(), SHARED_KEYS, False
        )
