"""A malformed list fails one poll but not the watch; a malformed row affects its upstream."""

import asyncio
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pepperhook.domain import PollFailure
from pepperhook.policy import endpoints
from pepperhook.server import endpoint_list
from pepperhook.server.endpoint_list import EndpointList, MalformedListError
from pepperhook.units import MILLISECOND
from tests.server.balancers import (
    RunningBalancer,
    encode_endpoint_list,
    endpoint_rows,
    polling,
    wait_until,
)
from tests.server.balancers import (
    endpoint_list as make_endpoint_list,
)
from tests.server.peers import ScriptedPeer, always, make_response

ZONES = {"z": 0}
KINDS = {"m": 0}
INVALID_JSON = [
    '"born_ms": NaN',
    '"born_ms": -Infinity',
    '"share": NaN',
]
UNREADABLE_ROWS = [
    '"health": ["x"]',
    '"health": {"state": "ready"}',
    '"health": "warming"',
    '"health": null',
    '"site": []',
    '"site": {}',
    '"class": [1]',
    '"born_ms": 1e999',
    '"born_ms": 1000000000000000000000000000000',
    '"share": 1e999',
    '"share": [1]',
    '"share": -1',
    '"block": "first"',
    '"dial": "nowhere"',
    '"dial": "\\ud800:80"',
    '"dial": "127.0.0.1:port"',
    '"dial": "127.0.0.1:99999999"',
    '"dial": "[::1"',
    '"dial": "h:99999"',
    '"protocol": []',
]
UNNAMED_ROWS = ['"host": "\\ud800"', '"host": 7', '"host": null']


@pytest.fixture
def short_poll_intervals(monkeypatch):
    """Make the policy poll again within 100 ms."""
    monkeypatch.setattr(endpoints, "MIN_ROUND", 100 * MILLISECOND)
    monkeypatch.setattr(endpoints, "NOTIFIED_AFTER", 100 * MILLISECOND)
    monkeypatch.setattr(endpoints, "LONGEST_ROUNDS", {})


class MalformedRowService(ScriptedPeer):
    """A service whose second response has a malformed row, and whose third drains an upstream."""

    def __init__(self, malformed_pair):
        super().__init__(self.respond_to_poll)
        self.malformed_pair = malformed_pair
        self.third_response_allowed = asyncio.Event()
        self.third_response_allowed.set()

    async def respond_to_poll(self, *_):
        rows = endpoint_rows(["127.0.0.1:9", "127.0.0.1:10"])
        match len(self.requests):
            case 1:
                return make_response(body=encode_endpoint_list(1, rows))
            case 2:
                # The last of two equal keys takes effect.
                malformed_row = json.dumps(rows[0])[:-1] + f", {self.malformed_pair}}}"
                head = '{"seq": 2, "whole": false, "hosts": ['
                return make_response(body=f"{head}{malformed_row}]}}".encode())
            case 3:
                await self.third_response_allowed.wait()
                drained = [rows[0] | {"health": "draining"}, rows[1]]
                return make_response(body=encode_endpoint_list(3, drained))
        return None


def make_polling_balancer(service):
    """Return a balancer that polls the service."""
    return RunningBalancer(discovery=service.address, env=polling(within_us=10**9))


def ready_names(balancer):
    return sorted(upstream.address for upstream in balancer.ready_upstreams)


@pytest.mark.usefixtures("short_poll_intervals")
@pytest.mark.parametrize("malformed_pair", INVALID_JSON)
async def test_watch_continues_after_a_response_that_is_no_list_and_notices_the_next_drain(
    malformed_pair,
):
    async with (
        MalformedRowService(malformed_pair) as service,
        make_polling_balancer(service) as balancer,
    ):
        async with asyncio.timeout(5):
            await wait_until(lambda: balancer.app.discovery.version == 3)

        assert ready_names(balancer) == [b"h1"]
        assert balancer.counters["list failed"] == 1


