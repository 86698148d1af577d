"""Traces that are created from captures."""

from msgspec.structs import replace

from pepperhook.tracing.retrace import trace_captures
from pepperhook.tracing.tracer import Tracer
from tests.capture.captured_world import CapturedWorld
from tests.tracing.traces import SERVICE_CLASSES, TENANTS, read_file

NAMES = {f"#{number}": name for number, name in enumerate(SERVICE_CLASSES)}


def with_names(trace):
    """Return a record with the names that the capture lacks: of service classes and tenants."""
    return replace(trace, grade=NAMES[trace.grade], customer="acme" if trace.customer else "")


def test_trace_of_a_capture_equals_the_trace_of_the_live_policy(tmp_path):
    world = CapturedWorld(4, tmp_path / "a", state_chance=0.005)
    policy = world.recorder.module
    live_traces = []
    tracer = Tracer(world.recorder, live_traces.append, SERVICE_CLASSES, TENANTS)
    world.balancer = tracer
    world.run(1500, chance=0.4)
    tracer.stop()
    world.writer.close()
    assert policy.notes is None  # disabled by Tracer.stop

    result = trace_captures([tmp_path / "a"], tmp_path / "t.trc")

    retraced = read_file(tmp_path / "t.trc")
    assert result.differs_at is None
    assert result.lives == len(live_traces) > 300
    assert [with_names(trace) for trace in retraced] == [
        replace(trace, worth=round(trace.worth, 3)) for trace in live_traces
    ]
