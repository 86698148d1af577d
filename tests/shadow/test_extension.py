"""The extension: real decisions stay, differences are counted by kind, a fault costs nothing."""

import json
import logging
from dataclasses import replace

import pytest

from pepperhook.balancer import Balancer
from pepperhook.domain import Effect
from pepperhook.operator_config.schema import ShadowTable
from pepperhook.policy_proxy import PolicyProxy
from pepperhook.server import structured_logging
from pepperhook.server.extensions import Extensions
from pepperhook.settings import ReportSource
from pepperhook.shadow.comparison import Difference
from pepperhook.shadow.extension import MAX_FAULTS, Shadow, ShadowedPolicy, ShadowSettingsError
from pepperhook.shadow.twin import Twin
from tests.world import ENV, Peer, Running, World, answer, grade, loopback, told

STEPS = 1500
CLASSES_WITHOUT_OBJECTIVE = [
    grade(number, effect, objective_ns=0)
    for number, effect in enumerate((Effect.SAFE, Effect.UNSAFE, Effect.KEYED))
]


def make_shadow(directory, env=ENV):
    """The extension, which compares every call with the settings of ``env``."""
    path = directory / "other.json"
    path.write_text(json.dumps(env))
    table = ShadowTable(settings_file=str(path), sampled_fraction=1.0)
    return Shadow(table, told(), structured_logging.Log(logging.getLogger("test")))


def play(seed, shadow=None, **replaced):
    """Play a random run, and return what was sent and answered.

    With a ``shadow`` it compares settings with the ``replaced`` values.
    """

    def make(*arguments):
        policy = Balancer(*arguments)
        return policy if shadow is None else ShadowedPolicy(policy, shadow)

    world = World(seed, make=make)
    world.keeps_retry_budget_full = True
    if shadow is not None:
        shadow.other_settings = replace(world.settings, **replaced)
        # Those of the first list, which the settings of the file were compared on.
        shadow.differences.clear()
    world.run(STEPS, chance=0.1)
    sent = [
        (at, attempt.request.id, attempt.upstream.address, attempt.number)
        for at, attempt in world.sent_attempts
    ]
    answered = {request.id: what for request, what in world.responses.items()}
    return sent, answered, world.balancer.retry_budget.f


@pytest.mark.parametrize("seed", range(3))
def test_real_decisions_are_the_same_with_and_without_it(seed, tmp_path):
    shadow = make_shadow(tmp_path)

    assert play(seed, shadow, fleet_size=8, index=5, may_cancel=False) == play(seed)

    assert shadow.compared > 400
    assert not shadow.faults
    assert sum(shadow.differences.values()) > 0


@pytest.mark.parametrize("seed", range(3))
def test_the_same_settings_never_differ(seed, tmp_path):
    shadow = make_shadow(tmp_path)

    assert play(seed, shadow) == play(seed)

    assert shadow.compared > 400
    assert not shadow.differences


def test_the_policy_itself_is_copied_from_behind_other_proxies(tmp_path):
    policy = Balancer(told().settings, 1, 0)

    shadowed = ShadowedPolicy(PolicyProxy(policy), make_shadow(tmp_path))

    assert shadowed.policy is policy


def test_a_fault_affects_no_request_and_after_some_it_stops(tmp_path, monkeypatch, caplog):
    monkeypatch.setattr(Twin, "call", lambda *_: 1 / 0)
    shadow = make_shadow(tmp_path)

    assert play(7, shadow) == play(7)

    logged = sum("shadow_fault" in line for line in caplog.messages)
    assert logged == shadow.faults == MAX_FAULTS
    assert not shadow.compared


@pytest.mark.parametrize(
    "replaced, present, absent",
    [
        (
            {"max_attempts": 1},
            [Difference.NOT_RETRIED],
            [Difference.ANOTHER_UPSTREAM, Difference.ANOTHER_SUBSET],
        ),
        (
            {"service_classes": CLASSES_WITHOUT_OBJECTIVE},
            [Difference.ENDED],
            [Difference.SENT],
        ),
        ({"fleet_size": 8, "index": 5}, [Difference.ANOTHER_SUBSET], []),
        (
            {"report_source": ReportSource.HEALTH_CHECKS, "report_figures": ["in flight"]},
            [Difference.CHECKED, Difference.QUEUED],
            [Difference.ANOTHER_SUBSET],
        ),
        (
            {"objective_tail": 0.3},
            [Difference.ANOTHER_WAKE_TIME],
            [Difference.ANOTHER_SUBSET, Difference.ANOTHER_UPSTREAM],
        ),
    ],
)
def test_settings_chosen_to_differ_are_counted_by_kind(replaced, present, absent, tmp_path):
    shadow = make_shadow(tmp_path)

    play(5, shadow, **replaced)

    assert not shadow.faults
    assert set(shadow.differences) <= set(Difference)
    assert all(shadow.differences[kind] for kind in present)
    assert not any(shadow.differences[kind] for kind in absent)


@pytest.mark.parametrize(
    "replaced, key",
    [
        ({"serviceGrades": ENV["serviceGrades"][:2]}, "serviceGrades"),
        ({"prices": {"crossZone": "x"}}, "prices.crossZone"),
        (
            {"serviceGrades": [row | {"effect": "at_most_once"} for row in ENV["serviceGrades"]]},
            r"serviceGrades\[0\]",
        ),
        ({"orgs": []}, "orgs: 0 of them, 1 are in force"),
    ],
)
def test_settings_that_cannot_be_compared_are_refused_by_their_key(replaced, key, tmp_path):
    with pytest.raises(ShadowSettingsError, match=f"shadow.settings: .*{key}"):
        make_shadow(tmp_path, ENV | replaced)


@loopback
async def test_on_sockets_it_counts_and_responses_stay_the_same(tmp_path):
    other = ENV | {
        "serviceGrades": [row | {"goalTimeUs": 0} for row in ENV["serviceGrades"]],
        "permissions": ENV["permissions"] | {"cancel": True},
    }
    shadow = make_shadow(tmp_path, other)
    async with (
        Peer(lambda *_: answer(body=b"same")) as upstream,
        Running([upstream.dial], parts=Extensions([shadow])) as balancer,
    ):
        responses = [await balancer.ask() for _ in range(5)]
        counts = shadow.told()

    assert responses == [(200, b"same")] * 5
    assert len(upstream.seen) == 5
    assert counts["name"] == "shadow"
    assert counts["shed"] >= 5
    assert counts["faults"] == 0
    assert counts["compared"] == counts["calls"] > 10
