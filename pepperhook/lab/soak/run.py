"""Plays the seeds of a soak, one after the other or several at once."""

import json
import shutil
import tempfile
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from pepperhook.lab.day import Failed
from pepperhook.lab.soak.draw import draw
from pepperhook.lab.soak.judge import Verdict, judge
from pepperhook.lab.soak.play import SoakDay

TRIES = 3  # of a run in which a process was short of core, which shows nothing
KEPT = "soak"  # below the folder for results

Tell = Callable[[Verdict], None]


def play_seed(seed: int, seconds: float, folder: Path, plant: str | None = None) -> Verdict:
    """Play one seed, again while it is void. Its logs are kept where it does not hold."""
    verdict = None
    for turn in range(TRIES):
        place = folder / f"{seed}-{turn}"
        verdict = _play_once(seed, seconds, place, plant)
        if verdict.holds or verdict.void:
            shutil.rmtree(place, ignore_errors=True)
        if not verdict.void:
            return verdict
    assert verdict is not None
    return verdict


def _play_once(seed: int, seconds: float, place: Path, plant: str | None) -> Verdict:
    run = draw(seed, seconds, plant)
    day = SoakDay(run, place)
    try:
        result = day.play()
    except Failed as error:
        return Verdict(seed, False, "", 0, {"could not be played": [str(error)]}, {}, str(place))
    if result["interrupted"]:
        raise KeyboardInterrupt
    verdict = judge(day, result)
    verdict.folder = str(place)
    (place / "verdict.json").write_text(json.dumps(verdict.problems, indent=1))
    return verdict


def play(
    seeds: range, seconds: float, at_once: int, folder: Path | None, plant: str | None
) -> Iterator[Verdict]:
    """Yield the verdict of each seed, in their order."""
    where = folder or Path(tempfile.mkdtemp(prefix="pepperhook-soak-"))
    with ThreadPoolExecutor(at_once) as pool:
        yield from pool.map(lambda seed: play_seed(seed, seconds, where, plant), seeds)
