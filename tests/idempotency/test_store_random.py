"""Random runs of the store: invariants, limits, and no second execution within a window."""

import random
from dataclasses import dataclass

import pytest

from pepperhook.domain import Outcome
from pepperhook.idempotency.capacity import ENTRY_BYTES
from pepperhook.idempotency.entries import StoredResponse, Verdict
from tests.idempotency.stores import (
    KEYED,
    NS_PER_S,
    SAFE,
    UNSAFE,
    check_invariants,
    decide,
    make_store,
)

STEPS = 600
CAPACITY = 30
ARRIVAL_PROBABILITY = 0.5  # per step
DEPARTURE_PROBABILITY = 0.1
KEYS = 40
MAX_BODY = 2000  # limit of a stored body
LARGEST_BODY = 2500  # exclusive; some bodies exceed MAX_BODY


@dataclass(frozen=True)
class Client:
    number: int
    key: bytes
    service_class: int


class RandomRun:
    """Arrivals, attempts, their ends and departures in random order."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.store = make_store(
            entries=CAPACITY,
            size=CAPACITY * ENTRY_BYTES,
            waiters=3,
            body=MAX_BODY,
            quotas=(2.0, 1.0),
        )
        self.now = 0
        self.arrivals = 0
        self.running = []
        self.waiting = []
        self.attempted = set()
        self.may_have_run_until = {}  # by key: the time before which no other attempt may start

    def step(self):
        self.now += self.random.randrange(NS_PER_S // 10)
        draw = self.random.random()
        if draw < ARRIVAL_PROBABILITY:
            self.arrive()
        elif draw < ARRIVAL_PROBABILITY + DEPARTURE_PROBABILITY and self.waiting:
            self.leave()
        elif self.running:
            self.advance(self.random.choice(self.running))

    def arrive(self):
        self.arrivals += 1
        service_class = self.random.choice([SAFE, UNSAFE, KEYED])
        key = b"%d.%d" % (service_class, self.random.randrange(KEYS))
        tenant = self.random.choice([0, None])
        client = Client(self.arrivals, key, service_class)
        verdict = decide(
            self.store, key, client, service_class, now=self.now, tenant=tenant
        ).verdict
        if verdict == Verdict.NEW:
            self.running.append(client)
        elif verdict == Verdict.WAIT:
            self.waiting.append(client)

    def leave(self):
        client = self.random.choice(self.waiting)
        self.waiting.remove(client)
        self.store.client_left(client)

    def advance(self, client):
        """Start a running client's attempt, or end it."""
        if client in self.attempted:
            self.end(client)
            return
        if client.service_class != SAFE:
            forbidden_until = self.may_have_run_until.get(client.key, -1)
            assert forbidden_until <= self.now, "a second execution within the window"
        self.attempted.add(client)
        self.store.attempt_started(client, "attempt")

    def end(self, client):
        self.running.remove(client)
        outcome = self.random.choice([Outcome.SERVED, Outcome.OVERLOADED, Outcome.RESET])
        self.store.attempt_ended(client, "attempt", outcome)
        response = None
        if outcome == Outcome.SERVED:
            response = StoredResponse(bytes(self.random.randrange(LARGEST_BODY)), None)
        if outcome != Outcome.OVERLOADED:
            window_ns = self.store.service_classes[client.service_class].window_ns
            self.may_have_run_until[client.key] = self.now + window_ns
        for resolution in self.store.finish(self.now, client, response):
            self.waiting.remove(resolution.request)
            if resolution.decision.verdict == Verdict.NEW:
                self.running.append(resolution.request)


@pytest.mark.parametrize("seed", range(20))
def test_invariants_and_limits_hold_in_random_runs(seed):
    run = RandomRun(seed)

    for _ in range(STEPS):
        run.step()
        check_invariants(run.store)
        for partition in run.store.partitions:
            assert partition.entries <= partition.max_entries
            assert partition.bytes <= partition.max_bytes

    assert run.store.counts[Verdict.REJECTED]
    assert run.store.counts[Verdict.REPLAY]
    assert run.store.counts[Verdict.INDETERMINATE]
