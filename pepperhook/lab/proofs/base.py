"""The base of acceptance scenarios: ``pepperhook lab prove NAME``.

A scenario plays one or more runs with real processes over loopback, all from one seed, and holds if
all of its checks pass. It lists defects that can be injected; with one of them it must not hold.
Checks rest on counts and ratios.
"""

import os
import re
import shutil
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from pepperhook.lab import experiment
from pepperhook.lab.scenario_run import ROOT, RunError, ScenarioRun

# Errors of a defect that names what does not exist, as the balancer logs them.
PROGRAMMING_ERROR = re.compile(
    r"event=\w+_fault .*\b(AttributeError|ImportError|NameError|TypeError)\b"
)


def void_reason(result):
    """Return why a run is void."""
    if result["load"].get("void"):
        return "the load generator was late"
    return (
        "{who} waited {worst_ms} ms for a core, and {stolen:.0%} of the machine's time was stolen, "
        "within a second"
    ).format(**result["core_wait"])


def find_programming_error(folder: Path) -> str | None:
    """Return the first log line of a balancer with an error that only wrong code raises."""
    for path in sorted(folder.glob("balancer-*.log")):
        with path.open(encoding="utf-8", errors="replace") as lines:
            for line in lines:
                if PROGRAMMING_ERROR.search(line):
                    return line.strip()
    return None


class Proof:
    """An acceptance scenario: a subclass has ``name``, ``plants`` and ``run``.

    ``pepperhook lab proofs`` prints the docstring of a subclass as its description.
    """

    name: str
    plants: dict[str, str] = {}  # injected defect: what it breaks
    run: Callable[[], tuple[bool, dict[str, Any]]]  # returns whether it holds, and its figures
    write = None  # optional write(folder, result): writes the page of a measurement

    def __init__(
        self,
        full: bool,
        plant: str | None,
        seed: int | None,
        report_progress: Callable[[str, float], None],
    ) -> None:
        self.full, self.plant, self.report_progress = full, plant, report_progress
        self.scenario = self.read_scenario()
        self.seed = self.scenario.seed if seed is None else seed
        self.folder, self.run_count, self.runs_done = (
            Path(tempfile.mkdtemp(prefix=f"pepperhook-{self.name}-")),
            1,
            0,
        )

    def read_scenario(self) -> experiment.Experiment:
        """Return the experiment that is played, or the first of several."""
        return experiment.read(ROOT / "proofs" / f"{self.name}.toml")

    last_folder: Path  # with the event rows of the run that was played last
    MAX_PLAYS = 3  # of one run, until one is not void: a void run shows nothing

    def play(
        self,
        scenario: experiment.Experiment,
        variant: experiment.Variant,
        name: str,
        seed: int | None = None,
        **options: Any,
    ) -> dict[str, Any]:
        """Play a run, again while it is void.

        A run is void if the load generator or a balancer had too little CPU time. Raises RunError
        if all ``MAX_PLAYS`` runs are void.
        """
        for play in range(self.MAX_PLAYS):
            result = self.play_once(scenario, variant, f"{name}-{play}", seed, **options)
            if not result["void"]:
                return self.accept_result(name, result)
        raise RunError(
            f"{name}: void {self.MAX_PLAYS} times ({void_reason(result)}); this machine is too busy"
        )

    def play_once(
        self,
        scenario: experiment.Experiment,
        variant: experiment.Variant,
        name: str,
        seed: int | None = None,
        **options: Any,
    ) -> dict[str, Any]:
        """Play one run and return its result, void or not.

        Raises RunError if an injected defect failed itself, which shows nothing about the checks.
        """
        folder = self.last_folder = self.folder / name
        result = ScenarioRun(
            scenario, variant, self.seed if seed is None else seed, folder, **options
        ).play()
        if result["interrupted"]:
            raise KeyboardInterrupt
        if variant.defect and (error := find_programming_error(folder)):
            raise RunError(f"the injected defect {variant.defect} failed itself: {error}")
        return result

    def accept_result(self, name, result):
        """Report the progress after a run that is not void, and return its result."""
        self.runs_done += 1
        self.report_progress(name, self.runs_done / self.run_count)
        return result

    def play_concurrently(self, runs, max_concurrent):
        """Play runs that use little CPU time, up to ``max_concurrent`` at the same time.

        ``runs`` has tuples of (scenario, variant, name, options). Returns the results by name. Void
        runs are repeated after the others, each alone.
        """
        self.run_count, results = len(runs), {}
        with ThreadPoolExecutor(max_concurrent) as pool:
            futures = [
                pool.submit(self.play_once, scenario, variant, name, **options)
                for scenario, variant, name, options in runs
            ]
            for (_, _, name, _), future in zip(runs, futures):
                results[name] = future.result()
                if not results[name]["void"]:
                    self.accept_result(name, results[name])
        for scenario, variant, name, options in runs:
            if results[name]["void"]:
                results[name] = self.play(scenario, variant, f"{name}-alone", **options)
        return results

    def prove(self):
        """Run the scenario and return its result as JSON-compatible values.

        Deletes the folder of its runs, unless the environment variable PEPPERHOOK_KEEP is set.
        """
        started_at = time.monotonic()
        try:
            holds, figures = self.run()
        finally:
            if os.environ.get("PEPPERHOOK_KEEP"):
                self.report_progress(f"the files of the runs are in {self.folder}", 1.0)
            else:
                shutil.rmtree(self.folder, ignore_errors=True)
        result = {
            "proof": self.name,
            "holds": bool(holds),
            "figures": figures,
            "seed": self.seed,
            "seconds": round(time.monotonic() - started_at, 1),
        }
        return {**result, "planted": self.plant} if self.plant else result
