"""Which ids are remembered, for how long, and how many."""

import logging

import pytest

from pepperhook.server import structured_logging
from pepperhook.server.metrics import Counters
from pepperhook.server.refusal import RequestRefusedError
from pepperhook.server.request_ids import MAX_REMEMBERED, REMEMBERED_S, RequestIdRegistry

KEEP_S = 2.0


class Clock:
    """The clock of an event loop."""

    def __init__(self):
        self.now = 0.0

    def time(self):
        """Return the time that a test has set."""
        return self.now


@pytest.fixture
def clock():
    """Return a clock at zero."""
    return Clock()


@pytest.fixture
def ids(clock):
    """Return an empty registry."""
    log = structured_logging.Log(logging.getLogger("test"))
    return RequestIdRegistry(KEEP_S, clock, Counters(log), log)


@pytest.mark.parametrize(("may_have_run", "kept_s"), [(False, KEEP_S), (True, REMEMBERED_S)])
def test_id_is_refused_while_it_is_remembered_and_accepted_after(ids, clock, may_have_run, kept_s):
    ids.begin("one")
    ids.end("one", may_have_run)

    clock.now = kept_s - 0.1
    with pytest.raises(RequestRefusedError):
        ids.begin("one")
    clock.now = kept_s + 0.1
    ids.begin("one")


def test_memory_for_ever_new_ids_is_bounded_and_the_oldest_are_forgotten(ids):
    for number in range(100_000):
        ids.begin(number)
        ids.end(number, may_have_run=True)

    assert len(ids.executed) == MAX_REMEMBERED
    assert not ids.known and not ids.ended
    assert ids.counters["request ids forgotten early"] == 100_000 - MAX_REMEMBERED
    ids.begin(0)
    with pytest.raises(RequestRefusedError):
        ids.begin(99_999)


def test_forgetting_ids_early_is_logged_once_in_a_while(ids, caplog):
    caplog.set_level("WARNING", "test")
    for number in range(MAX_REMEMBERED + 100):
        ids.begin(number)
        ids.end(number, may_have_run=True)

    assert caplog.text.count("request_ids_forgotten") == 1