@pytest.mark.usefixtures("short_poll_intervals")
@pytest.mark.parametrize("malformed_pair", UNREADABLE_ROWS)
async def test_upstream_of_an_unreadable_row_is_not_ready_and_the_watch_continues(malformed_pair):
    # The row may announce a drain, and must not prevent the use of the other rows.
    async with (
        MalformedRowService(malformed_pair) as service,
        make_polling_balancer(service) as balancer,
    ):
        service.third_response_allowed.clear()
        async with asyncio.timeout(5):
            await wait_until(lambda: balancer.app.discovery.version == 2)
            assert ready_names(balancer) == [b"h1"]
            service.third_response_allowed.set()
            await wait_until(lambda: balancer.app.discovery.version == 3)

        assert ready_names(balancer) == [b"h1"]
        assert balancer.counters["list rows unreadable"] == 1
        assert balancer.counters["list failed"] == 0


@pytest.mark.usefixtures("short_poll_intervals")
@pytest.mark.parametrize("malformed_pair", UNNAMED_ROWS)
async def test_whole_list_is_fetched_where_a_changed_row_has_no_name(malformed_pair):
    # The row may announce the drain of any upstream.
    async with (
        MalformedRowService(malformed_pair) as service,
        make_polling_balancer(service) as balancer,
    ):
        async with asyncio.timeout(5):
            await wait_until(lambda: balancer.app.discovery.version == 3)

        assert ready_names(balancer) == [b"h1"]
        targets = [request.split()[1] for request, _ in service.requests[:3]]
        assert [b"since=" in target for target in targets] == [False, True, False]
        assert balancer.counters["list failed"] == 0


@pytest.mark.parametrize("malformed_pair", [*UNREADABLE_ROWS, *UNNAMED_ROWS])
async def test_balancer_starts_with_a_list_in_which_one_row_is_unreadable(malformed_pair):
    # One registration with a typo must not keep a whole deployment from starting.
    async with ScriptedPeer(always(make_response())) as upstream:
        rows = [json.dumps(row) for row in endpoint_rows([upstream.address] * 3)]
        rows[2] = rows[2][:-1] + f", {malformed_pair}}}"
        data = f'{{"seq": 1, "whole": true, "hosts": [{", ".join(rows)}]}}'.encode()
        respond = [make_response(body=data)]
        async with (
            ScriptedPeer(lambda *_: respond.pop() if respond else None) as service,
            make_polling_balancer(service) as balancer,
        ):
            async with asyncio.timeout(5):
                await wait_until(lambda: balancer.app.discovery.ready)

            assert ready_names(balancer) == [b"h0", b"h1"]
            assert await balancer.status() == 200


async def test_unreadable_row_is_counted_once_until_it_changes():
    async with RunningBalancer(["127.0.0.1:9", "127.0.0.1:10"]) as balancer:
        discovery = balancer.app.discovery
        rows = endpoint_rows(["127.0.0.1:9", "127.0.0.1:10"])
        for version, state in enumerate(["warming", "warming", "ready", "warming", "odd"], 2):
            discovery.apply(make_endpoint_list(version, [rows[0] | {"health": state}, rows[1]]))
            assert (b"h0" in ready_names(balancer)) is (state == "ready")

        assert balancer.counters["list rows unreadable"] == 3


async def test_upstream_is_removed_by_an_unreadable_row_with_state_gone():
    async with RunningBalancer(["127.0.0.1:9", "127.0.0.1:10"]) as balancer:
        discovery = balancer.app.discovery
        unreadable = endpoint_rows(["127.0.0.1:9"], health="gone", share="x")
        discovery.apply(make_endpoint_list(2, unreadable, whole=False))

        assert list(discovery.known) == ["h1"]


