"""Traces that are created from captures."""

from msgspec.structs import replace

from pepperhook.tracing.retrace import trace_captures
from pepperhook.tracing.tracer import Tracer
from tests.capture.captured_simulation import CapturedSimulation
from tests.tracing.traces import SERVICE_CLASSES, TENANTS, read_file

NAMES = {f"#{number}": name for number, name in enumerate(SERVICE_CLASSES)}


def with_names(trace):
    """Return a record with the names that the capture lacks: of service classes and tenants."""
    return replace(trace, grade=NAMES[trace.grade], customer="acme" if trace.customer else "")


def test_trace_of_a_capture_equals_the_trace_of_the_live_policy(tmp_path):
    simulation = CapturedSimulation(4, tmp_path / "a", state_probability=0.005)
    policy = simulation.recorder.module
    live_traces = []
    tracer = Tracer(simulation.recorder, live_traces.append, SERVICE_CLASSES, TENANTS)
    simulation.balancer = tracer
    simulation.run(1500, arrival_probability=0.4)
    tracer.stop()
    simulation.writer.close()
    assert policy.notes is None  # disabled by Tracer.stop

    result = trace_captures([tmp_path / "a"], tmp_path / "t.trc")

    retraced = read_file(tmp_path / "t.trc")
    assert result.differs_at is None
    assert result.lives == len(live_traces) > 300
    assert [with_names(trace) for trace in retraced] == [
        replace(trace, worth=round(trace.worth, 3)) for trace in live_traces
    ]
