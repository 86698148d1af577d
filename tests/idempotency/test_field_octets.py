"""Types of responses and keys with octets that are not UTF-8: stored, replayed and relayed as is.

Such a type could not be encoded for the journal. Its whole block of records was lost, the requests
of the others in it were rejected, and the request itself could run again after a restart.
"""

import asyncio

import msgspec
import pytest

from pepperhook.idempotency.journal.record import (
    BLOCK_HEADER,
    RecordKind,
    decode_records,
    encode_records,
)
from pepperhook.operator_config.schema import Http2Table
from pepperhook.server.extensions import Extensions
from pepperhook.server.field_value import FieldValue
from tests.http2.scripted_client import ScriptedClient
from tests.idempotency.balancers import (
    RETRY_AFTER_ENVIRONMENT,
    make_extension,
    pay,
    running_balancer,
)
from tests.idempotency.edges import Edges
from tests.idempotency.journals import make_record
from tests.server.balancers import RunningBalancer
from tests.server.peers import ScriptedPeer, header_value, make_response

FORWARDABLE_OCTETS = [0x09, *range(0x20, 0x7F), *range(0x80, 0x100)]
LATIN_1, UTF_8 = b'n="re\xe7u.txt"', 'n="reçu.txt"'.encode()
AT_ONCE = 4  # requests, as many as an upstream gets that has not answered any


class RecordOfEarlierBuild(msgspec.Struct, array_like=True):
    """A record in the layout of the build before; it cannot read bytes as a type."""

    kind: int
    key: bytes
    fingerprint: bytes
    service_class: str
    tenant: str | None
    recorded_ns: int
    body: bytes | None = None
    content_type: str | None = None
    window_ns: int = 0


class TypedUpstream:
    """A script that answers with the type that ``types`` has for the request's key."""

    def __init__(self, types):
        self.types = types
        self.runs = 0

    def __call__(self, head, _body):
        self.runs += 1
        content_type = self.types[header_value(head, b"idempotency-key").decode()]
        return make_response(
            body=b"run %d" % self.runs, headers=b"Content-Type: %b\r\n" % content_type
        )


@pytest.fixture
def directory(tmp_path):
    return tmp_path / "journal"


async def pay_and_get_type(balancer, key):
    """Send a request with a key; return status, body and type of its response."""
    reader, writer = await balancer.send_request("/pay", b"POST", b"1", Idempotency_Key=key)
    head = await reader.readuntil(b"\r\n\r\n")
    body = await reader.readexactly(int(header_value(head, b"content-length")))
    writer.close()
    return int(head.split()[1]), body, header_value(head, b"content-type")


async def pay_all(balancer, keys):
    """Send a request for each key, some at once; return the answers in order."""
    answers = []
    for begin in range(0, len(keys), AT_ONCE):
        batch = keys[begin : begin + AT_ONCE]
        answers += await asyncio.gather(*(pay_and_get_type(balancer, key) for key in batch))
    return answers


async def test_repeats_before_and_after_a_restart_get_each_octet_of_the_type(directory):
    types = {f"k{octet}": b"a" + bytes([octet]) + b"b" for octet in FORWARDABLE_OCTETS}
    upstream = TypedUpstream(types)
    async with ScriptedPeer(upstream) as peer:
        extension = make_extension(journal=str(directory))
        async with running_balancer(peer, extension) as balancer:
            first = await pay_all(balancer, list(types))
            assert await pay_all(balancer, list(types)) == first
            assert extension.record_failures == 0

        async with running_balancer(peer, make_extension(journal=str(directory))) as balancer:
            assert await pay_all(balancer, list(types)) == first

    assert [(status, content_type) for status, _, content_type in first] == [
        (200, content_type) for content_type in types.values()
    ]
    assert upstream.runs == len(types)


async def test_repeat_over_http2_of_a_type_that_is_not_utf8_fails_and_runs_nothing(directory):
    upstream = TypedUpstream({"k1": LATIN_1})
    extension = make_extension(journal=str(directory))
    extensions = Extensions([extension], h2=Http2Table())
    async with (
        ScriptedPeer(upstream) as peer,
        RunningBalancer(
            [peer.address], extensions=extensions, env=RETRY_AFTER_ENVIRONMENT
        ) as balancer,
        ScriptedClient(balancer.port) as client,
    ):
        for _ in range(2):
            stream_id = client.request("/pay", "POST", b"1", idempotency_key="k1")
            assert (await client.response(stream_id)).status == 500
        assert await pay_and_get_type(balancer, "k1") == (200, b"run 1", LATIN_1)

        assert not client.reset_codes
        assert balancer.counters["h2 types not utf8"] == 2
    assert upstream.runs == 1


async def test_keys_with_other_octets_are_other_keys_also_after_a_restart(directory):
    keys = [b"k\xe7", "kç".encode(), b"k", b'"k\xe7"']
    expected = [b"run 1", b"run 2", b"run 3", b"run 1"]
    runs = 0

    def script(*_):
        nonlocal runs
        runs += 1
        return make_response(body=b"run %d" % runs)

    async with ScriptedPeer(script) as peer:
        for _ in range(2):
            extension = make_extension(journal=str(directory))
            async with running_balancer(peer, extension) as balancer:
                assert [(await pay(balancer, key))[1] for key in keys] == expected


async def test_type_and_tenant_pass_between_edges_as_they_came(tmp_path):
    edges = Edges(tmp_path)
    key = edges.key_of("e0")
    upstream = TypedUpstream({key: LATIN_1})
    async with ScriptedPeer(upstream) as peer:
        owner, forwarder = edges.make("e0", peer), edges.make("e1", peer)
        async with owner.balancer as owner_balancer, forwarder.balancer as forwarding_balancer:
            forwarded = await pay_and_get_type(forwarding_balancer, key)
            assert forwarded == (200, b"run 1", LATIN_1)
            assert await pay_and_get_type(owner_balancer, key) == forwarded
            status, _ = await pay(forwarding_balancer, key, X_Tenant_Id=b"k\xf6y")
            assert status == 200, "of an unknown tenant"


def with_type(octets):
    record = make_record(1, RecordKind.COMPLETED, body=b"done")
    record.set_response_type(None if octets is None else FieldValue(octets))
    return record


def payload_of(record):
    return encode_records([record])[BLOCK_HEADER.size :]


@pytest.mark.parametrize("octets", [None, b"", b"text/plain", UTF_8, LATIN_1, b"\xff"])
@pytest.mark.parametrize("window_ns", [0, 5])
def test_record_keeps_its_type_and_can_be_read_by_the_build_before(octets, window_ns):
    record = with_type(octets)
    record.window_ns = window_ns

    (decoded,) = decode_records(memoryview(payload_of(record)))
    (earlier,) = msgspec.msgpack.decode(payload_of(record), type=list[RecordOfEarlierBuild])

    expected = None if octets is None else FieldValue(octets)
    assert decoded.response_type() == expected
    is_text = octets is not None and expected.is_utf8
    assert earlier.content_type == (octets.decode() if is_text else None)
    assert (earlier.body, earlier.window_ns) == (b"done", window_ns)


@pytest.mark.parametrize("fields", [8, 9])
def test_record_of_the_build_before_keeps_its_type(fields):
    values = [1, b"k" * 16, b"p" * 16, "pay", None, 7, b"done", UTF_8.decode(), 5][:fields]

    (record,) = decode_records(memoryview(msgspec.msgpack.encode([values])))

    assert record.response_type() == FieldValue(UTF_8)
    assert record.window_ns == (5 if fields == 9 else 0)
