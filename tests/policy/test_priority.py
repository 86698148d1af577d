"""The value of a request: its tenant's quota and the priority weight of its service class."""

from pepperhook.settings import TenantQuota
from pepperhook.units import MILLISECOND
from tests.policy.simulation import PolicySimulation


def test_requests_within_this_balancers_share_of_a_quota_mostly_keep_their_full_value():
    simulation = PolicySimulation(
        16, tenants=[TenantQuota(quota_per_s=0.2, share=1.0)], excess_weight_factor=0.1
    )

    # One request in 20 seconds is half of this balancer's share of the quota.
    values = []
    for _ in range(60):
        for _ in range(100):
            simulation.step(200 * MILLISECOND)
        values.append(simulation.accept_new(0).value)

    assert sum(value > 0.5 * max(values) for value in values) > 40
