"""The commands that run the control service and that send operators' requests to it."""

from __future__ import annotations

import asyncio
import json
import logging
import secrets
import signal
import sys
import time
from typing import TYPE_CHECKING, Any

import click

from pepperhook.cli import control_output
from pepperhook.cli.control_client import (
    KEYS_OPTION,
    SERVICE_OPTION,
    ServiceClient,
    read_document,
    read_keys,
)
from pepperhook.cli.options import JSON_OPTION
from pepperhook.cli.output import (
    CommandFailedError,
    ExitCode,
    InvalidInputError,
    exit_with,
    print_json,
)
from pepperhook.server.process_signals import SignalCallback, SignalListener, block_signals

if TYPE_CHECKING:
    from pepperhook.control_plane.service import ControlService

AUTHOR_OPTION = click.option(
    "--author", envvar="USER", default="", help="Who makes the change. Default: USER."
)
REASON_OPTION = click.option("--reason", default="", help="Why the change is made.")
FORCE_OPTION = click.option(
    "--force",
    multiple=True,
    metavar="CHECK",
    help="Override this check; repeatable. The version needs a reason.",
)
FILE_ARGUMENT = click.argument("file", type=click.Path())
NS_PER_S = 10**9
PERCENT = 100
SHUTDOWN_TIMEOUT_S = 1.0
WATCH_INTERVAL_S = 0.5
NEW_SECRET_BYTES = 32
SUCCESSFUL_STATES = ("going", "done")


@click.group()
def control() -> None:
    """Manage the configuration of all balancers.

    A control service streams numbered versions of it to the balancers.
    """


@control.command()
@click.option(
    "--listen",
    default="127.0.0.1:7400",
    show_default=True,
    metavar="HOST:PORT",
    help="Address of the service.",
)
@click.option(
    "--store",
    "path",
    required=True,
    type=click.Path(dir_okay=False),
    help="File of the version history (sqlite3); created if it does not exist.",
)
@KEYS_OPTION
@click.option(
    "--lease",
    default=6.0,
    show_default=True,
    type=click.FloatRange(0.5, 600),
    help="Seconds after its last heartbeat until a member is considered gone.",
)
def serve(listen: str, path: str, keys_path: str, lease: float) -> None:
    """Run the control service until SIGTERM."""
    from pepperhook.control_plane.history import HistoryStore
    from pepperhook.control_plane.service import ControlService
    from pepperhook.server import config

    keys = read_keys(keys_path)
    try:
        host, port = config.parse_address("--listen", listen)
        store = HistoryStore(path)
    except ValueError as error:
        raise InvalidInputError(str(error)) from error
    logging.basicConfig(
        level=logging.INFO,
        format="time=%(asctime)s level=%(levelname)s %(message)s",
        stream=sys.stderr,
    )
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
    service = ControlService(store, keys, lease_ns=int(lease * NS_PER_S))
    try:
        _serve_http(service, host, port, f"listening on {listen}")
    except OSError as error:
        raise CommandFailedError(f"--listen: {listen}: {error.strerror}") from error


def _serve_http(service: ControlService, host: str, port: int, ready_message: str) -> None:
    """Serve until SIGTERM; print ``ready_message`` once connections are accepted."""
    from aiohttp import web

    from pepperhook.control_plane.http_api import create_app

    block_signals()
    loop = asyncio.new_event_loop()
    callbacks: dict[signal.Signals, SignalCallback] = dict.fromkeys(
        (signal.SIGTERM, signal.SIGINT), _end_serving
    )
    SignalListener(loop, callbacks).start()
    web.run_app(
        create_app(service),
        loop=loop,
        handle_signals=False,
        host=host,
        port=port,
        print=lambda *_: click.echo(ready_message, err=True),
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )


def _end_serving() -> None:
    from aiohttp import web

    raise web.GracefulExit


@control.command()
@FILE_ARGUMENT
@SERVICE_OPTION
@KEYS_OPTION
@FORCE_OPTION
@JSON_OPTION
def plan(file: str, service: str, keys_path: str, force: tuple[str, ...], as_json: bool) -> None:
    """Show what a document would change.

    Compares FILE with the newest version, and runs the checks. Changes nothing. Exit code 1 if
    a check rejects the document.
    """
    client = ServiceClient(service, read_keys(keys_path))
    result = client.post("/v1/plan", {"document": read_document(file), "force": force})
    if as_json:
        print_json(result)
    else:
        control_output.print_plan(result, force)
    # "stands" lists the failed checks that are not overridden.
    exit_with(ExitCode.FAILURE if result["stands"] else ExitCode.SUCCESS)


@control.command()
@FILE_ARGUMENT
@SERVICE_OPTION
@KEYS_OPTION
@AUTHOR_OPTION
@REASON_OPTION
@FORCE_OPTION
@click.option(
    "--parent", type=int, help="The version that the document changes. Default: the newest."
)
@JSON_OPTION
def propose(
    file: str,
    service: str,
    keys_path: str,
    author: str,
    reason: str,
    force: tuple[str, ...],
    parent: int | None,
    as_json: bool,
) -> None:
    """Create a new version from a document.

    FILE is TOML, or JSON if its name ends with .json. The version reaches no balancer before it
    is rolled out.
    """
    proposal: dict[str, Any] = {
        "document": read_document(file),
        "author": author,
        "reason": reason,
        "force": force,
    }
    if parent is not None:
        proposal["parent"] = parent
    version = ServiceClient(service, read_keys(keys_path)).post("/v1/versions", proposal)
    if as_json:
        print_json(version)
    else:
        control_output.print_version(version)


