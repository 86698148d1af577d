"""All event orders of one key, and faults that the model must detect."""

import pytest

from pepperhook.idempotency.entries import Decision, EntryState, Resolution, Verdict
from pepperhook.idempotency.store import IdempotencyStore
from tests.idempotency.state_model import KeyModel, explore


def test_invariants_hold_in_every_order_of_a_request_two_repeats_a_crash_and_an_eviction():
    assert explore(KeyModel) > 2000


class EvictsRunningEntries(IdempotencyStore):
    def make_room(self, _now_ns, partition, size, new_entries=1):
        for entry in list(self.table.entries.values()):
            if entry.partition is partition and not partition.fits(size, new_entries):
                if entry.state is EntryState.RUNNING:
                    self.running.pop(entry.running.request, None)
                for queue in partition.expiring.values():
                    if entry in queue:
                        queue.remove(entry)
                self.table.remove(entry)
        return True


class TreatsAllAsNeverRun(IdempotencyStore):
    def finish(self, now_ns, request, response):
        entry = self.running.get(request)
        if entry is not None:
            entry.running.has_run = False
            entry.running.open_attempts = set()
        return super().finish(now_ns, request, response)


class HandsOverToAll(IdempotencyStore):
    def hand_over(self, entry):
        waiters = list(entry.running.waiters)
        super().hand_over(entry)
        return [Resolution(waiter, Decision(Verdict.NEW)) for waiter in waiters]


class EvictionModel(KeyModel):
    store_class = EvictsRunningEntries


class NeverRunModel(KeyModel):
    store_class = TreatsAllAsNeverRun


class HandOverModel(KeyModel):
    store_class = HandsOverToAll


class LateRecordModel(KeyModel):
    def start_attempt(self, client):
        self.journal = None  # the record is not durable yet
        super().start_attempt(client)


@pytest.mark.parametrize(
    "make_model", [EvictionModel, LateRecordModel, NeverRunModel, HandOverModel]
)
def test_model_with_an_injected_fault_violates_an_invariant(make_model):
    with pytest.raises(AssertionError):
        explore(make_model)
