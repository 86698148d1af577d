"""The lab's commands for acceptance scenarios and experiments, and the demo.

The lab's commands in ``lab_measurements`` and ``lab_soak`` are added at the end of this module. The
lab itself is imported only by the commands that need it.
"""

import os
from collections.abc import Collection, Iterable
from pathlib import Path
from typing import Any

import click

from pepperhook import tomlfile
from pepperhook.cli import lab_measurements, lab_soak
from pepperhook.cli.lab_support import reporting_failed_run, reporting_void_run, require_lab
from pepperhook.cli.options import JSON_OPTION
from pepperhook.cli.output import ExitCode, InvalidInputError, exit_with, print_json
from pepperhook.cli.progress import show_progress

RESULTS_FOLDER = Path("found")
FOLDER_ARGUMENT = click.argument("folder", type=click.Path(exists=True, file_okay=False))


@click.group()
def lab() -> None:
    """Test a balancer under load and faults.

    All commands use stand-in clients, upstreams and networks on this machine's loopback. They
    need the packages of requirements-lab.txt.
    """


@lab.command()
@click.option("--names", is_flag=True, help="Print only the names, one per line.")
@JSON_OPTION
def proofs(names: bool, as_json: bool) -> None:
    """List the acceptance scenarios.

    Each is listed with the faults that can be injected into it.
    """
    require_lab()
    from pepperhook.lab.proofs import PROOFS

    if as_json:
        print_json(
            {
                name: {"about": scenario.__doc__, "plants": scenario.plants}
                for name, scenario in PROOFS.items()
            }
        )
        return
    for name, scenario in PROOFS.items():
        if names:
            click.echo(name)
            continue
        click.echo(f"{name}: {scenario.__doc__}")
        for fault, effect in scenario.plants.items():
            click.echo(f"    --plant {fault}: {effect}")


@lab.command()
@click.argument("name")
@click.option(
    "--quick/--full",
    "quick",
    default=True,
    help="Run a short form that takes under 45 seconds (the default), or the full size.",
)
@click.option(
    "--plant", metavar="FAULT", help="Inject a fault, with which the scenario must not hold."
)
@click.option("--seed", type=int, help="The random seed. Default: the scenario's.")
@click.option(
    "--write",
    "folder",
    type=click.Path(file_okay=False, path_type=Path),
    metavar="FOLDER",
    help="Write the report page of a measurement there; not all scenarios have one.",
)
def prove(name: str, quick: bool, plant: str | None, seed: int | None, folder: Path | None) -> None:
    """Run the acceptance scenario NAME.

    Exit code 0 if it holds, 1 if it does not, 2 if it could not run. The last line on standard
    output is the result as JSON.
    """
    require_lab()
    scenario_class = _scenario_class(name, plant)
    try:
        with show_progress() as update, reporting_void_run(name):
            scenario = scenario_class(not quick, plant, seed, update)
            if folder is not None and scenario.write is None:
                raise InvalidInputError(f"{name}: is no measurement, there is nothing to write")
            result = scenario.prove()
            if folder is not None:
                folder.mkdir(parents=True, exist_ok=True)
                scenario.write(folder, result)
    except KeyboardInterrupt as error:
        raise InvalidInputError(f"{name}: interrupted") from error
    print_json(result)
    exit_with(ExitCode.SUCCESS if result["holds"] else ExitCode.FAILURE)


def _scenario_class(name: str, fault: str | None) -> Any:
    """Return the class of a scenario. Raises InvalidInputError for an unknown name or fault."""
    from pepperhook.lab.proofs import PROOFS

    if name not in PROOFS:
        raise InvalidInputError(f"no scenario has the name {name!r}; there are {', '.join(PROOFS)}")
    faults = PROOFS[name].plants
    if fault is not None and fault not in faults:
        known = ", ".join(faults)
        raise InvalidInputError(f"{name}: no fault has the name {fault!r}; there are {known}")
    return PROOFS[name]


@lab.command()
@click.argument("file", type=click.Path())
@click.option("--out", type=click.Path(), help="Folder for the results. Default: found/NAME.")
@click.option("--seed", type=int, help="The first seed. Default: the experiment's.")
@click.option(
    "--repeats",
    type=click.IntRange(1, 200),
    help="How many seeds to run. Default: the experiment's.",
)
@click.option("--only", metavar="VARIANT", multiple=True, help="Run only this variant; repeatable.")
@JSON_OPTION
def run(
    file: str,
    out: str | None,
    seed: int | None,
    repeats: int | None,
    only: tuple[str, ...],
    as_json: bool,
) -> None:
    """Run an experiment, and write a report.

    Runs each variant with each seed, one after another. Ctrl-C ends it; the report then covers the
    completed runs. Exit code 1 if a run broke a rule.
    """
    require_lab()
    from pepperhook.lab import matrix

    experiment = _read_experiment(file)
    _check_variants(file, only, [variant.name for variant in experiment.variants])
    folder = Path(out) if out else RESULTS_FOLDER / experiment.name
    first_seed = experiment.seed if seed is None else seed
    count = repeats or experiment.repeats
    with reporting_failed_run(file), show_progress(as_json) as update:
        results = matrix.play(experiment, folder, first_seed, count, only, update)
    if not results:
        raise InvalidInputError(f"{file}: no run was completed")
    summary = _write_report(experiment, results, folder, as_json)
    broke_a_rule = any(row["findings"] for row in summary["variants"])
    exit_with(ExitCode.FAILURE if broke_a_rule else ExitCode.SUCCESS)


