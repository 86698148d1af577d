"""Conversion of an owner's response to the reply for a client of another edge balancer."""

import pytest

from pepperhook.idempotency.peer_protocol import decode_reply
from pepperhook.server.refusal import RequestRefusedError

MAX_RETRY_AFTER_NS = 900 * 10**6


def test_served_response_is_relayed():
    reply = decode_reply(200, {"Content-Type": "text/x"}, b"done", MAX_RETRY_AFTER_NS)

    assert (reply.kind, reply.body, reply.content_type.octets) == ("served", b"done", b"text/x")


@pytest.mark.parametrize("status", [503, 421, 405])
@pytest.mark.parametrize(
    "headers, expected_ns",
    [
        ({}, 0),
        ({"Retry-After": "0.5"}, 500 * 10**6),
        ({"Retry-After": "3"}, MAX_RETRY_AFTER_NS),
        ({"Retry-After": "soon"}, 0),
    ],
)
def test_rejection_is_relayed_with_retry_after_within_the_limit(status, headers, expected_ns):
    reply = decode_reply(status, headers, b"", MAX_RETRY_AFTER_NS)

    assert (reply.kind, reply.retry_after_ns) == ("rejected", expected_ns)


@pytest.mark.parametrize("status", [400, 409, 422])
def test_client_error_is_relayed_with_its_reason(status):
    reply = decode_reply(status, {}, b"reason\n", MAX_RETRY_AFTER_NS)

    assert isinstance(reply, RequestRefusedError)
    assert (reply.status, str(reply)) == (status, "reason")


@pytest.mark.parametrize("status", [500, 404, 204])
def test_any_other_status_is_relayed_as_failed(status):
    assert decode_reply(status, {}, b"", MAX_RETRY_AFTER_NS).kind == "failed"
