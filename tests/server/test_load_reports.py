"""Load queries over HTTP: which responses of an upstream are used."""

import pytest

from tests.server.balancers import ENVIRONMENT, RunningBalancer
from tests.server.peers import ScriptedPeer, make_response, request_target

LOAD_QUERY_ENVIRONMENT = ENVIRONMENT | {
    "reporting": {"how": "probe", "fields": ["outstanding", "backlog"]},
    "groupSize": 300,
}


@pytest.mark.parametrize(
    "report, is_usable",
    [
        (b'{"outstanding": 0, "backlog": 0}', True),
        (b"[0, 0]", True),
        (b'{"outstanding": "0", "backlog": 0}', False),
        (b'{"outstanding": NaN, "backlog": 0}', False),
        (b"busy 0", False),
    ],
)
async def test_usable_load_report_is_stored_and_an_unusable_one_counted(report, is_usable):
    def is_load_query(head):
        return request_target(head).startswith(b"/_load")

    def script(head, _):
        return make_response(body=report if is_load_query(head) else b"")

    async with (
        ScriptedPeer(script) as peer,
        RunningBalancer([peer.address], env=LOAD_QUERY_ENVIRONMENT) as balancer,
    ):
        assert await balancer.status() == 200

        assert any(is_load_query(head) for head, _ in peer.requests)
        [upstream] = balancer.ready_upstreams
        assert (balancer.counters["load reports unusable"] == 0) == is_usable
        assert bool(upstream.load_report) == is_usable
