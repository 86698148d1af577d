"""The store's decisions in single cases."""

import pytest

from pepperhook.domain import Outcome
from pepperhook.idempotency.capacity import ENTRY_BYTES
from pepperhook.idempotency.entries import Decision, Departure, Verdict
from tests.idempotency.stores import (
    KEYED,
    NS_PER_S,
    RESPONSE,
    SAFE,
    UNSAFE,
    arrive,
    arrive_each,
    check_invariants,
    decide,
    make_store,
    resolutions_of,
)

REPLAY = Decision(Verdict.REPLAY, RESPONSE)


@pytest.fixture
def store():
    return make_store()


def test_repeats_wait_for_the_first_request_and_receive_its_response(store):
    verdicts = arrive_each(store, b"k", "abc")
    assert verdicts == [Verdict.NEW, Verdict.WAIT, Verdict.WAIT]

    resolutions = resolutions_of(store, 5, "a", RESPONSE)

    assert resolutions == [("b", REPLAY), ("c", REPLAY)]
    assert decide(store, b"k", "d", now=6) == REPLAY
    assert arrive(store, b"k", "e", now=6, fingerprint=b"other") == Verdict.FINGERPRINT_MISMATCH
    assert arrive(store, b"k", "f", now=5 + 10 * NS_PER_S) == Verdict.NEW, "the window has ended"


def test_request_that_never_ran_is_handed_over_to_exactly_one_waiter(store):
    assert arrive_each(store, b"k", "abc") == [Verdict.NEW, Verdict.WAIT, Verdict.WAIT]
    store.attempt_started("a", "attempt")
    store.attempt_ended("a", "attempt", Outcome.OVERLOADED)

    assert resolutions_of(store, 1, "a", None) == [("b", Decision(Verdict.NEW))]

    # A request that arrives now waits for the new owner.
    assert arrive(store, b"k", "d", now=1) == Verdict.WAIT
    assert resolutions_of(store, 2, "b", RESPONSE) == [("c", REPLAY), ("d", REPLAY)]


def test_request_that_never_ran_and_has_no_waiter_leaves_no_entry(store):
    assert arrive(store, b"l", "x") == Verdict.NEW

    assert resolutions_of(store, 3, "x", None) == []

    assert store.table.get(b"l") is None


