"""Runs the seeds of a soak test, in sequence or several at once."""

import json
import shutil
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from pepperhook.lab.scenario_run import RunError
from pepperhook.lab.soak.draw import draw
from pepperhook.lab.soak.judge import Verdict, judge
from pepperhook.lab.soak.play import SoakScenarioRun

MAX_RUNS = 3  # per seed; a run is repeated if it is void, such as for lack of CPU time


def run_seed(seed: int, seconds: float, folder: Path, defect: str | None = None) -> Verdict:
    """Run one seed; repeat a void run, up to MAX_RUNS in total. Keep the logs of a failed run."""
    verdict = None
    for number in range(MAX_RUNS):
        run_folder = folder / f"{seed}-{number}"
        verdict = _run_once(seed, seconds, run_folder, defect)
        if verdict.holds or verdict.void:
            shutil.rmtree(run_folder, ignore_errors=True)
        if not verdict.void:
            return verdict
    assert verdict is not None
    return verdict


def _run_once(seed: int, seconds: float, run_folder: Path, defect: str | None) -> Verdict:
    run = draw(seed, seconds, defect)
    scenario_run = SoakScenarioRun(run, run_folder)
    try:
        result = scenario_run.play()
    except RunError as error:
        return Verdict(
            seed, False, "", 0, {"could not be played": [str(error)]}, {}, str(run_folder)
        )
    if result["interrupted"]:
        raise KeyboardInterrupt
    verdict = judge(scenario_run, result)
    verdict.folder = str(run_folder)
    (run_folder / "verdict.json").write_text(json.dumps(verdict.problems, indent=1))
    return verdict


def play(
    seeds: range, seconds: float, max_concurrent: int, folder: Path | None, defect: str | None
) -> Iterator[Verdict]:
    """Yield the verdict of each seed, in the order of the seeds.

    At most ``max_concurrent`` seeds run at the same time. Without ``folder``, results go to a
    temporary folder.
    """
    results_folder = folder or Path(tempfile.mkdtemp(prefix="pepperhook-soak-"))
    with ThreadPoolExecutor(max_concurrent) as pool:
        yield from pool.map(lambda seed: run_seed(seed, seconds, results_folder, defect), seeds)
