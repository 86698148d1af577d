"""The auditor: it must report the broken rule of each faulty balancer."""

from msgspec.structs import replace

from pepperhook.lab import defects, faulty_balancers
from pepperhook.lab.experiment import Variant
from pepperhook.lab.proofs.base import Proof


class AuditorProof(Proof):
    """The auditor reports the rule that each faulty balancer breaks, and finds nothing in a run of
    a correct one whose faults give occasion to break each rule."""

    name = "auditor"
    plants = {
        "deaf": "the auditor misses what a balancer sends after a response",
        "patient": "the auditor accepts late responses",
        "trusting": "the auditor does not check that an upstream made the response",
        "crooked": "the correct balancer loses responses",
        "repeats-all": "the policy retries whatever failed, unsafe requests too",
        "lost-never-ran": "the policy treats a request whose response was lost as never executed",
        "window-forgotten": "the policy retries a keyed request after its window",
        "group-forgotten": "the policy retries a keyed request outside its group",
        "sheds-all": "the policy rejects requests that may have been executed",
        "drains-unheeded": "the policy treats a draining upstream as ready",
    }
    # The findings that the auditor with this defect does not report.
    IGNORED_FINDINGS = {
        "deaf": ("answered twice",),
        "patient": ("late",),
        "trusting": ("invented",),
    }

    def run(self):
        """Play one run of pepperhook and one of each faulty balancer."""
        ignored_findings = self.IGNORED_FINDINGS.get(self.plant, ())
        long_scenario = replace(self.scenario, seconds=60.0 if self.full else self.scenario.seconds)
        policy_defect = self.plant if self.plant in defects.DEFECTS else None
        correct_variant = Variant(
            name="pepperhook",
            faulty_balancer="loses" if self.plant == "crooked" else None,
            defect=policy_defect,
        )
        runs = [(long_scenario, correct_variant, "pepperhook", {})]
        # The faulty balancers do not run the policy: its defects can show only in the first run.
        for fault in () if policy_defect else faulty_balancers.FINDINGS_BY_FAULT:
            runs.append(
                (
                    self.scenario,
                    Variant(name=fault, faulty_balancer=fault),
                    fault,
                    {"ignored_findings": ignored_findings},
                )
            )
        results = self.play_concurrently(runs, 4)
        findings = {
            name: {finding["name"]: finding["count"] for finding in result["findings"]}
            for name, result in results.items()
        }
        missed = [
            fault
            for fault, finding in faulty_balancers.FINDINGS_BY_FAULT.items()
            if not policy_defect and finding and finding not in findings[fault]
        ]
        is_clean = not findings["pepperhook"] and not findings.get("honest")
        return is_clean and not missed, {
            "days": len(results),
            "missed": missed,
            "found": findings,
            "honest_seconds": long_scenario.seconds,
            "honest_wishes": results["pepperhook"]["figures"]["wishes"],
            "honest_goodput": results["pepperhook"]["figures"]["goodput"],
        }
