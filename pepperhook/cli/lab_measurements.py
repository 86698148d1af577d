"""The lab's commands that measure one component: the balancer, the control service, traces."""

import statistics
import tempfile
from pathlib import Path

import click

from pepperhook.cli.lab_support import reporting_void_run, require_lab
from pepperhook.cli.options import JSON_OPTION
from pepperhook.cli.output import (
    CommandFailedError,
    InvalidInputError,
    print_fields,
    print_json,
    reporting_file_errors,
)
from pepperhook.cli.progress import show_progress

MAX_MEMBERS = 4000
SEED_OPTION = click.option(
    "--seed", type=int, default=1, show_default=True, help="The random seed."
)


@click.command()
@click.option(
    "--rate",
    type=click.IntRange(1),
    default=10000,
    show_default=True,
    help="Requests per second to send.",
)
@click.option(
    "--seconds",
    type=click.IntRange(1, 60),
    default=5,
    show_default=True,
    help="How long to send.",
)
@JSON_OPTION
def capacity(rate: int, seconds: int, as_json: bool) -> None:
    """Measure what one load generator can send.

    Sends to a server that does no work. No measurement of the lab can exceed this rate.
    """
    require_lab()
    from pepperhook.lab import load_generator_limit

    result = load_generator_limit.measure(rate, seconds)
    if as_json:
        print_json(result)
    else:
        print_fields(result)


@click.command()
@click.option(
    "--rounds",
    type=click.IntRange(1, 50),
    default=3,
    show_default=True,
    help="How many times to run all four combinations of protocols.",
)
@click.option(
    "--seconds",
    type=click.IntRange(2, 60),
    default=6,
    show_default=True,
    help="Length of each run; a combination takes two runs.",
)
@SEED_OPTION
@JSON_OPTION
def speed(rounds: int, seconds: int, seed: int, as_json: bool) -> None:
    """Measure requests per second of one core.

    Compares HTTP/1.1 and HTTP/2 on both sides of a balancer, one combination after another.
    """
    require_lab()
    from pepperhook.lab import throughput

    with (
        tempfile.TemporaryDirectory(prefix="pepperhook-speed-") as folder,
        reporting_void_run("speed"),
        show_progress(as_json) as update,
    ):
        result = throughput.measure(rounds, seconds, seed, Path(folder), update)
    if as_json:
        print_json(result)
        return
    for name, row in result["pairings"].items():
        ratio = statistics.median(row["core_ms_ratios"])
        click.echo(
            f"{name}: {row['a_core_per_s']:.0f} operations a second a core; "
            f"at half of a core p50 {row['half_p50_ms']:.2f} ms, p99 {row['half_p99_ms']:.2f} ms; "
            f"core {row['core_ms']:.3f} ms an operation, {ratio:.2f} of 1-1"
        )


@click.command(name="control-load")
@click.option(
    "--members",
    default="20,100,1000",
    show_default=True,
    metavar="N,N,...",
    help="Numbers of members to measure with, one after another.",
)
@click.option(
    "--port",
    type=click.IntRange(1, 65535),
    default=7499,
    show_default=True,
    help="Port of the service on loopback.",
)
@JSON_OPTION
def control_load(members: str, port: int, as_json: bool) -> None:
    """Measure a control service with many members.

    Measures it while all members join at once, while they get a new version, and while idle.
    """
    require_lab()
    from pepperhook.lab import control_benchmark

    counts = _parse_member_counts(members)
    with tempfile.TemporaryDirectory(prefix="pepperhook-control-") as folder:
        try:
            with show_progress(as_json) as update:
                rows = control_benchmark.measure(counts, folder, port, update)
        except (OSError, control_benchmark.MeasurementError) as error:
            raise CommandFailedError(f"control-load: {error}") from error
    if as_json:
        print_json(rows)
        return
    for row in rows:
        click.echo(", ".join(f"{key} {value}" for key, value in row.items()))


def _parse_member_counts(text: str) -> list[int]:
    """Parse a list of numbers separated by commas. Raises InvalidInputError."""
    parts = [part.strip() for part in text.split(",")]
    counts = [int(part) if part.isdecimal() else 0 for part in parts]
    if not all(0 < count <= MAX_MEMBERS for count in counts):
        raise InvalidInputError(
            f"--members: numbers from 1 to {MAX_MEMBERS} are expected, not {text!r}"
        )
    return counts


@click.command(name="trace-cost")
@click.argument("capture", type=click.Path())
@click.option("--revision", help="Also measure the policy of this Git revision.")
@click.option(
    "--rounds",
    default=7,
    type=click.IntRange(1, 100),
    show_default=True,
    help="How many times to replay the capture in each mode.",
)
@JSON_OPTION
def trace_cost(capture: str, revision: str | None, rounds: int, as_json: bool) -> None:
    """Measure what tracing costs the policy.

    Replays the calls of CAPTURE without traces, with a sample, and with traces of all requests.
    """
    from pepperhook.lab import tracecost

    with reporting_file_errors(), show_progress(as_json) as update:
        result = tracecost.measure(capture, revision, rounds, update)
    if as_json:
        print_json(result)
        return
    click.echo(
        f"{result['operations']} operations, {result['rounds']} rounds, "
        "microseconds of the processor an operation"
    )
    for name, row in result["us_an_operation"].items():
        click.echo(f"    {name}: least {row['least']}, median {row['median']}")


@click.command(name="trace-size")
@click.option(
    "--mb",
    "megabytes",
    type=click.FloatRange(0.1, 10_000),
    default=1000.0,
    show_default=True,
    help="Size in megabytes of the trace to generate.",
)
@SEED_OPTION
@JSON_OPTION
def trace_size(megabytes: float, seed: int, as_json: bool) -> None:
    """Measure time and memory of a trace summary.

    Generates a large trace first, and then summarizes it.
    """
    require_lab()
    from pepperhook.lab import trace_summary_benchmark

    with tempfile.TemporaryDirectory(prefix="pepperhook-trace-") as folder:
        try:
            with show_progress(as_json) as update:
                result = trace_summary_benchmark.measure(megabytes, seed, folder, update)
        except (OSError, RuntimeError) as error:
            raise CommandFailedError(f"trace-size: {error}") from error
    if as_json:
        print_json(result)
    else:
        print_fields(result)
