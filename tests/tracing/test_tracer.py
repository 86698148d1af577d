"""Traces that a tracer records of a policy in random simulations."""

from types import SimpleNamespace

import pytest

from pepperhook.actions import FailRequest, StartAttempt
from pepperhook.balancer import Balancer
from pepperhook.domain import Outcome, Request, Upstream, UpstreamState
from pepperhook.stored_words import OUTCOMES
from pepperhook.tracing.collector import TraceCollector
from pepperhook.tracing.open_trace import MAX_RECORDED_STEPS
from pepperhook.tracing.sampling import RequestSampler
from pepperhook.tracing.tracer import Tracer
from pepperhook.units import MILLISECOND, SECOND
from tests.policy.simulation import PolicySimulation, make_settings
from tests.tracing.traces import SERVICE_CLASSES, TracedSimulation


@pytest.fixture(scope="module")
def simulations():
    """Simulations with various outcomes of requests, and without a retry budget at the end."""
    return [simulation_with_failures(seed) for seed in range(4)]


def simulation_with_failures(seed):
    simulation = TracedSimulation(seed, slow_start_capacity=1.0, slow_start_ns=0)
    outcomes = [Outcome.SERVED] * 3 + [Outcome.ERROR] * 2 + [Outcome.TIMED_OUT]
    simulation.outcome_of = lambda _: simulation.random.choice(outcomes)
    simulation.latency_of = lambda _: simulation.random.randrange(
        100 * MILLISECOND, 900 * MILLISECOND
    )
    simulation.run(2500, arrival_probability=0.6)
    simulation.balancer.retry_budget.B = 0.0
    simulation.run(100, arrival_probability=0.6)
    return simulation


@pytest.mark.parametrize("seed", range(6))
def test_traces_match_the_simulation_and_tracing_does_not_change_it(seed):
    simulation = TracedSimulation(seed, may_cancel=False)
    untraced = PolicySimulation(seed, may_cancel=False)
    simulation.run(1500, arrival_probability=0.5)
    untraced.run(1500, arrival_probability=0.5)
    simulation.tracer.stop()

    assert list(simulation.responses.values()) == list(untraced.responses.values())
    assert [sent_at for sent_at, _ in simulation.sent_attempts] == [
        sent_at for sent_at, _ in untraced.sent_attempts
    ]
    by_id = {trace.id: trace for trace in simulation.traces}
    assert len(by_id) == len(simulation.traces) == len(simulation.requests)
    for request in simulation.requests:
        trace = by_id[str(request.id)]
        assert trace.final == simulation.responses.get(request, "open")
        assert trace.grade == SERVICE_CLASSES[request.service_class.number]
        assert_attempts_match(trace, request)
        assert_decisions_are_recorded(trace)


def assert_attempts_match(trace, request):
    outcomes = [
        OUTCOMES[attempt.outcome] if attempt.outcome else "" for attempt in request.attempts
    ]
    assert [attempt.outcome for attempt in trace.sent] == outcomes
    sent_at = [attempt.sent_at for attempt in request.attempts]
    assert [trace.time_ns(attempt.sent) for attempt in trace.sent] == sent_at


def assert_decisions_are_recorded(trace):
    for attempt in trace.sent:
        # The upstream is the least loaded one of the candidates.
        loads = {candidate.upstream: candidate.load for candidate in attempt.drawn.pair}
        assert loads[attempt.upstream] == min(loads.values())
        assert attempt.drawn.fit >= len(attempt.drawn.pair)
    for before, after in zip(trace.sent, trace.sent[1:], strict=False):
        assert before.again.verdict == "granted"
        assert before.again.drawn < before.again.most
        assert after.sent >= before.ended
    if trace.final in ("shed", "broken off"):
        assert trace.reason
    assert all(0 <= wait.begun <= wait.until for wait in trace.waits if wait.end)


def traces_by_reason(simulations):
    return {
        (trace.final, trace.reason): trace
        for simulation in reversed(simulations)
        for trace in reversed(simulation.traces)
    }


def test_traces_distinguish_the_reasons_of_rejections_and_failures(simulations):
    reasons = {reason for _, reason in traces_by_reason(simulations)}

    assert reasons >= {
        "waited in vain, no room",
        "least worth, no room",
        "not again: effect",
        "not again: chance",
        "not again: budget",
    }


def test_trace_of_a_request_that_waited_too_long_has_the_wait(simulations):
    trace = traces_by_reason(simulations)["shed", "waited in vain, no room"]

    wait = trace.waits[-1]
    assert wait.end == "waited in vain"
    # A wait ends after a fifth of the latency objective; times are rounded down to microseconds.
    assert wait.until - wait.begun >= 0.2 * trace.goal - 1


