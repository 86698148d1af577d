"""The commands for captures: show their contents, replay them, make a balancer save them."""

import os
import signal
import time
from pathlib import Path
from typing import Any

import click

from pepperhook.cli.options import FILES_ARGUMENT, JSON_OPTION
from pepperhook.cli.output import (
    CommandFailedError,
    ExitCode,
    InvalidInputError,
    exit_with,
    print_json,
    print_pairs,
    reporting_file_errors,
)

MIN_PID = 2
HEXADECIMAL = 16


@click.group()
def record() -> None:
    """Inspect and replay captures.

    A capture contains the calls to the policy of a balancer, with their results.
    """


@record.command()
@FILES_ARGUMENT
@JSON_OPTION
def info(files: tuple[str, ...], as_json: bool) -> None:
    """Show what captures contain.

    For each file: the balancer, the time, the number of records, and what was lost.
    """
    for path in files:
        with reporting_file_errors():
            description = _describe(path)
        if as_json:
            print_json(description)
        else:
            print_pairs(description)


def _describe(path: str) -> dict[str, Any]:
    """Return a description of a file. Raises UnreadableFileError."""
    import msgspec

    from pepperhook.container import BlockType, ContainerReader

    with ContainerReader(path) as reader:
        is_indexed = reader.index() is not None
        blocks = [(block.block_type, len(block.content)) for block in reader.blocks()]
        return {
            "file": str(path),
            **msgspec.to_builtins(reader.metadata),
            "blocks": sum(block_type == BlockType.RECORDS for block_type, _ in blocks),
            "bytes": reader.size,
            "raw_bytes": sum(size for _, size in blocks),
            "indexed": is_indexed,
            "lost": msgspec.to_builtins(reader.skipped),
        }


@record.command()
@FILES_ARGUMENT
@click.option(
    "--policy",
    type=click.Path(exists=True, file_okay=False),
    help="Replay with this changed copy of the package pepperhook/policy.",
)
@click.option("--revision", help="Replay with the policy of this Git revision.")
@JSON_OPTION
def replay(files: tuple[str, ...], policy: str | None, revision: str | None, as_json: bool) -> None:
    """Replay captures, and compare the results.

    Makes the same calls to a policy, by default the one of this program. Exit code 0 if all results
    are the same, 1 if one differs, 2 if a file cannot be read or its state cannot be used.
    """
    from pepperhook.capture import replay as replay_module

    if policy is not None and revision is not None:
        raise InvalidInputError("--policy and --revision cannot be combined")
    with reporting_file_errors():
        build: Any = replay_module.select_build(policy, revision)
    exit_code = ExitCode.SUCCESS
    for path in files:
        started_s = time.perf_counter()
        with reporting_file_errors():
            result = replay_module.replay_file(path, build)
        _print_replay(result, time.perf_counter() - started_s, as_json)
        if result.difference is not None or result.states_differ:
            exit_code = ExitCode.FAILURE
    exit_with(exit_code)


def _print_replay(result: Any, duration_s: float, as_json: bool) -> None:
    if as_json:
        import msgspec

        row = {**msgspec.to_builtins(result), "took_s": round(duration_s, 3)}
        print_json(row, default=str)
        return
    is_same = result.difference is None and not result.states_differ
    click.echo(
        f"{result.file}: {result.calls} calls of {result.seconds:.1f} s in {duration_s:.2f} s, "
        f"{result.states_checked} states checked, {result.lost_bytes} bytes lost: "
        + ("the same" if is_same else "DIFFERENT")
    )
    for line in result.states_differ:
        click.echo(f"    state: {line}")
    if result.difference is not None:
        _print_difference(result.difference)


def _print_difference(difference: Any) -> None:
    from pepperhook.capture.replay import format_actions

    fault = f" (raised {difference.fault})" if difference.fault else ""
    click.echo(
        f"    call {difference.call}, {difference.name} at {difference.now}, "
        f"about {difference.about or 'no operation'}"
    )
    click.echo(f"    recorded: {format_actions(difference.recorded)}")
    click.echo(f"    replayed: {format_actions(difference.replayed)}{fault}")
    click.echo(f"    by: {difference.stage or 'nothing returned'}")
    for line in difference.led:
        click.echo(f"      led by: {line}")


@record.command()
@click.argument("pids", nargs=-1, required=True, type=click.IntRange(MIN_PID))
def keep(pids: tuple[int, ...]) -> None:
    """Make balancers save captures and traces.

    PIDS are processes on this machine. Each gets SIGUSR2, at which it saves its recent records.
    """
    for pid in pids:
        # The signal would end any other program, and also a balancer that does not record.
        if not _is_recording_balancer(pid):
            raise InvalidInputError(f"{pid}: is no balancer that captures or traces")
        try:
            os.kill(pid, signal.SIGUSR2)
        except OSError as error:
            raise CommandFailedError(f"{pid}: {error.strerror}") from error
        click.echo(f"{pid}: signalled; it logs record_kept when the files are written")


def _is_recording_balancer(pid: int) -> bool:
    """Return whether a process is a balancer that handles SIGUSR2. Raises InvalidInputError."""
    process = Path("/proc") / str(pid)
    try:
        words = (process / "cmdline").read_bytes().split(b"\0")
        status = (process / "status").read_text(encoding="ascii")
    except OSError as error:
        raise InvalidInputError(f"{pid}: there is no such process") from error
    caught_signals = 0
    for line in status.splitlines():
        if line.startswith("SigCgt"):
            caught_signals = int(line.split()[1], HEXADECIMAL)
    handles_signal = bool(caught_signals >> (signal.SIGUSR2 - 1) & 1)
    return handles_signal and any(b"pepperhook" in word for word in words)
