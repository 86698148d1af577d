"""The outcome of an attempt by the upstream's response, and the response to the client."""

import asyncio

import pytest

from pepperhook.domain import Outcome
from tests.server.balancers import RunningBalancer, wait_until
from tests.server.peers import ScriptedPeer, always, make_response, read_message

NOT_PROCESSED = b"X-Not-Processed: 1\r\n"
LONG_FIELDS = [b"A%d: %s\r\n" % (number, b"v" * 4000) for number in range(20)]
CONTROL_CHARACTER_IN_TYPE = b"Content-Type: a\x01b\r\n"
OUTCOMES = [
    (make_response(), Outcome.SERVED),
    (make_response(500), Outcome.ERROR),
    (make_response(204, b""), Outcome.ERROR),
    (make_response(503, headers=NOT_PROCESSED), Outcome.OVERLOADED),
    (make_response(503, headers=NOT_PROCESSED + CONTROL_CHARACTER_IN_TYPE), Outcome.OVERLOADED),
    (make_response(headers=CONTROL_CHARACTER_IN_TYPE), Outcome.MALFORMED_RESPONSE),
    (make_response(503), Outcome.ERROR),
    (make_response(504, headers=NOT_PROCESSED), Outcome.OVERLOADED),
    (make_response(500, headers=NOT_PROCESSED), Outcome.ERROR),
    (make_response(302, headers=b"Location: /other\r\n"), Outcome.ERROR),
    ((b"",), Outcome.RESET),
    ((make_response()[:-2],), Outcome.RESET),
    (b"no HTTP\r\n\r\n", Outcome.MALFORMED_RESPONSE),
    (make_response(body=b"x" * 65537), Outcome.MALFORMED_RESPONSE),
    (make_response(headers=b"".join(LONG_FIELDS[:14])), Outcome.SERVED),
    (make_response(headers=b"".join(LONG_FIELDS)), Outcome.MALFORMED_RESPONSE),
    (None, Outcome.TIMED_OUT),
]


@pytest.mark.parametrize("response, outcome", OUTCOMES)
async def test_response_of_the_upstream_determines_outcome_and_status(response, outcome):
    async with (
        ScriptedPeer(always(response)) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        status = await balancer.status("/pay", b"POST", b"1", X_Timeout_Ms="300")

        assert balancer.counters[f"attempts {outcome}"] >= 1
        # A 503 promises that a retry is harmless, so it requires that nothing was executed.
        assert status == {Outcome.SERVED: 200, Outcome.OVERLOADED: 503}.get(outcome, 500)
        assert outcome == Outcome.OVERLOADED or len(peer.requests) == 1
        if outcome == Outcome.TIMED_OUT:
            await wait_until(lambda: peer.closed_connections)


async def test_request_is_rejected_after_a_refused_connection():
    async with ScriptedPeer(always(make_response())) as peer:
        pass
    async with RunningBalancer([peer.address]) as balancer:
        assert await balancer.status("/pay", b"POST", b"1", X_Timeout_Ms="300") == 503
        assert balancer.counters["attempts connect failed"] >= 1


VALID = make_response(body=b"own")
UNUSUAL_BUT_REUSABLE = make_response(body=b"own", headers=b"X-Server-Load: \x01\xff;=\r\n")
UNUSUAL_RESPONSES = [
    (VALID + b"\x00\xffnoise", Outcome.SERVED),
    (VALID + make_response(body=b"other"), Outcome.SERVED),
    (b"HTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\n" + VALID + b"x", Outcome.SERVED),
    (UNUSUAL_BUT_REUSABLE, Outcome.SERVED),
    (
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n" + VALID,
        Outcome.SERVED,
    ),
    (
        b"HTTP/1.1 200 X\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 9000,
        Outcome.MALFORMED_RESPONSE,
    ),
    (b"HTTP/1.1 200 X\r\nContent-Length: 30\r\n\r\nown", Outcome.MALFORMED_RESPONSE),
    (
        b"HTTP/1.1 200 X\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nown",
        Outcome.MALFORMED_RESPONSE,
    ),
    (
        b"HTTP/1.1 200 X\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nown",
        Outcome.MALFORMED_RESPONSE,
    ),
    (b"HTTP/1.1 200 X\r\n\r\nown", Outcome.MALFORMED_RESPONSE),
    ((b"HTTP/1.1 200 X\r\n\r\nown",), Outcome.MALFORMED_RESPONSE),
    (
        b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nown\r\n0\r\n\r\n",
        Outcome.MALFORMED_RESPONSE,
    ),
    (b"HTTP/1.1 200 X\r\nA: b\r\nC:", Outcome.MALFORMED_RESPONSE),
    (b"noise" + VALID, Outcome.MALFORMED_RESPONSE),
    (b"HTTP/1.1 101 X\r\nUpgrade: a\r\nConnection: upgrade\r\n\r\n" + VALID, Outcome.ERROR),
]


class FirstInTwoParts(ScriptedPeer):
    """A peer whose first response on each connection comes in two parts."""

    async def serve(self, reader, writer):
        response = self.script()
        self.requests.append(await read_message(reader))
        cut = response.index(b"\r\n\r\n") + 3 if b"\r\n\r\n" in response else 30
        writer.write(response[:cut])
        await asyncio.sleep(0.02)
        writer.write(response[cut:])
        await super().serve(reader, writer)


@pytest.mark.parametrize("in_two_parts", [False, True])
@pytest.mark.parametrize("response, outcome", UNUSUAL_RESPONSES)
async def test_client_gets_exactly_the_response_to_its_request_or_none(
    response, outcome, in_two_parts
):
    # Bytes after a valid response caused its loss, and an incomplete response kept its attempt open
    # until the attempt's timeout.
    splits = in_two_parts and isinstance(response, bytes)
    peer_type = FirstInTwoParts if splits else ScriptedPeer
    async with peer_type(always(response)) as peer, RunningBalancer([peer.address]) as balancer:
        status, body = await balancer.request("/pay", b"POST", b"1")

        assert balancer.counters[f"attempts {outcome}"] == 1 == len(peer.requests)
        if outcome == Outcome.SERVED:
            assert (status, body) == (200, b"own")
        else:
            assert status == 500
        if response != UNUSUAL_BUT_REUSABLE:
            await wait_until(lambda: peer.closed_connections)