@pytest.mark.usefixtures("short_poll_intervals")
async def test_policy_is_notified_when_an_unexpected_error_ends_the_watch(monkeypatch):
    failures = []
    rows = endpoint_rows(["127.0.0.1:9"])

    def script(*_):
        is_late = len(service.requests) > 2
        return None if is_late else make_response(body=encode_endpoint_list(1, rows))

    async with (
        ScriptedPeer(script) as service,
        RunningBalancer(discovery=service.address, env=polling(within_us=10**9)) as balancer,
    ):
        policy = balancer.app.runtime.policy
        plain_failed, plain_parse = policy.on_endpoint_poll_failed, endpoint_list.parse

        def note_failure(now, failure, retry_after_ns):
            failures.append(failure)
            plain_failed(now, failure, retry_after_ns)

        def break_once(*_):
            monkeypatch.setattr(endpoint_list, "parse", plain_parse)
            raise AssertionError("unexpected")

        monkeypatch.setattr(policy, "on_endpoint_poll_failed", note_failure)
        monkeypatch.setattr(endpoint_list, "parse", break_once)
        async with asyncio.timeout(5):
            await wait_until(lambda: failures and len(service.requests) > 2)

        assert failures == [PollFailure.REFUSED]
        assert balancer.counters["background faults"] == 1


# Decoding without a balancer.

texts = st.text(st.characters(), max_size=8) | st.sampled_from(["ready", "z", "127.0.0.1:9"])
numbers = st.integers() | st.floats() | st.just(10**30) | st.just(-(10**400))
scalars = st.none() | st.booleans() | numbers | texts
values = st.recursive(
    scalars,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(texts, inner, max_size=4),
    max_leaves=12,
)
keys = st.sampled_from(
    ["host", "dial", "site", "class", "block", "health", "share", "born_ms", "protocol"]
)
valid_row = st.just(endpoint_rows(["127.0.0.1:9"])[0])
malformed_rows = st.builds(
    lambda row, changes: row | changes, valid_row, st.dictionaries(keys, values)
)
documents = values | st.fixed_dictionaries(
    {
        "seq": st.just(1) | values,
        "hosts": st.lists(valid_row | malformed_rows | values, max_size=3),
    },
    optional={"whole": values},
)


def decode(data, function="parse"):
    """Return the list, or None if it is malformed; any other error fails the test."""
    try:
        return getattr(endpoint_list, function)(data, ZONES, KINDS)
    except MalformedListError:
        return None


@settings(max_examples=600, deadline=None)
@given(documents)
def test_any_document_is_decoded_or_raises_malformed_list_error(document):
    for decoded in (
        decode(json.dumps(document).encode()),
        decode(document, "decode"),
    ):
        if decoded is not None:
            check_list(decoded)


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=60))
def test_any_bytes_are_decoded_or_raise_malformed_list_error(data):
    assert decode(data) is None or isinstance(decode(data), EndpointList)


@pytest.mark.parametrize("nested", [b"[" * 200_000, b'{"hosts":' * 100_000])
def test_deep_nesting_is_a_malformed_list(nested):
    assert decode(nested) is None


def check_list(decoded):
    """Check the types and ranges on which users of a list rely."""
    assert isinstance(decoded.version, int)
    for row in decoded.endpoints:
        row.name.encode()
        host, _, port = row.address.rpartition(":")
        assert host and 0 < int(port) < 65536
        assert isinstance(row.cell, int) and abs(row.cell) < 2**64
        assert isinstance(row.started_at, int) and abs(row.started_at) < 2**63
        assert 0 <= row.units < float("inf")
        assert row.protocol is None or isinstance(row.protocol, str)


def test_a_valid_list_is_decoded_completely():
    rows = endpoint_rows(["127.0.0.1:9"], block=2, share=0.5, born_ms=1500, protocol="h2")

    decoded = endpoint_list.parse(encode_endpoint_list(4, rows), ZONES, KINDS)

    assert (decoded.version, decoded.is_whole) == (4, True)
    (row,) = decoded.endpoints
    assert (row.name, row.address, row.cell, row.units) == ("h0", "127.0.0.1:9", 2, 0.5)
    assert (row.started_at, row.protocol) == (1500 * 10**6, "h2")