def test_trace_of_a_failed_unsafe_request_names_the_effect_as_the_reason(simulations):
    trace = traces_by_reason(simulations)["broken off", "not again: effect"]

    assert trace.sent[-1].outcome in ("error", "timed out")
    assert trace.grade != "look"  # the safe class


def test_requests_served_in_time_are_sampled_and_all_others_are_written():
    simulation = TracedSimulation(3, sampled_fraction=0.2)
    simulation.run(3000, arrival_probability=0.4)

    served = list(simulation.responses.values()).count("fulfilled")
    unserved = len(simulation.responses) - served
    in_time = [
        trace for trace in simulation.traces if trace.final == "fulfilled" and not trace.late
    ]
    others = [trace for trace in simulation.traces if trace not in in_time]
    assert 0.1 * served < len(in_time) < 0.3 * served
    assert len(others) >= unserved - 5


def test_parent_and_root_are_derived_from_the_id():
    sampler = RequestSampler(0.5, r"^(.+)-\d+[a-z]$")

    assert sampler.root_of("9b1f-1a-2b") == "9b1f"
    assert sampler.parent_of("9b1f-1a") == "9b1f"
    assert sampler.parent_of("9b1f") == ""


def test_request_is_its_own_root_if_the_pattern_matches_its_whole_id():
    assert RequestSampler(1.0, "^(.*)$").root_of("x") == "x"


def test_all_tiers_sample_the_same_requests():
    sampler = RequestSampler(0.5, r"^(.+)-\d+[a-z]$")
    sampled = {number for number in range(64) if sampler.includes(str(number))}

    assert 0 < len(sampled) < 64
    for number in range(64):
        call_root = sampler.root_of(f"{number}-1a-3c")
        assert sampler.includes(call_root) == (number in sampled)


def test_tracer_passes_sampled_fraction_and_parent_pattern_to_the_sampler():
    tracer = Tracer(SimpleNamespace(notes=None), None, (), (), 0.5, r"^(.+)-\d+[a-z]$")

    sampler = tracer.collector.sampler
    assert sampler.parent_of("9b1f-1a") == "9b1f"
    assert {sampler.includes(str(number)) for number in range(64)} == {True, False}


def test_trace_is_written_although_the_policy_raised_in_a_call():
    policy = Balancer(make_settings(), 1, 9 * SECOND)
    traces = []
    tracer = Tracer(policy, traces.append)
    tracer.endpoints_changed(9 * SECOND, True, [(Upstream(b"u"), UpstreamState.READY, 0)])
    request = Request("a", policy.settings.service_classes[0], 0, None, 10 * SECOND)
    handle = policy.completion.handle
    policy.completion.handle = lambda *_: 1 / 0
    with pytest.raises(ZeroDivisionError):
        tracer.accept(9 * SECOND, request)
    policy.completion.handle = handle

    tracer.client_left(9 * SECOND + MILLISECOND, request)

    assert [trace.final for trace in traces] == ["left"]
    assert not tracer.collector.open_traces


@pytest.mark.parametrize("outcome", [Outcome.SERVED, Outcome.ERROR])
def test_request_with_more_attempts_than_recorded_is_written_when_it_ends(outcome):
    """Guards against a memory leak by traces that are never closed.

    The end of an attempt beyond MAX_RECORDED_STEPS was mistaken for that of another request's
    attempt, so the trace and its objects stayed in memory for the life of the process.
    """
    traces = []
    collector = TraceCollector(traces.append, ["look"], ["acme"], RequestSampler(1.0, None))
    service_class = make_settings().service_classes[0]
    request = Request("r1", service_class, None, None, 60 * SECOND)
    upstream = Upstream(b"u0")
    collector.accept(0, request)
    for number in range(MAX_RECORDED_STEPS + 1):
        attempt = request.start_attempt(upstream, number)
        # "accept" stands for any policy call that starts an attempt.
        collector.collect(number, "accept", (request,), (), [StartAttempt(attempt, SECOND)])
        is_last = number == MAX_RECORDED_STEPS
        attempt.outcome = outcome if is_last else Outcome.ERROR
        attempt.close()
        request.finished = is_last
        actions = [FailRequest(request)] if is_last and outcome is Outcome.ERROR else []
        arguments = (attempt, attempt.outcome, MILLISECOND, is_last)
        collector.collect(number, "attempt_ended", arguments, (), actions)

    assert not collector.open_traces
    assert [trace.final for trace in traces] == [
        "fulfilled" if outcome is Outcome.SERVED else "broken off"
    ]
    assert traces[0].cut == 1
