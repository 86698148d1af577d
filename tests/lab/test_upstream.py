"""The lab's stand-in upstream."""

import time
from types import SimpleNamespace

from pepperhook.lab import events
from pepperhook.lab.machine import Machine
from pepperhook.lab.stand_ins import TierState
from pepperhook.lab.upstream import Attempt, Call, Upstream
from tests.server.balancers import wait_until
from tests.server.peers import always
from tests.test_lab import make_experiment


def make_upstream(directory):
    """Return a stand-in of the first tier, whose calls to the next tier get no response."""
    tier_state = TierState(
        SimpleNamespace(scenario=make_experiment(), seed=1, upstream=None), directory, 0
    )
    tier_state.plan.seed = 1
    upstream = Upstream(tier_state, 0)
    upstream.machine, upstream.down = Machine(upstream.spec, time.monotonic_ns()), False
    upstream.pool = SimpleNamespace(send=always(None), drop=always(None))
    return upstream


def send_request(upstream):
    """Hand a request to the stand-in; return its attempt."""
    transport = SimpleNamespace(is_closing=always(False), write=always(None))
    connection = SimpleNamespace(
        open_attempt=None,
        first_byte_at=time.monotonic_ns(),
        caller=0,
        transport=transport,
        idle_at=0,
    )
    # "look" is a service class of the experiment.
    head = SimpleNamespace(
        start=[b"GET", b"/look", b""], headers={b"x-request-id": b"a"}, number=always(400)
    )
    upstream.handle_request(connection, head, b"")
    return connection.open_attempt


async def test_attempt_that_waits_for_the_next_tier_when_its_process_dies_is_recorded_once(
    tmp_path,
):
    # Regression: it was recorded as reset when the process died, and again as given up when its
    # call ended, which the auditor took for work that ran twice.
    upstream = make_upstream(tmp_path)
    attempt = send_request(upstream)
    assert isinstance(attempt, Attempt) and upstream.open_attempts == {attempt}
    await wait_until(lambda: upstream.calls)
    call = next(iter(upstream.calls))
    assert isinstance(call, Call) and upstream.machine.slots_in_use == 1

    upstream.crash()
    # The next process has a machine of its own.
    next_machine = upstream.machine = Machine(upstream.spec, time.monotonic_ns())
    call.finish("lost", 0, b"")
    upstream.on_call_ended(attempt, False)
    upstream.tier_state.event_log.close()

    rows = [row for row in events.read(tmp_path) if isinstance(row, events.UpstreamWork)]
    assert [row.outcome for row in rows] == ["reset"]
    assert next_machine.slots_in_use == 0
    assert not upstream.open_attempts