def parse_steps(text: str) -> list[dict[str, float]]:
    """Parse rollout steps from a text like ``10%:60,50%:120``. Raises InvalidInputError."""
    steps = []
    for part in text.split(","):
        share, _, seconds = part.partition(":")
        try:
            fraction = float(share.strip().rstrip("%")) / PERCENT
            steps.append({"share": fraction, "seconds": float(seconds)})
        except ValueError as error:
            message = f"--steps: SHARE%:SECONDS is expected, not {part!r:.40}"
            raise InvalidInputError(message) from error
    return steps


@control.command()
@click.argument("version", type=int)
@SERVICE_OPTION
@KEYS_OPTION
@AUTHOR_OPTION
@click.option(
    "--steps",
    default="10%:60,50%:60,100%:60",
    show_default=True,
    help="For each step, the share of members and its minimum duration in seconds.",
)
@click.option(
    "--patience",
    "patience_s",
    default=120.0,
    show_default=True,
    help="Hold the rollout if a step takes this many seconds longer than its minimum.",
)
@click.option("--watch", is_flag=True, help="Wait until the rollout is done, rolled back or held.")
@JSON_OPTION
def rollout(
    version: int,
    service: str,
    keys_path: str,
    author: str,
    steps: str,
    patience_s: float,
    watch: bool,
    as_json: bool,
) -> None:
    """Roll out a version in steps.

    Each step sends it to a larger share of the members. The service rolls back by itself if their
    requests get worse. Exit code 1 if the rollout is held or rolled back.
    """
    client = ServiceClient(service, read_keys(keys_path))
    request = {
        "version": version,
        "steps": parse_steps(steps),
        "patience_s": patience_s,
        "author": author,
    }
    current = client.post("/v1/rollout", request)
    if watch:
        current = _watch(client, current)
    _print_rollout(current, as_json)
    succeeded = current["state"] in SUCCESSFUL_STATES
    exit_with(ExitCode.SUCCESS if succeeded else ExitCode.FAILURE)


def _watch(client: ServiceClient, current: dict[str, Any]) -> dict[str, Any]:
    """Print each step as it starts; return the rollout once it is no longer running."""
    printed_step = None
    while current["state"] == "going":
        step = current["step"]
        if step != printed_step:
            steps = current["steps"]
            click.echo(f"step {step + 1} of {len(steps)}: {steps[step]['share']:.0%}", err=True)
            printed_step = step
        time.sleep(WATCH_INTERVAL_S)
        current = client.get("/v1/rollout")
    return current


def _print_rollout(rollout: dict[str, Any], as_json: bool) -> None:
    if as_json:
        print_json(rollout)
    else:
        control_output.print_rollout(rollout)


def _add_rollout_command(action: str, description: str) -> None:
    """Add a command that changes the current rollout."""

    @control.command(name=action, help=description)
    @SERVICE_OPTION
    @KEYS_OPTION
    @REASON_OPTION
    @JSON_OPTION
    def change_rollout(service: str, keys_path: str, reason: str, as_json: bool) -> None:
        client = ServiceClient(service, read_keys(keys_path))
        _print_rollout(client.post(f"/v1/rollout/{action}", {"why": reason}), as_json)


_add_rollout_command("hold", "Hold the rollout at its step.")
_add_rollout_command("resume", "Resume a held rollout.\n\nIts current step starts again.")
_add_rollout_command(
    "back",
    "Roll back to the previous version.\n\n"
    "Sends all members the document from before the rollout, as a new version.",
)


@control.command()
@SERVICE_OPTION
@KEYS_OPTION
@JSON_OPTION
def status(service: str, keys_path: str, as_json: bool) -> None:
    """Show the rollout and all members.

    For each member: the version that it should run, the one that it runs, and the reason if they
    differ.
    """
    client = ServiceClient(service, read_keys(keys_path))
    current = client.get("/v1/rollout")
    members = client.get("/v1/members")
    if as_json:
        print_json({"rollout": current, **members})
    else:
        control_output.print_status(current, members)


@control.command()
@SERVICE_OPTION
@KEYS_OPTION
@JSON_OPTION
def versions(service: str, keys_path: str, as_json: bool) -> None:
    """List all versions, with author and reason."""
    history = ServiceClient(service, read_keys(keys_path)).get("/v1/versions")
    if as_json:
        print_json(history)
    else:
        control_output.print_versions(history)


@control.command()
@click.argument("number", type=int)
@SERVICE_OPTION
@KEYS_OPTION
def show(number: int, service: str, keys_path: str) -> None:
    """Print the document of a version as JSON."""
    client = ServiceClient(service, read_keys(keys_path))
    later_versions = client.get(f"/v1/versions?after={number - 1}")
    if not later_versions or later_versions[0]["number"] != number:
        raise CommandFailedError(f"there is no version {number}")
    click.echo(json.dumps(later_versions[0]["document"], indent=2))


@control.command(name="new-key")
@click.argument("name")
def new_key(name: str) -> None:
    """Print a new key, as a line of a key file.

    The key has the id NAME and a random secret.
    """
    click.echo(f"{name} {secrets.token_urlsafe(NEW_SECRET_BYTES)}")