@pytest.mark.parametrize(
    "service_class, verdict",
    [(UNSAFE, Verdict.INDETERMINATE), (KEYED, Verdict.INDETERMINATE), (SAFE, Verdict.NEW)],
)
@pytest.mark.parametrize(
    "outcome",
    [
        Outcome.RESET,
        Outcome.TIMED_OUT,
        Outcome.ERROR,
        Outcome.MALFORMED_RESPONSE,
        Outcome.CANCELLED,
        None,
    ],
)
def test_request_that_may_have_run_is_not_run_again_in_its_window_unless_it_is_safe(
    store, service_class, verdict, outcome
):
    assert arrive_each(store, b"k", "ab", service_class) == [Verdict.NEW, Verdict.WAIT]
    store.attempt_started("a", "attempt")
    if outcome is not None:
        store.attempt_ended("a", "attempt", outcome)  # else it is open when the time limit expires

    assert resolutions_of(store, 1, "a", None) == [("b", Decision(verdict))]

    if service_class != SAFE:
        window_ns = store.service_classes[service_class].window_ns
        later = arrive(store, b"k", "c", service_class, now=NS_PER_S // 2)
        assert later == Verdict.INDETERMINATE
        assert arrive(store, b"k", "d", service_class, now=1 + window_ns) == Verdict.NEW


def test_request_is_abandoned_only_when_its_last_waiter_leaves(store):
    assert arrive_each(store, b"k", "abc") == [Verdict.NEW, Verdict.WAIT, Verdict.WAIT]

    assert store.client_left("a") == Departure(keep_running=True)
    assert store.client_left("b") == Departure(keep_running=False)
    assert store.client_left("c") == Departure(keep_running=False, abandoned="a")

    assert arrive(store, b"k", "d") == Verdict.WAIT
    assert store.client_left("d") == Departure(keep_running=False, abandoned="a")
    check_invariants(store)


def test_waiter_beyond_the_limit_is_rejected_with_retry_after():
    limit = 10_000
    store = make_store(waiters=limit)
    assert arrive(store, b"k", "first") == Verdict.NEW
    assert {decide(store, b"k", n).verdict for n in range(limit)} == {Verdict.WAIT}

    rejected = decide(store, b"k", "more")

    assert rejected.verdict == Verdict.REJECTED
    assert rejected.retry_after_ns > 0
    assert len(store.finish(1, "first", RESPONSE)) == limit
    assert not len(store.waiters)
    check_invariants(store)


@pytest.mark.parametrize(
    "service_class, later", [(UNSAFE, Verdict.RESPONSE_NOT_STORED), (SAFE, Verdict.NEW)]
)
def test_response_over_the_limit_is_given_to_waiters_and_not_stored(service_class, later):
    store = make_store(body=len(RESPONSE.body) - 1)
    assert arrive_each(store, b"k", "ab", service_class) == [Verdict.NEW, Verdict.WAIT]

    assert resolutions_of(store, 1, "a", RESPONSE) == [("b", REPLAY)]

    assert arrive(store, b"k", "c", service_class, now=2) == later


def test_response_over_the_limit_leaves_an_entry_only_in_unsafe_classes():
    store = make_store(body=len(RESPONSE.body) - 1)
    arrive(store, b"unsafe", "a", UNSAFE)
    resolutions_of(store, 1, "a", RESPONSE)
    arrive(store, b"safe", "b", SAFE)
    resolutions_of(store, 1, "b", RESPONSE)

    assert arrive(store, b"unsafe", "c", UNSAFE, now=2) == Verdict.RESPONSE_NOT_STORED
    assert arrive(store, b"safe", "d", SAFE, now=2) == Verdict.NEW


def test_full_store_evicts_expired_entries_then_safe_ones_and_no_others():
    store = make_store(entries=4)
    for number, service_class in enumerate((SAFE, UNSAFE, KEYED, SAFE)):
        key = b"k%d" % number
        assert arrive(store, key, number, service_class, now=number) == Verdict.NEW
        store.finish(number, number, RESPONSE)
    now = 2 * NS_PER_S

    # The keyed entry's window of 1 s has ended, so it is removed before an older safe one.
    assert arrive(store, b"new", "n", now=now) == Verdict.NEW
    assert store.table.get(b"k2") is None
    assert store.table.get(b"k0") is not None

    assert arrive(store, b"newer", "m", now=now) == Verdict.NEW
    assert store.table.get(b"k0") is None
    assert store.table.get(b"k3") is not None

    assert arrive(store, b"newest", "l", now=now) == Verdict.NEW
    assert store.table.get(b"k3") is None

    rejected = decide(store, b"none", "z", now=now)
    assert rejected.verdict == Verdict.REJECTED
    assert rejected.retry_after_ns == 1 + 10 * NS_PER_S - now, "when the first entry expires"
    assert set(store.table.entries) == {b"k1", b"new", b"newer", b"newest"}
    assert store.table.evicted == 2


def test_surge_of_one_tenant_does_not_evict_keys_of_other_tenants():
    store = make_store(entries=100, quotas=(3.0, 1.0, 1.0))
    for n in range(200):
        decide(store, b"a%d" % n, ("a", n), tenant=0)

    assert store.partitions[0].entries == 60
    assert store.counts[Verdict.REJECTED] == 140
    for tenant in 1, None:
        verdicts = [
            decide(store, b"%r %d" % (tenant, n), (tenant, n), tenant=tenant).verdict
            for n in range(21)
        ]
        assert verdicts.count(Verdict.NEW) == 20
        assert verdicts[-1] == Verdict.REJECTED
    check_invariants(store)


def test_partition_with_a_tiny_quota_has_capacity_for_one_entry():
    store = make_store(entries=1, size=ENTRY_BYTES, quotas=(1.0, 1e-9))

    assert arrive(store, b"k", "a", tenant=None) == Verdict.NEW
