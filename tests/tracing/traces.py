"""Records and files of traces for tests, and a random simulation whose policy is traced."""

import random

from msgspec.structs import replace

from pepperhook.balancer import Balancer
from pepperhook.container import ContainerWriter, FileMetadata
from pepperhook.tracing.reader import open_trace_file, read_traces
from pepperhook.tracing.records import (
    AttemptTrace,
    Candidate,
    RequestTrace,
    RetryDecision,
    Selection,
)
from pepperhook.tracing.summary import Summary
from pepperhook.tracing.trace_file import append_trace
from pepperhook.tracing.tracer import Tracer
from pepperhook.units import MILLISECOND, SECOND
from tests.policy.simulation import PolicySimulation

BASE = 1_700_000_000 * SECOND
# The names of the safe, the unsafe and the keyed class of tests.policy.simulation.make_settings.
SERVICE_CLASSES = ["look", "pay", "hold"]
TENANTS = ["acme"]


class TracedSimulation(PolicySimulation):
    """A random simulation whose policy is traced."""

    def __init__(self, seed, sampled_fraction=1.0, **options):
        self.traces = []
        self.sampled_fraction = sampled_fraction
        super().__init__(seed, make_policy=self.make_traced_policy, **options)

    def make_traced_policy(self, settings, seed, now):
        policy = Balancer(settings, seed, now)
        self.tracer = Tracer(
            policy, self.traces.append, SERVICE_CLASSES, TENANTS, self.sampled_fraction
        )
        return self.tracer


def request_trace(
    number, final="fulfilled", attempts=1, service_class="look", tenant="acme", **overrides
) -> RequestTrace:
    """Return a request that was accepted ``number`` times 10 ms after BASE.

    Its attempts go to the upstreams u0 to u2 in turn. ``overrides`` are fields to set.
    """
    fields = {
        "id": f"id{number:05d}",
        "parent": "",
        "taken": BASE + number * 10 * MILLISECOND,
        "limit": 500000,
        "goal": 200000,
        "worth": 1.0,
        "answered": 5100 * max(1, attempts),
        "reason": "" if final == "fulfilled" else "not again: chance",
        "sent": [attempt_trace(number, index, attempts, final) for index in range(attempts)],
        **overrides,
    }
    return RequestTrace(final=final, grade=service_class, customer=tenant, **fields)


def attempt_trace(number, index, attempts, final):
    """Return the attempt ``index`` of a request; all but the last one fail."""
    upstream = f"u{(number + index) % 3}"
    is_last = index == attempts - 1
    return AttemptTrace(
        upstream,
        sent=100 + 5000 * index,
        ended=5000 + 5000 * index,
        outcome="fulfilled" if is_last and final == "fulfilled" else "error",
        drawn=Selection("slice", 3, 2, [Candidate(upstream, 1.0, 0.0, 1.0)]),
        again=None if is_last else RetryDecision("granted", 0.1, 0.2, 0.2, 0.0),
    )


def write_file(path, traces, name="b0", tier=0, records_per_block=5):
    """Write a trace file, and return its path."""
    path.unlink(missing_ok=True)
    created_ns = traces[0].taken if traces else 0
    metadata = FileMetadata("trace", 1, name, tier, created_ns=created_ns)
    writer = ContainerWriter(path, metadata, block_bytes=10**9)
    for count, trace in enumerate(traces, 1):
        append_trace(writer, trace)
        if count % records_per_block == 0:
            writer.flush()
    writer.close()
    return path


def read_file(path, trace_filter=None):
    """Return the matching records of a file."""
    with open_trace_file(path) as reader:
        return list(read_traces(reader, trace_filter))


def two_tiers(tmp_path, ahead_ns, count=60):
    """Write the traces of two balancers; the back gets a call for each attempt of the front.

    The clock of the back is ahead by ``ahead_ns``. Returns both paths and both lists of records.
    """
    rng = random.Random(5)
    requests = [request_trace(number) for number in range(count)]
    calls = [call_for(request, rng, ahead_ns) for request in requests]
    front = write_file(tmp_path / "f.trc", requests, "front")
    back = write_file(tmp_path / "b.trc", calls, "back", 1)
    return front, back, requests, calls


def call_for(request, rng, ahead_ns):
    """Return the call to the next tier that was made for the request's attempt."""
    number = int(request.id.removeprefix("id"))
    call = request_trace(
        number,
        taken=request.taken + 100_000 + rng.randrange(50_000, 900_000) + ahead_ns,
        id=f"{request.id}-1a",  # parent's id, number of the attempt, letter of the call
        parent=request.id,
        root=request.id,
        answered=2000,
    )
    return replace(call, sent=[replace(call.sent[0], sent=10, ended=1900)])


def summary_of(traces):
    """Return the figures of records."""
    summary = Summary()
    for trace in traces:
        summary.add(trace)
    return summary.to_dict()
