"""What a tracer makes of the calls of a policy, in random worlds."""

from types import SimpleNamespace

import pytest

from pepperhook.actions import FailRequest, StartAttempt
from pepperhook.balancer import Balancer
from pepperhook.domain import Outcome, Request, Upstream, UpstreamState
from pepperhook.stored_words import OUTCOMES
from pepperhook.tracing.collector import TraceCollector
from pepperhook.tracing.open_trace import MAX_STEPS
from pepperhook.tracing.sampling import RequestSampler
from pepperhook.tracing.tracer import Tracer
from tests.tracing.traces import SERVICE_CLASSES, TracedWorld
from tests.world import MS, S, World, settings


@pytest.fixture(scope="module")
def worlds():
    """Worlds in which requests end in all ways, and the retry budget is spent at the end."""
    return [world_of_failures(seed) for seed in range(4)]


def world_of_failures(seed):
    world = TracedWorld(seed, slow_start_capacity=1.0, slow_start_ns=0)
    fates = [Outcome.SERVED] * 3 + [Outcome.ERROR] * 2 + [Outcome.TIMED_OUT]
    world.outcome_of = lambda _: world.random.choice(fates)
    world.latency_of = lambda _: world.random.randrange(100 * MS, 900 * MS)
    world.run(2500, chance=0.6)
    world.balancer.retry_budget.B = 0.0
    world.run(100, chance=0.6)
    return world


@pytest.mark.parametrize("seed", range(6))
def test_traces_are_what_happened_and_tracing_changes_nothing(seed):
    world = TracedWorld(seed, may_cancel=False)
    untraced = World(seed, may_cancel=False)
    world.run(1500, chance=0.5)
    untraced.run(1500, chance=0.5)
    world.tracer.stop()

    assert list(world.responses.values()) == list(untraced.responses.values())
    assert [at for at, _ in world.sent_attempts] == [at for at, _ in untraced.sent_attempts]
    by_id = {trace.id: trace for trace in world.traces}
    assert len(by_id) == len(world.traces) == len(world.requests)
    for request in world.requests:
        trace = by_id[str(request.id)]
        assert trace.final == world.responses.get(request, "open")
        assert trace.grade == SERVICE_CLASSES[request.service_class.number]
        assert_attempts_are_those_of(trace, request)
        assert_each_attempt_has_its_reasons(trace)


def assert_attempts_are_those_of(trace, request):
    outcomes = [OUTCOMES[each.outcome] if each.outcome else "" for each in request.attempts]
    assert [sent.outcome for sent in trace.sent] == outcomes
    sent_at = [each.sent_at for each in request.attempts]
    assert [trace.time_ns(sent.sent) for sent in trace.sent] == sent_at


def assert_each_attempt_has_its_reasons(trace):
    for sent in trace.sent:
        # The upstream is one of those that were compared, and the least loaded of them.
        loads = {candidate.upstream: candidate.load for candidate in sent.drawn.pair}
        assert loads[sent.upstream] == min(loads.values())
        assert sent.drawn.fit >= len(sent.drawn.pair)
    for before, after in zip(trace.sent, trace.sent[1:], strict=False):
        assert before.again.verdict == "granted"
        assert before.again.drawn < before.again.most
        assert after.sent >= before.ended
    if trace.final in ("shed", "broken off"):
        assert trace.reason
    assert all(0 <= wait.begun <= wait.until for wait in trace.waits if wait.end)


def traces_by_reason(worlds):
    return {
        (trace.final, trace.reason): trace
        for world in reversed(worlds)
        for trace in reversed(world.traces)
    }


def test_reasons_of_rejection_and_failure_are_told_apart(worlds):
    reasons = {reason for _, reason in traces_by_reason(worlds)}

    assert reasons >= {
        "waited in vain, no room",
        "least worth, no room",
        "not again: effect",
        "not again: chance",
        "not again: budget",
    }


def test_request_that_waited_too_long_has_its_wait(worlds):
    trace = traces_by_reason(worlds)["shed", "waited in vain, no room"]

    wait = trace.waits[-1]
    assert wait.end == "waited in vain"
    assert wait.until - wait.begun >= 0.2 * trace.goal - 1


