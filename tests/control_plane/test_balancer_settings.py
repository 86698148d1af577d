"""Settings built from a document, and a policy whose settings change while requests run."""

import random
from dataclasses import replace

import pytest

from pepperhook.balancer import Balancer
from pepperhook.capture import replay
from pepperhook.control_plane.balancer_settings import build_settings
from pepperhook.control_plane.document import EMPTY_DOCUMENT, parse_document
from pepperhook.domain import Effect, Outcome, RepeatGroup
from pepperhook.settings import Names
from pepperhook.units import MILLISECOND, SECOND
from tests.capture.captured_simulation import CapturedSimulation
from tests.control_plane.helpers import document
from tests.policy.simulation import PolicySimulation, make_service_class, make_settings

NAMES = Names({"look": 0, "sale": 1}, {"acme": 0}, {}, {})


@pytest.fixture
def startup():
    return make_settings(
        service_classes=[make_service_class(0), make_service_class(1, Effect.UNSAFE)]
    )


def test_document_overrides_only_the_startup_settings_that_it_names(startup):
    parsed = parse_document(
        document(
            grades={"look": {"time_limit_ms": 700, "effect": "at_most_once"}},
            customers={"acme": {"quota_per_s": 9.0}},
            limits={"most_dispatches": 5},
        )
    )

    built = build_settings(parsed, startup, NAMES)

    look = built.service_classes[0]
    assert look.time_limit_ns == look.objective_ns == 700 * MILLISECOND
    assert look.effect == Effect.UNSAFE
    assert built.tenants[0].quota_per_s == 9.0
    assert built.max_attempts == 5
    # Service classes without an override are the same objects; the startup settings are unchanged.
    assert built.service_classes[1] is startup.service_classes[1]
    assert startup.service_classes[0].effect == Effect.SAFE
    assert startup.tenants[0].quota_per_s == 40.0


def test_empty_document_gives_the_startup_settings(startup):
    assert build_settings(parse_document(EMPTY_DOCUMENT), startup, NAMES) == startup


def random_settings(generator, startup):
    effects = [Effect.SAFE, Effect.KEYED, Effect.UNSAFE]
    service_classes = [
        replace(
            service_class,
            effect=generator.choice(effects),
            repeat_group=RepeatGroup.CELL,
            time_limit_ns=generator.randrange(SECOND, 3 * SECOND),
            key_window_ns=generator.randrange(SECOND),
            priority_weight=generator.random(),
        )
        for service_class in startup.service_classes
    ]
    fleet_size = generator.randrange(1, 6)
    return replace(startup, service_classes=service_classes, fleet_size=fleet_size, index=0)


@pytest.mark.parametrize("seed", range(3))
def test_requests_keep_their_service_class_while_settings_change(seed, tmp_path):
    simulation = CapturedSimulation(seed, tmp_path / "a", state_probability=0.003)
    generator = random.Random(seed)
    startup = replace(simulation.settings)
    admitted_under = []

    for _ in range(40):
        simulation.run(40, arrival_probability=0.4)
        running = [
            request for request in simulation.requests if request not in simulation.responses
        ]
        admitted_under += [
            (request, request.service_class, replace(request.service_class)) for request in running
        ]
        changed = random_settings(generator, startup)
        weights = [
            (upstream, generator.choice([0.5, 1.0, 2.0])) for upstream in simulation.upstreams
        ]
        simulation.perform(simulation.balancer.reconfigure(simulation.now, changed, weights))
    for _ in range(1500):
        simulation.step()
    simulation.writer.close()

    assert len(admitted_under) > 20
    for request, service_class, copied in admitted_under:
        assert request.service_class is service_class
        assert service_class == copied
    assert all(request in simulation.responses for request in simulation.requests)
    replayed = replay.replay_file(tmp_path / "a", Balancer)
    assert replayed.difference is None
    assert replayed.states_checked
    assert not replayed.states_differ


def test_weight_of_an_upstream_scales_its_share_of_attempts():
    simulation = PolicySimulation(3, fleet_size=1)
    simulation.outcome_of = lambda _: Outcome.SERVED
    simulation.latency_of = lambda _: 30 * MILLISECOND
    weighted = simulation.upstreams[0]
    for weight, min_ratio, max_ratio in ((1.0, 0.7, 1.4), (0.25, 0.15, 0.75), (3.0, 1.5, 3.5)):
        simulation.perform(
            simulation.balancer.reconfigure(
                simulation.now, replace(simulation.settings), [(weighted, weight)]
            )
        )
        sent_before = len(simulation.sent_attempts)

        simulation.run(3000, arrival_probability=0.5)

        sent = [attempt.upstream for _, attempt in simulation.sent_attempts[sent_before:]]
        others = [
            upstream
            for upstream in simulation.upstreams
            if upstream.zone == weighted.zone and upstream is not weighted
        ]
        mean = sum(sent.count(other) for other in others) / len(others)
        assert min_ratio < sent.count(weighted) / mean < max_ratio
