"""``.ci/scenarios`` runs every scenario, and repeats what could still change its exit code."""

import os
import shutil
import subprocess
from pathlib import Path

import pytest

SCRIPT = Path(__file__).resolve().parents[1] / ".ci" / "scenarios"
HOLDS, FAILS, INCONCLUSIVE = 0, 1, 2

# Exits with the next code of the scenario; the last code stays.
LAB = """#!/bin/bash
if [ "$2" = proofs ]; then ls codes; exit; fi
echo "$3" >>runs
read -r code rest <"codes/$3"
[ -n "$rest" ] && echo "$rest" >"codes/$3"
exit "$code"
"""
KNOWN_RED = """#!/bin/bash
grep -qx "$4" listed || exit 1
echo "known red: scenario $4"
"""


class Checkout:
    """A directory with the script, in which the lab and the list are stand-ins."""

    def __init__(self, root, codes, listed):
        self.root = root
        (root / ".ci").mkdir()
        shutil.copy(SCRIPT, root / ".ci")
        (root / "codes").mkdir()
        for name, of_scenario in codes.items():
            (root / "codes" / name).write_text(" ".join(map(str, of_scenario)) + "\n")
        (root / "listed").write_text("".join(f"{name}\n" for name in listed))
        self.write_program(".venv/bin/pepperhook", LAB)
        self.write_program(".venv/bin/python", KNOWN_RED)
        self.write_program("programs/sleep", "#!/bin/bash\n")

    def write_program(self, name, text):
        path = self.root / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
        path.chmod(0o755)

    def run(self):
        """Run the script; return its exit code, its output, and the scenarios in their order."""
        search_path = f"{self.root / 'programs'}:{os.environ['PATH']}"
        done = subprocess.run(
            [self.root / ".ci" / "scenarios"],
            env={"PATH": search_path},
            capture_output=True,
            text=True,
            timeout=30,
        )
        return done.returncode, done.stdout, (self.root / "runs").read_text().split()


@pytest.mark.parametrize("result", [FAILS, INCONCLUSIVE])
def test_listed_scenario_is_printed_and_not_repeated_whatever_its_result(tmp_path, result):
    # A machine that was too busy for listed scenarios alone kept CI going until its time was over.
    checkout = Checkout(tmp_path, {"chain": [result], "h2": [HOLDS]}, ["chain"])

    code, output, runs = checkout.run()

    assert (code, runs) == (0, ["chain", "h2"])
    assert "known red: scenario chain" in output


def test_scenario_that_is_not_listed_is_repeated_until_it_has_a_result(tmp_path):
    codes = {"chain": [INCONCLUSIVE], "h2": [INCONCLUSIVE, INCONCLUSIVE, HOLDS]}

    code, _, runs = Checkout(tmp_path, codes, ["chain"]).run()

    assert (code, runs) == (0, ["chain", "h2", "h2", "h2"])


@pytest.mark.parametrize("codes", [[FAILS], [INCONCLUSIVE, FAILS], [INCONCLUSIVE]])
def test_scenario_that_is_not_listed_fails_the_run_unless_it_holds(tmp_path, codes):
    code, output, _ = Checkout(tmp_path, {"chain": [HOLDS], "h2": codes}, ["chain"]).run()

    assert code == 1
    assert "h2" in output