def _read_experiment(path: str) -> Any:
    from pepperhook.lab import experiment

    try:
        return experiment.read(path)
    except tomlfile.TomlFileError as error:
        raise InvalidInputError(str(error)) from error


def _check_variants(file: str, names: Iterable[str], known: Collection[str]) -> None:
    """Raise InvalidInputError if a variant is unknown."""
    for name in names:
        if name not in known:
            raise InvalidInputError(f"{file}: no variant has the name {name!r}")


def _write_report(experiment: Any, results: Any, folder: Path, as_json: bool) -> Any:
    """Write and print the report of an experiment; return its summary."""
    from pepperhook.lab import matrix, report

    summary = matrix.summary(experiment, results)
    report.write(folder, experiment, results, summary)
    if as_json:
        print_json(summary)
    else:
        click.echo(report.markdown(experiment, summary))
        click.echo(f"report: {folder}/report.html")
    return summary


@lab.command()
@FOLDER_ARGUMENT
@JSON_OPTION
def report(folder: str, as_json: bool) -> None:
    """Write the report of an experiment again.

    FOLDER has the results of `lab run`. The report is written there as HTML, Markdown and JSON.
    """
    require_lab()
    from pepperhook.lab import matrix
    from pepperhook.lab import report as reports

    experiment, results = _read_results(folder)
    summary = matrix.summary(experiment, results)
    reports.write(Path(folder), experiment, results, summary)
    if as_json:
        print_json(summary)
    else:
        click.echo(f"report: {folder}/report.html")


@lab.command()
@FOLDER_ARGUMENT
@click.argument("base")
@click.argument("other")
@JSON_OPTION
def compare(folder: str, base: str, other: str, as_json: bool) -> None:
    """Compare two variants of an experiment.

    FOLDER has the results of `lab run`; BASE and OTHER are variants. Prints each figure of both,
    the difference, and its 95% confidence interval.
    """
    require_lab()
    from pepperhook.lab import matrix

    _, results = _read_results(folder)
    names = {result["variant"] for result in results}
    for name in (base, other):
        if name not in names:
            known = ", ".join(sorted(names))
            raise InvalidInputError(
                f"{folder}: no variant has the name {name!r}; there are {known}"
            )
    comparison = matrix.compare(results, base, other)
    if as_json:
        print_json(comparison)
        return
    for key, row in comparison["figures"].items():
        click.echo(
            f"{key:24} {_figure(row['base']):>9} {_figure(row['other']):>9}  "
            f"{row['difference']:+.4f} [{row['low']:+.4f}, {row['high']:+.4f}]"
        )


def _figure(value: float | None) -> str:
    return "-" if value is None else str(value)


def _read_results(folder: str) -> tuple[Any, Any]:
    """Return an experiment and its results. Raises InvalidInputError."""
    from pepperhook.lab import matrix

    try:
        experiment, results = matrix.read(Path(folder))
    except (OSError, ValueError) as error:
        raise InvalidInputError(f"{folder}: {error}") from error
    return experiment, results


@click.command()
@click.option(
    "--seconds",
    type=click.IntRange(10, 600),
    default=60,
    show_default=True,
    help="How long the demo runs.",
)
@click.option(
    "--out",
    type=click.Path(),
    default="found/demo",
    show_default=True,
    help="Folder for the report.",
)
def demo(seconds: int, out: str) -> None:
    """Show balancers under faults, live.

    Runs a small fleet of three tiers on this machine, with a crash, a hang and a burst of load.
    Then writes a report.
    """
    require_lab()
    from pepperhook.lab import demo as live_demo

    with reporting_failed_run("demo"):
        path = live_demo.run(seconds, Path(out))
    click.echo(f"report: {os.path.relpath(path)}")


for _command in (
    lab_measurements.capacity,
    lab_measurements.control_load,
    lab_measurements.speed,
    lab_measurements.trace_cost,
    lab_measurements.trace_size,
    lab_soak.soak,
):
    lab.add_command(_command)