def test_unsafe_request_that_failed_was_not_sent_again_for_its_effect(worlds):
    trace = traces_by_reason(worlds)["broken off", "not again: effect"]

    assert trace.sent[-1].outcome in ("error", "timed out")
    assert trace.grade != "look"


def test_sample_is_kept_of_requests_served_in_time_and_all_others_are_kept():
    world = TracedWorld(3, sampled_fraction=0.2)
    world.run(3000, chance=0.4)

    served = list(world.responses.values()).count("fulfilled")
    unserved = len(world.responses) - served
    in_time = [trace for trace in world.traces if trace.final == "fulfilled" and not trace.late]
    others = [trace for trace in world.traces if trace not in in_time]
    assert 0.1 * served < len(in_time) < 0.3 * served
    assert len(others) >= unserved - 5


def test_parent_and_root_are_found_in_ids():
    sampler = RequestSampler(0.5, r"^(.+)-\d+[a-z]$")

    assert sampler.root_of("9b1f-1a-2b") == "9b1f"
    assert sampler.parent_of("9b1f-1a") == "9b1f"
    assert sampler.parent_of("9b1f") == ""


def test_id_that_is_its_own_parent_is_its_own_root():
    assert RequestSampler(1.0, "^(.*)$").root_of("x") == "x"


def test_all_tiers_sample_the_same_requests():
    sampler = RequestSampler(0.5, r"^(.+)-\d+[a-z]$")
    sampled = {number for number in range(64) if sampler.includes(str(number))}

    assert 0 < len(sampled) < 64
    for number in range(64):
        call_root = sampler.root_of(f"{number}-1a-3c")
        assert sampler.includes(call_root) == (number in sampled)


def test_tracer_passes_its_sampling_on():
    tracer = Tracer(SimpleNamespace(notes=None), None, (), (), 0.5, r"^(.+)-\d+[a-z]$")

    sampler = tracer.collector.sampler
    assert sampler.parent_of("9b1f-1a") == "9b1f"
    assert {sampler.includes(str(number)) for number in range(64)} == {True, False}


def test_failure_of_the_policy_in_a_call_loses_no_trace():
    policy = Balancer(settings(), 1, 9 * S)
    traces = []
    tracer = Tracer(policy, traces.append)
    tracer.endpoints_changed(9 * S, True, [(Upstream(b"u"), UpstreamState.READY, 0)])
    request = Request("a", policy.settings.service_classes[0], 0, None, 10 * S)
    handle = policy.completion.handle
    policy.completion.handle = lambda *_: 1 / 0
    with pytest.raises(ZeroDivisionError):
        tracer.accept(9 * S, request)
    policy.completion.handle = handle

    tracer.client_left(9 * S + MS, request)

    assert [trace.final for trace in traces] == ["left"]
    assert not tracer.collector.open_traces


@pytest.mark.parametrize("outcome", [Outcome.SERVED, Outcome.ERROR])
def test_a_request_with_more_attempts_than_are_kept_is_written_when_it_ends(outcome):
    """The end of an attempt beyond those that are kept was taken for one of another request.

    So the trace of such a request stayed open for the life of the process, and held its objects.
    """
    traces = []
    collector = TraceCollector(traces.append, ["look"], ["acme"], RequestSampler(1.0, None))
    service_class = settings().service_classes[0]
    request = Request("r1", service_class, None, None, 60 * S)
    upstream = Upstream(b"u0")
    collector.accept(0, request)
    for number in range(MAX_STEPS + 1):
        attempt = request.start_attempt(upstream, number)
        collector.collect(number, "accept", (request,), (), [StartAttempt(attempt, S)])
        is_last = number == MAX_STEPS
        attempt.outcome = outcome if is_last else Outcome.ERROR
        attempt.close()
        request.finished = is_last
        actions = [FailRequest(request)] if is_last and outcome is Outcome.ERROR else []
        arguments = (attempt, attempt.outcome, MS, is_last)
        collector.collect(number, "attempt_ended", arguments, (), actions)

    assert not collector.open_traces
    assert [trace.final for trace in traces] == [
        "fulfilled" if outcome is Outcome.SERVED else "broken off"
    ]
    assert traces[0].cut == 1
