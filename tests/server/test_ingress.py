"""Which requests are accepted, and with which service class and tenant."""

from urllib.parse import quote

import pytest

from tests.server.balancers import ENVIRONMENT, RunningBalancer, wait_until
from tests.server.peers import ScriptedPeer, always, make_response

CHUNKED = {"Transfer_Encoding": "chunked", "Content_Length": None}


@pytest.mark.parametrize(
    "status, path, method, message",
    [
        (404, "/unknown", b"GET", {}),
        (404, "/", b"GET", {}),
        (404, "*", b"OPTIONS", {}),
        (400, "/look", b"GET", {"X_Request_ID": None}),
        (400, "/look", b"GET", {"X_Request_ID": ""}),
        (400, "/look", b"GET", {"X_Request_ID": "\u00e9"}),
        (400, "/look", b"GET", {"X_Timeout_Ms": "soon"}),
        (400, "/look", b"GET", {"X_Timeout_Ms": "-5"}),
        (400, "/look", b"GET", {"X_Cost": "1.5"}),
        (400, "/hold", b"POST", {}),
        (400, "/look", b"GET", {"Content_Length": "x"}),
        (413, "/pay", b"POST", {"Content_Length": "65537"}),
        (413, "/pay", b"POST", {"body": b"x" * 70000}),
        (200, "/look", b"GET", {"X_Tenant_Id": "nobody", "X_Timeout_Ms": None, "X_Cost": "50000"}),
        (200, "/pay", b"POST", {"body": b"x" * 65536}),
        (503, "/look", b"GET", {"X_Timeout_Ms": "0"}),
    ],
)
async def test_invalid_request_gets_its_status_and_only_a_valid_one_is_forwarded(
    status, path, method, message
):
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        assert await balancer.status(path, method, **message) == status

        assert len(peer.requests) == (status == 200)
        assert await balancer.status() == 200


@pytest.mark.parametrize(
    "status, path, method, message",
    [
        (405, "/look", b"POST", {"body": b"1"}),
        (405, "/pay", b"GET", {}),
        (400, "/look", b"GET", {"body": b"1"}),
        (400, "/look", b"GET", {"Content_Length": "-1"}),
        (400, "/look", b"GET", {"Content_Length": "+0"}),
        (400, "/pay", b"POST", {"Transfer_Encoding": "chunked", "body": b"1\r\n1\r\n0\r\n\r\n"}),
        (400, "/pay", b"POST", {"Transfer_Encoding": "gzip", "Content_Length": None}),
        (400, "/pay", b"POST", CHUNKED | {"body": b"zz\r\n"}),
        (400, "/look", b"GET", {"X_Request_ID": "x" * 300}),
        (400, "/look", b"GET", {"Host": "a\r\nContent-Length: 0"}),
        (400, "/look", b"GET", {"X_Request_ID": "a\r\nX-Request-ID: b"}),
        (400, "/hold", b"POST", {"Idempotency_Key": "a\r\nidempotency-key: a"}),
        (200, "/pay", b"POST", CHUNKED | {"body": b"1\r\n1\r\n0\r\n\r\n"}),
    ],
)
async def test_ambiguous_message_or_wrong_method_is_refused_and_counted(
    status, path, method, message
):
    # Ambiguous framing allows request smuggling: balancer and upstream see different messages.
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        assert await balancer.status(path, method, **message) == status

        assert len(peer.requests) == (status == 200)
        assert balancer.counters["not taken"] == (status != 200)
        assert await balancer.status() == 200


