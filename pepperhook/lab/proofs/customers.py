"""The rate limit of each tenant."""

from msgspec.structs import replace

from pepperhook.lab.experiment import Variant
from pepperhook.lab.proofs.base import Proof


class NoisyTenantProof(Proof):
    """With a rate limit for each tenant, overload by one costs that tenant and not the others."""

    name = "noisy-customer"
    plants = {
        "limit-off": "the rate limit is not enabled",
        "one-bucket": "all tenants share one token bucket",
        "loud-unlimited": "the limit of the loud tenant is never reached",
    }

    def run(self):
        """Play one run without a limit and one with it."""
        scenario = (
            self.scenario
            if self.full
            else replace(
                self.scenario,
                seconds=15.0,
                load=[
                    replace(
                        row,
                        start_s=row.start_s / 2,
                        duration_s=row.duration_s and row.duration_s / 2,
                    )
                    for row in self.scenario.load
                ],
            )
        )
        operator = {"customers": {"of": "fleet", "default": {"per_second": 80.0, "burst": 80.0}}}
        if self.plant == "loud-unlimited":
            operator["customers"]["each"] = {"loud": {"per_second": 1e6}}
        if self.plant == "limit-off":
            operator = {}
        if self.plant == "one-bucket":
            operator = {"customers": {"unknown": {"per_second": 80.0, "burst": 80.0}}}
        limited = Variant(name="limited", operator=operator)
        if self.plant == "one-bucket":
            # The settings name no tenant, so all use the one bucket of unknown tenants.
            limited = replace(limited, settings={"orgs": []})
        self.run_count = 2
        unlimited_result = self.play(scenario, Variant(name="unlimited"), "unlimited")
        limited_result = self.play(scenario, limited, "limited")
        quiet = [tenant.name for tenant in scenario.tenants if tenant.name != "loud"]
        during = {
            name: self.goodput_during_rush(scenario, result)
            for name, result in (("unlimited", unlimited_result), ("limited", limited_result))
        }
        worst_unlimited, worst_limited = (
            min(result["figures"]["goodput_by_customer"][name] for name in quiet)
            for result in (unlimited_result, limited_result)
        )
        findings = [
            finding["name"]
            for result in (unlimited_result, limited_result)
            for finding in result["findings"]
        ]
        # The tenant ``loud`` overloads the fleet during the rush; all others are quiet. With the
        # limit a quiet tenant loses at most 5%; without it, more than 10% and at least twice as
        # much as with it.
        holds = (
            not findings
            and worst_limited >= 0.95
            and worst_unlimited <= 1 - 2 * (1 - worst_limited)
            and worst_unlimited < 0.9
        )
        return holds, {
            "worst_quiet_unlimited": worst_unlimited,
            "worst_quiet_limited": worst_limited,
            "during_the_rush": during,
            "by_customer_unlimited": unlimited_result["figures"]["goodput_by_customer"],
            "by_customer_limited": limited_result["figures"]["goodput_by_customer"],
            "shed_limited": limited_result["figures"]["shed"],
            "rules_broken": findings,
        }

    @staticmethod
    def goodput_during_rush(scenario, result):
        """Return the share of the possible earnings during the last load row, the rush."""
        rush, seconds = scenario.load[-1], result["seconds"]
        rush_seconds = range(int(rush.start_s), int(rush.start_s + rush.duration_s))
        return round(
            sum(seconds["earned"][second] for second in rush_seconds)
            / max(1, sum(seconds["possible"][second] for second in rush_seconds)),
            4,
        )
