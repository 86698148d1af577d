"""Captures of the policy's calls replay exactly in another process."""

import json
import os
import random
import shutil
import subprocess
import sys
from pathlib import Path

from msgspec.structs import replace

from pepperhook.lab import experiment
from pepperhook.lab.experiment import Variant
from pepperhook.lab.proofs.base import Proof
from pepperhook.lab.scenario_run import ROOT, RunError

# Runs the command line interface, with the defect of `pepperhook.lab.defects` that the first
# argument names, if any.
CLI_WITH_DEFECT = """
import sys
from pepperhook.lab import defects
if sys.argv[1]:
    defects.DEFECTS[sys.argv[1]]()
from pepperhook.cli import main
main(sys.argv[2:])
"""


class ReplayProof(Proof):
    """Captures of all balancers replay identically in other processes, and a changed constant is
    reported at its first effect."""

    name = "replay"
    plants = {
        "clock-read": "the policy reads a clock",
        "set-order": "the policy iterates over its subset in the order of a set",
        "checksum-skipped": "a reader accepts blocks whose checksum does not match",
    }
    MIN_SPEED = 20  # times real time
    seconds = None  # of a run; None: those of the quick or the full size
    MAX_STORED_KB = 300  # the size limit of a capture in the repository
    # Replaced constants of the policy: module, text before, text after.
    CHANGES = (
        ("admission", "MAX_QUEUE_TIME = 0.2 ", "MAX_QUEUE_TIME = 0.05 "),
        (
            "outlier",
            "MAX_SPEED, FAILURE_PENALTY = 2.0, ",
            "MAX_SPEED, FAILURE_PENALTY = 1.2, ",
        ),
    )

    def scenarios(self):
        """Return the scenarios by name."""
        base, seconds = self.scenario, self.seconds or (30.0 if self.full else 9.0)

        def fault(kind, at, duration, **options):
            return experiment.Fault(
                type=kind, start_s=seconds * at, duration_s=seconds * duration, **options
            )

        faults = {
            "troubled": [
                fault("slow", 0.1, 0.3, target_numbers=[0], size=0.1),
                fault("hang", 0.2, 0.3, target_numbers=[1]),
                fault("crash", 0.4, 0.3, target_numbers=[2]),
                fault("discovery_slow", 0.3, 0.4, size=0.4),
                fault("errors", 0.6, 0.2, target_numbers=[3], size=0.5),
                fault("roll_balancers", 0.5, 0.3),
            ]
        }
        if self.full or self.seconds:
            faults["late list"] = [
                fault("discovery_lag", 0.1, 0.7, size=3.0),
                fault("drain", 0.2, 0.3, target_numbers=[0]),
                fault("replaced", 0.3, 0.3, target_numbers=[1]),
                fault("discovery_outage", 0.5, 0.2),
            ]
            # Slow upstreams in the second tier.
            faults["slow below"] = [
                fault("slow", 0.2, 0.5, tier=1, target_fraction=0.5, size=0.1),
                fault("kill_balancer", 0.4, 0.1),
            ]
        return {name: replace(base, seconds=seconds, faults=rows) for name, rows in faults.items()}

    def run(self):
        """Play the scenarios, and replay their captures unchanged and with changes."""
        variant = Variant(
            name="captured",
            defect=self.plant if self.plant != "checksum-skipped" else None,
            operator={"record": {"folder": "{folder}/captures-{tier}-{number}", "segment_s": 3.0}},
        )
        runs = [(scenario, variant, name, {}) for name, scenario in self.scenarios().items()]
        results = self.play_concurrently(runs, 1)
        problems = [
            f"{name}: {finding['name']}"
            for name, result in results.items()
            for finding in result["findings"]
        ]
        files = sorted(self.folder.glob("*/captures-*/*.rec"))
        requests = sum(result["figures"]["wishes"] for result in results.values())
        replays = self.replay(files)
        equal = [row for row in replays if row["difference"] is None and not row["states_differ"]]
        for row in replays:
            if row not in equal:
                difference = row["difference"] or {}
                problems.append(
                    f"{Path(row['file']).name}: differs at call {difference.get('call')}, in stage "
                    f"{difference.get('stage')}; differing states: {row['states_differ']}"
                )
        calls = sum(row["calls"] for row in replays)
        replay_s = sum(row["took_s"] for row in replays)
        seconds = sum(row["seconds"] for row in replays)
        speed = seconds / max(0.001, replay_s)
        if not calls or len(files) < 2 * len(runs):
            problems.append(f"only {len(files)} captures with {calls} calls, too few for a result")
        if speed < self.MIN_SPEED and not self.plant:
            problems.append(f"replayed at only {speed:.1f} times real time")
        differences = {}
        for name, before, after in self.CHANGES if not self.plant else ():
            differences[before.strip()] = self.replay_changed(files, name, before, after)
            if not any(differences[before.strip()]):
                problems.append(
                    f"{before.strip()}: the change made no difference in {len(files)} captures"
                )
        problems += self.check_corrupted(files)
        return not problems, {
            "wrong": problems[:12],
            "files": len(files),
            "calls": calls,
            "seconds": round(seconds, 1),
            "times_real_time": round(speed, 1),
            "bytes_an_operation": round(
                sum(path.stat().st_size for path in files) / max(1, requests)
            ),
            "changed_constant_noticed": {
                key: sum(map(bool, rows)) for key, rows in differences.items()
            },
            "first": next((row for rows in differences.values() for row in rows if row), None),
        }

    def write(self, folder, result):
        """Write the captures that the tests replay: the largest small one of each scenario.

        Each begins with the creation of its policy rather than with a state, so that it can be
        replayed after attributes have been added to the policy.
        """
        recorded_scenario = ReplayProof(False, None, self.seed, self.report_progress)
        recorded_scenario.seconds = 7.0
        recorded_scenario.folder.mkdir(exist_ok=True)
        variant = Variant(
            name="captured",
            operator={
                "record": {"folder": "{folder}/captures-{tier}-{number}", "segment_s": 600.0}
            },
        )
        try:
            for name, scenario in recorded_scenario.scenarios().items():
                loaded = replace(scenario, load=[replace(row, rate=200.0) for row in scenario.load])
                recorded_scenario.play(loaded, variant, name)
                files = [
                    path
                    for path in recorded_scenario.folder.glob(f"{name}-*/captures-*/*.rec")
                    if path.stat().st_size < self.MAX_STORED_KB * 1024
                ]
                largest = max(files, key=lambda path: path.stat().st_size)
                (folder / f"{name.replace(' ', '-')}.rec").write_bytes(largest.read_bytes())
        finally:
            shutil.rmtree(recorded_scenario.folder, ignore_errors=True)

    def replay(self, files, *options):
        """Replay in another process with another hash seed; return the result of each file.

        Raises RunError if the process fails.
        """
        process = subprocess.run(
            [
                sys.executable,
                "-c",
                CLI_WITH_DEFECT,
                self.plant or "",
                "record",
                "replay",
                "--json",
                *options,
                *map(str, files),
            ],
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": "77"},
            capture_output=True,
            text=True,
        )
        if process.returncode not in (0, 1):
            raise RunError(f"replay: {process.stderr.strip().splitlines()[-1:]}")
        return [json.loads(line) for line in process.stdout.splitlines()]

    def replay_changed(self, files, name, before, after):
        """Replay with one text of a policy module replaced; return the difference in each file."""
        folder = self.folder / "policy"
        shutil.rmtree(folder, ignore_errors=True)
        shutil.copytree(ROOT / "pepperhook" / "policy", folder)
        path = folder / f"{name}.py"
        text = path.read_text(encoding="utf-8")
        if before not in text:
            raise RunError(f"{name}.py does not contain {before!r}")
        path.write_text(text.replace(before, after), encoding="utf-8")
        return [
            row["difference"]
            and {key: row["difference"][key] for key in ("call", "name", "about", "stage")}
            for row in self.replay(files, "--policy", str(folder))
        ]

    def check_corrupted(self, files):
        """Flip single bits: a reader must return all intact blocks and no others."""
        from pepperhook.container import ContainerReader
        from pepperhook.lab import defects

        if self.plant == "checksum-skipped":
            defects.DEFECTS[self.plant]()
        rng, problems = random.Random(self.seed), []
        path = self.folder / "corrupted.rec"
        for file in files[:3]:
            content = bytearray(file.read_bytes())
            with ContainerReader(file) as reader:
                written = [(block.offset, block.content) for block in reader.record_blocks()]
                first_offset = written[0][0]
            for _ in range(20):
                position = rng.randrange(first_offset, len(content))
                content[position] ^= 1
                path.write_bytes(content)
                content[position] ^= 1  # undo the flip
                with ContainerReader(path) as reader:
                    blocks = [(block.offset, block.content) for block in reader.record_blocks()]
                if any(block not in written for block in blocks) or len(blocks) < len(written) - 1:
                    problems.append(
                        f"{file.name}: with a bit flipped at byte {position} {len(blocks)} of "
                        f"{len(written)} blocks were read, or a block differs"
                    )
                    break
        return problems