async def test_request_id_in_use_or_used_recently_is_refused(release):
    async with (
        ScriptedPeer(release.then(make_response())) as peer,
        RunningBalancer([peer.address]) as balancer,
    ):
        reader, writer = await balancer.send_request("/pay", b"POST", b"1", X_Request_ID="one")
        await wait_until(lambda: peer.requests)

        assert await balancer.status("/look", X_Request_ID="one") == 409
        release.set()
        assert (await balancer.read_response(reader))[0] == 200
        writer.close()
        # Otherwise a copy that arrives just after the end of the first would be executed again.
        assert await balancer.status("/pay", b"POST", b"1", X_Request_ID="one") == 409
        assert len(peer.requests) == 1

        ids = balancer.app.ingress.ids
        assert "one" not in ids.known and hash("one") in ids.executed
        ids.executed = dict.fromkeys(ids.executed, 0)
        assert await balancer.status() == 200
        assert not ids.executed


def record_accepted_requests(balancer, monkeypatch):
    """Return a list to which each accepted request is added."""
    accepted, begin = [], balancer.app.requests.begin

    def recording_begin(request, message):
        accepted.append(request)
        return begin(request, message)

    monkeypatch.setattr(balancer.app.requests, "begin", recording_begin)
    return accepted


NAMES = [
    "pump hold",
    "größe",
    "a/b",
    "50%",
    "q?x",
    "plus+",
    "gift-card%2F",
    "seat.hold~1",
    "bilet(gr)",
]
TENANT = 'Köy & Co, Ltd; "x"'
NAMES_ENVIRONMENT = ENVIRONMENT | {
    "orgs": [{"name": TENANT}],
    "serviceGrades": [
        {"name": name, "timeLimitUs": 2000000, "effect": "idempotent"} for name in NAMES
    ],
}


async def test_service_class_is_found_by_its_escaped_name_and_by_an_unambiguous_plain_one(
    monkeypatch,
):
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], env=NAMES_ENVIRONMENT) as balancer,
    ):
        accepted = record_accepted_requests(balancer, monkeypatch)
        for name in NAMES:
            assert await balancer.status(f"/{quote(name, safe='')}/x?a=%2F") == 200
        assert await balancer.status("/plus%20") == 404
        # From clients that do not escape names: an ambiguous name is taken undecoded.
        for name in ("plus+", "gift-card%2F", "seat.hold~1", "bilet(gr)"):
            assert await balancer.status(f"/{name}") == 200

    classes = [request.service_class.number for request in accepted]
    assert classes == [*range(9), 5, 6, 7, 8]


@pytest.mark.parametrize("encoding", ["utf-8", "latin-1"])
async def test_tenant_is_found_by_its_name_in_utf_8_and_in_latin_1(encoding, monkeypatch):
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], env=NAMES_ENVIRONMENT) as balancer,
    ):
        accepted = record_accepted_requests(balancer, monkeypatch)
        header = b"X-Tenant-Id: " + TENANT.encode(encoding) + b"\r\n"
        message = balancer.make_request("/50%25").replace(b"\r\n", b"\r\n" + header, 1)
        reader, writer = await balancer.connect()
        writer.write(message)

        assert (await balancer.read_response(reader))[0] == 200
        assert accepted[-1].tenant == 0
        writer.close()


async def test_each_request_on_a_reused_connection_has_its_own_tenant_and_class(monkeypatch):
    env = ENVIRONMENT | {"orgs": [{"name": "acme"}, {"name": "other"}]}
    messages = [
        ("/look", b"GET", b"", "acme"),
        ("/pay", b"POST", b"1", "other"),
        ("/look", b"GET", b"", None),
        ("/pay", b"POST", b"1", "acme"),
    ]
    async with (
        ScriptedPeer(always(make_response())) as peer,
        RunningBalancer([peer.address], env=env) as balancer,
    ):
        accepted = record_accepted_requests(balancer, monkeypatch)
        reader, writer = await balancer.connect()
        for path, method, body, tenant in messages:
            writer.write(balancer.make_request(path, method, body, X_Tenant_Id=tenant))
            assert (await balancer.read_response(reader))[0] == 200
        writer.close()

    received = [(request.tenant, request.service_class.number) for request in accepted]
    assert received == [(0, 0), (1, 1), (None, 0), (0, 1)]
