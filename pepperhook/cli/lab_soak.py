"""The lab's soak test: many random fleets with overlapping faults, restarts and signals."""

import re
from pathlib import Path
from typing import TYPE_CHECKING

import click
import msgspec

from pepperhook.cli.lab_support import require_lab
from pepperhook.cli.options import JSON_OPTION
from pepperhook.cli.output import ExitCode, InvalidInputError, exit_with, print_json

if TYPE_CHECKING:
    from pepperhook.lab.soak.judge import Verdict

MIN_SECONDS, MAX_SECONDS = 8, 3600
MAX_SEEDS = 10_000
SEEDS = re.compile(r"(\d+):(\d+)")


@click.command()
@click.option("--seeds", required=True, metavar="FIRST:COUNT", help="The seeds to run.")
@click.option(
    "--seconds",
    type=click.IntRange(MIN_SECONDS, MAX_SECONDS),
    default=30,
    show_default=True,
    help="Length of each run, without its startup and the idle time at its end.",
)
@click.option(
    "--at-once",
    type=click.IntRange(1, 16),
    default=1,
    show_default=True,
    help="How many seeds to run at a time.",
)
@click.option("--plant", metavar="FAULT", help="Inject a fault, with which the soak must not hold.")
@click.option("--out", type=click.Path(path_type=Path), help="Folder for logs of seeds that fail.")
@JSON_OPTION
def soak(
    seeds: str, seconds: int, at_once: int, plant: str | None, out: Path | None, as_json: bool
) -> None:
    """Test random fleets with overlapping faults.

    The runs also have planned restarts, series of signals, and crowds of idle clients. Checks the
    auditor's four rules, each response, crashes, startups within 10 s, and the resources that
    processes still use after an idle time. Exit code 0 if all seeds hold, 1 if one does not, 2 if
    one is void because the machine had too little CPU time.
    """
    require_lab()
    from pepperhook.lab import defects
    from pepperhook.lab.soak import run

    if plant is not None and plant not in defects.DEFECTS:
        raise InvalidInputError(f"no fault has the name {plant!r}")
    numbers = _parse_seeds(seeds)
    verdicts = []
    for verdict in run.play(numbers, seconds, at_once, out, plant):
        verdicts.append(verdict)
        if not as_json:
            click.echo(_line(verdict, seconds, plant))
    failed = [verdict for verdict in verdicts if not verdict.holds and not verdict.void]
    void = [verdict for verdict in verdicts if verdict.void]
    if as_json:
        print_json([msgspec.to_builtins(verdict) for verdict in verdicts])
    else:
        requests = sum(verdict.requests for verdict in verdicts)
        click.echo(
            f"{len(verdicts)} seeds, {requests} requests: "
            f"{len(verdicts) - len(failed) - len(void)} hold, "
            f"{len(failed)} do not, {len(void)} void"
        )
    exit_with(ExitCode.FAILURE if failed else ExitCode.INVALID_INPUT if void else ExitCode.SUCCESS)


def _parse_seeds(text: str) -> range:
    match = SEEDS.fullmatch(text)
    count = int(match[2]) if match else 0
    if match is None or not 0 < count <= MAX_SEEDS:
        raise InvalidInputError(f"--seeds: FIRST:COUNT is expected, such as 1:50, not {text!r}")
    return range(int(match[1]), int(match[1]) + count)


def _line(verdict: "Verdict", seconds: int, plant: str | None) -> str:
    figures = " ".join(f"{key}={value}" for key, value in verdict.played.items())
    if verdict.excused:  # problems that the auditor excused, with their number
        excused = ", ".join(f"{count} {name}" for name, count in verdict.excused.items())
        figures += f" excused: {excused}"
    if verdict.void:
        return f"seed {verdict.seed}: void: {verdict.void}"
    if verdict.holds:
        return f"seed {verdict.seed}: holds, {verdict.requests} requests, {figures}"
    problems = "; ".join(f"{name}: {examples[0]}" for name, examples in verdict.problems.items())
    command = f"pepperhook lab soak --seeds {verdict.seed}:1 --seconds {seconds}"
    command += f" --plant {plant}" if plant else ""
    return (
        f"seed {verdict.seed}: DOES NOT HOLD: {problems} | again: {command} | "
        f"logs: {verdict.folder}"
    )
