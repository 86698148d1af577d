"""Proofs: ``pepperhook lab prove NAME``. Each plays days from one seed on real processes over loopback, and holds or not.

A proof lists faults that can be planted; with one of them it must not hold. Verdicts rest on counts and ratios.
"""

import os
import shutil
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from pepperhook.lab import experiment
from pepperhook.lab.day import ROOT, Day, Failed


def why(result):
    if result["load"].get("void"):
        return "the load was late"
    return "{who} waited {worst_ms} ms for a core, and {stolen:.0%} of the machine's time was taken, within a second".format(
        **result["core_wait"]
    )


class Proof:
    """``name``, ``about``, ``plants`` (fault: what it breaks) and ``run``."""

    name: str
    plants: dict[str, str] = {}
    run: Callable[[], tuple[bool, dict[str, Any]]]  # whether it holds, and its figures
    write = None  # where a proof is a measurement, too: write(folder, told)

    def __init__(
        self, full: bool, plant: str | None, seed: int | None, tell: Callable[[str, float], None]
    ) -> None:
        self.full, self.plant, self.tell = full, plant, tell
        self.day = self.told()
        self.seed = self.day.seed if seed is None else seed
        self.folder, self.parts, self.done = (
            Path(tempfile.mkdtemp(prefix=f"pepperhook-{self.name}-")),
            1,
            0,
        )

    def told(self) -> experiment.Experiment:
        """The day that it is about, or the first of them."""
        return experiment.read(ROOT / "proofs" / f"{self.name}.toml")

    TRIES = 3  # of a day on which the load or a balancer was short of core, which shows nothing

    def play(
        self,
        day: experiment.Experiment,
        variant: experiment.Variant,
        name: str,
        seed: int | None = None,
        **more: Any,
    ) -> dict[str, Any]:
        """One day, again while it is void. Raises Failed where no try is to be believed."""
        for turn in range(self.TRIES):
            result = self.once(day, variant, f"{name}-{turn}", seed, **more)
            if not result["void"]:
                return self.believed(name, result)
        raise Failed(f"{name}: void {self.TRIES} times ({why(result)}); this machine is too busy")

    def once(
        self,
        day: experiment.Experiment,
        variant: experiment.Variant,
        name: str,
        seed: int | None = None,
        **more: Any,
    ) -> dict[str, Any]:
        result = Day(
            day, variant, self.seed if seed is None else seed, self.folder / name, **more
        ).play()
        if result["interrupted"]:
            raise KeyboardInterrupt
        return result

    def believed(self, name, result):
        self.done += 1
        self.tell(name, self.done / self.parts)
        return result

    def side_by_side(self, rows, at_once):
        """Days that weigh little, several at once: rows of (day, variant, name, more). Those that were short of core are played
        again behind the others, each alone."""
        self.parts, results = len(rows), {}
        with ThreadPoolExecutor(at_once) as pool:
            waiting = [
                pool.submit(self.once, day, variant, name, **more)
                for day, variant, name, more in rows
            ]
            for (_, _, name, _), one in zip(rows, waiting):
                results[name] = one.result()
                if not results[name]["void"]:
                    self.believed(name, results[name])
        for day, variant, name, more in rows:
            if results[name]["void"]:
                results[name] = self.play(day, variant, f"{name}-alone", **more)
        return results

    def prove(self):
        begun = time.monotonic()
        try:
            holds, figures = self.run()
        finally:
            if os.environ.get("PEPPERHOOK_KEEP"):
                self.tell(f"kept in {self.folder}", 1.0)
            else:
                shutil.rmtree(self.folder, ignore_errors=True)
        told = {
            "proof": self.name,
            "holds": bool(holds),
            "figures": figures,
            "seed": self.seed,
            "seconds": round(time.monotonic() - begun, 1),
        }
        return {**told, "planted": self.plant} if self.plant else told
