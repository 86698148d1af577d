"""The rate limit at the hook points of a balancer."""

import pytest

from pepperhook import operator_config
from pepperhook.operator_config.schema import RateLimitTable, TenantLimit
from pepperhook.rate_limit.errors import UnknownTenantError
from pepperhook.rate_limit.extension import RateLimitExtension
from pepperhook.server.extensions import Extensions, listed_name
from tests.world import ENV, Peer, Running, answer, loopback, told

TENANTS = [{"name": "acme"}, {"name": "bell"}]
MAX_RETRY_AFTER_US = 60_000_000
PERMISSIONS = {"retryAfter": True, "maxRetryAfterUs": MAX_RETRY_AFTER_US}
TWO_TENANTS = {**ENV, "orgs": TENANTS}
WITH_ADVICE = {**TWO_TENANTS, "permissions": {**ENV["permissions"], **PERMISSIONS}}


@loopback
async def test_tenant_over_its_limit_is_rejected_with_advice_and_others_are_served():
    limits = RateLimitTable(default=TenantLimit(per_second=0.05, burst=2.0))
    extension = RateLimitExtension(limits, told(env=WITH_ADVICE))
    async with (
        Peer(lambda *_: answer()) as peer,
        Running([peer.dial], parts=Extensions([extension]), env=TWO_TENANTS) as balancer,
    ):

        async def statuses(*tenants):
            return [(await balancer.ask(X_Tenant_Id=name))[0] for name in tenants]

        of_noisy_tenant = await statuses(*["acme"] * 4)
        retry_after_s = float(balancer.head.split(b"Retry-After: ")[1].split(b"\r\n")[0])
        of_others = await statuses("bell", "bell", "nobody", "nobody", "nobody")

    assert of_noisy_tenant == [200, 200, 503, 503]
    assert 18 < retry_after_s <= 30
    assert of_others == [200] * 5
    assert len(peer.seen) == 7
    assert extension.told()["shed_acme"] == 2


def test_counters_name_the_tenants_that_had_requests_rejected():
    limits = RateLimitTable(
        default=TenantLimit(per_second=1.0), unknown=TenantLimit(per_second=1.0)
    )
    extension = RateLimitExtension(limits, told(env=TWO_TENANTS))

    for tenant in (0, 0, 1, None, None, None):
        extension.limiter.admit(0, tenant)

    assert extension.told() == {"name": "customers", "let": 3, "shed_acme": 1, "shed_unknown": 2}


def test_tenant_that_the_settings_do_not_have_is_an_error():
    limits = RateLimitTable(each={"nobody": TenantLimit(per_second=1.0)})

    with pytest.raises(UnknownTenantError) as error:
        RateLimitExtension(limits, told(env=TWO_TENANTS))

    assert str(error.value) == (
        "customers.each.nobody: the settings know no such customer; they know: acme, bell"
    )


def test_limits_that_cannot_be_applied_leave_those_in_force():
    extension = RateLimitExtension(RateLimitTable(default=TenantLimit(per_second=1.0)), told())
    limiter = extension.limiter

    with pytest.raises(UnknownTenantError):
        extension.prepare(RateLimitTable(each={"nobody": TenantLimit(per_second=1.0)}))

    assert extension.limiter is limiter


def test_operators_file_turns_it_on_under_the_name_that_it_has_had(tmp_path):
    class Log:
        def info(self, event, **pairs):
            self.line = (event, pairs["parts"])

    path, log = tmp_path / "operator.toml", Log()
    path.write_text("version = 1\n[customers.default]\nper_second = 9.0\n")

    extensions = operator_config.build(str(path), told(), log)

    assert [listed_name(extension) for extension in extensions.all] == ["quotas"]
    assert log.line == ("operator_file", "quotas")
