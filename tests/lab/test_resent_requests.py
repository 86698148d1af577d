"""A client that sends a request again passes on what is left of its time limit."""

import time
from types import SimpleNamespace

import pytest

from pepperhook.lab import load_generator
from pepperhook.lab.experiment import Plan
from tests.lab.experiments import EXPERIMENT, read_experiment
from tests.server.balancers import wait_until
from tests.server.peers import ScriptedPeer, header_value, make_response

MS = 10**6
ELAPSED_NS = 400 * MS


@pytest.fixture
def clock(monkeypatch):
    """A clock of the load generator that the test can advance by its ``offset_ns``."""
    clock = SimpleNamespace(offset_ns=0, monotonic=time.monotonic)
    clock.monotonic_ns = lambda: time.monotonic_ns() + clock.offset_ns
    monkeypatch.setattr(load_generator, "time", clock)
    return clock


async def test_time_limit_of_a_resent_request_counts_from_its_first_sending(tmp_path, clock):
    # The limit of the second sending was the whole one, and the client gave up before its end.
    def respond(_head, _body):
        if len(peer.requests) != 2:
            return make_response()
        clock.offset_ns += ELAPSED_NS
        return (b"",)  # closes the kept connection without a response

    async with ScriptedPeer(respond) as peer:
        host, _, port = peer.address.rpartition(":")
        plan = Plan(read_experiment(EXPERIMENT), 3, 30)
        load = load_generator.Load(plan, tmp_path, choose_address=lambda: (host, int(port)))
        rows = []
        load.event_log.add = rows.append
        load.ends_at = 0  # the clients send no retries of their own
        for number in range(2):
            request_id = f"r{number}"
            now = clock.monotonic_ns()
            exchange = load_generator.Exchange(load, request_id, request_id, 0, 0, -1, now)
            exchange.start()
            first_sent_at = exchange.sent_at
            await wait_until(lambda count=number: len(rows) > count)

        sent_ms = [int(header_value(head, b"X-Timeout-Ms")) for head, _ in peer.requests]
        limit_ms = load.limits_ns[0] // MS
        assert sent_ms[:2] == [limit_ms, limit_ms]
        assert sent_ms[2] <= limit_ms - ELAPSED_NS // MS
        assert rows[-1].sent_at == first_sent_at
        assert rows[-1].status == 200
        await load.pools[-1].close()
