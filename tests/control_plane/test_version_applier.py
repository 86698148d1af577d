"""A version that cannot be put into force changes nothing, whatever fails."""

import copy

import pytest

from pepperhook import operator_config
from pepperhook.control_plane import version_applier
from pepperhook.rate_limit.extension import RateLimitExtension
from pepperhook.server.extensions import Extensions
from tests.control_plane.helpers import control_extension, document, signed_version
from tests.server.balancers import ENVIRONMENT, RunningBalancer, make_config

UNREACHABLE = "127.0.0.1:9"
FORCED = ["step", "capacity", "drains many", "limit"]  # safety checks that are not the matter here
FIRST = document(
    grades={"look": {"time_limit_ms": 1500.0, "goal_ms": 900.0}},
    upstreams={"h0": {"weight": 2.0}},
    parts={"customers": {"default": {"per_second": 50.0}}},
)
SECOND = document(
    grades={"look": {"time_limit_ms": 1800.0, "goal_ms": 950.0}},
    upstreams={"h1": {"drain": True, "weight": 0.5}},
    parts={"customers": {"default": {"per_second": 70.0}}},
)


class UnforeseenError(RuntimeError):
    """An error that no code of the program expects."""


def fail_once(monkeypatch, target, name):
    """Let a call fail the next time it is made, before it does anything."""
    plain = getattr(target, name)

    def fail(*_, **__):
        monkeypatch.setattr(target, name, plain)
        raise UnforeseenError(f"injected into {name}")

    monkeypatch.setattr(target, name, fail)


STEPS = {
    "limits": lambda case: (case.rate_limits, "prepare"),
    "settings": lambda _: (version_applier, "build_settings"),
    "rows": lambda case: (case.applier.endpoints, "rows_to_correct"),
    "states": lambda case: (case.balancer.policy, "on_endpoints_changed"),
    "weights": lambda _: (version_applier, "weight_of"),
    "policy": lambda case: (case.balancer.policy, "on_reconfigured"),
    "ingress": lambda case: (case.balancer.app.ingress, "update_settings"),
}


class Case:
    """A balancer with rate limits that follows a control service which is not there."""

    def __init__(self, last_good_file):
        table = operator_config.schema.RateLimitTable(
            default=operator_config.schema.TenantLimit(per_second=1.0)
        )
        self.rate_limits = RateLimitExtension(table, make_config())
        self.control = control_extension(
            UNREACHABLE,
            extensions=[("customers", self.rate_limits)],
            last_good_file=last_good_file,
        )
        self.applier = self.control.applier
        self.balancer = RunningBalancer(
            ["127.0.0.1:9", "127.0.0.1:10", "127.0.0.1:11"],
            Extensions([self.rate_limits, self.control]),
            owns_event_loop=False,
            env=copy.deepcopy(ENVIRONMENT),
        )

    def in_force(self):
        """Return all that a version changes."""
        policy = self.balancer.policy
        return {
            "version": self.applier.running_number,
            "document": self.applier.document,
            "time limits": [known.time_limit_ns for known in policy.settings.service_classes],
            "limits": self.rate_limits.limits,
            "states": {known.address: str(known.state) for known in policy.subset.ring.listed},
            "weights": {
                known.address: known.operator_weight for known in policy.subset.ring.listed
            },
        }


@pytest.mark.parametrize("step", STEPS)
async def test_version_is_rejected_whole_where_a_step_fails(step, tmp_path, monkeypatch):
    # Against a version that is in force by half, and counts as running.
    state = tmp_path / "good.json"
    case = Case(str(state))
    async with case.balancer:
        assert case.applier.receive(signed_version(1, FIRST, forced=FORCED))
        before = case.in_force()
        fail_once(monkeypatch, *STEPS[step](case))

        assert not case.applier.receive(signed_version(2, SECOND, forced=FORCED))

        assert case.in_force() == before
        assert case.applier.rejection.version == 2
        assert "cannot be applied" in case.applier.rejection.reason
        assert case.applier.counters.rejected == 1
        # The next one is taken.
        assert case.applier.receive(signed_version(3, SECOND, forced=FORCED))
        assert case.in_force()["version"] == 3
        assert case.in_force()["states"][b"h1"] == "draining"
        assert case.in_force()["time limits"][0] == 1800 * 10**6
        assert case.applier.rejection is None


async def test_last_good_version_that_cannot_be_applied_leaves_the_start_in_force(monkeypatch):
    case = Case(None)
    async with case.balancer:
        before = case.in_force()
        fail_once(monkeypatch, version_applier, "build_settings")
        case.control.last_good.load = lambda _: signed_version(1, FIRST)

        case.applier.restore(case.control.last_good)

        assert case.in_force() == before
